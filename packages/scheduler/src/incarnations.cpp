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
  if (!W.RunsKnown_ || W.Clock_ < MinComparableClock)
    return false;
  double Passed = double(elapsed(W.ClockAt_, SentAt).count());
  double Least = double(W.Clock_.count()) +
                 (Passed > 0 ? Passed * (1 - ClockDrift) : Passed);
  return double(Clock.count()) >= Least;
}

/// Forgets the starts that were settled before \p ListSentAt: an incarnation
/// that has executed one of them shows it in its list.
void confirmStarts(Worker &W, TimePoint ListSentAt) {
  std::erase_if(W.UnconfirmedStarts_, [&](const auto &Row) {
    return Row.second.SettledAt_ && *Row.second.SettledAt_ < ListSentAt;
  });
}

/// Whether the restart of a worker of the inherited roster is known or may have
/// come before its last lease: it may have taken the deadline of a lease for
/// one on its new clock.
bool mayHoldMisreadLease(const State &State, const WorkerId &Id) {
  if (State.InheritedMisreadLeases_.count(Id))
    return true;
  auto Named = State.InheritedIncarnations_.find(Id);
  auto Present = State.Workers_.find(Id);
  return Named != State.InheritedIncarnations_.end() &&
         Present != State.Workers_.end() &&
         Present->second.Info_.StartedUnixMs_ > Named->second;
}

} // namespace

bool isClockCurrent(const Worker &W) {
  return W.Info_.StartedUnixMs_ <= W.Incarnation_;
}

void recordStartSent(Worker &W, const StartCall &Call, TimePoint Now) {
  W.UnconfirmedStarts_[{Call.Task_, Call.Run_}] = {Now};
}

void recordStartAnswer(Worker &W, const StartCall &Call,
                       const OrderReply &Reply, TimePoint Now) {
  auto It = W.UnconfirmedStarts_.find({Call.Task_, Call.Run_});
  if (It == W.UnconfirmedStarts_.end())
    return;
  It->second.SettledAt_ = Now;
  if (Reply.Status_ != CallStatus::NoAnswer &&
      isSameClock(W, Reply.Clock_, It->second.SentAt_))
    W.UnconfirmedStarts_.erase(It);
}

bool mayAcknowledge(const Worker &W) {
  return W.Misses_ == 0 && isClockCurrent(W) && W.UnconfirmedStarts_.empty();
}

std::int64_t rosterIncarnation(const Worker &W) {
  return W.RunsKnown_ ? W.Incarnation_ : W.Info_.StartedUnixMs_;
}

TimePoint inheritedLeasesEnd(const State &State, const WorkerId &Id) {
  const Options &O = State.Options_;
  return mayHoldMisreadLease(State, Id)
             ? std::max(O.InheritedLeasesEndAt_, O.MisreadLeasesEndAt_)
             : O.InheritedLeasesEndAt_;
}

void extendMisreadLease(State &State, Worker &W, TimePoint Now) {
  bool Reached = !W.LeaseInFlight_ && W.UnconfirmedStarts_.empty() &&
                 W.UnconfirmedLeaseSentAt_ < W.AnsweredSentAt_;
  if (Reached)
    return;
  count(State.Counters_, "lease-misread");
  // Its clock is lower, so it shortened the lease to the longest that it
  // grants.
  extendLease(State, W, State.Options_.MaxLease_, Now);
  W.MisreadLeaseEndsAt_ = W.LeaseEndsAt_;
  State.RosterDirty_ = true;
}

void updateIncarnation(State &State, Worker &W, const RenewReply &Reply,
                       TimePoint SentAt, TimePoint Now) {
  if (W.RunsKnown_ && W.Incarnation_ == Reply.StartedUnixMs_)
    return confirmStarts(W, SentAt);
  if (W.RunsKnown_) {
    count(State.Counters_, "worker-restarted");
    extendMisreadLease(State, W, Now);
    forgetAdvice(State, W.Info_.Id_);
  }
  if (rosterIncarnation(W) != Reply.StartedUnixMs_) {
    // A later owner has to know by whose clock the leases are.
    W.Rostered_ = false;
    State.RosterDirty_ = true;
  }
  confirmStarts(W, SentAt);
  W.Incarnation_ = Reply.StartedUnixMs_;
  W.SeenEnd_ = W.StoredEnd_ = W.SentAck_ = 0;
  W.FailedJobs_.clear();
}

} // namespace pollenvale::scheduler::detail
