#include "ownership/ownership.hpp"

#include <algorithm>

namespace pollenvale::ownership {

using ledger::StoreStatus;

namespace {

/// A store that was silent for longer than this begins a new contact.
constexpr Milliseconds ContactGap{1'500};

void onClaim(State &S, const SliceName &Slice, const ClaimRecord &R,
             Offset Offset, TimePoint Now) {
  SliceView &View = S.Slices_[Slice];
  if (R.GivenUp_ != 0) {
    if (R.GivenUp_ >= View.Number_) {
      View.Number_ = R.GivenUp_;
      View.Generation_ = std::max(View.Generation_, R.Generation_);
      View.GivenUp_ = true;
    }
    return;
  }
  ClaimNumber Number = Offset + 1;
  if (Number <= View.Number_)
    return;
  View = SliceView{Number,        R.Holder_, R.Address_, R.StartOffset_,
                   R.Generation_, false,     Now};
  auto Own = S.Owned_.find(Slice);
  if (Own != S.Owned_.end() && Own->second.Number_ < Number)
    S.Owned_.erase(Own);
}

/// Time that the holder of \p View has been silent for, as far as known.
Milliseconds silence(const State &S, const SliceView &View) {
  auto It = S.Nodes_.find(nodeName(View.Holder_));
  TimePoint Heard = std::max(S.ContactSince_, View.SeenAt_);
  if (It != S.Nodes_.end() && It->second.Node_ == View.Holder_)
    Heard = std::max(Heard, It->second.SeenAt_);
  return elapsed(Heard, S.ContactAt_);
}

Predecessor predecessorOf(const State &S, const SliceView &View) {
  if (View.Number_ == 0 || View.GivenUp_)
    return Predecessor::None;
  // The holder's process has ended if its VM runs a later one. A VM of the same
  // name at another address may be a replacement that runs beside it, and a
  // heartbeat of an earlier process may be stored late.
  auto It = S.Nodes_.find(nodeName(View.Holder_));
  bool Ended = It != S.Nodes_.end() && It->second.Node_ != View.Holder_ &&
               It->second.StartOffset_ > View.StartOffset_ &&
               It->second.Address_ == View.Address_;
  return Ended ? Predecessor::Ended : Predecessor::MayRun;
}

bool isFree(const State &S, const SliceView &View) {
  if (View.Number_ == 0 || View.GivenUp_)
    return true;
  // A claim of this process without an answer is never used.
  if (View.Holder_ == S.Options_.Self_)
    return true;
  return predecessorOf(S, View) == Predecessor::Ended ||
         silence(S, View) > S.Options_.SilenceLimit_;
}

/// What this entry waits for those with more processor. It depends on its own
/// alone: with none of those alive the take-over is later by no more than this.
Milliseconds scarcityDelay(const Options &O) {
  if (O.Cpu_ <= 0 || O.Cpu_ >= O.AmpleCpu_)
    return Milliseconds(0);
  return O.ScarcityDelay_ * (O.AmpleCpu_ - O.Cpu_) / O.AmpleCpu_;
}

Milliseconds claimDelay(const State &S, const SliceName &Slice) {
  auto Spread = std::uint64_t(S.Options_.ClaimSpread_.count());
  auto Jitter = stableHash(Slice + S.Options_.Self_) % (Spread + 1);
  auto Load = std::int64_t(S.Owned_.size() + S.Claiming_.size());
  return Milliseconds(std::int64_t(Jitter)) + S.Options_.ClaimPenalty_ * Load +
         scarcityDelay(S.Options_);
}

void claimFreeSlices(State &S, const std::set<SliceName> &Wanted, Offset End,
                     TimePoint Now, std::vector<Write> &Out) {
  for (const SliceName &Slice : Wanted) {
    if (S.Owned_.count(Slice) || S.Claiming_.count(Slice))
      continue;
    SliceView &View = S.Slices_[Slice];
    if (!isFree(S, View)) {
      View.Free_ = false;
      continue;
    }
    if (!View.Free_) {
      View.Free_ = true;
      View.FreeSince_ = Now;
    }
    if (elapsed(View.FreeSince_, Now) < claimDelay(S, Slice) ||
        View.TriedEnd_ == End)
      continue;
    ClaimRecord R{S.Options_.Self_, View.Generation_ + 1, 0,
                  S.Options_.Address_, S.StartOffset_};
    Out.push_back({Write::Kind::Claim, Slice, makeClaim(Slice, R), End,
                   R.Generation_, predecessorOf(S, View), View.Number_});
    S.Claiming_.insert(Slice);
  }
}

void giveUpSlices(State &S, std::vector<Write> &Out) {
  for (const auto &[Slice, Own] : S.Owned_) {
    ClaimRecord R{S.Options_.Self_, Own.Generation_, Own.Number_,
                  S.Options_.Address_, S.StartOffset_};
    Out.push_back({Write::Kind::GiveUp, Slice, makeClaim(Slice, R), {}});
  }
  S.Owned_.clear();
}

bool holdsSlice(const State &S, const NodeId &Node) {
  return std::any_of(S.Slices_.begin(), S.Slices_.end(), [&](const auto &V) {
    return V.second.Holder_ == Node && !V.second.GivenUp_;
  });
}

/// An entry with ample processor that lives and owns nothing.
bool hasAmplePeer(const State &S, TimePoint Now) {
  const Options &O = S.Options_;
  return std::any_of(S.Nodes_.begin(), S.Nodes_.end(), [&](const auto &N) {
    const NodeView &Node = N.second;
    return Node.Cpu_ >= O.AmpleCpu_ && Node.Node_ != O.Self_ &&
           elapsed(Node.SeenAt_, Now) <= O.IdleBeat_ * 3 / 2 &&
           !holdsSlice(S, Node.Node_);
  });
}

bool shouldHandOver(const State &S, TimePoint Now) {
  const Options &O = S.Options_;
  bool Small = O.Cpu_ > 0 && O.Cpu_ < O.AmpleCpu_;
  return Small && !S.Owned_.empty() && S.OverloadedSince_ &&
         elapsed(*S.OverloadedSince_, Now) >= O.OverloadLimit_ &&
         elapsed(S.ContactAt_, Now) < ContactGap && hasAmplePeer(S, Now);
}

} // namespace

std::string_view toString(Predecessor P) {
  static constexpr std::string_view Names[] = {"none", "ended", "may-run"};
  return Names[std::size_t(P)];
}

void onRecord(State &S, const ledger::KeyedRecord &R, TimePoint Now) {
  std::string Name = R.Key_.empty() ? "" : nameOf(R.Key_);
  if (kindOf(R.Key_) == RecordKind::Claim) {
    auto Claim = parseClaim(R.Value_);
    if (Claim)
      onClaim(S, Name, *Claim, R.Offset_, Now);
    S.Unreadable_ += !Claim;
  } else if (kindOf(R.Key_) == RecordKind::Node) {
    auto Node = parseNode(R.Value_);
    if (Node)
      S.Nodes_[Name] = NodeView{Node->Address_, Node->Node_, Node->StartOffset_,
                                Node->Cpu_, Now};
    S.Unreadable_ += !Node;
  }
}

void onContact(State &S, TimePoint CurrentAt, TimePoint Now) {
  S.CurrentAt_ = std::max(S.CurrentAt_, CurrentAt);
  if (S.ContactAt_ == TimePoint{} || Now - S.ContactAt_ > ContactGap)
    S.ContactSince_ = Now;
  S.ContactAt_ = Now;
}

void onWritten(State &S, const Write &W, const ledger::AppendReply &Reply,
               TimePoint Now) {
  bool Stored = Reply.Status_ == StoreStatus::Done;
  if (W.Kind_ == Write::Kind::Beat) {
    S.BeatInFlight_ = false;
    return;
  }
  if (W.Kind_ != Write::Kind::Claim)
    return;
  S.Claiming_.erase(W.Slice_);
  SliceView &View = S.Slices_[W.Slice_];
  // An unanswered claim may have been stored. It is never used: another entry,
  // or this one later, claims the slice anew.
  if (!Stored || Reply.First_ + 1 < View.Number_ || S.Stopping_) {
    // Something else was appended before it: the wait need not begin anew.
    if (Reply.Status_ == StoreStatus::Moved)
      View.TriedEnd_ = W.ExpectedEnd_;
    else
      View.FreeSince_ = Now;
    return;
  }
  View = SliceView{Reply.First_ + 1,
                   S.Options_.Self_,
                   S.Options_.Address_,
                   S.StartOffset_,
                   W.Generation_,
                   false,
                   Now};
  S.Owned_[W.Slice_] =
      Owned{View.Number_, W.Generation_, W.Before_, W.Previous_, Now};
}

std::vector<Write> tick(State &S, const std::set<SliceName> &Wanted,
                        std::optional<Offset> End, TimePoint Now) {
  std::vector<Write> Out;
  if (S.Stopping_) {
    giveUpSlices(S, Out);
    return Out;
  }
  if (shouldHandOver(S, Now)) {
    giveUpSlices(S, Out);
    S.OverloadedSince_.reset();
    return Out;
  }
  if (End && S.StartOffset_ == 0)
    S.StartOffset_ = *End + 1;
  if (End && elapsed(S.ContactAt_, Now) < ContactGap)
    claimFreeSlices(S, Wanted, *End, Now, Out);
  const Options &O = S.Options_;
  Milliseconds Interval = S.Owned_.empty() ? O.IdleBeat_ : O.OwnerBeat_;
  bool Due = S.StartOffset_ != 0 &&
             (S.BeatSentAt_ == TimePoint{} || Now - S.BeatSentAt_ >= Interval);
  if (Due && !S.BeatInFlight_) {
    NodeRecord R{O.Self_, O.Address_, S.StartOffset_, O.Cpu_};
    Out.push_back({Write::Kind::Beat, {}, makeNode(nodeName(O.Self_), R), {}});
    S.BeatInFlight_ = true;
    S.BeatSentAt_ = Now;
  }
  return Out;
}

TimePoint inheritedLeasesEnd(const Owned &Own, const ledger::Roster &Roster,
                             Milliseconds Lease, Milliseconds SelfFence) {
  // A predecessor that had not yet learnt where the tasks of the owners before
  // it were says nothing about those owners.
  bool Settled = Roster.Settled_ && Roster.Claim_ == Own.Previous_;
  bool Alone = Own.Before_ != Predecessor::MayRun && Settled;
  return Own.ClaimedAt_ + Lease + (Alone ? Milliseconds(0) : SelfFence);
}

std::vector<std::string> peerAddresses(const State &S) {
  std::vector<std::string> Out;
  for (const auto &[Name, Node] : S.Nodes_)
    if (Node.Address_ != S.Options_.Address_ && !Node.Address_.empty())
      Out.push_back(Node.Address_);
  return Out;
}

void drop(State &S, const SliceName &Slice) { S.Owned_.erase(Slice); }

bool mayOrder(const State &S, TimePoint Now) {
  return Now - S.CurrentAt_ < S.Options_.SelfFence_;
}

} // namespace pollenvale::ownership
