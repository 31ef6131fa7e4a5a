#include "scheduler/detail/tasks.hpp"
#include "scheduler/scheduler.hpp"

#include <algorithm>

namespace pollenvale::scheduler::detail {

namespace {

/// A task that makes no progress for this long stands still.
constexpr Milliseconds LeastStall{3'000};
/// The same in parts of its declared run time, which may be far too short.
constexpr std::uint32_t StallPerPercent = 10;
constexpr unsigned AtWork = 100; ///< Percent of a service task at work.

Milliseconds stallLimit(const workflow::StepSpec &Spec) {
  if (Spec.LongRunning_)
    return LeastStall;
  return std::max(LeastStall,
                  Milliseconds(Spec.EstimateMs_ * StallPerPercent / 100));
}

} // namespace

void noteProgress(const workflow::StepSpec &Spec, Run &X, unsigned Percent,
                  TimePoint Now) {
  bool Advanced = Percent > X.Percent_;
  if (Spec.LongRunning_)
    Advanced = Percent >= AtWork || Percent > X.Percent_;
  if (Advanced)
    X.AdvancedAt_ = Now;
  X.Percent_ = Percent;
}

void stopStalled(State &S, Worker &W, TimePoint Now, Outbox &Out) {
  std::set<JobId> Jobs;
  for (const TaskId &Id : W.Tasks_) {
    const workflow::StepSpec *Spec = findSpec(S, Id.Step_);
    Task *T = findTask(S, Id);
    if (!Spec || !T || !T->Run_)
      continue;
    const Run &X = *T->Run_;
    // A throttled best-effort task may rest, and a gang waits for its members.
    if (X.Phase_ != RunPhase::Running || X.StopWanted_ || Spec->BestEffort_ ||
        Spec->Gang_ || Now - X.AdvancedAt_ < stallLimit(*Spec))
      continue;
    Jobs.insert(Id.Step_.Job_);
    T->FailedOn_ = W.Info_.Id_;
    stopRun(S, Id);
    count(S.Counters_, "run-stalled");
  }
  if (Jobs.empty())
    return;
  constexpr Milliseconds AvoidTime{4'000};
  constexpr std::size_t JobsBeforeAvoiding = 2;
  if (Jobs.size() >= JobsBeforeAvoiding && maySetAside(S, Now))
    W.AvoidUntil_ = Now + AvoidTime;
  Out.Notes_.push_back({"tasks-stalled",
                        {{"worker", W.Info_.Id_},
                         {"jobs", Jobs.size()},
                         {"set_aside", Now < W.AvoidUntil_}}});
}

} // namespace pollenvale::scheduler::detail
