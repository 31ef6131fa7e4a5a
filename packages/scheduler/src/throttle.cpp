#include "scheduler/detail/tasks.hpp"
#include "scheduler/scheduler.hpp"

#include <algorithm>

namespace pollenvale::scheduler {

namespace detail {

namespace {

/// Ratios of tail latency to its target above which best-effort tasks are
/// slowed down, and below which they are sped up again.
constexpr double SlowDownAbove = 0.85;
constexpr double SpeedUpBelow = 0.6;
constexpr unsigned FullShare = 100;
/// Added to the CPU limit, in percent, with each renewal.
constexpr unsigned SpeedUpStep = 15;
/// Lower CPU limits are of no use; the tasks are paused instead.
constexpr unsigned MinShare = 10;

/// Highest ratio of tail latency to target on the worker; 0 without a target.
double worstTailRatio(const State &State, const RenewReply &Reply) {
  double Worst = 0;
  for (const RunningTask &R : Reply.Running_) {
    const workflow::StepSpec *Spec = findSpec(State, R.Task_.Step_);
    if (Spec && Spec->TailTargetMs_ > 0)
      Worst = std::max(Worst, R.Gauge_ / Spec->TailTargetMs_);
  }
  return Worst;
}

bool listsTailTarget(const State &State, const RenewReply &Reply) {
  return std::any_of(Reply.Running_.begin(), Reply.Running_.end(),
                     [&](const RunningTask &R) {
                       const auto *Spec = findSpec(State, R.Task_.Step_);
                       return Spec && Spec->TailTargetMs_ > 0;
                     });
}

/// CPU limit that follows \p Share, in percent.
unsigned nextShare(unsigned Share, double TailRatio) {
  if (TailRatio > 1)
    return Share / 4 < MinShare ? 0 : Share / 4;
  if (TailRatio > SlowDownAbove)
    return Share / 2 < MinShare ? 0 : Share / 2;
  if (TailRatio < SpeedUpBelow)
    return std::min(FullShare, Share + SpeedUpStep);
  return Share;
}

} // namespace

void adjustThrottle(State &State, Worker &W, const RenewReply &Reply,
                    Outbox &Out) {
  W.Known_.HasTailTarget_ = listsTailTarget(State, Reply);
  double TailRatio = worstTailRatio(State, Reply);
  unsigned Share = TailRatio == 0
                       ? FullShare
                       : nextShare(W.Known_.BestEffortShare_, TailRatio);
  W.Known_.BestEffortShare_ = Share;
  for (const TaskId &Id : W.Tasks_) {
    const workflow::StepSpec *Spec = findSpec(State, Id.Step_);
    Task *T = findTask(State, Id);
    if (!Spec || !Spec->BestEffort_ || !T || !T->Run_)
      continue;
    Run &R = *T->Run_;
    if (R.Phase_ != RunPhase::Running || R.StopRequested_ ||
        R.AppliedShare_ == Share)
      continue;
    R.AppliedShare_ = Share;
    count(State.Counters_, "throttle-sent");
    Out.Throttles_.push_back({makeTarget(State, W), Id, R.Number_, Share});
  }
}

} // namespace detail

void onThrottleReply(State &State, const ThrottleCall &Call,
                     const OrderReply &Reply) {
  if (Reply.Status_ == CallStatus::Done)
    return;
  count(State.Counters_, "throttle-" + std::string(toString(Reply.Status_)));
  // Differs from any limit, so that the limit is sent again with the next list.
  constexpr unsigned UnknownShare = 101;
  Task *T = detail::findTask(State, Call.Task_);
  if (T && T->Run_ && T->Run_->Number_ == Call.Run_)
    T->Run_->AppliedShare_ = UnknownShare;
}

} // namespace pollenvale::scheduler
