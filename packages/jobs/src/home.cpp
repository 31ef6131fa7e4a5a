#include "jobs/detail/recovery.hpp"
#include "jobs/detail/round.hpp"
#include "jobs/jobs.hpp"

namespace pollenvale::jobs {

using workers::AttemptState;

namespace {

/// The homed job, or null. Makes its next check due.
HomedJob *findHomedJob(State &State, const JobId &Id) {
  auto It = State.HomedJobs_.find(Id);
  if (It == State.HomedJobs_.end())
    return nullptr;
  It->second.NextCheck_ = {};
  return &It->second;
}

/// Adds a job whose home is this node, with all its tasks in \p Phase.
void addHomedJob(State &State, Context &Context, const JobId &Id,
                 TaskPhase Phase) {
  const Job &TableJob = Context.Table_.Jobs_.at(Id);
  HomedJob &Job = State.HomedJobs_[Id];
  Job.Id_ = Id;
  Job.RecordedAt_ = Context.Now_;
  Job.AcceptedAt_ = Context.Now_;
  Job.Tasks_.resize(TableJob.Spec_.Tasks_);
  for (Task &Task : Job.Tasks_)
    Task.Phase_ = Phase;
}

/// Starts the recovery of a former home's jobs if this node took them over.
void onMoved(State &State, Context &Context, const Change &Change) {
  if (Change.Home_ != Context.Self_)
    return;
  count(State.Counters_, "takeover");
  Recovery &Recovery = State.Recoveries_[Change.Dead_];
  auto Uses = Context.Table_.Uses_.find(Context.Self_);
  if (Uses != Context.Table_.Uses_.end())
    Recovery.Unaccounted_ = Uses->second;
  Recovery.MinNext_ = Context.Log_.Next_;
  Recovery.StartedAt_ = Context.Now_;
  for (const JobId &Id : Change.Jobs_) {
    if (!Context.Table_.Jobs_.at(Id).AttachedTo_.empty()) {
      recordAttached(Context, Id);
      continue;
    }
    addHomedJob(State, Context, Id, TaskPhase::Recovering);
    peering::noteJob(Context.Out_, "job-taken-over", Id,
                     {{"home", Context.Self_}, {"from", Change.Dead_}});
    State.HomedJobs_[Id].Recovering_.insert(Change.Dead_);
  }
}

} // namespace

void growTasks(HomedJob &Job, std::size_t Count) {
  Task New;
  New.Phase_ =
      Job.Recovering_.empty() ? TaskPhase::Pending : TaskPhase::Recovering;
  if (Job.Tasks_.size() < Count)
    Job.Tasks_.resize(std::min<std::size_t>(Count, MaxTasksPerJob), New);
}

void retryTask(State &State, Context &Context, HomedJob &Job, Task &Task,
               AttemptState Result) {
  bool DidNotRun = Result == AttemptState::NotRun;
  // Until its recovery is complete, the former home may have started another
  // attempt.
  Task.Phase_ =
      Job.Recovering_.empty() ? TaskPhase::Pending : TaskPhase::Recovering;
  Task.Worker_.clear();
  Task.Holder_.clear();
  Task.Stopping_ = false;
  Task.Draining_ = false;
  Task.RefusedBy_.clear();
  Job.NextCheck_ = {};
  Task.WaitsForRoom_ = false;
  Task.Backoff_ =
      std::min(MaxPlacementBackoff, Task.Backoff_ * 2 + PlacementBackoff);
  Task.NextAction_ =
      Context.Now_ + (DidNotRun ? PlacementBackoff : Task.Backoff_);
  count(State.Counters_, DidNotRun ? "attempt-not-run" : "attempt-retried");
}

namespace {

/// Records the failure of a task, and marks the job as failed when its tasks
/// fail on too many workers or too often.
void onFailed(State &State, HomedJob &Job, Task &Task, bool Gang,
              const workers::TaskReport &Report) {
  Task.FailedOn_.insert(Report.Worker_);
  Job.FailedOn_.insert(Report.Worker_);
  ++Task.Failures_;
  std::size_t DistinctWorkers = (Gang ? Job.FailedOn_ : Task.FailedOn_).size();
  if (!Job.FailureReason_.empty() ||
      (DistinctWorkers < PoisonThreshold && Task.Failures_ < MaxFailures))
    return;
  Job.FailureReason_ = "task " + std::to_string(Report.Attempt_.Index_) +
                       " failed " + std::to_string(Task.Failures_) +
                       " times, the job on " +
                       std::to_string(Job.FailedOn_.size()) +
                       " workers, last: " + Report.Reason_;
  count(State.Counters_, "job-poisoned");
}

bool isGang(const Context &Context, const HomedJob &Job) {
  return Context.Table_.Jobs_.at(Job.Id_).Spec_.Kind_ == JobKind::Gang;
}

/// Applies a holder's report on the task's current attempt.
void applyReport(State &State, Context &Context, HomedJob &Job, Task &Task,
                 const NodeId &Sender, const workers::TaskReport &Report) {
  auto Reported = AttemptState(Report.State_);
  Task.Holder_ = Sender;
  if (!Report.Worker_.empty())
    Task.Worker_ = Report.Worker_;
  if (Reported == AttemptState::Unsettled)
    return;
  peering::noteAttempt(Context.Out_, "task-reported", Report.Attempt_,
                       {{"state", workers::toString(Reported)},
                        {"worker", Report.Worker_},
                        {"holder", Sender},
                        {"reason", Report.Reason_}});
  if (Reported == AttemptState::Running) {
    if (Task.Phase_ == TaskPhase::Committing && Task.Attempts_ == 1)
      State.StartDelays_.push_back(elapsed(Job.AcceptedAt_, Context.Now_));
    Task.Phase_ = TaskPhase::Running;
    Task.NextAudit_ = Context.Now_ + AuditInterval;
    Task.Backoff_ = Milliseconds(0);
    Task.Reasons_.clear();
    return;
  }
  if (Reported == AttemptState::Finished) {
    Task.Phase_ = TaskPhase::Finished;
    return;
  }
  if (Reported == AttemptState::Failed)
    onFailed(State, Job, Task, isGang(Context, Job), Report);
  retryTask(State, Context, Job, Task, Reported);
}

/// Handles a report on an attempt that is not the task's current one.
void onUnknownAttempt(Context &Context, const NodeId &Sender,
                      const workers::TaskReport &Report) {
  // A repeated report, or one of an attempt that was replaced after it was
  // shown to be over.
  if (AttemptState(Report.State_) == AttemptState::Running)
    peering::send(
        Context.Out_, Sender,
        workers::Release{Report.Attempt_, Report.Worker_, "superseded"});
}

} // namespace

void recordAttached(Context &Context, const JobId &Id) {
  const Job &TableJob = Context.Table_.Jobs_.at(Id);
  eventlog::append(
      Context.Log_,
      eventlog::OutcomeRecord{Id, "attached", TableJob.AttachedTo_}, true);
}

void onChange(State &State, Context &Context, const Change &Change) {
  switch (Change.Kind_) {
  case Change::Kind::Accepted:
    if (Change.Home_ != Context.Self_)
      break;
    addHomedJob(State, Context, Change.Jobs_.front(), TaskPhase::Pending);
    peering::noteJob(Context.Out_, "job-homed", Change.Jobs_.front(),
                     {{"home", Context.Self_}});
    break;
  case Change::Kind::Repeated:
    if (HomedJob *Job = findHomedJob(State, Change.Jobs_.front()))
      Job->RecordedAt_ = Context.Now_;
    break;
  case Change::Kind::Attached:
    if (Change.Home_ == Context.Self_)
      recordAttached(Context, Change.Jobs_.front());
    break;
  case Change::Kind::Closed:
    State.HomedJobs_.erase(Change.Jobs_.front());
    break;
  case Change::Kind::Moved:
    onMoved(State, Context, Change);
    break;
  case Change::Kind::Cancelled:
    findHomedJob(State, Change.Jobs_.front());
    break;
  case Change::Kind::None:
    break;
  }
}

void onHoldReply(State &State, Context &Context, const NodeId &Sender,
                 const workers::HoldReply &Reply) {
  HomedJob *Job = findHomedJob(State, Reply.Attempt_.Job_);
  Task *Task = Job && Reply.Attempt_.Index_ < Job->Tasks_.size()
                   ? &Job->Tasks_[Reply.Attempt_.Index_]
                   : nullptr;
  bool IsCurrent =
      Task && Task->Attempt_ == Reply.Attempt_ && Task->Holder_ == Sender;
  if (!IsCurrent || Task->Phase_ != TaskPhase::Holding) {
    bool IsKnown = IsCurrent && Task->Phase_ != TaskPhase::Pending;
    if (Reply.Granted_ && !IsKnown)
      peering::send(
          Context.Out_, Sender,
          workers::Release{Reply.Attempt_, Reply.Worker_, "not-wanted"});
    return;
  }
  if (!Reply.Granted_) {
    count(State.Counters_, "hold-refused");
    Task->RefusedBy_.insert(Sender);
    for (const auto &[Reason, Count] : Reply.Reasons_)
      Task->Reasons_[Reason] += Count;
    Task->Phase_ = TaskPhase::Pending;
    Task->NextAction_ = Context.Now_;
    return;
  }
  Task->Phase_ = TaskPhase::Held;
  Task->Worker_ = Reply.Worker_;
  peering::noteAttempt(Context.Out_, "task-held", Reply.Attempt_,
                       {{"worker", Reply.Worker_}, {"holder", Sender}});
  queueUse(State, Context, Reply.Worker_);
  advanceJob(State, Context, *Job);
}

void onReport(State &State, Context &Context, const NodeId &Sender,
              const workers::TaskReport &Report) {
  auto Ack = [&] {
    if (AttemptState(Report.State_) != AttemptState::Running)
      peering::send(Context.Out_, Sender,
                    workers::TaskAck{Report.Attempt_, Report.Worker_});
  };
  HomedJob *Job = findHomedJob(State, Report.Attempt_.Job_);
  if (!Job) {
    const jobs::Job *TableJob = findJob(Context.Table_, Report.Attempt_.Job_);
    if (TableJob && TableJob->Closed_)
      Ack();
    return;
  }
  if (Report.Attempt_.Index_ >= MaxTasksPerJob)
    return Ack();
  // A former home may have known a configuration with more tasks.
  if (Report.Attempt_.Index_ >= Job->Tasks_.size())
    growTasks(*Job, Report.Attempt_.Index_ + 1);
  Task &Task = Job->Tasks_[Report.Attempt_.Index_];
  if (Task.Phase_ == TaskPhase::Recovering)
    adoptAttempt(Task, Report);
  if (!(Task.Attempt_ == Report.Attempt_)) {
    onUnknownAttempt(Context, Sender, Report);
    return Ack();
  }
  bool HasAttempt = Task.Phase_ == TaskPhase::Committing ||
                    Task.Phase_ == TaskPhase::Running ||
                    Task.Phase_ == TaskPhase::Held;
  if (HasAttempt)
    applyReport(State, Context, *Job, Task, Sender, Report);
  Ack();
}

void onLocateReply(State &State, Context &Context, const NodeId &Sender,
                   const workers::LocateReply &Reply) {
  std::set<AttemptId> Present;
  for (const workers::TaskReport &Report : Reply.Attempts_) {
    Present.insert(Report.Attempt_);
    if (AttemptState(Report.State_) != AttemptState::Unsettled)
      onReport(State, Context, Sender, Report);
  }
  for (auto &[FormerHome, Recovery] : State.Recoveries_)
    if (Reply.MinNext_ >= Recovery.MinNext_)
      Recovery.Unaccounted_.erase(Reply.Worker_);
  // An attempt that is missing from the worker's inventory is over.
  for (auto &[Id, Job] : State.HomedJobs_)
    for (Task &Task : Job.Tasks_)
      if (Task.Worker_ == Reply.Worker_ && !Present.count(Task.Attempt_) &&
          Reply.Nonce_ > Task.CommitNonce_ && isLocatable(Task))
        retryTask(State, Context, Job, Task, AttemptState::Stopped);
}

void reset(State &State) {
  State.HomedJobs_.clear();
  State.Recoveries_.clear();
  State.UsesQueued_.clear();
}

nlohmann::json explain(const State &State, const JobId &Id) {
  static const char *const Names[] = {
      "pending", "asking-for-room", "holding",  "starting",
      "running", "recovering",      "finished", "ended"};
  nlohmann::json Out = nlohmann::json::array();
  auto It = State.HomedJobs_.find(Id);
  if (It == State.HomedJobs_.end())
    return Out;
  for (std::size_t I = 0; I < It->second.Tasks_.size(); ++I) {
    const Task &Task = It->second.Tasks_[I];
    Out.push_back({{"task", I},
                   {"phase", Names[std::size_t(Task.Phase_)]},
                   {"worker", Task.Worker_},
                   {"attempts", Task.Attempts_},
                   {"failed_on", Task.FailedOn_},
                   {"refused_because", Task.Reasons_}});
  }
  return Out;
}

} // namespace pollenvale::jobs
