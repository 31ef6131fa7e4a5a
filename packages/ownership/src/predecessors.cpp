/// What is known of the owners that a slice had before.
#include "ownership/detail/internal.hpp"
#include "ownership/ownership.hpp"

#include <algorithm>

namespace pollenvale::ownership {

using namespace detail;

namespace {

constexpr int ClockDriftPercent = 2;

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

Milliseconds longestForEntryClock(Milliseconds Time) {
  return Time * (100 + ClockDriftPercent) / 100;
}

Milliseconds shortestForEntryClock(Milliseconds Time) {
  return Time * (100 - ClockDriftPercent) / 100;
}

Holder holderOf(const SliceView &View) {
  return {View.Holder_, View.Address_, View.StartOffset_};
}

void onHolderHeartbeat(SliceView &View, const NodeRecord &R, TimePoint Now) {
  Milliseconds Uptime(R.UptimeMs_);
  TimePoint SentBy = Now;
  // The store may execute a heartbeat late. By the holder's own clock, it was
  // sent no later than this.
  if (View.HolderUptime_ && Uptime.count() > 0)
    SentBy =
        std::min(Now, View.HolderSentBy_ +
                          longestForEntryClock(Uptime - *View.HolderUptime_));
  View.HolderSentBy_ = std::max(View.HolderSentBy_, SentBy);
  View.HolderUptime_ = std::max(View.HolderUptime_.value_or(Uptime), Uptime);
}

std::optional<TimePoint> holderFencedBy(const State &Claims,
                                        const SliceView &View) {
  if (!View.HolderFencesItself_)
    return std::nullopt;
  return View.HolderSentBy_ + Claims.Options_.SelfFence_;
}

TimePoint formerHolderFencedBy(const State &Claims, const SliceView &Former,
                               std::uint32_t Generation, TimePoint Now) {
  TimePoint Latest = Now + Claims.Options_.SelfFence_;
  // A load shows the newest claim only.
  bool IsDirect = Former.Generation_ + 1 == Generation;
  if (!IsDirect)
    return Latest;
  return std::min(holderFencedBy(Claims, Former).value_or(Latest), Latest);
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

namespace {

/// When the leases have ended of an owner that sent its last order at that time
/// or earlier.
TimePoint leasesEnd(TimePoint LastOrder, std::optional<TimePoint> FencedBy,
                    const LeaseLimits &Limits) {
  if (!FencedBy)
    return LastOrder + Limits.Longest_;
  return std::min(std::min(LastOrder, *FencedBy) + Limits.Longest_,
                  *FencedBy + Limits.AfterFence_);
}

/// The same for the owners before the predecessor.
TimePoint earlierLeasesEnd(const OwnedSlice &Own, const LeaseLimits &Limits,
                           Milliseconds SelfFence) {
  bool Seen = Own.PredecessorSeenAt_ != TimePoint{};
  TimePoint Claimed =
      Seen ? std::min(Own.PredecessorSeenAt_, Own.ClaimedAt_) : Own.ClaimedAt_;
  return leasesEnd(Claimed + SelfFence, Own.EarlierFencedBy_, Limits);
}

} // namespace

TimePoint inheritedLeasesEnd(const OwnedSlice &Own,
                             const ledger::Roster &Roster,
                             const LeaseLimits &Limits,
                             Milliseconds SelfFence) {
  // Without a stored roster, the predecessor has given no lease.
  if (Roster.Claim_ != 0 && Roster.Claim_ < Own.PredecessorClaim_)
    return earlierLeasesEnd(Own, Limits, SelfFence);
  TimePoint LastOrder = Own.ClaimedAt_;
  if (Own.Predecessor_ == Predecessor::MayRun)
    LastOrder += SelfFence;
  if (Own.PredecessorEndedBy_)
    LastOrder = std::min(LastOrder, *Own.PredecessorEndedBy_);
  TimePoint End = leasesEnd(LastOrder, Own.PredecessorFencedBy_, Limits);
  // The predecessor's roster shows that leases of the owners before it have
  // ended only if it knew where every task of those owners was.
  if (Roster.Settled_ && Roster.Claim_ == Own.PredecessorClaim_)
    return End;
  return std::max(End, earlierLeasesEnd(Own, Limits, SelfFence));
}

} // namespace pollenvale::ownership
