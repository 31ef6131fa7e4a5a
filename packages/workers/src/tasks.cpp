#include "workers/detail/preempt.hpp"
#include "workers/detail/usage.hpp"
#include "workers/detail/worker_call.hpp"
#include "workers/workers.hpp"

namespace pollenvale::workers {

using peering::WorkerOp;

namespace {

/// The attempt, or null when it is on no held worker. Sets \p Worker to its
/// worker and makes that worker's next check due.
Attempt *findAttempt(State &State, const AttemptId &Id, Worker *&Worker) {
  auto Found = State.WorkerByAttempt_.find(Id);
  if (Found == State.WorkerByAttempt_.end())
    return nullptr;
  Worker = &State.Workers_.at(Found->second);
  Worker->NextCheck_ = {};
  auto It = Worker->Attempts_.find(Id);
  return It == Worker->Attempts_.end() ? nullptr : &It->second;
}

void refuseHold(State &State, const NodeId &Recipient, const AttemptId &Id,
                const std::string &Reason, peering::Outbox &Out) {
  count(State.Counters_, "hold-refused-" + Reason);
  peering::send(Out, Recipient, HoldReply{Id, false, "", {{Reason, 1}}});
}

void dropAttempt(State &State, Worker &Worker, const AttemptId &Id) {
  Worker.Attempts_.erase(Id);
  State.WorkerByAttempt_.erase(Id);
}

void reportNotRun(const NodeId &Recipient, const AttemptId &Id,
                  const WorkerId &Worker, const std::string &Reason,
                  peering::Outbox &Out) {
  peering::send(
      Out, Recipient,
      TaskReport{Id, Worker, std::uint8_t(AttemptState::NotRun), Reason});
}

/// True when the inventory of the worker is known: an attempt that is missing
/// from it does not run there and, without a hold, never will.
bool hasInventory(const State &State, const WorkerId &Name, TimePoint Now) {
  auto It = State.Workers_.find(Name);
  return It != State.Workers_.end() && isHeld(It->second, Now) &&
         !It->second.NeedsReacquire_;
}

/// The expected usage of the task, or its declared size if the expected usage
/// exceeds the capacity of every worker that matches the selector.
Resources sizeToReserve(const State &State, const HoldRequest &Request,
                        const Selector &Wanted) {
  Resources Expected = expectedUsage(State, Request.Task_);
  std::size_t Matching = 0;
  if (Expected == Request.Task_.Size_ ||
      placement::maxRunnableTasks(State.Index_, Wanted, Expected, 1, Matching) >
          0)
    return Expected;
  return Request.Task_.Size_;
}

placement::Query placementQuery(const State &State,
                                const HoldRequest &Request) {
  placement::Query Query;
  for (const auto &[Key, Values] : Request.Selector_)
    Query.Selector_[Key] = {Values.begin(), Values.end()};
  Query.Size_ = sizeToReserve(State, Request, Query.Selector_);
  Query.Spread_ = Request.Spread_;
  Query.Avoid_ = {Request.Avoid_.begin(), Request.Avoid_.end()};
  if (!Request.Spread_)
    return Query;
  AttemptId FirstOfJob;
  FirstOfJob.Job_ = Request.Attempt_.Job_;
  for (auto It = State.WorkerByAttempt_.lower_bound(FirstOfJob);
       It != State.WorkerByAttempt_.end() && It->first.Job_ == FirstOfJob.Job_;
       ++It) {
    const Worker &Worker = State.Workers_.at(It->second);
    ++Query.TasksByRack_[Worker.Vm_.Rack_];
    ++Query.TasksByDc_[Worker.Vm_.Dc_];
  }
  return Query;
}

/// Records that a task of a job failed, and sets the worker aside when tasks of
/// SetAsideThreshold distinct jobs failed there. A job that fails on several
/// workers counts only against the first of them: the job is the likely cause.
void recordFailure(State &State, Worker &Worker, const JobId &Job,
                   TimePoint Now) {
  auto &FailedOn = State.FailuresByJob_[Job];
  FailedOn.insert(Worker.Vm_.Name_);
  constexpr std::size_t MaxFailureRecords = 10'000;
  if (State.FailuresByJob_.size() > MaxFailureRecords)
    State.FailuresByJob_.erase(State.FailuresByJob_.begin());
  if (FailedOn.size() == 1)
    Worker.FailedJobs_.insert(Job);
  if (Worker.FailedJobs_.size() < SetAsideThreshold)
    return;
  Worker.SetAsideUntil_ = Now + SetAsideDuration;
  // When it gets tasks again, one more failing job sets it aside again.
  Worker.FailedJobs_.erase(Worker.FailedJobs_.begin());
  count(State.Counters_, "worker-set-aside");
}

void sendStop(State &State, Worker &Worker, const AttemptId &Id,
              Attempt &Attempt, const NodeId &Self, TimePoint Now,
              peering::Outbox &Out) {
  sendCall(State, Worker,
           Attempt.Preempted_ ? WorkerOp::Checkpoint : WorkerOp::Stop, Self, Id,
           Now, Out);
  Attempt.StopInFlight_ = true;
  Attempt.NextStop_ = Now + RenewInterval;
}

/// True when the job of an attempt is closed, or when it is unknown although
/// the log was read to its end after the attempt became known here.
bool isOrphan(const Worker &Worker, const AttemptId &Id, Attempt &Attempt,
              const JobsView &Jobs) {
  // Without a new record in the log, an open job stays open.
  if (Attempt.OpenAtOffset_ == Jobs.LogNext_)
    return false;
  if (Jobs.HomeOf_(Id.Job_)) {
    Attempt.OpenAtOffset_ = Jobs.LogNext_;
    return false;
  }
  return Jobs.IsClosed_(Id.Job_) || (Jobs.FreshAsOf_ > Worker.AcquiredAt_ &&
                                     Jobs.FreshAsOf_ > Attempt.StartedAt_);
}

/// Advances one attempt: expires its hold, sends its stop call, repeats its
/// report. Returns false when the attempt is to be dropped.
bool tickAttempt(State &State, Worker &Worker, const AttemptId &Id,
                 Attempt &Attempt, TimePoint Now, const NodeId &Self,
                 const JobsView &Jobs,
                 const std::function<bool(const AttemptId &)> &InUse,
                 peering::Outbox &Out) {
  if (Attempt.Phase_ == Phase::Holding) {
    if (Now < Attempt.HoldUntil_)
      return true;
    count(State.Counters_, "hold-lapsed");
    return false;
  }
  bool Orphaned = isOrphan(Worker, Id, Attempt, Jobs);
  if (Attempt.Phase_ == Phase::Running) {
    if (!Attempt.StartReported_) {
      Attempt.StartReported_ = true;
      report(Id, Attempt, Worker.Vm_.Name_, Jobs, Out);
    }
    if (!Attempt.Usage_ &&
        elapsed(Attempt.StartedAt_, Now) >= ExpectedUsageTimeout)
      recordUsage(State, Attempt, std::nullopt);
    if (Orphaned && !Attempt.StopWanted_) {
      count(State.Counters_, "orphan-stopped");
      Attempt.StopWanted_ = true;
    }
    bool StopDue = Attempt.StopWanted_ || (Attempt.Draining_ && !InUse(Id));
    if (StopDue && !Attempt.StopInFlight_ && Now >= Attempt.NextStop_)
      sendStop(State, Worker, Id, Attempt, Self, Now, Out);
    return true;
  }
  if (Attempt.Phase_ != Phase::Ended)
    return true;
  if (Orphaned) {
    Worker.Forget_.insert(Id);
    return true;
  }
  if (Now >= Attempt.NextReport_ && !Attempt.Acknowledged_) {
    if (Attempt.NextReport_ == TimePoint{} &&
        Attempt.Result_ == AttemptState::Failed)
      recordFailure(State, Worker, Id.Job_, Now);
    if (Attempt.NextReport_ == TimePoint{})
      peering::noteAttempt(Out, "task-ended", Id,
                           {{"state", toString(Attempt.Result_)},
                            {"worker", Worker.Vm_.Name_},
                            {"reason", Attempt.Reason_}});
    Attempt.NextReport_ = Now + ReportRetry;
    report(Id, Attempt, Worker.Vm_.Name_, Jobs, Out);
  }
  return true;
}

} // namespace

void endAttempt(State &State, Worker &Worker, const AttemptId &Id,
                AttemptState Result, const std::string &Reason) {
  Attempt &Attempt = Worker.Attempts_.at(Id);
  Attempt.Phase_ = Phase::Ended;
  Attempt.Result_ = Result;
  Attempt.Reason_ = Reason;
  if (Result == AttemptState::Finished)
    Worker.FailedJobs_.clear();
  count(State.Counters_, Result == AttemptState::Finished ? "task-finished"
                         : Result == AttemptState::Failed ? "task-failed"
                         : Result == AttemptState::NotRun ? "task-not-run"
                                                          : "task-stopped");
}

void report(const AttemptId &Id, const Attempt &Attempt, const WorkerId &Worker,
            const JobsView &Jobs, peering::Outbox &Out) {
  if (Attempt.Phase_ != Phase::Running && Attempt.Phase_ != Phase::Ended)
    return;
  if (auto Home = Jobs.HomeOf_(Id.Job_))
    peering::send(
        Out, *Home,
        TaskReport{Id, Worker, std::uint8_t(Attempt.Result_), Attempt.Reason_});
}

void onHoldRequest(State &State, TimePoint Now, const NodeId &Sender,
                   const HoldRequest &Request, const JobsView &Jobs,
                   peering::Outbox &Out) {
  Worker *Current = nullptr;
  if (const Attempt *Attempt = findAttempt(State, Request.Attempt_, Current)) {
    if (Attempt->Reserved_)
      return;
    peering::send(Out, Sender,
                  HoldReply{Request.Attempt_, true, Current->Vm_.Name_, {}});
    return;
  }
  auto Home = Jobs.HomeOf_(Request.Attempt_.Job_);
  if (!Home || *Home != Sender)
    return refuseHold(State, Sender, Request.Attempt_,
                      Home ? "not-home" : "job-not-seen", Out);
  placement::Query Query = placementQuery(State, Request);
  auto Choice = placement::choose(State.Index_, Query);
  if (Choice.Worker_.empty() && (Request.Task_.Urgent_ || Request.Entitled_) &&
      preemptFor(State, Now, Sender, Request, Jobs))
    return;
  if (Choice.Worker_.empty()) {
    count(State.Counters_, "hold-refused-no-room");
    peering::send(Out, Sender,
                  HoldReply{Request.Attempt_, false, "", Choice.Reasons_});
    return;
  }
  Worker &Worker = State.Workers_.at(Choice.Worker_);
  Worker.NextCheck_ = {};
  if (!isOpenForStarts(Worker, Now, Jobs))
    return refuseHold(State, Sender, Request.Attempt_, "worker-not-open", Out);
  Attempt Hold;
  Hold.Task_ = Request.Task_;
  Hold.ExpectedUsage_ = Query.Size_;
  Hold.HoldUntil_ = Now + HoldTtl;
  Worker.Attempts_[Request.Attempt_] = std::move(Hold);
  State.WorkerByAttempt_[Request.Attempt_] = Choice.Worker_;
  reindex(State, Worker, Now);
  peering::send(Out, Sender,
                HoldReply{Request.Attempt_, true, Choice.Worker_, {}});
}

void onCommit(State &State, TimePoint Now, const NodeId &Sender,
              const NodeId &Self, const Commit &Commit, const JobsView &Jobs,
              peering::Outbox &Out) {
  Worker *Worker = nullptr;
  Attempt *Attempt = findAttempt(State, Commit.Attempt_, Worker);
  if (!Attempt) {
    if (hasInventory(State, Commit.Worker_, Now))
      reportNotRun(Sender, Commit.Attempt_, Commit.Worker_, "no-hold", Out);
    return;
  }
  if (Attempt->Reserved_)
    return;
  if (Attempt->Phase_ != Phase::Holding)
    return report(Commit.Attempt_, *Attempt, Worker->Vm_.Name_, Jobs, Out);
  auto Home = Jobs.HomeOf_(Commit.Attempt_.Job_);
  if (!Home || *Home != Sender || !isOpenForStarts(*Worker, Now, Jobs) ||
      Worker->Vm_.Leaving_) {
    count(State.Counters_, "commit-refused");
    WorkerId Name = Worker->Vm_.Name_;
    dropAttempt(State, *Worker, Commit.Attempt_);
    reindex(State, *Worker, Now);
    return reportNotRun(Sender, Commit.Attempt_, Name, "commit-refused", Out);
  }
  Attempt->Phase_ = Phase::Starting;
  peering::noteAttempt(Out, "task-starting", Commit.Attempt_,
                       {{"worker", Worker->Vm_.Name_}, {"home", Sender}});
  sendCall(State, *Worker, WorkerOp::Start, Self, Commit.Attempt_, Now, Out)
      .Task_ = Attempt->Task_;
  ++Worker->StartsInFlight_;
}

void onRelease(State &State, TimePoint Now, const NodeId &Sender,
               const Release &Request, peering::Outbox &Out) {
  Worker *Worker = nullptr;
  Attempt *Attempt = findAttempt(State, Request.Attempt_, Worker);
  if (!Attempt) {
    if (hasInventory(State, Request.Worker_, Now))
      reportNotRun(Sender, Request.Attempt_, Request.Worker_, "released", Out);
    return;
  }
  if (Attempt->Phase_ == Phase::Holding) {
    WorkerId Name = Worker->Vm_.Name_;
    dropAttempt(State, *Worker, Request.Attempt_);
    reindex(State, *Worker, Now);
    reportNotRun(Sender, Request.Attempt_, Name, "released", Out);
  } else if (Attempt->Phase_ == Phase::Ended) {
    Attempt->NextReport_ = Now;
  } else if (Request.Reason_ == "drain") {
    Attempt->Draining_ = true;
  } else {
    Attempt->StopWanted_ = true;
  }
}

void drain(State &State, const AttemptId &Id) {
  Worker *Worker = nullptr;
  Attempt *Attempt = findAttempt(State, Id, Worker);
  if (!Attempt || Attempt->Phase_ != Phase::Running || Attempt->Draining_)
    return;
  Attempt->Draining_ = true;
  count(State.Counters_, "instance-says-leaving");
}

void onAck(State &State, const TaskAck &Ack) {
  Worker *Worker = nullptr;
  Attempt *Found = findAttempt(State, Ack.Attempt_, Worker);
  if (!Found || Found->Phase_ != Phase::Ended)
    return;
  Found->Acknowledged_ = true;
  if (Found->Result_ != AttemptState::Finished)
    Worker->Forget_.insert(Ack.Attempt_);
}

void onLocate(State &State, TimePoint Now, const NodeId &Sender,
              const LocateRequest &Request, const JobsView &Jobs,
              peering::Outbox &Out) {
  if (Jobs.LogNext_ < Request.MinNext_)
    return;
  for (const WorkerId &Name : Request.Workers_) {
    if (!hasInventory(State, Name, Now))
      continue;
    LocateReply Reply{Name, Request.MinNext_, Request.Nonce_, {}};
    bool AllSettled = true;
    for (const auto &[Id, Attempt] : State.Workers_.at(Name).Attempts_) {
      // The sender may be the home of a job that this node does not know yet.
      auto Home = Jobs.HomeOf_(Id.Job_);
      if (Jobs.IsClosed_(Id.Job_) || (Home && *Home != Sender))
        continue;
      bool Unsettled =
          Attempt.Phase_ == Phase::Holding || Attempt.Phase_ == Phase::Starting;
      // A hold that another home requested cannot be committed any more.
      if (Id.Home_ != Sender && Attempt.Phase_ == Phase::Holding)
        continue;
      AllSettled &= !Unsettled || Id.Home_ == Sender;
      AttemptState Result =
          Unsettled ? AttemptState::Unsettled : Attempt.Result_;
      Reply.Attempts_.push_back(
          {Id, Name, std::uint8_t(Result), Attempt.Reason_});
    }
    if (AllSettled)
      peering::send(Out, Sender, std::move(Reply));
  }
}

void tickTasks(State &State, TimePoint Now, const NodeId &Self,
               const JobsView &Jobs,
               const std::function<bool(const AttemptId &)> &InUse,
               peering::Outbox &Out) {
  // A new record may close a job or move its home.
  bool CheckAll = State.CheckedLogNext_ != Jobs.LogNext_;
  State.CheckedLogNext_ = Jobs.LogNext_;
  for (auto &[Name, Worker] : State.Workers_) {
    if (!isHeld(Worker, Now) || (!CheckAll && Now < Worker.NextCheck_))
      continue;
    Worker.NextCheck_ = Now + AttemptCheckInterval;
    std::vector<AttemptId> Dropped;
    for (auto &[Id, Attempt] : Worker.Attempts_)
      if (!tickAttempt(State, Worker, Id, Attempt, Now, Self, Jobs, InUse, Out))
        Dropped.push_back(Id);
    for (const AttemptId &Id : Dropped)
      dropAttempt(State, Worker, Id);
    relieveOveruse(State, Worker, Self, Now, Out);
    grantReserved(State, Worker, Now, Out);
    bool Changed = !Dropped.empty() || !Worker.Forget_.empty();
    if (Changed ||
        (Worker.SetAsideUntil_ != TimePoint{} && Now >= Worker.SetAsideUntil_))
      reindex(State, Worker, Now);
  }
}

} // namespace pollenvale::workers
