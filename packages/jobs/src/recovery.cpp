#include "jobs/detail/recovery.hpp"

namespace pollenvale::jobs {

using workers::AttemptState;

namespace {

/// Sends a locate request to every node that could hold one of the workers.
void sendLocate(State &State, Context &Context, std::vector<WorkerId> Workers,
                Offset MinNext) {
  workers::LocateRequest Request{std::move(Workers), MinNext,
                                 ++State.LocateNonce_};
  for (const NodeId &Peer :
       membership::livePeers(Context.Members_, Context.Now_))
    peering::send(Context.Out_, Peer, Request);
  peering::send(Context.Out_, Context.Self_, std::move(Request));
}

/// Makes tasks pending that were recovering, unless another former home of
/// their job has a recovery too.
void finishRecovery(State &State, Context &Context, const NodeId &FormerHome) {
  count(State.Counters_, "recovery-complete");
  for (auto &[Id, Job] : State.HomedJobs_) {
    if (!Job.Recovering_.erase(FormerHome) || !Job.Recovering_.empty())
      continue;
    Job.NextCheck_ = {};
    for (Task &Task : Job.Tasks_)
      if (Task.Phase_ == TaskPhase::Recovering) {
        Task.Phase_ = TaskPhase::Pending;
        Task.NextAction_ = Context.Now_;
      }
  }
}

/// True when a locate request for the task's attempt is due.
bool needsLocate(const Task &Task, const Context &Context) {
  if (!isLocatable(Task))
    return false;
  if (Context.Now_ >= Task.NextAudit_)
    return true;
  // The holder became unreachable after the last request.
  return Task.NextAudit_ > Context.Now_ + LocateInterval &&
         !membership::isLive(Context.Members_, Context.Now_, Task.Holder_);
}

} // namespace

bool isLocatable(const Task &Task) {
  return Task.Phase_ == TaskPhase::Committing ||
         Task.Phase_ == TaskPhase::Running;
}

void adoptAttempt(Task &Task, const workers::TaskReport &Report) {
  auto Reported = AttemptState(Report.State_);
  if (Reported == AttemptState::Failed)
    Task.FailedOn_.insert(Report.Worker_);
  if (Reported != AttemptState::Running && Reported != AttemptState::Finished)
    return;
  Task.Attempt_ = Report.Attempt_;
  Task.Worker_ = Report.Worker_;
  Task.Phase_ = TaskPhase::Committing;
}

bool isGone(State &State, const Context &Context, const WorkerId &Worker) {
  if (!Context.Members_.HasVmList_ || Context.Members_.Vms_.count(Worker))
    return false;
  auto It = Context.Members_.AbsentSince_.find(Worker);
  TimePoint Since = It != Context.Members_.AbsentSince_.end()
                        ? It->second
                        : State.UnlistedSince_.try_emplace(Worker, Context.Now_)
                              .first->second;
  return elapsed(Since, Context.Now_) >= GoneTimeout;
}

void tickRecoveries(State &State, Context &Context) {
  for (auto It = State.Recoveries_.begin(); It != State.Recoveries_.end();) {
    Recovery &Recovery = It->second;
    std::erase_if(Recovery.Unaccounted_, [&](const WorkerId &Worker) {
      return isGone(State, Context, Worker);
    });
    if (Recovery.Unaccounted_.empty()) {
      finishRecovery(State, Context, It->first);
      It = State.Recoveries_.erase(It);
      continue;
    }
    if (Context.Now_ >= Recovery.NextLocate_) {
      Recovery.NextLocate_ = Context.Now_ + MessageRetry;
      sendLocate(State, Context,
                 {Recovery.Unaccounted_.begin(), Recovery.Unaccounted_.end()},
                 Recovery.MinNext_);
    }
    ++It;
  }
}

void locateAttempts(State &State, Context &Context) {
  std::set<WorkerId> Workers;
  bool GoneCheckDue = Context.Now_ >= State.NextGoneCheck_;
  if (GoneCheckDue)
    State.NextGoneCheck_ = Context.Now_ + GoneCheckInterval;
  for (auto &[Id, Job] : State.HomedJobs_) {
    if (Context.Now_ < Job.NextCheck_ && !GoneCheckDue)
      continue;
    for (Task &Task : Job.Tasks_) {
      if (!isLocatable(Task))
        continue;
      if (GoneCheckDue && isGone(State, Context, Task.Worker_)) {
        count(State.Counters_, "attempt-worker-gone");
        retryTask(State, Context, Job, Task, AttemptState::Stopped);
        continue;
      }
      if (!needsLocate(Task, Context))
        continue;
      bool IsCertain =
          Task.Phase_ == TaskPhase::Running && !Task.Stopping_ &&
          membership::isLive(Context.Members_, Context.Now_, Task.Holder_);
      Task.NextAudit_ =
          Context.Now_ + (IsCertain ? AuditInterval : LocateInterval);
      Workers.insert(Task.Worker_);
    }
  }
  if (!Workers.empty())
    sendLocate(State, Context, {Workers.begin(), Workers.end()},
               Context.Log_.Next_);
}

} // namespace pollenvale::jobs
