#include "ownership/detail/internal.hpp"
#include "ownership/ownership.hpp"

#include <algorithm>

namespace pollenvale::ownership {

using ledger::StoreStatus;
using namespace detail;

namespace {

/// Contact to the store counts as interrupted when the time between two answers
/// is longer than this.
constexpr Milliseconds MaxContactGap{1'500};

void onClaim(State &Claims, const SliceName &Slice, const ClaimRecord &R,
             Offset Offset, TimePoint Now) {
  SliceView &View = Claims.Slices_[Slice];
  if (R.ReleasedClaim_ != 0) {
    if (R.ReleasedClaim_ >= View.Number_) {
      View.Number_ = R.ReleasedClaim_;
      View.Generation_ = std::max(View.Generation_, R.Generation_);
      View.Released_ = true;
    }
    return;
  }
  ClaimNumber Number = Offset + 1;
  if (Number <= View.Number_)
    return;
  TimePoint FormerEnd = formerHolderFencedBy(Claims, View, R.Generation_, Now);
  View = SliceView{Number,        R.Holder_, R.Address_, R.StartOffset_,
                   R.Generation_, false,     Now};
  View.HolderSentBy_ = Now;
  View.HolderFencesItself_ = R.FencesItself_;
  View.FormerHolderFencedBy_ = FormerEnd;
  auto Own = Claims.OwnSlices_.find(Slice);
  if (Own == Claims.OwnSlices_.end() || Own->second.Number_ >= Number)
    return;
  Claims.OwnSlices_.erase(Own);
  // The new owner waits to learn that this one has stopped.
  Claims.HeartbeatSentAt_ = {};
}

/// Handles the removal of the slice's claim at \p Offset.
void onClaimRemoved(State &Claims, const SliceName &Slice, Offset Offset) {
  auto View = Claims.Slices_.find(Slice);
  if (View != Claims.Slices_.end() && View->second.Number_ <= Offset)
    Claims.Slices_.erase(View);
  auto Own = Claims.OwnSlices_.find(Slice);
  if (Own != Claims.OwnSlices_.end() && Own->second.Number_ <= Offset)
    Claims.OwnSlices_.erase(Own);
}

void onOwnHeartbeat(State &Claims, const NodeRecord &R, Offset Offset) {
  TimePoint StartedAt = Claims.Options_.StartedAt_;
  if (StartedAt != TimePoint{})
    Claims.StoredHeartbeatSentAt_ = std::max(
        Claims.StoredHeartbeatSentAt_, StartedAt + Milliseconds(R.UptimeMs_));
  if (!Claims.Loading_)
    Claims.StoredHeartbeatNumber_ = Offset + 1;
}

void onHeartbeat(State &Claims, const std::string &Name, const NodeRecord &R,
                 Offset Offset, TimePoint Now) {
  if (R.Node_ == Claims.Options_.Self_)
    onOwnHeartbeat(Claims, R, Offset);
  for (auto &[Slice, Held] : Claims.Slices_)
    if (Held.Holder_ == R.Node_)
      onHolderHeartbeat(Held, R, Now);
  NodeView &View = Claims.Nodes_[Name];
  // The store may execute a heartbeat of an earlier process late.
  if (R.StartOffset_ < View.StartOffset_)
    return;
  TimePoint StartedBy = Now - shortestForEntryClock(Milliseconds(R.UptimeMs_));
  if (R.Node_ == View.Node_)
    StartedBy = std::min(StartedBy, View.StartedBy_);
  View = NodeView{R.Address_, R.Node_,   R.StartOffset_, R.Cpu_,
                  Now,        StartedBy, R.ReadUpTo_};
  for (auto &[Slice, Own] : Claims.OwnSlices_)
    if (nodeName(Own.PredecessorHolder_.Node_) == Name)
      updatePredecessorEnd(Claims, Own);
}

/// Time since the last sign of life of the holder of \p View. Time without
/// contact to the store does not count.
Milliseconds holderSilence(const State &Claims, const SliceView &View) {
  auto It = Claims.Nodes_.find(nodeName(View.Holder_));
  TimePoint Heard = std::max(Claims.ContactSince_, View.SeenAt_);
  if (It != Claims.Nodes_.end() && It->second.Node_ == View.Holder_)
    Heard = std::max(Heard, It->second.SeenAt_);
  return elapsed(Heard, Claims.LastContactAt_);
}

/// Whether this entry may claim the slice.
bool isFree(const State &Claims, const SliceView &View) {
  if (View.Number_ == 0 || View.Released_)
    return true;
  // A stored claim of this process whose answer was lost is never used: the
  // slice has to be claimed again.
  if (View.Holder_ == Claims.Options_.Self_)
    return true;
  return findPredecessor(Claims, View) == Predecessor::Ended ||
         holderSilence(Claims, View) > Claims.Options_.SilenceLimit_;
}

/// Delay by which a small entry lets large ones claim first. It depends only on
/// this entry's CPU: without a live large entry, it delays the take-over too.
Milliseconds smallEntryDelay(const Options &O) {
  if (O.Cpu_ <= 0 || O.Cpu_ >= O.LargeEntryCpu_)
    return Milliseconds(0);
  return O.SmallEntryDelay_ * (O.LargeEntryCpu_ - O.Cpu_) / O.LargeEntryCpu_;
}

/// Time for which a slice must have been free before this entry claims it.
Milliseconds claimDelay(const State &Claims, const SliceName &Slice) {
  auto Spread = std::uint64_t(Claims.Options_.ClaimJitter_.count());
  auto Jitter = stableHash(Slice + Claims.Options_.Self_) % (Spread + 1);
  auto Load =
      std::int64_t(Claims.OwnSlices_.size() + Claims.ClaimsInFlight_.size());
  return Milliseconds(std::int64_t(Jitter)) +
         Claims.Options_.ClaimDelayPerSlice_ * Load +
         smallEntryDelay(Claims.Options_);
}

/// The ownership that a claim sent now would establish.
OwnedSlice makeOwnership(const State &Claims, const SliceView &Before,
                         TimePoint Now) {
  OwnedSlice Out;
  Out.Generation_ = Before.Generation_ + 1;
  Out.Predecessor_ = findPredecessor(Claims, Before);
  Out.PredecessorClaim_ = Before.Number_;
  Out.PredecessorHolder_ = holderOf(Before);
  Out.PredecessorSeenAt_ = Before.SeenAt_;
  Out.SentAt_ = Now;
  if (Before.Number_ == 0)
    return Out;
  Out.PredecessorFencedBy_ = holderFencedBy(Claims, Before);
  Out.EarlierFencedBy_ = Before.FormerHolderFencedBy_;
  return Out;
}

void claimFreeSlices(State &Claims, const std::set<SliceName> &Wanted,
                     Offset End, TimePoint Now, std::vector<Write> &Out) {
  for (const SliceName &Slice : Wanted) {
    if (Claims.OwnSlices_.count(Slice) || Claims.ClaimsInFlight_.count(Slice) ||
        Claims.Releases_.count(Slice))
      continue;
    SliceView &View = Claims.Slices_[Slice];
    if (!isFree(Claims, View)) {
      View.Free_ = false;
      continue;
    }
    if (!View.Free_) {
      View.Free_ = true;
      View.FreeSince_ = Now;
    }
    if (elapsed(View.FreeSince_, Now) < claimDelay(Claims, Slice) ||
        View.RejectedEnd_ == End)
      continue;
    ClaimRecord R{Claims.Options_.Self_,    View.Generation_ + 1, 0,
                  Claims.Options_.Address_, Claims.StartOffset_,  true};
    Write W{Write::Kind::Claim, Slice, makeClaim(Slice, R), End};
    W.Claimed_ = makeOwnership(Claims, View, Now);
    Out.push_back(std::move(W));
    Claims.ClaimsInFlight_.insert(Slice);
  }
}

bool holdsSlice(const State &Claims, const NodeId &Node) {
  return std::any_of(Claims.Slices_.begin(), Claims.Slices_.end(),
                     [&](const auto &V) {
                       return V.second.Holder_ == Node && !V.second.Released_;
                     });
}

/// Whether a large entry is alive that owns no slice.
bool hasIdleLargePeer(const State &Claims, TimePoint Now) {
  const Options &O = Claims.Options_;
  return std::any_of(
      Claims.Nodes_.begin(), Claims.Nodes_.end(), [&](const auto &N) {
        const NodeView &Node = N.second;
        return Node.Cpu_ >= O.LargeEntryCpu_ && Node.Node_ != O.Self_ &&
               elapsed(Node.SeenAt_, Now) <= O.IdleHeartbeatInterval_ * 3 / 2 &&
               !holdsSlice(Claims, Node.Node_);
      });
}

/// Whether this entry is small, overloaded, and a large entry can take over.
bool shouldHandOver(const State &Claims, TimePoint Now) {
  const Options &O = Claims.Options_;
  bool Small = O.Cpu_ > 0 && O.Cpu_ < O.LargeEntryCpu_;
  return Small && !Claims.OwnSlices_.empty() && Claims.OverloadedSince_ &&
         elapsed(*Claims.OverloadedSince_, Now) >= O.OverloadLimit_ &&
         elapsed(Claims.LastContactAt_, Now) < MaxContactGap &&
         hasIdleLargePeer(Claims, Now);
}

/// Time from the last heartbeat to the next one.
Milliseconds heartbeatInterval(const State &Claims) {
  const Options &O = Claims.Options_;
  if (Claims.OwnSlices_.empty())
    return O.IdleHeartbeatInterval_;
  auto Spread = std::uint64_t(O.OwnerHeartbeatJitter_.count());
  auto SentAt = elapsed(TimePoint{}, Claims.HeartbeatSentAt_).count();
  auto Jitter = stableHash(O.Self_ + std::to_string(SentAt)) % (Spread + 1);
  return O.OwnerHeartbeatInterval_ - O.OwnerHeartbeatJitter_ / 2 +
         Milliseconds(std::int64_t(Jitter));
}

std::int64_t uptimeMs(const Options &O, TimePoint Now) {
  return O.StartedAt_ == TimePoint{} ? 0 : elapsed(O.StartedAt_, Now).count();
}

} // namespace

void onRecord(State &Claims, const ledger::KeyedRecord &R, TimePoint Now) {
  std::string Name = R.Key_.empty() ? "" : nameOf(R.Key_);
  if (kindOf(R.Key_) == RecordKind::Claim && R.Value_.empty()) {
    onClaimRemoved(Claims, Name, R.Offset_);
  } else if (kindOf(R.Key_) == RecordKind::Claim) {
    auto Claim = parseClaim(R.Value_);
    if (Claim)
      onClaim(Claims, Name, *Claim, R.Offset_, Now);
    Claims.UnreadableRecords_ += !Claim;
  } else if (kindOf(R.Key_) == RecordKind::Node) {
    auto Node = parseNode(R.Value_);
    if (Node)
      onHeartbeat(Claims, Name, *Node, R.Offset_, Now);
    Claims.UnreadableRecords_ += !Node;
  } else if (kindOf(R.Key_) == RecordKind::Service) {
    Claims.PendingNames_.erase(Name);
    if (R.Value_.empty())
      Claims.ServiceNames_.erase(Name);
    else
      Claims.ServiceNames_[Name] = R.Offset_;
  }
}

void onLoadBegins(State &Claims) { Claims.Loading_ = true; }

void onLoaded(State &Claims, const std::set<std::string> &Keys, Offset LoadEnd,
              TimePoint Now) {
  Claims.Loading_ = false;
  // A load omits heartbeats of a holder that were replaced by those of another
  // VM of the same name.
  for (auto &[Slice, View] : Claims.Slices_)
    View.HolderSentBy_ = Now;
  std::erase_if(Claims.ServiceNames_, [&](const auto &Row) {
    return Row.second < LoadEnd && !Keys.count(makeServiceName(Row.first).Key_);
  });
  // A claim that was stored after the load began may be missing in it.
  for (const SliceName &Slice : claimedSlices(Claims))
    if (!Keys.count(makeClaimRemoval(Slice).Key_))
      onClaimRemoved(Claims, Slice, LoadEnd);
}

void onContact(State &Claims, TimePoint CurrentAt, TimePoint Now) {
  Claims.CurrentAt_ = std::max(Claims.CurrentAt_, CurrentAt);
  if (Claims.LastContactAt_ == TimePoint{} ||
      Now - Claims.LastContactAt_ > MaxContactGap) {
    Claims.ContactSince_ = Now;
    // The owner needs a stored heartbeat before it may send orders again, and
    // one in flight may get no answer.
    Claims.HeartbeatSentAt_ = {};
    Claims.HeartbeatInFlight_ = false;
  }
  Claims.LastContactAt_ = Now;
}

void onWritten(State &Claims, const Write &W, const ledger::AppendReply &Reply,
               TimePoint Now) {
  bool Stored = Reply.Status_ == StoreStatus::Done;
  if (W.Kind_ == Write::Kind::Heartbeat) {
    Claims.HeartbeatInFlight_ = false;
    return;
  }
  if (W.Kind_ == Write::Kind::Name)
    return onNameWritten(Claims, W, Reply, Now);
  if (W.Kind_ == Write::Kind::Release)
    return onReleaseWritten(Claims, W, Reply.Status_, Now);
  Claims.ClaimsInFlight_.erase(W.Slice_);
  SliceView &View = Claims.Slices_[W.Slice_];
  // A claim without an answer may have been stored. It is never used: another
  // entry, or this one later, claims the slice again.
  if (!Stored || Reply.First_ + 1 < View.Number_ || Claims.Stopping_) {
    // Another record was appended first: the claim is sent again without a new
    // delay.
    if (Reply.Status_ == StoreStatus::Moved)
      View.RejectedEnd_ = W.ExpectedEnd_;
    else
      View.FreeSince_ = Now;
    return;
  }
  onClaim(Claims, W.Slice_, *parseClaim(W.Record_.Value_), Reply.First_, Now);
  OwnedSlice &Own = Claims.OwnSlices_[W.Slice_];
  Own = W.Claimed_;
  Own.Number_ = Reply.First_ + 1;
  Own.ClaimedAt_ = Now;
  updatePredecessorEnd(Claims, Own);
}

std::vector<Write> tick(State &Claims, const std::set<SliceName> &Wanted,
                        std::optional<Offset> End, TimePoint Now) {
  std::vector<Write> Out;
  if (Claims.Stopping_ || shouldHandOver(Claims, Now)) {
    giveUpSlices(Claims);
    Claims.OverloadedSince_.reset();
  }
  if (End)
    sendReleases(Claims, *End, Now, Out);
  sendNames(Claims, Now, Out);
  if (Claims.Stopping_)
    return Out;
  if (End && Claims.StartOffset_ == 0)
    Claims.StartOffset_ = *End + 1;
  if (End && elapsed(Claims.LastContactAt_, Now) < MaxContactGap)
    claimFreeSlices(Claims, Wanted, *End, Now, Out);
  const Options &O = Claims.Options_;
  bool Due = Claims.StartOffset_ != 0 &&
             (Claims.HeartbeatSentAt_ == TimePoint{} ||
              Now - Claims.HeartbeatSentAt_ >= heartbeatInterval(Claims));
  // One at a time: an owner whose writes take long is silent, and is replaced
  // by an entry whose writes don't.
  if (Due && !Claims.HeartbeatInFlight_) {
    NodeRecord R{O.Self_, O.Address_,       Claims.StartOffset_,
                 O.Cpu_,  uptimeMs(O, Now), End.value_or(0)};
    Out.push_back(
        {Write::Kind::Heartbeat, {}, makeNode(nodeName(O.Self_), R), {}});
    Claims.HeartbeatInFlight_ = true;
    Claims.HeartbeatSentAt_ = Now;
  }
  return Out;
}

std::vector<std::string> peerAddresses(const State &Claims) {
  std::vector<std::string> Out;
  for (const auto &[Name, Node] : Claims.Nodes_)
    if (Node.Address_ != Claims.Options_.Address_ && !Node.Address_.empty())
      Out.push_back(Node.Address_);
  return Out;
}

void forgetSlice(State &Claims, const SliceName &Slice) {
  Claims.OwnSlices_.erase(Slice);
}

TimePoint ordersEndAt(const State &Claims, const SliceName &Slice) {
  auto Own = Claims.OwnSlices_.find(Slice);
  if (Own == Claims.OwnSlices_.end())
    return {};
  TimePoint StoredSentAt =
      std::max(Own->second.SentAt_, Claims.StoredHeartbeatSentAt_);
  return std::min(Claims.CurrentAt_, StoredSentAt) + Claims.Options_.SelfFence_;
}

Token orderToken(const State &Claims, const SliceName &Slice) {
  auto Own = Claims.OwnSlices_.find(Slice);
  if (Own == Claims.OwnSlices_.end())
    return 0;
  return std::max(Own->second.Number_, Claims.StoredHeartbeatNumber_);
}

Authority authorityOver(const State &Claims, const SliceName &Slice) {
  return {ordersEndAt(Claims, Slice), orderToken(Claims, Slice)};
}

bool maySendOrders(const State &Claims, const SliceName &Slice, TimePoint Now) {
  return Now < ordersEndAt(Claims, Slice);
}

} // namespace pollenvale::ownership
