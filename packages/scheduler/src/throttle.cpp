#include "scheduler/detail/tasks.hpp"
#include "scheduler/scheduler.hpp"

#include <algorithm>

namespace pollenvale::scheduler {

namespace detail {

namespace {

/// Tail latency as a share of its target above which best-effort tasks slow
/// down, and below which they speed up again.
constexpr double SlowDownAbove = 0.85;
constexpr double SpeedUpBelow = 0.6;
constexpr unsigned FullShare = 100;
constexpr unsigned SpeedUpStep = 15;
/// A share below this is no use; best-effort tasks rest instead.
constexpr unsigned LeastShare = 10;

/// Largest tail latency on the worker, as a share of its target.
double worstTail(const State &S, const RenewReply &Reply) {
  double Worst = 0;
  for (const RunningTask &R : Reply.Running_) {
    const workflow::StepSpec *Spec = findSpec(S, R.Task_.Step_);
    if (Spec && Spec->TailTargetMs_ > 0)
      Worst = std::max(Worst, R.Gauge_ / Spec->TailTargetMs_);
  }
  return Worst;
}

unsigned nextShare(unsigned Share, double Tail) {
  if (Tail > 1)
    return Share / 4 < LeastShare ? 0 : Share / 4;
  if (Tail > SlowDownAbove)
    return Share / 2 < LeastShare ? 0 : Share / 2;
  if (Tail < SpeedUpBelow)
    return std::min(FullShare, Share + SpeedUpStep);
  return Share;
}

} // namespace

void adjustThrottle(State &S, Worker &W, const RenewReply &Reply, Outbox &Out) {
  double Tail = worstTail(S, Reply);
  unsigned Share = Tail == 0 ? FullShare : nextShare(W.BestEffortShare_, Tail);
  W.BestEffortShare_ = Share;
  for (const TaskId &Id : W.Tasks_) {
    const workflow::StepSpec *Spec = findSpec(S, Id.Step_);
    Task *T = findTask(S, Id);
    if (!Spec || !Spec->BestEffort_ || !T || !T->Run_)
      continue;
    Run &R = *T->Run_;
    if (R.Phase_ != RunPhase::Running || R.StopWanted_ ||
        R.AppliedShare_ == Share)
      continue;
    R.AppliedShare_ = Share;
    count(S.Counters_, "throttle-sent");
    Out.Throttles_.push_back({targetOf(S, W), Id, R.Number_, Share});
  }
}

} // namespace detail

void onThrottled(State &S, const ThrottleCall &Call, const OrderReply &Reply) {
  if (Reply.Status_ == CallStatus::Done)
    return;
  count(S.Counters_, "throttle-" + std::string(toString(Reply.Status_)));
  // Unknown share: the next list sends it again.
  constexpr unsigned UnknownShare = 101;
  Task *T = detail::findTask(S, Call.Task_);
  if (T && T->Run_ && T->Run_->Number_ == Call.Run_)
    T->Run_->AppliedShare_ = UnknownShare;
}

} // namespace pollenvale::scheduler
