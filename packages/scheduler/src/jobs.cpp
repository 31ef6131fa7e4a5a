#include "scheduler/detail/tasks.hpp"
#include "scheduler/scheduler.hpp"

#include <algorithm>

namespace pollenvale::scheduler {

using workflow::JobState;

namespace detail {

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
  State.StoppingJobs_.insert(J.Id_);
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
        dropOccurrence(State, J, Number);
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

void onVoidJob(State &State, const JobId &Id) {
  count(State.Counters_, "job-void");
  if (Job *J = detail::findJob(State, Id))
    detail::markDirty(State, *J);
  else
    State.ExpiredJobs_.insert(Id);
}

void onCatalog(State &State, const workflow::Catalog &C) {
  State.Catalog_ = C;
  for (auto &[Id, J] : State.Jobs_)
    detail::updateQueue(C, J);
  State.PlacementNeeded_ = true;
}

} // namespace pollenvale::scheduler
