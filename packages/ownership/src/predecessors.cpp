/// What is known of the owners that a slice had before.
#include "ownership/detail/internal.hpp"
#include "ownership/ownership.hpp"

#include <algorithm>

namespace pollenvale::ownership {

using namespace detail;

namespace {

/// A process that shows that \p Earlier has ended, as its VM runs a later one;
/// null if there is none. A VM of the same name at another address proves
/// nothing: it may be a replacement that runs beside the old one. Nor does a
/// heartbeat of another process without a larger start offset: that of an
/// earlier process may be stored late.
const NodeView *findLaterProcess(const State &Claims, const Holder &Earlier) {
  auto It = Claims.Nodes_.find(nodeName(Earlier.Node_));
  bool Ended = It != Claims.Nodes_.end() && It->second.Node_ != Earlier.Node_ &&
               It->second.StartOffset_ > Earlier.StartOffset_ &&
               It->second.Address_ == Earlier.Address_;
  return Ended ? &It->second : nullptr;
}

/// When the predecessor had stopped at the latest, as its VM's newest heartbeat
/// tells.
std::optional<TimePoint> predecessorEnd(const State &Claims,
                                        const OwnedSlice &Own) {
  const Holder &Former = Own.PredecessorHolder_;
  if (const NodeView *Later = findLaterProcess(Claims, Former))
    return Later->StartedBy_;
  auto It = Claims.Nodes_.find(nodeName(Former.Node_));
  if (It != Claims.Nodes_.end() && It->second.Node_ == Former.Node_ &&
      It->second.ReadUpTo_ >= Own.Number_)
    return It->second.SeenAt_;
  return std::nullopt;
}

} // namespace

namespace detail {

Holder holderOf(const SliceView &View) {
  return {View.Holder_, View.Address_, View.StartOffset_};
}

void updatePredecessorEnd(const State &Claims, OwnedSlice &Own) {
  TimePoint Before = Own.PredecessorEndedBy_.value_or(TimePoint::max());
  if (auto End = predecessorEnd(Claims, Own))
    Own.PredecessorEndedBy_ = std::min(Before, *End);
}

Predecessor findPredecessor(const State &Claims, const SliceView &View) {
  if (View.Number_ == 0 || View.Released_)
    return Predecessor::None;
  return findLaterProcess(Claims, holderOf(View)) ? Predecessor::Ended
                                                  : Predecessor::MayRun;
}

} // namespace detail

std::string_view toString(Predecessor P) {
  static constexpr std::string_view Names[] = {"none", "ended", "may-run"};
  return Names[std::size_t(P)];
}

TimePoint inheritedLeasesEnd(const OwnedSlice &Own,
                             const ledger::Roster &Roster, Milliseconds Lease,
                             Milliseconds SelfFence) {
  TimePoint LastOrder = Own.ClaimedAt_;
  if (Own.Predecessor_ == Predecessor::MayRun)
    LastOrder += SelfFence;
  if (Own.PredecessorEndedBy_)
    LastOrder = std::min(LastOrder, *Own.PredecessorEndedBy_);
  // The predecessor's roster shows that leases of the owners before it have
  // ended only if it knew where every task of those owners was.
  bool Settled = Roster.Settled_ && Roster.Claim_ == Own.PredecessorClaim_;
  if (!Settled) {
    bool Seen = Own.PredecessorSeenAt_ != TimePoint{};
    TimePoint Claimed = Seen ? std::min(Own.PredecessorSeenAt_, Own.ClaimedAt_)
                             : Own.ClaimedAt_;
    LastOrder = std::max(LastOrder, Claimed + SelfFence);
  }
  return LastOrder + Lease;
}

} // namespace pollenvale::ownership
