#include "relay/relay.hpp"

namespace pollenvale::relay {

using namespace ledger;

namespace {

/// Largest number of calls in flight for other entries; further ones are
/// refused.
constexpr std::size_t MaxServedCalls = 64;
/// Longest timeout and wait of a call through a peer. They are short so that
/// the store is soon called directly again if it is unreachable for all
/// entries.
constexpr std::uint32_t PeerTimeoutMs = 700;
constexpr std::uint32_t PeerWaitMs = 300;
/// With more peers than this, nothing is announced and each entry reads the
/// store itself.
constexpr std::size_t MaxAnnouncedPeers = 12;
/// A direct call that fails within this time is made again through a peer.
constexpr Milliseconds QuickFailureLimit{300};
/// Time that a call through a peer may take in addition to the store's answer.
constexpr Milliseconds PeerMargin{100};

std::string partitionOf(const RequestMessage &M) {
  return partitionName({M.Topic_, M.Partition_});
}

/// Longest time that the store may take to answer.
Milliseconds timeLimit(const RequestMessage &M) {
  return Milliseconds(M.TimeoutMs_) + Milliseconds(M.WaitMs_);
}

} // namespace

struct RelayStore::PendingCall {
  RequestMessage Request_;
  std::string Partition_;
  std::function<void(ReplyMessage)> Done_;
  TimePoint SentAt_{}; ///< Of the direct call; zero if there was none.
  /// End of the time that the store may wait for a new record.
  TimePoint Due_{};
  TimePoint PeerDeadline_{}; ///< When the peer counts as not answering.
  std::string Peer_;         ///< Address of the last peer used.
  CallId Id_ = 0;            ///< Of the last call through a peer.
  bool DirectInFlight_ = false;
  bool PeerInFlight_ = false;
  bool PeerTried_ = false;
  /// A direct call or one through a peer got no answer and may be executed.
  bool MayBeExecuted_ = false;
  bool Ended_ = false; ///< The caller has got its reply.

  /// Whether executing the call twice has the same effect as once.
  bool isIdempotent() const { return !Request_.ExpectedEnd_; }
};

void RelayStore::append(AppendCall StoreCall, ReplyHandler<AppendReply> Done) {
  auto Call = std::make_shared<PendingCall>();
  Call->Request_ = makeRequest(StoreCall);
  Call->Done_ = [Done](const ReplyMessage &M) { Done(appendReply(M)); };
  startCall(std::move(Call));
}

void RelayStore::read(ReadCall StoreCall, ReplyHandler<ReadReply> Done) {
  auto Call = std::make_shared<PendingCall>();
  Call->Request_ = makeRequest(StoreCall);
  Call->Done_ = [Done](ReplyMessage M) { Done(readReply(std::move(M))); };
  startCall(std::move(Call));
}

void RelayStore::readNewest(NewestCall StoreCall,
                            ReplyHandler<NewestReply> Done) {
  auto Call = std::make_shared<PendingCall>();
  Call->Request_ = makeRequest(StoreCall);
  Call->Done_ = [Done](ReplyMessage M) { Done(newestReply(std::move(M))); };
  startCall(std::move(Call));
}

void RelayStore::startCall(CallPtr Call) {
  Call->Partition_ = partitionOf(Call->Request_);
  if (!mayCallDirectly(Router_, Call->Partition_, Ports_.Clock_()) &&
      callThroughPeer(Call))
    return;
  callDirectly(Call);
}

template <class Handler>
void RelayStore::callStore(const RequestMessage &Request, Handler Done) {
  switch (CallKind(Request.Kind_)) {
  case CallKind::Append:
    Ports_.DirectStore_->append(
        appendCall(Request),
        [Done](const AppendReply &R) { Done(makeReply(0, R)); });
    break;
  case CallKind::Read:
    Ports_.DirectStore_->read(readCall(Request), [Done](ReadReply R) {
      Done(makeReply(0, std::move(R)));
    });
    break;
  case CallKind::Newest:
    Ports_.DirectStore_->readNewest(newestCall(Request), [Done](NewestReply R) {
      Done(makeReply(0, std::move(R)));
    });
    break;
  }
}

void RelayStore::callDirectly(const CallPtr &Call) {
  Call->DirectInFlight_ = true;
  Call->SentAt_ = Ports_.Clock_();
  Call->Due_ = Call->SentAt_ + Milliseconds(Call->Request_.WaitMs_);
  DirectCalls_.push_back(Call);
  callStore(Call->Request_, [this, Call](const ReplyMessage &Reply) {
    onDirectReply(Call, Reply);
  });
}

bool RelayStore::callThroughPeer(const CallPtr &Call) {
  TimePoint Now = Ports_.Clock_();
  std::string Peer = choosePeer(Router_, Call->Partition_, Now);
  if (Peer.empty())
    return false;
  Call->PeerTried_ = true;
  Call->Id_ = NextId_++;
  RequestMessage Sent = Call->Request_;
  Sent.Id_ = Call->Id_;
  Sent.ReplyTo_ = Ports_.Self_;
  Sent.TimeoutMs_ = std::min(Sent.TimeoutMs_, PeerTimeoutMs);
  Sent.WaitMs_ = std::min(Sent.WaitMs_, PeerWaitMs);
  Call->PeerInFlight_ = true;
  Call->Peer_ = Peer;
  Call->PeerDeadline_ = Now + timeLimit(Sent) + PeerMargin;
  PeerCalls_[Call->Id_] = Call;
  count(Counters_, "relay-asked");
  if (Ports_.Send_(Peer, encode(Sent)))
    return true;
  PeerCalls_.erase(Call->Id_);
  Call->PeerInFlight_ = false;
  onPeerResult(Router_, Call->Partition_, Peer, false, Now);
  return false;
}

void RelayStore::onDirectReply(const CallPtr &Call, const ReplyMessage &Reply) {
  Call->DirectInFlight_ = false;
  DirectCalls_.remove(Call);
  auto Status = StoreStatus(Reply.Status_);
  TimePoint Now = Ports_.Clock_();
  relay::onDirectReply(Router_, Call->Partition_, Status, Now);
  if (Call->Ended_)
    return;
  if (!isFailure(Status))
    return endCall(Call, Reply);
  Call->MayBeExecuted_ |= Status == StoreStatus::Unknown;
  if (Call->PeerInFlight_)
    return;
  // A call that took longer ends here: the caller decides whether to repeat it.
  bool TryPeer = !Call->PeerTried_ &&
                 Now - Call->SentAt_ <= QuickFailureLimit &&
                 (Call->isIdempotent() || !Call->MayBeExecuted_);
  if (!TryPeer || !callThroughPeer(Call))
    endCall(Call, Reply);
}

void RelayStore::onPeerReply(const ReplyMessage &Reply) {
  auto It = PeerCalls_.find(Reply.Id_);
  if (It == PeerCalls_.end())
    return count(Counters_, "relay-reply-unexpected");
  CallPtr Call = It->second;
  if (!isAnswerTo(Reply, Call->Request_))
    return count(Counters_, "relay-reply-refused");
  PeerCalls_.erase(It);
  Call->PeerInFlight_ = false;
  auto Status = StoreStatus(Reply.Status_);
  onPeerResult(Router_, Call->Partition_, Call->Peer_, !isFailure(Status),
               Ports_.Clock_());
  if (!isFailure(Status))
    return endCall(Call, Reply);
  Call->MayBeExecuted_ |= Status == StoreStatus::Unknown;
  if (Call->DirectInFlight_)
    return;
  // The store refuses the peer as well, but may serve another one.
  if (!Call->MayBeExecuted_ && callThroughPeer(Call))
    return;
  bool DirectTried = Call->SentAt_ != TimePoint{};
  if (Call->MayBeExecuted_ || DirectTried)
    return endCall(Call, Reply);
  callDirectly(Call);
}

void RelayStore::endCall(const CallPtr &Call, const ReplyMessage &Reply) {
  if (Call->Ended_)
    return;
  Call->Ended_ = true;
  PeerCalls_.erase(Call->Id_);
  ReplyMessage Out = Reply;
  // NotDone must hold for the direct call and for every one through a peer.
  if (Call->MayBeExecuted_ && StoreStatus(Out.Status_) == StoreStatus::NotDone)
    Out.Status_ = int(StoreStatus::Unknown);
  announce(Call, Out);
  Call->Done_(std::move(Out));
}

bool RelayStore::announcesRecords() const {
  return Router_.Peers_.size() <= MaxAnnouncedPeers;
}

void RelayStore::announce(const CallPtr &Call, const ReplyMessage &Reply) {
  if (CallKind(Call->Request_.Kind_) != CallKind::Append ||
      StoreStatus(Reply.Status_) != StoreStatus::Done ||
      Call->Request_.Topic_ != Ports_.AnnouncedTopic_)
    return;
  // The store answers a repeated sequence number with its first answer, even if
  // the records differ.
  if (Reply.End_ != Reply.First_ + Call->Request_.Records_.size())
    return count(Counters_, "relay-append-mismatch");
  StoredMessage Announcement{Call->Request_.Topic_, Call->Request_.Partition_,
                             std::move(Call->Request_.Records_)};
  Offset Next = Reply.First_;
  for (MessageRecord &R : Announcement.Records_)
    R.Offset_ = Next++;
  if (announcesRecords()) {
    std::string Frame = encode(Announcement);
    for (const std::string &Peer : Router_.Peers_)
      Ports_.Send_(Peer, Frame);
  }
  Ports_.OnStored_(Announcement.Partition_,
                   toRecords(std::move(Announcement.Records_)));
}

void RelayStore::onMessage(Message M) {
  if (auto *Request = std::get_if<RequestMessage>(&M))
    serve(std::move(*Request));
  else if (auto *Reply = std::get_if<ReplyMessage>(&M))
    onPeerReply(*Reply);
  else if (auto *Stored = std::get_if<StoredMessage>(&M);
           Stored && Stored->Topic_ == Ports_.AnnouncedTopic_)
    Ports_.OnStored_(Stored->Partition_,
                     toRecords(std::move(Stored->Records_)));
  else
    count(Counters_, "relay-frame-unreadable");
}

void RelayStore::serve(RequestMessage Request) {
  std::string Partition = partitionOf(Request);
  bool Known = Request.Kind_ >= int(CallKind::Append) &&
               Request.Kind_ <= int(CallKind::Newest);
  if (!Known || ServedCalls_ >= MaxServedCalls ||
      !mayCallForOthers(Router_, Partition, Ports_.Clock_())) {
    count(Counters_, "relay-refused");
    return reply(Request, {Request.Id_, int(StoreStatus::NotDone)});
  }
  count(Counters_, "relay-served");
  ++ServedCalls_;
  RequestMessage Header = Request;
  Header.Records_.clear();
  callStore(Request, [this, Header, Partition](ReplyMessage Reply) {
    --ServedCalls_;
    relay::onDirectReply(Router_, Partition, StoreStatus(Reply.Status_),
                         Ports_.Clock_());
    reply(Header, std::move(Reply));
  });
}

void RelayStore::reply(const RequestMessage &Request, ReplyMessage Reply) {
  copyCallFields(Reply, Request);
  if (!Ports_.Send_(Request.ReplyTo_, encode(Reply)))
    count(Counters_, "relay-frame-dropped");
}

void RelayStore::tick() {
  TimePoint Now = Ports_.Clock_();
  // The loops run over copies because their calls may change the originals.
  auto DirectCalls = DirectCalls_;
  for (const CallPtr &Call : DirectCalls) {
    if (!noteUnanswered(Router_, Call->Partition_, Call->Due_, Now) ||
        Call->Ended_ || Call->PeerTried_ || !Call->isIdempotent())
      continue;
    count(Counters_, "relay-silent-store");
    Call->MayBeExecuted_ = true;
    callThroughPeer(Call);
  }
  auto PeerCalls = PeerCalls_;
  for (const auto &[Id, Call] : PeerCalls) {
    if (Now < Call->PeerDeadline_)
      continue;
    count(Counters_, "relay-no-answer");
    onPeerResult(Router_, Call->Partition_, Call->Peer_, false, Now);
    Ports_.OnPeerSuspected_(Call->Peer_);
    PeerCalls_.erase(Id);
    Call->PeerInFlight_ = false;
    Call->MayBeExecuted_ = true;
    if (!Call->DirectInFlight_)
      endCall(Call, {Id, int(StoreStatus::Unknown)});
  }
}

} // namespace pollenvale::relay
