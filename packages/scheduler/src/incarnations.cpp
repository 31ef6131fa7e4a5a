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

/// Accounts for leases that were computed from the clock of the former
/// incarnation and may have reached the present one. As its clock is lower, it
/// shortened them only to the longest lease that it grants.
void extendMisreadLease(State &State, Worker &W, const RenewCall &Call,
                        TimePoint Now) {
  if (!Call.LeaseUntil_ && W.UnconfirmedLeaseSentAt_ < W.AnsweredSentAt_)
    return;
  count(State.Counters_, "lease-misread");
  extendLease(State, W, State.Options_.MaxLease_, Now);
}

} // namespace

bool isClockCurrent(const Worker &W) {
  return W.Info_.StartedUnixMs_ <= W.Incarnation_;
}

void recordStartSent(Worker &W, const StartCall &Call, TimePoint Now) {
  W.UnconfirmedLeaseSentAt_ = Now;
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

void updateIncarnation(State &State, Worker &W, const RenewCall &Call,
                       const RenewReply &Reply, TimePoint SentAt,
                       TimePoint Now) {
  confirmStarts(W, SentAt);
  if (W.RunsKnown_ && W.Incarnation_ == Reply.StartedUnixMs_)
    return;
  if (W.RunsKnown_) {
    count(State.Counters_, "worker-restarted");
    extendMisreadLease(State, W, Call, Now);
    forgetAdvice(State, W.Info_.Id_);
  }
  W.Incarnation_ = Reply.StartedUnixMs_;
  W.SeenEnd_ = W.StoredEnd_ = W.SentAck_ = 0;
  W.FailedJobs_.clear();
}

} // namespace pollenvale::scheduler::detail
