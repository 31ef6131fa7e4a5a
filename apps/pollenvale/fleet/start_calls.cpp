#include "fleet/start_calls.hpp"

#include "fleet/clock.hpp"

namespace pollenvale::fleet {

using scheduler::OrderReply;
using scheduler::StartCall;

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
  ReplyHandlers_[Id] = std::move(Done);
  delegation::RequestMessage &Request = Requests_[{Peer, Partition}];
  Request.ReplyTo_ = Self_;
  Request.Partition_ = Partition;
  Request.Rows_.push_back(delegation::makeStartRow(Id, Call));
}

void StartCalls::setPeers(const std::vector<std::string> &Idle) {
  delegation::setPeers(Pool_, Idle);
}

void StartCalls::runDueWork() {
  for (auto &[To, Message] : std::exchange(Requests_, {}))
    Peers_.send(To.first, FrameKind::Start, delegation::encode(Message));
  for (const auto &[Id, Call] : delegation::takeExpired(Pool_, now())) {
    count(Counters_, "start-delegated-no-answer");
    Peers_.suspect(Call.Peer_);
    if (auto Handler = ReplyHandlers_.extract(Id))
      Handler.mapped()({});
  }
  sendPending();
}

void StartCalls::onReply(const delegation::ReplyRow &Row) {
  auto Pending = delegation::takePending(Pool_, Row.Id_);
  auto Handler = ReplyHandlers_.extract(Row.Id_);
  if (!Pending || !Handler)
    return;
  if (Row.Sent_)
    return Handler.mapped()(delegation::toOrderReply(Row));
  count(Counters_, "start-delegated-returned");
  startDirectly(Pending->Call_, std::move(Handler.mapped()));
}

void StartCalls::onPeer(const std::string &Bytes) {
  delegation::Message Message = delegation::decode(Bytes);
  if (auto *Reply = std::get_if<delegation::ReplyMessage>(&Message)) {
    for (const delegation::ReplyRow &Row : Reply->Rows_)
      onReply(Row);
  } else if (auto *Request =
                 std::get_if<delegation::RequestMessage>(&Message)) {
    TimePoint ExpiresAt = now() + Pool_.Options_.ReplicaWait_;
    for (delegation::StartRow &Start : Request->Rows_) {
      PendingStart Pending{Request->ReplyTo_, Request->Partition_,
                           std::move(Start), ExpiresAt};
      if (!trySend(Pending))
        PendingStarts_.push_back(std::move(Pending));
    }
  } else {
    count(Counters_, "peer-frame-unreadable");
  }
}

bool StartCalls::trySend(const PendingStart &Pending) {
  auto Copy = Copies_.find(Pending.Partition_);
  auto Task = workflow::parseTaskId(Pending.Start_.Task_);
  if (Copy == Copies_.end() || !Task)
    return false;
  const auto &Jobs = Copy->second.Replica_.Jobs_;
  auto Job = Jobs.find(Task->Step_.Job_);
  if (Job == Jobs.end()) {
    ledger::scheduleReadBy(Copy->second.Tail_, now());
    return false;
  }
  auto Call = delegation::toStartCall(Pending.Start_,
                                      Job->second.Accepted_.Spec_.Payload_);
  count(Counters_, "start-served");
  Client_.start(*Call, [this, To = Pending.ReplyTo_,
                        Id = Pending.Start_.Id_](const OrderReply &R) {
    sendReply(To, delegation::makeReplyRow(Id, R));
  });
  return true;
}

void StartCalls::sendPending() {
  std::erase_if(PendingStarts_, [this](const PendingStart &Pending) {
    if (trySend(Pending))
      return true;
    if (now() < Pending.ExpiresAt_)
      return false;
    sendReply(Pending.ReplyTo_, {Pending.Start_.Id_, false});
    return true;
  });
}

void StartCalls::sendReply(const std::string &To,
                           const delegation::ReplyRow &Row) {
  Peers_.send(To, FrameKind::Start,
              delegation::encode(delegation::ReplyMessage{{Row}}));
}

} // namespace pollenvale::fleet
