#include "scheduler/detail/tasks.hpp"
#include "scheduler/detail/trace.hpp"

#include <algorithm>

namespace pollenvale::scheduler::detail {

Job *findJob(State &S, const JobId &Id) {
  auto It = S.Jobs_.find(Id);
  return It == S.Jobs_.end() ? nullptr : &It->second;
}

Step *findStep(State &S, const StepId &Id) {
  Job *J = findJob(S, Id.Job_);
  if (!J)
    return nullptr;
  auto It = J->Open_.find(Id.Occurrence_);
  if (It == J->Open_.end() || Id.Step_ >= It->second.Steps_.size())
    return nullptr;
  return &It->second.Steps_[Id.Step_];
}

Task *findTask(State &S, const TaskId &Id) {
  Step *P = findStep(S, Id.Step_);
  return P && Id.Index_ < P->Tasks_.size() ? &P->Tasks_[Id.Index_] : nullptr;
}

const workflow::StepSpec *findSpec(const State &S, const StepId &Id) {
  auto It = S.Jobs_.find(Id.Job_);
  if (It == S.Jobs_.end() || Id.Step_ >= It->second.Spec_.Steps_.size())
    return nullptr;
  return &It->second.Spec_.Steps_[Id.Step_];
}

void attachRun(State &S, const TaskId &Id, Run R) {
  Task *T = findTask(S, Id);
  Worker &W = S.Workers_.at(R.Worker_);
  W.Tasks_.insert(Id);
  W.Used_ += R.Charged_;
  T->LastRun_ = std::max(T->LastRun_, R.Number_);
  T->Run_ = std::move(R);
  ++findStep(S, Id.Step_)->RunCount_;
}

void detachRun(State &S, const TaskId &Id) {
  Task *T = findTask(S, Id);
  if (!T || !T->Run_)
    return;
  auto It = S.Workers_.find(T->Run_->Worker_);
  if (It != S.Workers_.end()) {
    It->second.Tasks_.erase(Id);
    It->second.Used_ -= T->Run_->Charged_;
  }
  T->Run_.reset();
  --findStep(S, Id.Step_)->RunCount_;
  S.Unsettled_.erase(Id);
  S.PlaceWanted_ = true;
  refreshWaiting(S, Id.Step_);
  Job *J = findJob(S, Id.Step_.Job_);
  const Occurrence &O = J->Open_.at(Id.Step_.Occurrence_);
  if (O.StepsDone_ == O.Steps_.size())
    releaseSteps(S, *J, Id.Step_.Occurrence_, S.LastTick_);
}

void refreshWaiting(State &S, const StepId &Id) {
  Job *J = findJob(S, Id.Job_);
  Step *P = findStep(S, Id);
  bool Waits = J && P && P->Ready_ && !workflow::isClosed(J->State_) &&
               P->DoneCount_ + P->RunCount_ < P->Tasks_.size();
  if (!Waits)
    S.Waiting_.erase(Id);
  else if (S.Waiting_.insert(Id).second) {
    P->WaitsSince_ = std::max(P->ReadyAt_, S.LastTick_);
    S.PlaceWanted_ = true;
  }
}

void stopRun(State &S, const TaskId &Id) {
  Task *T = findTask(S, Id);
  if (!T || !T->Run_ || T->Run_->StopWanted_)
    return;
  T->Run_->StopWanted_ = true;
  T->Run_->RetryAt_ = {};
  S.Unsettled_.insert(Id);
}

void reconcileGang(State &S, const StepId &Id) {
  const workflow::StepSpec *Spec = findSpec(S, Id);
  Step *P = findStep(S, Id);
  if (!Spec || !P || !Spec->Gang_ || S.InheritanceOpen_)
    return;
  if (P->RunCount_ == 0 || P->RunCount_ == P->Tasks_.size())
    return;
  for (std::uint32_t I = 0; I < P->Tasks_.size(); ++I)
    stopRun(S, {Id, I});
}

bool maySetAside(const State &S, TimePoint Now) {
  auto Aside =
      std::count_if(S.Workers_.begin(), S.Workers_.end(),
                    [&](const auto &W) { return Now < W.second.AvoidUntil_; });
  return std::size_t(Aside) * 2 < S.Workers_.size();
}

namespace {

void endDone(State &S, Job &J, const EndedTask &End, TimePoint Now) {
  const StepId &Id = End.Task_.Step_;
  Step *P = findStep(S, Id);
  bool Gang = J.Spec_.Steps_[Id.Step_].Gang_;
  for (std::uint32_t I = 0; I < P->Tasks_.size(); ++I) {
    if ((!Gang && I != End.Task_.Index_) || P->Tasks_[I].Done_)
      continue;
    P->Tasks_[I].Done_ = true;
    ++P->DoneCount_;
  }
  markDirty(S, J);
  if (P->DoneCount_ < P->Tasks_.size())
    return;
  P->DoneAt_ = Now;
  Occurrence &O = J.Open_.at(Id.Occurrence_);
  O.StepsDone_ = std::uint32_t(
      std::count_if(O.Steps_.begin(), O.Steps_.end(), [](const Step &X) {
        return X.DoneCount_ == X.Tasks_.size();
      }));
  releaseSteps(S, J, Id.Occurrence_, Now);
}

void endFailed(State &S, Job &J, const EndedTask &End, TimePoint Now) {
  const StepId &Id = End.Task_.Step_;
  const workflow::StepSpec &Spec = J.Spec_.Steps_[Id.Step_];
  Step *P = findStep(S, Id);
  Task &T = P->Tasks_[Spec.Gang_ ? 0 : End.Task_.Index_];
  if (Spec.LongRunning_ || T.Done_ || !T.FailedRuns_.insert(End.Run_).second)
    return;
  markDirty(S, J);
  if (T.FailedRuns_.size() >= J.Queue_.MaxAttempts_)
    closeJob(S, J, workflow::JobState::Failed, Now);
}

/// A worker on which tasks of so many jobs in a row fail is left alone for a
/// while. Tasks of one job may all fail by the job's own fault.
constexpr std::size_t JobsBeforeAvoiding = 3;
constexpr Milliseconds AvoidTime{4'000};

void noteEvidence(State &S, Worker &W, const EndedTask &End, TimePoint Now,
                  Outbox &Out) {
  if (End.Kind_ == EndKind::Done) {
    W.FailedJobs_.clear();
    return;
  }
  if (End.Kind_ != EndKind::Failed)
    return;
  W.FailedJobs_.insert(End.Task_.Step_.Job_);
  if (W.FailedJobs_.size() < JobsBeforeAvoiding || !maySetAside(S, Now))
    return;
  count(S.Counters_, "worker-set-aside");
  W.AvoidUntil_ = Now + AvoidTime;
  Out.Notes_.push_back(
      {"worker-set-aside",
       {{"worker", W.Info_.Id_}, {"failed_jobs", W.FailedJobs_.size()}}});
}

} // namespace

void applyEnd(State &S, const WorkerId &Where, const EndedTask &End,
              TimePoint Now, Outbox &Out) {
  count(S.Counters_, "end-" + std::string(toString(End.Kind_)));
  noteEvidence(S, S.Workers_.at(Where), End, Now, Out);
  traceEnd(S, Where, End, Now, Out);
  Job *J = findJob(S, End.Task_.Step_.Job_);
  Task *T = findTask(S, End.Task_);
  if (!J || !T)
    return;
  bool Current =
      T->Run_ && T->Run_->Worker_ == Where && T->Run_->Number_ == End.Run_;
  T->LastRun_ = std::max(T->LastRun_, End.Run_);
  if (!End.Checkpoint_.empty()) {
    T->Checkpoint_ = End.Checkpoint_;
    findStep(S, End.Task_.Step_)->GangCheckpoint_ = End.Checkpoint_;
  }
  if (End.Kind_ == EndKind::Done &&
      !J->Spec_.Steps_[End.Task_.Step_.Step_].LongRunning_)
    endDone(S, *J, End, Now);
  else if (End.Kind_ == EndKind::Failed) {
    T->FailedOn_ = Where;
    endFailed(S, *J, End, Now);
  }
  // A start that is sent anew begins once more if the worker has restarted.
  bool MayStartAgain = Current && T->Run_->InFlight_ && T->Run_->Sends_ > 1;
  if (Current && !MayStartAgain)
    detachRun(S, End.Task_);
  else if (MayStartAgain || T->Done_)
    stopRun(S, End.Task_);
  refreshWaiting(S, End.Task_.Step_);
  reconcileGang(S, End.Task_.Step_);
}

void loseTasks(State &S, Worker &W, TimePoint Now, Outbox &Out,
               const char *Reason) {
  if (W.Tasks_.empty())
    return;
  count(S.Counters_, std::string("lost-") + Reason, W.Tasks_.size());
  Out.Notes_.push_back({"tasks-lost",
                        {{"worker", W.Info_.Id_},
                         {"tasks", W.Tasks_.size()},
                         {"reason", Reason}}});
  std::set<TaskId> Tasks = W.Tasks_;
  for (const TaskId &Id : Tasks) {
    traceGiveUp(S, Id, Reason, Now, Out);
    detachRun(S, Id);
  }
  for (const TaskId &Id : Tasks)
    reconcileGang(S, Id.Step_);
}

} // namespace pollenvale::scheduler::detail
