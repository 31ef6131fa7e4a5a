#include "fleet/start_calls.hpp"

#include "fleet/clock.hpp"

namespace pollenvale::fleet {

using scheduler::OrderReply;
using scheduler::StartCall;

namespace {

/// Entries that own no slice: they have processor and link to spare.
std::vector<std::string> idlePeers(const ownership::State &Claims) {
  std::set<std::string> Owners;
  for (const auto &[Slice, View] : Claims.Slices_)
    Owners.insert(View.Address_);
  std::vector<std::string> Out;
  for (std::string &A : ownership::peerAddresses(Claims))
    if (!Owners.count(A))
      Out.push_back(std::move(A));
  return Out;
}

} // namespace

void StartCalls::open(const std::string &Self) {
  Self_ = Self;
  Peers_.subscribe(FrameKind::Start,
                   [this](const std::string &Bytes) { onPeer(Bytes); });
}

void StartCalls::startDirectly(const StartCall &Call, OnReply Done) {
  delegation::beginDirectStart(Pool_, Call);
  Client_.start(Call, [this, Call, Done](const OrderReply &R) {
    delegation::endDirectStart(Pool_, Call);
    Done(R);
  });
}

void StartCalls::start(const StartCall &Call, std::uint32_t Partition,
                       OnReply Done) {
  std::string Peer = delegation::choosePeer(Pool_, Call, now());
  if (Peer.empty())
    return startDirectly(Call, std::move(Done));
  count(Counters_, "start-delegated");
  CallId Id = delegation::addPending(Pool_, Call, Peer, now());
  Done_[Id] = std::move(Done);
  delegation::RequestMessage &M = Requests_[{Peer, Partition}];
  M.ReplyTo_ = Self_;
  M.Partition_ = Partition;
  M.Rows_.push_back(delegation::makeStartRow(Id, Call));
}

void StartCalls::turn(const ownership::State &Claims) {
  delegation::setPeers(Pool_, idlePeers(Claims));
  for (auto &[To, Message] : std::exchange(Requests_, {}))
    Peers_.send(To.first, FrameKind::Start, delegation::encode(Message));
  for (const auto &[Id, X] : delegation::takeExpired(Pool_, now())) {
    count(Counters_, "start-delegated-no-answer");
    Peers_.suspect(X.Peer_);
    if (auto Done = Done_.extract(Id))
      Done.mapped()({});
  }
  serveWaiting();
}

void StartCalls::onReply(const delegation::ReplyRow &Row) {
  auto Pending = delegation::takePending(Pool_, Row.Id_);
  auto Done = Done_.extract(Row.Id_);
  if (!Pending || !Done)
    return;
  if (Row.Sent_)
    return Done.mapped()(delegation::toOrderReply(Row));
  count(Counters_, "start-delegated-returned");
  startDirectly(Pending->Call_, std::move(Done.mapped()));
}

void StartCalls::onPeer(const std::string &Bytes) {
  delegation::Message M = delegation::decode(Bytes);
  if (auto *Tell = std::get_if<delegation::ReplyMessage>(&M)) {
    for (const delegation::ReplyRow &Row : Tell->Rows_)
      onReply(Row);
  } else if (auto *Ask = std::get_if<delegation::RequestMessage>(&M)) {
    TimePoint GiveUpAt = now() + Pool_.Options_.ReplicaWait_;
    for (delegation::StartRow &Row : Ask->Rows_) {
      Waiting W{Ask->ReplyTo_, Ask->Partition_, std::move(Row), GiveUpAt};
      if (!serve(W))
        Waiting_.push_back(std::move(W));
    }
  } else {
    count(Counters_, "peer-frame-unreadable");
  }
}

bool StartCalls::serve(const Waiting &W) {
  auto Copy = Copies_.find(W.Partition_);
  auto Task = workflow::parseTaskId(W.Row_.Task_);
  if (Copy == Copies_.end() || !Task)
    return false;
  const auto &Jobs = Copy->second.Replica_.Jobs_;
  auto Job = Jobs.find(Task->Step_.Job_);
  if (Job == Jobs.end()) {
    ledger::hurry(Copy->second.Tail_, now());
    return false;
  }
  auto Call =
      delegation::toStartCall(W.Row_, Job->second.Accepted_.Spec_.Payload_);
  count(Counters_, "start-served");
  Client_.start(*Call,
                [this, To = W.ReplyTo_, Id = W.Row_.Id_](const OrderReply &R) {
                  answer(To, delegation::makeReplyRow(Id, R));
                });
  return true;
}

void StartCalls::serveWaiting() {
  std::erase_if(Waiting_, [this](const Waiting &W) {
    if (serve(W))
      return true;
    if (now() < W.GiveUpAt_)
      return false;
    answer(W.ReplyTo_, {W.Row_.Id_, false});
    return true;
  });
}

void StartCalls::answer(const std::string &To,
                        const delegation::ReplyRow &Row) {
  Peers_.send(To, FrameKind::Start,
              delegation::encode(delegation::ReplyMessage{{Row}}));
}

} // namespace pollenvale::fleet
