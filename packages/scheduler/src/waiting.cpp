#include "scheduler/detail/tasks.hpp"
#include "scheduler/scheduler.hpp"

#include <algorithm>

namespace pollenvale::scheduler::detail {

namespace {

/// Waits of at least this length are logged.
constexpr Milliseconds LongWait{4'000};
constexpr Milliseconds ExplainInterval{4'000};
constexpr std::size_t MaxLinesPerPass = 4;

/// Numbers of workers by their ability to run a task of a step.
struct WorkerTally {
  unsigned Usable_ = 0;   ///< Can host a task; see canHost().
  unsigned Denied_ = 0;   ///< Of the usable ones: denied by the policy.
  unsigned Allowed_ = 0;  ///< Of the usable ones: permitted at some time.
  unsigned Free_ = 0;     ///< Of the usable ones: not denied, with room now.
  unsigned Reserved_ = 0; ///< Of those with room: reserved for another step.
};

/// Whether a reservation for another step leaves no room for a task of \p Size.
bool isReservedForOthers(const State &State, const Worker &W, const StepId &Id,
                         const Resources &Size) {
  Resources Room = freeResources(W);
  for (const Reservation &R : State.Reservations_)
    if (R.Worker_ == W.Info_.Id_ && !(R.Step_ == Id))
      Room -= R.Room_;
  return !fits(Size, Room);
}

WorkerTally tallyWorkers(const State &State, const StepId &Id, const Job &J,
                         const Step &Step, const workflow::StepSpec &Spec,
                         TimePoint Now) {
  WorkerTally Out;
  Resources Size = workflow::chargedSize(Spec);
  for (const auto &[Name, W] : State.Workers_) {
    if (!canHost(W, J, Spec, Now))
      continue;
    bool Denied = Step.Denied_.count(Name) > 0;
    ++Out.Usable_;
    Out.Denied_ += Denied;
    Out.Allowed_ += Step.Permits_.count(Name) > 0;
    if (Denied || !fits(Size, freeResources(W)))
      continue;
    ++Out.Free_;
    Out.Reserved_ += isReservedForOthers(State, W, Id, Size);
  }
  return Out;
}

/// Steps with long waits, the longest first.
std::vector<StepId> findLongWaits(State &State, TimePoint Now) {
  std::vector<std::pair<TimePoint, StepId>> Order;
  for (const StepId &Id : State.WaitingSteps_) {
    TimePoint Since = findStep(State, Id)->WaitingSince_;
    if (Now - Since >= LongWait)
      Order.emplace_back(Since, Id);
  }
  std::sort(Order.begin(), Order.end());
  std::vector<StepId> Out;
  for (const auto &[Since, Id] : Order)
    Out.push_back(Id);
  return Out;
}

Note makeWaitNote(State &State, const StepId &Id, TimePoint Now) {
  const Job &J = State.Jobs_.at(Id.Job_);
  const Step &Step = *findStep(State, Id);
  const workflow::StepSpec &Spec = *findSpec(State, Id);
  WorkerTally T = tallyWorkers(State, Id, J, Step, Spec, Now);
  return {
      "step-waits",
      {{"step", workflow::toString(Id)},
       {"queue", J.Queue_.Name_},
       {"waits_ms", elapsed(Step.WaitingSince_, Now).count()},
       {"ready_ms", elapsed(Step.ReadyAt_, Now).count()},
       {"tasks_left", Step.Tasks_.size() - Step.DoneCount_ - Step.RunCount_},
       {"gang", Spec.Gang_},
       {"long_running", Spec.LongRunning_},
       {"cpu", Spec.Size_.Cpu_},
       {"memory_mb", Spec.Size_.Memory_},
       {"accelerators", Spec.Size_.Accelerators_},
       {"label", Spec.RequiredLabel_},
       {"max_per_worker", Spec.MaxPerWorker_},
       {"workers_usable", T.Usable_},
       {"workers_denied", T.Denied_},
       {"workers_allowed", T.Allowed_},
       {"workers_free", T.Free_},
       {"workers_reserved", T.Reserved_},
       {"behind_store", State.BehindStore_},
       {"inherited_unclear", J.Inherited_ && State.InheritancePending_},
       {"unaccounted", State.UnconfirmedWorkers_.size()},
       {"advice_in_flight", Step.AdviceInFlight_},
       {"advice_calls", Step.AdviceCalls_},
       {"advice_unanswered", Step.AdviceUnanswered_}}};
}

std::string_view phaseName(RunPhase Phase) {
  static constexpr std::string_view Names[] = {"starting", "running",
                                               "unresolved"};
  return Names[std::size_t(Phase)];
}

/// Logs runs that are neither known to work nor known to have ended: their
/// tasks don't start again before that.
void reportUnsettledRuns(State &State, TimePoint Now, Outbox &Out) {
  std::size_t Lines = 0;
  for (const auto &[Name, W] : State.Workers_)
    for (const TaskId &Id : W.Tasks_) {
      const Run &R = *findTask(State, Id)->Run_;
      bool Settled = R.Phase_ == RunPhase::Running && !R.StopRequested_;
      if (Settled || Now - R.StartedAt_ < LongWait)
        continue;
      if (++Lines > MaxLinesPerPass)
        return;
      Out.Notes_.push_back({"run-unsettled",
                            {{"task", workflow::toString(Id)},
                             {"run", R.Number_},
                             {"worker", Name},
                             {"phase", phaseName(R.Phase_)},
                             {"age_ms", elapsed(R.StartedAt_, Now).count()},
                             {"sends", R.Sends_},
                             {"in_flight", R.InFlight_},
                             {"stop_requested", R.StopRequested_},
                             {"confirmed", R.SettledAt_.has_value()},
                             {"worker_misses", W.Misses_},
                             {"worker_listed", W.InRegistry_}},
                            true});
    }
}

} // namespace

void reportLongWaits(State &State, TimePoint Now, Outbox &Out) {
  if (Now < State.NextWaitReportAt_)
    return;
  State.NextWaitReportAt_ = Now + ExplainInterval;
  reportUnsettledRuns(State, Now, Out);
  std::vector<StepId> Long = findLongWaits(State, Now);
  std::size_t Lines = std::min(Long.size(), MaxLinesPerPass);
  for (std::size_t I = 0; I < Lines; ++I)
    Out.Notes_.push_back(makeWaitNote(State, Long[I], Now));
  if (Long.size() > Lines)
    Out.Notes_.push_back({"steps-wait", {{"omitted", Long.size() - Lines}}});
}

} // namespace pollenvale::scheduler::detail
