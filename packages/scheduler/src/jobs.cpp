#include "scheduler/detail/tasks.hpp"
#include "scheduler/scheduler.hpp"

#include <algorithm>

namespace pollenvale::scheduler {

using workflow::JobState;

namespace detail {

namespace {

/// Time since \p SinceUnixMs, limited to a plausible range, as wall clocks of
/// two VMs may differ.
Milliseconds ageOf(std::int64_t SinceUnixMs, std::int64_t NowUnixMs) {
  constexpr std::int64_t MaxAgeMs = 120'000;
  return Milliseconds(
      std::clamp<std::int64_t>(NowUnixMs - SinceUnixMs, 0, MaxAgeMs));
}

/// When a scheduled occurrence is due.
std::int64_t dueUnixMs(const workflow::WorkflowSpec &Spec,
                       std::uint32_t Number) {
  return Spec.FirstDueUnixMs_ + std::int64_t(Number) * Spec.IntervalMs_;
}

/// When an occurrence came due; at the earliest when the job was accepted.
TimePoint cameDueAt(const Job &J, std::uint32_t Number, TimePoint Now,
                    std::int64_t NowUnixMs) {
  if (J.Spec_.Repeats_ == 0)
    return J.AcceptedAt_;
  Milliseconds Age = ageOf(dueUnixMs(J.Spec_, Number), NowUnixMs);
  return std::max(J.AcceptedAt_, Now - Age);
}

Occurrence makeOccurrence(const workflow::WorkflowSpec &Spec,
                          std::uint32_t FirstRunNumber) {
  Occurrence O;
  for (const workflow::StepSpec &StepSpec : Spec.Steps_) {
    Step Step;
    Step.Tasks_.resize(StepSpec.Count_);
    for (Task &T : Step.Tasks_)
      T.LastRun_ = FirstRunNumber;
    O.Steps_.push_back(std::move(Step));
  }
  return O;
}

std::uint32_t firstRunNumber(const State &State, const Job &J) {
  return J.Inherited_ ? (State.Options_.Generation_ - 1) * RunsPerOwner : 0;
}

} // namespace

Occurrence beginOccurrence(const State &State, const Job &J,
                           std::uint32_t Number, TimePoint Now,
                           std::int64_t NowUnixMs) {
  Occurrence O = makeOccurrence(J.Spec_, firstRunNumber(State, J));
  O.CameDueAt_ = cameDueAt(J, Number, Now, NowUnixMs);
  return O;
}

void updateQueue(const workflow::Catalog &C, Job &J) {
  const workflow::Queue *Q = workflow::findQueue(C, J.Queue_.Name_);
  if (!Q)
    return;
  // The job stays with the service at whose slice it was accepted.
  ServiceName Service = std::move(J.Queue_.Service_);
  J.Queue_ = *Q;
  J.Queue_.Service_ = std::move(Service);
}

void closeJob(State &State, Job &J, JobState NewState, TimePoint Now) {
  if (workflow::isClosed(J.State_))
    return;
  J.State_ = NewState;
  J.ClosedAt_ = Now;
  State.NewlyClosedJobs_.push_back(J.Id_);
  State.ScheduledJobs_.erase(J.Id_);
  count(State.Counters_, "job-" + std::string(workflow::toString(NewState)));
  markDirty(State, J);
  for (std::uint32_t Number : J.StoredOccurrences_)
    markDirty(State, J, Number);
  for (auto &[Number, O] : J.Open_)
    for (std::uint32_t StepIndex = 0; StepIndex < O.Steps_.size();
         ++StepIndex) {
      StepId Id{J.Id_, Number, StepIndex};
      State.WaitingSteps_.erase(Id);
      for (std::uint32_t I = 0; I < O.Steps_[StepIndex].Tasks_.size(); ++I)
        requestStop(State, {Id, I});
    }
}

void markReadySteps(State &State, Job &J, std::uint32_t Number, TimePoint Now) {
  Occurrence &O = J.Open_.at(Number);
  if (O.StepsDone_ == O.Steps_.size()) {
    bool Idle =
        std::all_of(O.Steps_.begin(), O.Steps_.end(),
                    [](const Step &Step) { return Step.RunCount_ == 0; });
    // Gang members whose own end has not been listed yet keep it open.
    if (Idle || J.Open_.size() == 1) {
      if (J.Open_.size() == 1 &&
          J.NextOccurrence_ >= workflow::occurrenceCount(J.Spec_))
        closeJob(State, J, JobState::Completed, Now);
      else if (Idle) {
        J.Open_.erase(Number);
        markDirty(State, J);
        markDirty(State, J, Number);
      }
    }
    return;
  }
  for (std::uint32_t StepIndex = 0; StepIndex < O.Steps_.size(); ++StepIndex) {
    Step &Step = O.Steps_[StepIndex];
    if (Step.Ready_)
      continue;
    const auto &After = J.Spec_.Steps_[StepIndex].DependsOn_;
    Step.Ready_ =
        std::all_of(After.begin(), After.end(), [&](std::uint32_t Earlier) {
          return O.Steps_[Earlier].DoneCount_ ==
                 O.Steps_[Earlier].Tasks_.size();
        });
    if (!Step.Ready_)
      continue;
    Step.ReadyAt_ = Now;
    updateWaiting(State, {J.Id_, Number, StepIndex});
  }
}

void openDueOccurrences(State &State, Job &J, TimePoint Now,
                        std::int64_t NowUnixMs) {
  const workflow::WorkflowSpec &Spec = J.Spec_;
  while (J.NextOccurrence_ < workflow::occurrenceCount(Spec)) {
    if (Spec.Repeats_ > 0 && dueUnixMs(Spec, J.NextOccurrence_) > NowUnixMs)
      break;
    std::uint32_t Number = J.NextOccurrence_++;
    J.Open_[Number] = beginOccurrence(State, J, Number, Now, NowUnixMs);
    markReadySteps(State, J, Number, Now);
  }
  if (J.NextOccurrence_ < workflow::occurrenceCount(Spec))
    State.ScheduledJobs_.insert(J.Id_);
  else
    State.ScheduledJobs_.erase(J.Id_);
}

} // namespace detail

void onJob(State &State, const JobId &Id, const ledger::ReplicatedJob &Row,
           bool Inherited, TimePoint Now, std::int64_t NowUnixMs) {
  if (State.Jobs_.count(Id))
    return;
  Job &J = State.Jobs_[Id];
  J.Id_ = Id;
  J.Spec_ = Row.Accepted_.Spec_;
  J.Queue_ = Row.Accepted_.Queue_;
  detail::updateQueue(State.Catalog_, J);
  J.Inherited_ = Inherited;
  J.AcceptedAt_ = Now;
  if (Inherited)
    J.AcceptedAt_ -= detail::ageOf(Row.Accepted_.AcceptedUnixMs_, NowUnixMs);
  double Chain = double(workflow::longestChain(J.Spec_).count());
  J.Objective_ = Milliseconds(std::int64_t(Chain * J.Queue_.Stretch_)) +
                 Milliseconds(J.Queue_.SlackMs_);
  detail::loadProgress(State, J, Row, Now, NowUnixMs);
  if (workflow::isClosed(J.State_))
    return;
  if (Row.Cancelled_) {
    detail::closeJob(State, J, JobState::Cancelled, Now);
    return;
  }
  detail::openDueOccurrences(State, J, Now, NowUnixMs);
}

void onCancel(State &State, const JobId &Id, TimePoint Now) {
  if (Job *J = detail::findJob(State, Id))
    detail::closeJob(State, *J, JobState::Cancelled, Now);
}

void onCatalog(State &State, const workflow::Catalog &C) {
  State.Catalog_ = C;
  for (auto &[Id, J] : State.Jobs_)
    detail::updateQueue(C, J);
  State.PlacementNeeded_ = true;
}

} // namespace pollenvale::scheduler
