#include "jobs/detail/round.hpp"

#include "jobs/detail/choose_holder.hpp"
#include "jobs/detail/recovery.hpp"
#include "jobs/detail/shares.hpp"
#include "jobs/detail/wake.hpp"

namespace pollenvale::jobs {

namespace {

/// A hold may be committed this long after its request, so that the commit
/// reaches the holder before the hold expires.
constexpr Milliseconds CommitWindow = workers::HoldTtl - Milliseconds(1'000);

workers::TaskSpec taskSpec(const JobSpec &Spec, QuotaStatus Status) {
  workers::TaskSpec Task;
  Task.Kind_ = std::uint8_t(Spec.Kind_);
  Task.Name_ = Spec.Name_;
  Task.Team_ = Spec.Team_;
  Task.Size_ = Spec.Size_;
  Task.RunMs_ = std::uint32_t(Spec.RunTime_.count());
  Task.Slots_ = Spec.Slots_;
  Task.Urgent_ = Spec.Urgent_;
  Task.Borrowed_ = Status == QuotaStatus::Borrowed;
  return Task;
}

bool isUseRecorded(const Context &Context, const WorkerId &Worker) {
  auto It = Context.Table_.Uses_.find(Context.Self_);
  return It != Context.Table_.Uses_.end() && It->second.count(Worker) > 0;
}

/// Delays the next round of hold requests, in which every holder may be asked
/// again.
void scheduleRetry(State &State, const Context &Context, Task &Task) {
  Task.RefusedBy_.clear();
  Task.WaitsForRoom_ = true;
  Task.Backoff_ =
      std::min(MaxPlacementBackoff, Task.Backoff_ * 2 + PlacementBackoff);
  auto Jitter =
      Milliseconds(State.Random_.below(std::uint64_t(Task.Backoff_.count())));
  Task.NextAction_ = Context.Now_ + Task.Backoff_ / 2 + Jitter / 2;
}

/// Requests a hold for one task, or backs off without a holder or quota.
void requestHold(State &State, Context &Context, HomedJob &Job,
                 std::uint32_t Index, const JobSpec &Spec) {
  Task &Task = Job.Tasks_[Index];
  QuotaStatus Status = quotaStatus(State, Context, Spec);
  if (Status == QuotaStatus::Refused) {
    Task.Reasons_["quota"] = 1;
    count(State.Counters_, "wait-quota");
    return scheduleRetry(State, Context, Task);
  }
  bool Spread = config::policyFor(Context.Config_.Doc_, Spec).Placement_ ==
                config::Placement::Spread;
  NodeId Holder = chooseHolder(Context, Job, Task, Spec, Spread,
                               Status == QuotaStatus::Entitled);
  if (Holder.empty()) {
    if (Task.RefusedBy_.empty())
      Task.Reasons_["no-holder-with-room"] = 1;
    count(State.Counters_, "wait-no-room");
    return scheduleRetry(State, Context, Task);
  }
  if (Task.RefusedBy_.empty())
    Task.Reasons_.clear();
  Task.Phase_ = TaskPhase::Holding;
  Task.Holder_ = Holder;
  Task.HoldRequestedAt_ = Context.Now_;
  Task.NextAction_ = Context.Now_ + MessageRetry;
  Task.Attempt_ = {Job.Id_, Index, Context.Self_, ++Task.Attempts_};
  State.TeamUsage_[Spec.Team_] += Spec.Size_;
  workers::HoldRequest Request;
  Request.Attempt_ = Task.Attempt_;
  Request.Task_ = taskSpec(Spec, Status);
  Request.Entitled_ = Status == QuotaStatus::Entitled;
  for (const auto &[Key, Values] :
       config::effectiveSelector(Context.Config_.Doc_, Spec))
    Request.Selector_[Key] = {Values.begin(), Values.end()};
  Request.Spread_ = Spread;
  // At the maximum backoff a worker where the task has failed is acceptable.
  if (Task.Backoff_ < MaxPlacementBackoff)
    Request.Avoid_ = {Task.FailedOn_.begin(), Task.FailedOn_.end()};
  peering::send(Context.Out_, Holder, std::move(Request));
}

/// Sends a release to the task's holder, unless it is unreachable.
void sendRelease(Context &Context, const Task &Task, const char *Reason) {
  NodeId Recipient =
      membership::isLive(Context.Members_, Context.Now_, Task.Holder_)
          ? Task.Holder_
          : NodeId();
  if (!Recipient.empty())
    peering::send(Context.Out_, Recipient,
                  workers::Release{Task.Attempt_, Task.Worker_, Reason});
}

/// Abandons a hold that was never committed. If the release is lost, the holder
/// drops the hold when it expires.
void abandonHold(State &State, Context &Context, Task &Task) {
  sendRelease(Context, Task, "abandoned");
  count(State.Counters_, "hold-abandoned");
  Task.Phase_ = TaskPhase::Pending;
  Task.Holder_.clear();
  Task.Worker_.clear();
  scheduleRetry(State, Context, Task);
}

/// Sends the commit of a held task.
void sendCommit(State &State, Context &Context, Task &Task) {
  Task.Phase_ = TaskPhase::Committing;
  Task.CommitNonce_ = State.LocateNonce_;
  Task.NextAction_ = Context.Now_ + MessageRetry;
  Task.NextAudit_ = Context.Now_ + LocateInterval;
  peering::send(Context.Out_, Task.Holder_,
                workers::Commit{Task.Attempt_, Task.Worker_});
}

/// True when the hold can be committed now.
bool mayCommit(const Context &Context, const Task &Task) {
  return Task.Phase_ == TaskPhase::Held &&
         isUseRecorded(Context, Task.Worker_) &&
         elapsed(Task.HoldRequestedAt_, Context.Now_) < CommitWindow;
}

/// Commits each held task on its own, and abandons holds that are too old.
void commitSingles(State &State, Context &Context, HomedJob &Job) {
  for (Task &Task : Job.Tasks_)
    if (mayCommit(Context, Task))
      sendCommit(State, Context, Task);
    else if (isHoldStage(Task) &&
             elapsed(Task.HoldRequestedAt_, Context.Now_) >= CommitWindow)
      abandonHold(State, Context, Task);
}

/// Commits a gang when the holds of all its tasks can be committed, and
/// abandons all holds when one is too old.
void commitGang(State &State, Context &Context, HomedJob &Job) {
  bool AllHeld =
      std::all_of(Job.Tasks_.begin(), Job.Tasks_.end(),
                  [&](const Task &Task) { return mayCommit(Context, Task); });
  if (AllHeld) {
    for (Task &Task : Job.Tasks_)
      sendCommit(State, Context, Task);
    return;
  }
  bool IsOverdue =
      std::any_of(Job.Tasks_.begin(), Job.Tasks_.end(), [&](const Task &Task) {
        return isHoldStage(Task) &&
               elapsed(Task.HoldRequestedAt_, Context.Now_) >= GangDeadline;
      });
  if (!IsOverdue)
    return;
  count(State.Counters_, "gang-released");
  auto RetryAt =
      Context.Now_ + PlacementBackoff +
      Milliseconds(State.Random_.below(PlacementBackoff.count() * 4));
  for (Task &Task : Job.Tasks_) {
    if (isHoldStage(Task))
      abandonHold(State, Context, Task);
    Task.NextAction_ = RetryAt;
  }
}

/// Stops the remaining tasks of a gang that lost one. Returns true while the
/// gang must not be placed.
bool regroupGang(State &State, Context &Context, HomedJob &Job) {
  bool LostTask = false, MayRun = false;
  for (const Task &Task : Job.Tasks_) {
    LostTask |= Task.Phase_ == TaskPhase::Pending;
    MayRun |= isLocatable(Task) || Task.Phase_ == TaskPhase::Recovering;
  }
  if (!LostTask)
    return MayRun;
  if (!MayRun) {
    for (Task &Task : Job.Tasks_)
      if (Task.Phase_ == TaskPhase::Finished)
        Task.Phase_ = TaskPhase::Pending;
    return false;
  }
  for (Task &Task : Job.Tasks_) {
    if (!isLocatable(Task) || Context.Now_ < Task.NextAction_)
      continue;
    count(State.Counters_, "gang-regrouped");
    Task.Stopping_ = true;
    Task.NextAction_ = Context.Now_ + MessageRetry;
    sendRelease(Context, Task, "gang-regroup");
  }
  return true;
}

/// Repeats commits without a report so far.
void repeatCommits(Context &Context, HomedJob &Job) {
  for (Task &Task : Job.Tasks_)
    if (Task.Phase_ == TaskPhase::Committing &&
        Context.Now_ >= Task.NextAction_) {
      Task.NextAction_ = Context.Now_ + MessageRetry;
      peering::send(Context.Out_, Task.Holder_,
                    workers::Commit{Task.Attempt_, Task.Worker_});
    }
}

/// Appends the job's outcome to the log, once.
void closeJob(State &State, Context &Context, HomedJob &Job,
              const char *Outcome, const std::string &Reason) {
  if (Job.OutcomeQueued_)
    return;
  Job.OutcomeQueued_ = true;
  count(State.Counters_, std::string("job-") + Outcome);
  peering::noteJob(Context.Out_, "job-ended", Job.Id_,
                   {{"state", Outcome}, {"reason", Reason}});
  eventlog::append(Context.Log_,
                   eventlog::OutcomeRecord{Job.Id_, Outcome, Reason}, true);
}

/// Stops every task, and closes the job once no task can run any more.
void stopJob(State &State, Context &Context, HomedJob &Job, const char *Outcome,
             const std::string &Reason) {
  bool AllEnded = true;
  for (Task &Task : Job.Tasks_) {
    if (Task.Phase_ == TaskPhase::Holding || Task.Phase_ == TaskPhase::Held) {
      abandonHold(State, Context, Task);
      Task.Phase_ = TaskPhase::Ended;
    }
    if (Task.Phase_ == TaskPhase::Pending)
      Task.Phase_ = TaskPhase::Ended;
    if (Task.Phase_ == TaskPhase::Finished || Task.Phase_ == TaskPhase::Ended)
      continue;
    AllEnded = false;
    if (isLocatable(Task) &&
        (!Task.Stopping_ || Context.Now_ >= Task.NextAction_)) {
      if (!Task.Stopping_)
        Task.NextAudit_ = Context.Now_ + LocateInterval;
      Task.Stopping_ = true;
      Task.NextAction_ = Context.Now_ + MessageRetry;
      sendRelease(Context, Task, Outcome);
    }
  }
  if (AllEnded)
    closeJob(State, Context, Job, Outcome, Reason);
}

/// Drains tasks of a service that exceed its configured number, or whose worker
/// is leaving, drained, or no longer matches the selector.
void drainTasks(State &State, Context &Context, HomedJob &Job,
                const JobSpec &Spec) {
  auto Wanted = config::effectiveSelector(Context.Config_.Doc_, Spec);
  std::size_t Draining =
      std::count_if(Job.Tasks_.begin(), Job.Tasks_.end(), [](const Task &Task) {
        return Task.Draining_ || Task.Phase_ != TaskPhase::Running;
      });
  std::size_t Limit =
      std::max<std::size_t>(1, Job.Tasks_.size() / DrainDivisor);
  for (std::size_t I = 0; I < Job.Tasks_.size(); ++I) {
    Task &Task = Job.Tasks_[I];
    auto Found = Context.Members_.Vms_.find(Task.Worker_);
    if (Task.Phase_ != TaskPhase::Running ||
        Found == Context.Members_.Vms_.end())
      continue;
    bool Surplus = I >= Spec.Tasks_;
    const membership::Vm &Vm = Found->second;
    Labels Current = config::labelsOf(Context.Config_.Doc_, Vm.Name_, Vm.Rack_,
                                      Vm.Dc_, Vm.Labels_);
    bool IsMatch = matches(Wanted, Current);
    bool Leaving = Vm.Leaving_ || config::isDrained(Current);
    if (!Task.Draining_) {
      if (!Surplus && !Leaving && (IsMatch || Draining >= Limit))
        continue;
      Task.Draining_ = true;
      Task.NextAction_ = Context.Now_;
      ++Draining;
      count(State.Counters_, "task-drained");
    }
    if (Context.Now_ >= Task.NextAction_) {
      Task.NextAction_ = Context.Now_ + MessageRetry;
      sendRelease(Context, Task, "drain");
    }
  }
}

bool allFinished(const HomedJob &Job) {
  return std::all_of(
      Job.Tasks_.begin(), Job.Tasks_.end(),
      [](const Task &Task) { return Task.Phase_ == TaskPhase::Finished; });
}

} // namespace

bool isHoldStage(const Task &Task) {
  return Task.Phase_ == TaskPhase::Holding || Task.Phase_ == TaskPhase::Held;
}

const JobSpec &specOf(const Context &Context, const Job &TableJob) {
  if (TableJob.Spec_.Kind_ == JobKind::Service)
    if (auto It = Context.Config_.Doc_.Services_.find(TableJob.Spec_.Name_);
        It != Context.Config_.Doc_.Services_.end())
      return It->second.Spec_;
  return TableJob.Spec_;
}

void queueUse(State &State, Context &Context, const WorkerId &Worker) {
  if (isUseRecorded(Context, Worker) ||
      !State.UsesQueued_.insert(Worker).second)
    return;
  eventlog::append(Context.Log_, eventlog::UsesRecord{Context.Self_, {Worker}},
                   true);
}

void advanceJob(State &State, Context &Context, HomedJob &Job) {
  const jobs::Job &TableJob = Context.Table_.Jobs_.at(Job.Id_);
  const JobSpec &Spec = specOf(Context, TableJob);
  if (Job.OutcomeQueued_)
    return;
  if (allFinished(Job))
    return closeJob(State, Context, Job, "done", "");
  if (TableJob.Cancelled_)
    return stopJob(State, Context, Job, "cancelled", "cancelled");
  if (!Job.FailureReason_.empty())
    return stopJob(State, Context, Job, "failed", Job.FailureReason_);
  if (Spec.Kind_ == JobKind::Service) {
    if (!Context.Config_.Doc_.Services_.count(Spec.Name_) &&
        Context.Config_.VersionKnown_)
      return stopJob(State, Context, Job, "cancelled",
                     "removed from configuration");
    growTasks(Job, Spec.Tasks_);
    drainTasks(State, Context, Job, Spec);
  }
  repeatCommits(Context, Job);
  bool Gang = Spec.Kind_ == JobKind::Gang;
  if (Gang && regroupGang(State, Context, Job))
    return;
  for (std::uint32_t I = 0; I < Job.Tasks_.size(); ++I) {
    Task &Task = Job.Tasks_[I];
    // A leaving node starts no tasks of the jobs that it hands over.
    if (Task.Phase_ != TaskPhase::Pending || Context.Now_ < Task.NextAction_ ||
        Context.Members_.Leaving_)
      continue;
    if (Spec.Kind_ == JobKind::Service && I >= Spec.Tasks_)
      Task.Phase_ = TaskPhase::Ended;
    else
      requestHold(State, Context, Job, I, Spec);
  }
  if (Gang)
    commitGang(State, Context, Job);
  else
    commitSingles(State, Context, Job);
}

namespace {

/// Repeats accept and uses records in the log before retention removes them.
void repeatRecords(State &State, Context &Context) {
  auto Due = [&](TimePoint LastRecorded) {
    return elapsed(LastRecorded, Context.Now_) >= Context.Retention_ / 2;
  };
  for (auto &[Id, Job] : State.HomedJobs_) {
    if (!Due(Job.RecordedAt_))
      continue;
    Job.RecordedAt_ = Context.Now_;
    const jobs::Job &TableJob = Context.Table_.Jobs_.at(Id);
    eventlog::append(Context.Log_,
                     eventlog::AcceptRecord{Id, TableJob.Spec_, Context.Self_,
                                            TableJob.Cancelled_,
                                            TableJob.Attached_},
                     true);
  }
  auto Uses = Context.Table_.Uses_.find(Context.Self_);
  if (!Due(State.UsesRecordedAt_) || Uses == Context.Table_.Uses_.end())
    return;
  State.UsesRecordedAt_ = Context.Now_;
  eventlog::append(
      Context.Log_,
      eventlog::UsesRecord{Context.Self_,
                           {Uses->second.begin(), Uses->second.end()}},
      true);
}

/// Jobs to check: urgent ones first, then by increasing share of the quota that
/// their team uses.
std::vector<HomedJob *> placingOrder(State &State, const Context &Context) {
  std::map<std::string, double> Shares;
  for (const auto &[Team, Quota] : Context.Config_.Doc_.Quotas_)
    Shares[Team] = quotaShare(State, Context, Team);
  std::vector<std::tuple<bool, double, HomedJob *>> Order;
  for (auto &[Id, Job] : State.HomedJobs_) {
    if (Context.Now_ < Job.NextCheck_ && Job.TasksWithoutRoom_ == 0)
      continue;
    const JobSpec &Spec = Context.Table_.Jobs_.at(Id).Spec_;
    auto Share = Shares.find(Spec.Team_);
    Order.emplace_back(!Spec.Urgent_, Share == Shares.end() ? 0 : Share->second,
                       &Job);
  }
  std::stable_sort(Order.begin(), Order.end(),
                   [](const auto &A, const auto &B) {
                     return std::tie(std::get<0>(A), std::get<1>(A)) <
                            std::tie(std::get<0>(B), std::get<1>(B));
                   });
  std::vector<HomedJob *> Sorted;
  for (const auto &[NotUrgent, Share, Job] : Order)
    Sorted.push_back(Job);
  return Sorted;
}

/// Time of the job's next check without an event: at once while a task is being
/// placed, stopped, drained or recovered, at the end of a backoff, otherwise
/// after JobCheckInterval.
TimePoint nextCheck(const Context &Context, const HomedJob &Job) {
  TimePoint Next = Context.Now_ + JobCheckInterval;
  for (const Task &Task : Job.Tasks_) {
    bool Settled = Task.Phase_ == TaskPhase::Running ||
                   Task.Phase_ == TaskPhase::Finished ||
                   Task.Phase_ == TaskPhase::Ended;
    if (Task.Phase_ == TaskPhase::Pending)
      Next = std::min(Next, Task.NextAction_);
    else if (!Settled || Task.Stopping_ || Task.Draining_)
      return {};
  }
  return Next;
}

} // namespace

void tick(State &State, Context &Context) {
  if (State.UsesRecordedAt_ == TimePoint{})
    State.UsesRecordedAt_ = Context.Now_;
  tickRecoveries(State, Context);
  locateAttempts(State, Context);
  sumTeamUsage(State, Context);
  auto Order = placingOrder(State, Context);
  wakeForRoom(State, Context, Order);
  for (HomedJob *Job : Order) {
    if (Context.Now_ < Job->NextCheck_)
      continue;
    advanceJob(State, Context, *Job);
    Job->NextCheck_ = nextCheck(Context, *Job);
  }
  repeatRecords(State, Context);
}

} // namespace pollenvale::jobs
