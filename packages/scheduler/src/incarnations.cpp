/// What belongs to one incarnation of a worker. A worker may start again under
/// its id, and nothing in a call tells it which incarnation is meant: whatever
/// is sent may be executed by a later one than the owner knows.
#include "scheduler/detail/tasks.hpp"

#include <algorithm>

namespace pollenvale::scheduler::detail {

namespace {

/// A clock starts anew with the incarnation. Below this reading, that of a
/// later incarnation can't be told from it: it may be ahead by the time between
/// two readings and by the time that they took to arrive.
constexpr Milliseconds MinComparableClock{4'000};

/// Whether \p Clock, read after \p SentAt, is that of the incarnation that
/// answered the last renewal.
bool isSameClock(const Worker &W, Milliseconds Clock, TimePoint SentAt) {
  if (!W.RunsKnown_ || W.Known_.Clock_ < MinComparableClock)
    return false;
  double Passed = double(elapsed(W.Known_.ClockAt_, SentAt).count());
  double Least = double(W.Known_.Clock_.count()) +
                 (Passed > 0 ? Passed * (1 - ClockDrift) : Passed);
  return double(Clock.count()) >= Least;
}

/// Forgets the starts that are shown by a list requested with \p ListToken at
/// \p ListSentAt, if the incarnation has executed them, and that it will not
/// execute later.
void confirmStarts(Worker &W, Token ListToken, TimePoint ListSentAt) {
  std::erase_if(W.UnconfirmedStarts_, [&](const auto &Row) {
    const UnconfirmedStart &Start = Row.second;
    return Start.SettledAt_ && *Start.SettledAt_ < ListSentAt &&
           Start.UnansweredToken_ < ListToken;
  });
}

/// Whether an incarnation that began at \p StartedUnixMs is a later one than
/// the roster names.
bool hasRestarted(const InheritedWorker &Inherited,
                  std::int64_t StartedUnixMs) {
  return Inherited.Incarnation_ != 0 && StartedUnixMs > Inherited.Incarnation_;
}

/// Whether it may have taken the deadline of an inherited lease for one on its
/// own clock.
bool mayHoldMisreadLease(const InheritedWorker &Inherited,
                         std::int64_t StartedUnixMs, TimePoint Now) {
  bool Marked = Inherited.MisreadUntil_ && Now < *Inherited.MisreadUntil_;
  return Marked || hasRestarted(Inherited, StartedUnixMs);
}

/// Assumes that the worker takes a lease by the clock of a former incarnation
/// now. Its own clock is lower, so it shortens the lease to the longest that it
/// grants.
void assumeMisreadLease(State &State, Worker &W, TimePoint Now) {
  count(State.Counters_, "lease-misread");
  extendLease(State, W, State.Options_.MaxLease_, Now);
  W.MisreadLeaseEndsAt_ = W.LeaseEndsAt_;
  State.RosterDirty_ = true;
}

/// Accounts for what is left of earlier owners' leases when the worker answers
/// this owner for the first time. It has seen this owner's token, so none of
/// their calls has an effect from now on, however late it arrives.
void inheritLeases(State &State, Worker &W, std::int64_t StartedUnixMs,
                   TimePoint Now) {
  auto Inherited = State.Inherited_.find(W.Info_.Id_);
  if (Inherited == State.Inherited_.end())
    return;
  if (mayHoldMisreadLease(Inherited->second, StartedUnixMs, Now))
    return assumeMisreadLease(State, W, Now);
  const Options &O = State.Options_;
  Milliseconds Before = elapsed(Now, O.InheritedLeasesEndAt_);
  if (Before.count() > 0)
    extendLease(State, W, std::min(Before, O.OutageLease_), Now);
}

} // namespace

bool isClockCurrent(const Worker &W) {
  return W.Info_.StartedUnixMs_ <= W.Known_.StartedUnixMs_;
}

void recordStartSent(Worker &W, const StartCall &Call, TimePoint Now) {
  UnconfirmedStart &Start = W.UnconfirmedStarts_[{Call.Task_, Call.Run_}];
  Start.SentAt_ = Now;
  Start.SettledAt_.reset();
}

void recordStartAnswer(State &State, Worker &W, const StartCall &Call,
                       const OrderReply &Reply, TimePoint Now) {
  bool Answered = Reply.Status_ != CallStatus::NoAnswer;
  if (!Answered)
    State.StaleTokens_.insert(W.Info_.Id_);
  auto It = W.UnconfirmedStarts_.find({Call.Task_, Call.Run_});
  if (It == W.UnconfirmedStarts_.end())
    return;
  UnconfirmedStart &Start = It->second;
  Start.SettledAt_ = Now;
  if (!Answered)
    Start.UnansweredToken_ =
        std::max(Start.UnansweredToken_, Call.Target_.Token_);
  else if (Start.UnansweredToken_ == 0 &&
           isSameClock(W, Reply.Clock_, Start.SentAt_))
    W.UnconfirmedStarts_.erase(It);
}

bool refusesFormerCalls(const Worker &W) {
  return W.FormerToken_ == 0 || W.Known_.SeenToken_ > W.FormerToken_;
}

bool isFencedByOther(const State &State, const Target &To) {
  auto W = State.Workers_.find(To.Worker_);
  return To.Token_ >=
         (W == State.Workers_.end() ? State.NewestToken_ : W->second.Token_);
}

void raiseTokens(State &State, TimePoint Now) {
  std::erase_if(State.StaleTokens_, [&](const WorkerId &Id) {
    auto It = State.Workers_.find(Id);
    if (It == State.Workers_.end())
      return true;
    Worker &W = It->second;
    if (W.Token_ >= State.NewestToken_)
      return false;
    W.Token_ = State.NewestToken_;
    if (W.Misses_ == 0)
      scheduleRenewal(State, W, Now);
    return true;
  });
}

bool mayAcknowledge(const Worker &W) {
  return W.Misses_ == 0 && isClockCurrent(W) && W.UnconfirmedStarts_.empty();
}

std::int64_t rosterIncarnation(const Worker &W) {
  return W.RunsKnown_ ? W.Known_.StartedUnixMs_ : W.Info_.StartedUnixMs_;
}

void recordRegistered(State &State, const WorkerInfo &Info) {
  auto It = State.Inherited_.find(Info.Id_);
  if (It == State.Inherited_.end() ||
      !hasRestarted(It->second, Info.StartedUnixMs_))
    return;
  It->second.Incarnation_ = Info.StartedUnixMs_;
  It->second.MisreadUntil_ = State.Options_.MisreadLeasesEndAt_;
  State.RosterDirty_ = true;
}

TimePoint misreadLeaseEnd(const State &State,
                          const InheritedWorker &Inherited) {
  return std::min(Inherited.MisreadUntil_.value_or(TimePoint{}),
                  State.Options_.MisreadLeasesEndAt_);
}

TimePoint inheritedLeasesEnd(const State &State, const WorkerId &Id) {
  auto Inherited = State.Inherited_.find(Id);
  if (Inherited == State.Inherited_.end())
    return {};
  return std::max(State.Options_.InheritedLeasesEndAt_,
                  misreadLeaseEnd(State, Inherited->second));
}

TimePoint mayWorkUntil(const State &State, const Worker &W) {
  // From its first answer on, Worker::LeaseEndsAt_ covers the leases of earlier
  // owners.
  return W.RunsKnown_
             ? W.LeaseEndsAt_
             : std::max(W.LeaseEndsAt_, inheritedLeasesEnd(State, W.Info_.Id_));
}

void extendMisreadLease(State &State, Worker &W, TimePoint Now) {
  bool Reached = !W.LeaseInFlight_ && W.UnconfirmedStarts_.empty() &&
                 W.UnconfirmedLeaseSentAt_ < W.AnsweredSentAt_;
  // The present incarnation has not seen this owner's token either, until it
  // answers: calls of an earlier owner may have had an effect.
  auto Inherited = State.Inherited_.find(W.Info_.Id_);
  bool FormerOwnerMayReach = Inherited != State.Inherited_.end() &&
                             Now < State.Options_.MisreadLeasesEndAt_;
  if (FormerOwnerMayReach) {
    Inherited->second.MisreadUntil_ = State.Options_.MisreadLeasesEndAt_;
    if (State.InheritancePending_)
      State.UnconfirmedWorkers_.insert(W.Info_.Id_);
  }
  if (!Reached || FormerOwnerMayReach)
    assumeMisreadLease(State, W, Now);
}

void recordRestart(State &State, Worker &W, TimePoint Now) {
  W.FormerToken_ = W.Token_;
  State.StaleTokens_.insert(W.Info_.Id_);
  extendMisreadLease(State, W, Now);
}

void prolongMisreadLease(State &State, Worker &W, TimePoint Now) {
  if (Now < W.MisreadLeaseEndsAt_)
    assumeMisreadLease(State, W, Now);
}

namespace {

/// Replaces what is known of a former incarnation.
void beginIncarnation(State &State, Worker &W, const RenewReply &Reply,
                      TimePoint Now) {
  if (!W.RunsKnown_) {
    inheritLeases(State, W, Reply.StartedUnixMs_, Now);
  } else {
    count(State.Counters_, "worker-restarted");
    if (Reply.StartedUnixMs_ == W.Info_.StartedUnixMs_)
      extendMisreadLease(State, W, Now); // The registry has shown the restart.
    else
      recordRestart(State, W, Now);
    forgetAdvice(State, W.Info_.Id_);
  }
  if (rosterIncarnation(W) != Reply.StartedUnixMs_) {
    // A later owner has to know by whose clock the leases are.
    W.Rostered_ = false;
    State.RosterDirty_ = true;
  }
  W.Known_ = Incarnation{Reply.StartedUnixMs_};
}

} // namespace

void updateIncarnation(State &State, Worker &W, const RenewCall &Call,
                       const RenewReply &Reply, TimePoint SentAt,
                       TimePoint Now) {
  if (!W.RunsKnown_ || W.Known_.StartedUnixMs_ != Reply.StartedUnixMs_)
    beginIncarnation(State, W, Reply, Now);
  confirmStarts(W, Call.Target_.Token_, SentAt);
  bool RefusedBefore = refusesFormerCalls(W);
  W.Known_.SeenToken_ = std::max(W.Known_.SeenToken_, Call.Target_.Token_);
  // A former call may have been executed up to now.
  if (!RefusedBefore && refusesFormerCalls(W))
    prolongMisreadLease(State, W, Now);
}

} // namespace pollenvale::scheduler::detail
