#include "scheduler/detail/tasks.hpp"
#include "scheduler/detail/trace.hpp"

#include <algorithm>

namespace pollenvale::scheduler::detail {

Job *findJob(State &State, const JobId &Id) {
  auto It = State.Jobs_.find(Id);
  return It == State.Jobs_.end() ? nullptr : &It->second;
}

Step *findStep(State &State, const StepId &Id) {
  Job *J = findJob(State, Id.Job_);
  if (!J)
    return nullptr;
  auto It = J->Open_.find(Id.Occurrence_);
  if (It == J->Open_.end() || Id.Step_ >= It->second.Steps_.size())
    return nullptr;
  return &It->second.Steps_[Id.Step_];
}

Task *findTask(State &State, const TaskId &Id) {
  Step *Step = findStep(State, Id.Step_);
  return Step && Id.Index_ < Step->Tasks_.size() ? &Step->Tasks_[Id.Index_]
                                                 : nullptr;
}

const workflow::StepSpec *findSpec(const State &State, const StepId &Id) {
  auto It = State.Jobs_.find(Id.Job_);
  if (It == State.Jobs_.end() || Id.Step_ >= It->second.Spec_.Steps_.size())
    return nullptr;
  return &It->second.Spec_.Steps_[Id.Step_];
}

void attachRun(State &State, const TaskId &Id, Run R) {
  Task *T = findTask(State, Id);
  Worker &W = State.Workers_.at(R.Worker_);
  W.Tasks_.insert(Id);
  W.Used_ += R.Charged_;
  T->LastRun_ = std::max(T->LastRun_, R.Number_);
  T->Run_ = std::move(R);
  ++findStep(State, Id.Step_)->RunCount_;
}

void detachRun(State &State, const TaskId &Id) {
  Task *T = findTask(State, Id);
  if (!T || !T->Run_)
    return;
  auto It = State.Workers_.find(T->Run_->Worker_);
  if (It != State.Workers_.end()) {
    It->second.Tasks_.erase(Id);
    It->second.Used_ -= T->Run_->Charged_;
  }
  T->Run_.reset();
  --findStep(State, Id.Step_)->RunCount_;
  State.PendingOrders_.erase(Id);
  State.PlacementNeeded_ = true;
  updateWaiting(State, Id.Step_);
  Job *J = findJob(State, Id.Step_.Job_);
  const Occurrence &O = J->Open_.at(Id.Step_.Occurrence_);
  if (O.StepsDone_ == O.Steps_.size())
    markReadySteps(State, *J, Id.Step_.Occurrence_, State.LastTick_);
}

void updateWaiting(State &State, const StepId &Id) {
  Job *J = findJob(State, Id.Job_);
  Step *Step = findStep(State, Id);
  bool Waits = J && Step && Step->Ready_ && !workflow::isClosed(J->State_) &&
               Step->DoneCount_ + Step->RunCount_ < Step->Tasks_.size();
  if (!Waits)
    State.WaitingSteps_.erase(Id);
  else if (State.WaitingSteps_.insert(Id).second) {
    Step->WaitingSince_ = std::max(Step->ReadyAt_, State.LastTick_);
    State.PlacementNeeded_ = true;
  }
}

void requestStop(State &State, const TaskId &Id) {
  Task *T = findTask(State, Id);
  if (!T || !T->Run_ || T->Run_->StopRequested_)
    return;
  T->Run_->StopRequested_ = true;
  T->Run_->RetryAt_ = {};
  State.PendingOrders_.insert(Id);
}

void stopIncompleteGang(State &State, const StepId &Id) {
  const workflow::StepSpec *Spec = findSpec(State, Id);
  Step *Step = findStep(State, Id);
  if (!Spec || !Step || !Spec->Gang_ || State.InheritancePending_)
    return;
  if (Step->RunCount_ == 0 || Step->RunCount_ == Step->Tasks_.size())
    return;
  for (std::uint32_t I = 0; I < Step->Tasks_.size(); ++I)
    requestStop(State, {Id, I});
}

bool maySetAside(const State &State, TimePoint Now) {
  auto SetAside =
      std::count_if(State.Workers_.begin(), State.Workers_.end(),
                    [&](const auto &W) { return Now < W.second.AvoidUntil_; });
  return std::size_t(SetAside) * 2 < State.Workers_.size();
}

namespace {

/// Marks the task done, or all tasks of its gang.
void applyDone(State &State, Job &J, const EndedTask &End, TimePoint Now) {
  const StepId &Id = End.Task_.Step_;
  Step *Ended = findStep(State, Id);
  bool Gang = J.Spec_.Steps_[Id.Step_].Gang_;
  for (std::uint32_t I = 0; I < Ended->Tasks_.size(); ++I) {
    if ((!Gang && I != End.Task_.Index_) || Ended->Tasks_[I].Done_)
      continue;
    Ended->Tasks_[I].Done_ = true;
    ++Ended->DoneCount_;
  }
  markDirty(State, J, Id.Occurrence_);
  if (Ended->DoneCount_ < Ended->Tasks_.size())
    return;
  Ended->DoneAt_ = Now;
  Occurrence &O = J.Open_.at(Id.Occurrence_);
  O.StepsDone_ = std::uint32_t(
      std::count_if(O.Steps_.begin(), O.Steps_.end(), [](const Step &Each) {
        return Each.DoneCount_ == Each.Tasks_.size();
      }));
  markReadySteps(State, J, Id.Occurrence_, Now);
}

/// Counts a failed run, for a gang at its first task. Closes the job if no
/// attempt is left.
void applyFailure(State &State, Job &J, const EndedTask &End, TimePoint Now) {
  const StepId &Id = End.Task_.Step_;
  const workflow::StepSpec &Spec = J.Spec_.Steps_[Id.Step_];
  Step *Step = findStep(State, Id);
  Task &T = Step->Tasks_[Spec.Gang_ ? 0 : End.Task_.Index_];
  if (Spec.LongRunning_ || T.Done_ || !T.FailedRuns_.insert(End.Run_).second)
    return;
  markDirty(State, J, Id.Occurrence_);
  if (T.FailedRuns_.size() >= J.Queue_.MaxAttempts_)
    closeJob(State, J, workflow::JobState::Failed, Now);
}

/// A worker is avoided for a while after failures of tasks of this many jobs
/// without a success. Several jobs are needed, as the tasks of one may all fail
/// for reasons of its own.
constexpr std::size_t JobsBeforeAvoiding = 3;
constexpr Milliseconds AvoidTime{4'000};

/// Updates Worker::FailedJobs_ and avoids the worker if it has too many.
void updateFailedJobs(State &State, Worker &W, const EndedTask &End,
                      TimePoint Now, Outbox &Out) {
  if (End.Kind_ == EndKind::Done) {
    W.Known_.FailedJobs_.clear();
    return;
  }
  // A service may fail at any time, and never succeeds.
  const workflow::StepSpec *Spec = findSpec(State, End.Task_.Step_);
  if (End.Kind_ != EndKind::Failed || (Spec && Spec->LongRunning_))
    return;
  W.Known_.FailedJobs_.insert(End.Task_.Step_.Job_);
  if (W.Known_.FailedJobs_.size() < JobsBeforeAvoiding ||
      !maySetAside(State, Now))
    return;
  count(State.Counters_, "worker-set-aside");
  W.AvoidUntil_ = Now + AvoidTime;
  Out.Notes_.push_back({"worker-set-aside",
                        {{"worker", W.Info_.Id_},
                         {"failed_jobs", W.Known_.FailedJobs_.size()}}});
}

/// Whether the task is done. False if it has been removed with its occurrence.
bool isDone(State &State, const TaskId &Id) {
  const Task *T = findTask(State, Id);
  return T && T->Done_;
}

/// Whether \p R may have begun again after its end was listed in the reply to a
/// renewal sent at \p SentAt: a repeated start begins it if the worker has
/// restarted, and the list may be older than that.
bool mayBeginAgain(const Run &R, TimePoint SentAt) {
  bool SettledBefore = R.SettledAt_ && *R.SettledAt_ < SentAt;
  return R.Sends_ > 1 && (R.InFlight_ || !SettledBefore);
}

/// Stops a run that may have begun again. A list requested from now on tells
/// whether it has, also if no stop is answered.
void stopUnlessAbsent(State &State, const TaskId &Id, TimePoint Now) {
  requestStop(State, Id);
  Task *T = findTask(State, Id);
  if (T && T->Run_ && !T->Run_->InFlight_)
    T->Run_->SettledAt_ = Now;
}

} // namespace

void applyEnd(State &State, const WorkerId &Where, const EndedTask &End,
              TimePoint SentAt, TimePoint Now, Outbox &Out) {
  count(State.Counters_, "end-" + std::string(toString(End.Kind_)));
  updateFailedJobs(State, State.Workers_.at(Where), End, Now, Out);
  traceEnd(State, Where, End, Now, Out);
  Job *J = findJob(State, End.Task_.Step_.Job_);
  Task *T = findTask(State, End.Task_);
  if (!J || !T)
    return;
  bool Current =
      T->Run_ && T->Run_->Worker_ == Where && T->Run_->Number_ == End.Run_;
  T->LastRun_ = std::max(T->LastRun_, End.Run_);
  if (!End.Checkpoint_.empty()) {
    T->Checkpoint_ = End.Checkpoint_;
    findStep(State, End.Task_.Step_)->GangCheckpoint_ = End.Checkpoint_;
  }
  bool MayStartAgain = Current && mayBeginAgain(*T->Run_, SentAt);
  if (End.Kind_ == EndKind::Done &&
      !J->Spec_.Steps_[End.Task_.Step_.Step_].LongRunning_)
    applyDone(State, *J, End, Now);
  else if (End.Kind_ == EndKind::Failed) {
    T->FailedOn_ = Where;
    applyFailure(State, *J, End, Now);
  }
  if (Current && !MayStartAgain)
    detachRun(State, End.Task_);
  else if (MayStartAgain)
    stopUnlessAbsent(State, End.Task_, Now);
  else if (isDone(State, End.Task_))
    requestStop(State, End.Task_);
  updateWaiting(State, End.Task_.Step_);
  stopIncompleteGang(State, End.Task_.Step_);
}

void abandonTasks(State &State, Worker &W, TimePoint Now, Outbox &Out,
                  const char *Reason) {
  if (W.Tasks_.empty())
    return;
  count(State.Counters_, std::string("lost-") + Reason, W.Tasks_.size());
  Out.Notes_.push_back({"tasks-lost",
                        {{"worker", W.Info_.Id_},
                         {"tasks", W.Tasks_.size()},
                         {"reason", Reason}}});
  std::set<TaskId> Tasks = W.Tasks_;
  for (const TaskId &Id : Tasks) {
    traceGiveUp(State, Id, Reason, Now, Out);
    detachRun(State, Id);
  }
  for (const TaskId &Id : Tasks)
    stopIncompleteGang(State, Id.Step_);
}

} // namespace pollenvale::scheduler::detail
