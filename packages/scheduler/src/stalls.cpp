#include "scheduler/detail/tasks.hpp"
#include "scheduler/scheduler.hpp"

#include <algorithm>

namespace pollenvale::scheduler::detail {

namespace {

/// A task without progress for this long is stalled.
constexpr Milliseconds MinStall{3'000};
/// The same as a percentage of its estimated run time, whichever is longer: the
/// estimate may be far too short.
constexpr std::uint32_t StallPercentOfEstimate = 10;
constexpr unsigned BusyPercent = 100; ///< Progress of a working service task.

Milliseconds stallLimit(const workflow::StepSpec &Spec) {
  if (Spec.LongRunning_)
    return MinStall;
  return std::max(
      MinStall, Milliseconds(Spec.EstimateMs_ * StallPercentOfEstimate / 100));
}

} // namespace

void recordProgress(const workflow::StepSpec &Spec, Run &R, unsigned Percent,
                    TimePoint Now) {
  bool Advanced = Percent > R.Percent_;
  if (Spec.LongRunning_)
    Advanced = Percent >= BusyPercent || Percent > R.Percent_;
  if (Advanced)
    R.LastProgressAt_ = Now;
  R.Percent_ = Percent;
}

void stopStalled(State &State, Worker &W, TimePoint Now, Outbox &Out) {
  std::set<JobId> Jobs;
  for (const TaskId &Id : W.Tasks_) {
    const workflow::StepSpec *Spec = findSpec(State, Id.Step_);
    Task *T = findTask(State, Id);
    if (!Spec || !T || !T->Run_)
      continue;
    const Run &R = *T->Run_;
    // A throttled best-effort task may be paused, and members of a gang wait
    // for each other.
    if (R.Phase_ != RunPhase::Running || R.StopRequested_ ||
        Spec->BestEffort_ || Spec->Gang_ ||
        Now - R.LastProgressAt_ < stallLimit(*Spec))
      continue;
    Jobs.insert(Id.Step_.Job_);
    T->FailedOn_ = W.Info_.Id_;
    requestStop(State, Id);
    count(State.Counters_, "run-stalled");
  }
  if (Jobs.empty())
    return;
  constexpr Milliseconds AvoidTime{4'000};
  constexpr std::size_t JobsBeforeAvoiding = 2;
  if (Jobs.size() >= JobsBeforeAvoiding && maySetAside(State, Now))
    W.AvoidUntil_ = Now + AvoidTime;
  Out.Notes_.push_back({"tasks-stalled",
                        {{"worker", W.Info_.Id_},
                         {"jobs", Jobs.size()},
                         {"set_aside", Now < W.AvoidUntil_}}});
}

} // namespace pollenvale::scheduler::detail
