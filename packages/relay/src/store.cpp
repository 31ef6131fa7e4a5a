#include "relay/relay.hpp"

namespace pollenvale::relay {

using namespace ledger;

namespace {

/// Calls in flight for other entries; more are refused.
constexpr std::size_t MaxServing = 64;
/// Limits of a call through a peer. They are short, so that the store is soon
/// called directly again when it is down for all.
constexpr std::uint32_t PeerTimeoutMs = 700;
constexpr std::uint32_t PeerWaitMs = 300;
/// With more entries than this, each reads the store by itself.
constexpr std::size_t MaxAnnounced = 12;
/// A failure within this time leaves time for another attempt.
constexpr Milliseconds QuickFailure{300};
/// Time for a peer's answer beyond the store's.
constexpr Milliseconds PeerMargin{100};

std::string partitionOf(const RequestMessage &M) {
  return nameOf({M.Topic_, M.Partition_});
}

Milliseconds timeLimit(const RequestMessage &M) {
  return Milliseconds(M.TimeoutMs_) + Milliseconds(M.WaitMs_);
}

} // namespace

struct RelayStore::Call {
  RequestMessage Request_;
  std::string Partition_;
  std::function<void(ReplyMessage)> Done_;
  TimePoint SentAt_{};     ///< To the store.
  TimePoint Due_{};        ///< When the store is to answer.
  TimePoint PeerGiveUp_{}; ///< When the peer is to have answered.
  std::string Peer_;
  CallId Id_ = 0;
  bool AtStore_ = false;
  bool AtPeer_ = false;
  bool PeerAsked_ = false;
  /// An attempt without an answer may still be executed.
  bool MayBeDone_ = false;
  bool Ended_ = false;

  /// Whether executing it twice has the effect of once.
  bool isIdempotent() const { return !Request_.ExpectedEnd_; }
};

void RelayStore::append(AppendCall Wanted, Done<AppendReply> Done) {
  auto C = std::make_shared<Call>();
  C->Request_ = makeRequest(Wanted);
  C->Done_ = [Done](const ReplyMessage &M) { Done(appendReply(M)); };
  begin(std::move(C));
}

void RelayStore::read(ReadCall Wanted, Done<ReadReply> Done) {
  auto C = std::make_shared<Call>();
  C->Request_ = makeRequest(Wanted);
  C->Done_ = [Done](ReplyMessage M) { Done(readReply(std::move(M))); };
  begin(std::move(C));
}

void RelayStore::newest(NewestCall Wanted, Done<NewestReply> Done) {
  auto C = std::make_shared<Call>();
  C->Request_ = makeRequest(Wanted);
  C->Done_ = [Done](ReplyMessage M) { Done(newestReply(std::move(M))); };
  begin(std::move(C));
}

void RelayStore::begin(CallPtr C) {
  C->Partition_ = partitionOf(C->Request_);
  if (!isDirectOpen(Router_, C->Partition_, Ports_.Clock_()) && askPeer(C))
    return;
  goDirect(C);
}

template <class Handle>
void RelayStore::callDirect(const RequestMessage &M, Handle Done) {
  switch (CallKind(M.Kind_)) {
  case CallKind::Append:
    Ports_.Direct_->append(
        appendCall(M), [Done](const AppendReply &R) { Done(makeReply(0, R)); });
    break;
  case CallKind::Read:
    Ports_.Direct_->read(
        readCall(M), [Done](ReadReply R) { Done(makeReply(0, std::move(R))); });
    break;
  case CallKind::Newest:
    Ports_.Direct_->newest(newestCall(M), [Done](NewestReply R) {
      Done(makeReply(0, std::move(R)));
    });
    break;
  }
}

void RelayStore::goDirect(const CallPtr &C) {
  C->AtStore_ = true;
  C->SentAt_ = Ports_.Clock_();
  C->Due_ = C->SentAt_ + Milliseconds(C->Request_.WaitMs_);
  Direct_.push_back(C);
  callDirect(C->Request_,
             [this, C](const ReplyMessage &Reply) { onDirect(C, Reply); });
}

bool RelayStore::askPeer(const CallPtr &C) {
  TimePoint Now = Ports_.Clock_();
  std::string Peer = choosePeer(Router_, C->Partition_, Now);
  if (Peer.empty())
    return false;
  C->PeerAsked_ = true;
  C->Id_ = NextId_++;
  RequestMessage Sent = C->Request_;
  Sent.Id_ = C->Id_;
  Sent.ReplyTo_ = Ports_.Self_;
  Sent.TimeoutMs_ = std::min(Sent.TimeoutMs_, PeerTimeoutMs);
  Sent.WaitMs_ = std::min(Sent.WaitMs_, PeerWaitMs);
  C->AtPeer_ = true;
  C->Peer_ = Peer;
  C->PeerGiveUp_ = Now + timeLimit(Sent) + PeerMargin;
  AtPeers_[C->Id_] = C;
  count(Counters_, "relay-asked");
  if (Ports_.Send_(Peer, encode(Sent)))
    return true;
  AtPeers_.erase(C->Id_);
  C->AtPeer_ = false;
  onPeer(Router_, C->Partition_, Peer, false, Now);
  return false;
}

void RelayStore::onDirect(const CallPtr &C, const ReplyMessage &Reply) {
  C->AtStore_ = false;
  Direct_.remove(C);
  auto Status = StoreStatus(Reply.Status_);
  TimePoint Now = Ports_.Clock_();
  relay::onDirect(Router_, C->Partition_, Status, Now);
  if (C->Ended_)
    return;
  if (!isFailure(Status))
    return conclude(C, Reply);
  C->MayBeDone_ |= Status == StoreStatus::Unknown;
  if (C->AtPeer_)
    return;
  // A call that has taken its time ends here: its maker decides what comes
  // next.
  bool Again = !C->PeerAsked_ && Now - C->SentAt_ <= QuickFailure &&
               (C->isIdempotent() || !C->MayBeDone_);
  if (!Again || !askPeer(C))
    conclude(C, Reply);
}

void RelayStore::onReply(const ReplyMessage &M) {
  auto It = AtPeers_.find(M.Id_);
  if (It == AtPeers_.end())
    return count(Counters_, "relay-reply-unexpected");
  CallPtr C = It->second;
  if (!isAnswerTo(M, C->Request_))
    return count(Counters_, "relay-reply-refused");
  AtPeers_.erase(It);
  C->AtPeer_ = false;
  auto Status = StoreStatus(M.Status_);
  onPeer(Router_, C->Partition_, C->Peer_, !isFailure(Status), Ports_.Clock_());
  if (!isFailure(Status))
    return conclude(C, M);
  C->MayBeDone_ |= Status == StoreStatus::Unknown;
  if (C->AtStore_)
    return;
  // The store refuses the peer as well: another one may reach it.
  if (!C->MayBeDone_ && askPeer(C))
    return;
  bool Tried = C->SentAt_ != TimePoint{};
  if (C->MayBeDone_ || Tried)
    return conclude(C, M);
  goDirect(C);
}

void RelayStore::conclude(const CallPtr &C, const ReplyMessage &Reply) {
  if (C->Ended_)
    return;
  C->Ended_ = true;
  AtPeers_.erase(C->Id_);
  ReplyMessage Out = Reply;
  // "Not done" must hold for every attempt.
  if (C->MayBeDone_ && StoreStatus(Out.Status_) == StoreStatus::NotDone)
    Out.Status_ = int(StoreStatus::Unknown);
  announce(C, Out);
  C->Done_(std::move(Out));
}

bool RelayStore::announces() const {
  return Router_.Peers_.size() <= MaxAnnounced;
}

void RelayStore::announce(const CallPtr &C, const ReplyMessage &Reply) {
  if (CallKind(C->Request_.Kind_) != CallKind::Append ||
      StoreStatus(Reply.Status_) != StoreStatus::Done ||
      C->Request_.Topic_ != Ports_.AnnouncedTopic_)
    return;
  StoredMessage M{C->Request_.Topic_, C->Request_.Partition_,
                  std::move(C->Request_.Rows_)};
  Offset Next = Reply.First_;
  for (Row &R : M.Rows_)
    R.Offset_ = Next++;
  if (announces()) {
    std::string Frame = encode(M);
    for (const std::string &Peer : Router_.Peers_)
      Ports_.Send_(Peer, Frame);
  }
  Ports_.OnStored_(M.Partition_, toRecords(std::move(M.Rows_)));
}

void RelayStore::onMessage(Message M) {
  if (auto *Request = std::get_if<RequestMessage>(&M))
    serve(std::move(*Request));
  else if (auto *Reply = std::get_if<ReplyMessage>(&M))
    onReply(*Reply);
  else if (auto *Stored = std::get_if<StoredMessage>(&M);
           Stored && Stored->Topic_ == Ports_.AnnouncedTopic_)
    Ports_.OnStored_(Stored->Partition_, toRecords(std::move(Stored->Rows_)));
  else
    count(Counters_, "relay-frame-unreadable");
}

void RelayStore::serve(RequestMessage M) {
  std::string Partition = partitionOf(M);
  bool Known =
      M.Kind_ >= int(CallKind::Append) && M.Kind_ <= int(CallKind::Newest);
  if (!Known || Serving_ >= MaxServing ||
      !mayServe(Router_, Partition, Ports_.Clock_())) {
    count(Counters_, "relay-refused");
    return reply(M, {M.Id_, int(StoreStatus::NotDone)});
  }
  count(Counters_, "relay-served");
  ++Serving_;
  RequestMessage Asked = M;
  Asked.Rows_.clear();
  callDirect(M, [this, Asked, Partition](ReplyMessage Reply) {
    --Serving_;
    relay::onDirect(Router_, Partition, StoreStatus(Reply.Status_),
                    Ports_.Clock_());
    reply(Asked, std::move(Reply));
  });
}

void RelayStore::reply(const RequestMessage &Asked, ReplyMessage M) {
  address(M, Asked);
  if (!Ports_.Send_(Asked.ReplyTo_, encode(M)))
    count(Counters_, "relay-frame-dropped");
}

void RelayStore::tick() {
  TimePoint Now = Ports_.Clock_();
  auto Direct = Direct_;
  for (const CallPtr &C : Direct) {
    if (!noteWaiting(Router_, C->Partition_, C->Due_, Now) || C->Ended_ ||
        C->PeerAsked_ || !C->isIdempotent())
      continue;
    count(Counters_, "relay-silent-store");
    C->MayBeDone_ = true;
    askPeer(C);
  }
  auto AtPeers = AtPeers_;
  for (const auto &[Id, C] : AtPeers) {
    if (Now < C->PeerGiveUp_)
      continue;
    count(Counters_, "relay-no-answer");
    onPeer(Router_, C->Partition_, C->Peer_, false, Now);
    Ports_.Suspect_(C->Peer_);
    AtPeers_.erase(Id);
    C->AtPeer_ = false;
    C->MayBeDone_ = true;
    if (!C->AtStore_)
      conclude(C, {Id, int(StoreStatus::Unknown)});
  }
}

} // namespace pollenvale::relay
