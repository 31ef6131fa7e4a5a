/// Conclusions from unanswered calls. A missing answer says nothing about the
/// worker if the owner was late, paused or cut off, or if the timeout was too
/// short.
#include "scheduler/detail/tasks.hpp"

#include <algorithm>

namespace pollenvale::scheduler::detail {

namespace {

/// Longest gap between ticks after which unanswered calls still count: half of
/// FirstRetryTimeout, as an owner with longer gaps may have sent a call too
/// late.
constexpr Milliseconds MaxPause{500};
/// Longest gap between ticks at which answers are read in time.
constexpr Milliseconds MaxTickGap{60};
/// How long the owner counts as late after a longer gap.
constexpr Milliseconds LateDuration{1'000};
/// How long a registered worker must leave calls unanswered, after its leases
/// have expired, before its tasks start elsewhere.
constexpr Milliseconds SilenceLimit{3'000};
/// How long a worker must be missing from the registry before it counts as gone
/// even without conclusive misses. The registry entry of a live worker
/// reappears within this time.
constexpr Milliseconds UnregisteredLimit{2'000};
/// More than one, as a single answer may get lost.
constexpr unsigned MinConclusiveMisses = 2;
/// Timeout of a renewal after an unanswered one. Longer than the default, as a
/// slow answer is more useful than an early retry.
constexpr Milliseconds FirstRetryTimeout{1'000};
/// Timeout of a renewal after a conclusive miss.
constexpr Milliseconds LaterRetryTimeout{2'000};
/// Timeout of a renewal shortly before the leases expire.
constexpr Milliseconds SpanningTimeout{350};

} // namespace

void recordTick(State &State, TimePoint Now) {
  Milliseconds Gap = State.LastTick_ == TimePoint{}
                         ? Milliseconds(0)
                         : elapsed(State.LastTick_, Now);
  State.LastTick_ = Now;
  if (Gap > MaxTickGap) {
    State.LateUntil_ = Now + LateDuration;
    count(State.Counters_, "turn-late");
  }
  if (Gap > MaxPause)
    State.LastPauseEndedAt_ = Now;
}

bool isOwnerLate(const State &State, TimePoint Now) {
  return Now < State.LateUntil_ || Now - State.LastTick_ > MaxTickGap;
}

bool wasResponsiveSince(const State &State, TimePoint Since, TimePoint Now) {
  return State.LastPauseEndedAt_ < Since && Now - State.LastTick_ <= MaxPause;
}

void recordMissedRenewal(State &State, Worker &W, TimePoint SentAt,
                         TimePoint Now) {
  ++W.Misses_;
  bool Conclusive = SentAt >= mayWorkUntil(State, W) &&
                    wasResponsiveSince(State, SentAt, Now);
  if (!Conclusive || State.LastPauseEndedAt_ >= W.SilentSince_)
    W.ConclusiveMisses_ = 0;
  if (!Conclusive)
    return;
  if (W.ConclusiveMisses_++ == 0)
    W.SilentSince_ = SentAt;
}

void resetMisses(Worker &W) {
  W.Misses_ = 0;
  W.ConclusiveMisses_ = 0;
}

Milliseconds retryTimeout(const State &State, const Worker &W, TimePoint Now) {
  Milliseconds Left = elapsed(Now, mayWorkUntil(State, W));
  // A miss that spans the expiry of the leases is not conclusive.
  bool SpansEnd = Left.count() > 0 && Left < FirstRetryTimeout;
  if (SpansEnd)
    return SpanningTimeout;
  return W.ConclusiveMisses_ > 0 ? LaterRetryTimeout : FirstRetryTimeout;
}

bool mostWorkersAnswer(State &State, TimePoint Now) {
  std::size_t Registered = 0, Answering = 0;
  for (const auto &[Id, W] : State.Workers_) {
    Registered += W.InRegistry_;
    Answering += W.InRegistry_ && W.RunsKnown_ && W.Misses_ == 0;
  }
  bool MajorityAnswers = Answering * 2 >= Registered;
  // Misses up to now are not conclusive for any single worker.
  if (!MajorityAnswers)
    State.LastPauseEndedAt_ = Now;
  return MajorityAnswers;
}

bool isSilent(const State &State, const Worker &W, bool OthersAnswer,
              TimePoint Now) {
  bool Gone = !W.InRegistry_ && Now - W.LeftRegistryAt_ >= UnregisteredLimit;
  if (Gone && W.Misses_ > 0)
    return true;
  if (W.ConclusiveMisses_ == 0 ||
      !wasResponsiveSince(State, W.SilentSince_, Now))
    return false;
  return !W.InRegistry_ ||
         (OthersAnswer && W.ConclusiveMisses_ >= MinConclusiveMisses &&
          Now - W.SilentSince_ >= SilenceLimit);
}

} // namespace pollenvale::scheduler::detail
