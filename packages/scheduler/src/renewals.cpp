/// Renewals of the leases on the workers, and what the workers list in reply.
#include "scheduler/detail/tasks.hpp"
#include "scheduler/detail/trace.hpp"
#include "scheduler/scheduler.hpp"

#include <algorithm>

namespace pollenvale::scheduler {

namespace detail {

namespace {

/// Interval of renewals of a worker without tasks. Keeps its lease valid and
/// its clock known.
constexpr Milliseconds IdleRenewInterval{1'500};
/// How long a worker with tasks may delay the reply to a renewal until a run
/// ends: in a small slice, and at most. Two unanswered renewals in a row still
/// leave time to renew the lease.
constexpr Milliseconds MinRenewWait{500};
constexpr Milliseconds MaxRenewWait{1'200};
/// Added up over the workers of a large slice, so that renewals of workers on
/// which nothing ends do not grow with it.
constexpr std::chrono::microseconds RenewWaitPerWorker{1'500};
/// The same while answers get lost: each lost reply hides ends for that long.
constexpr Milliseconds LossyRenewWait{120};
/// Pause between the reply to a renewal and the next renewal of a worker with
/// tasks.
constexpr Milliseconds RenewSpacing{10};
/// Pause between a failed renewal and the next one.
constexpr Milliseconds RenewRetryInterval{200};
/// How long a renewal is delayed for ends to be stored, so that it acknowledges
/// them.
constexpr Milliseconds AckWait{250};

/// How long the reply to a renewal of \p W may be delayed until a run ends.
Milliseconds renewWait(const State &State, const Worker &W, TimePoint Now) {
  if (Now < State.LossyUntil_)
    return LossyRenewWait;
  // Its latency is controlled by what renewals report.
  if (W.Known_.HasTailTarget_)
    return MinRenewWait;
  auto ForSlice = std::chrono::duration_cast<Milliseconds>(
      RenewWaitPerWorker * std::int64_t(State.Workers_.size()));
  return std::clamp(ForSlice, MinRenewWait, MaxRenewWait);
}

Milliseconds leaseLength(const State &State, TimePoint Now) {
  const Options &O = State.Options_;
  if (!State.StoreUnreachable_ || State.OrdersEndAt_ == TimePoint::max())
    return State.StoreUnreachable_ ? O.OutageLease_ : O.Lease_;
  Milliseconds UntilFence = elapsed(Now, State.OrdersEndAt_);
  return std::min(O.OutageLease_, UntilFence + O.LeaseAfterFence_);
}

RenewCall makeRenewal(State &State, Worker &W, TimePoint Now) {
  RenewCall Call{makeTarget(State, W)};
  bool MayAcknowledge = mayAcknowledge(W);
  if (MayAcknowledge)
    Call.AckedEnd_ = W.Known_.StoredEnd_;
  // A worker that does not answer may be gone. Its tasks start elsewhere once
  // its leases have expired, so no further lease is granted. Nor is one if it
  // has restarted: its new clock is not known yet.
  if (W.RunsKnown_ && W.Misses_ == 0 && W.Rostered_ && isClockCurrent(W)) {
    Milliseconds Lease = leaseLength(State, Now);
    Call.LeaseUntil_ = workerClock(W, Now) + Lease;
    extendLease(State, W, Lease, Now);
    // Otherwise an acknowledgement follows, which the reply may allow.
    if (!W.Tasks_.empty() && W.Known_.SeenEnd_ == W.Known_.StoredEnd_ &&
        (MayAcknowledge || W.Known_.SentAck_ == W.Known_.StoredEnd_))
      Call.Wait_ = renewWait(State, W, Now);
  } else if (W.Misses_ > 0) {
    Call.Target_.Timeout_ = retryTimeout(State, W, Now);
  }
  Call.Target_.Timeout_ += Call.Wait_;
  return Call;
}

} // namespace

void scheduleRenewal(State &State, Worker &W, TimePoint At) {
  auto Node = State.RenewalQueue_.extract({W.RenewDueAt_, W.Info_.Id_});
  W.RenewDueAt_ = At;
  if (!Node) {
    State.RenewalQueue_.emplace(At, W.Info_.Id_);
    return;
  }
  Node.value().first = At;
  State.RenewalQueue_.insert(std::move(Node));
}

namespace {

void recordAck(Worker &W, std::uint64_t Acked, TimePoint Now, Outbox &Out) {
  if (Acked <= W.Known_.SentAck_)
    return;
  traceAck(W, Acked, Now, Out);
  W.Known_.SentAck_ = Acked;
}

} // namespace

void planRenewals(State &State, TimePoint Now, Outbox &Out) {
  auto &Queue = State.RenewalQueue_;
  while (!Queue.empty() && Queue.begin()->first <= Now) {
    auto Due = Queue.extract(Queue.begin());
    auto It = State.Workers_.find(Due.value().second);
    if (It == State.Workers_.end())
      continue;
    Worker &W = It->second;
    // The answer to the call in flight, or the stored roster, schedules the
    // next renewal.
    bool MayCall = W.Rostered_ || W.Released_ || W.RunsKnown_;
    if (W.RenewInFlight_ || !MayCall)
      continue;
    Out.Renewals_.push_back(makeRenewal(State, W, Now));
    recordAck(W, Out.Renewals_.back().AckedEnd_, Now, Out);
    W.RenewInFlight_ = true;
    W.LeaseInFlight_ = Out.Renewals_.back().LeaseUntil_.has_value();
  }
}

namespace {

/// Limit of ends in one list. A worker with more ends lists them next time.
constexpr std::size_t MaxEndsListed = 500;

/// Whether the list contains every run and every end. One that does not proves
/// nothing about a task that it lacks: an omitted or unreadable row may be its
/// run or its end.
bool isComplete(const RenewReply &Reply) {
  return Reply.UnreadableRuns_ == 0 && Reply.UnreadableEnds_ == 0 &&
         Reply.Ended_.size() < MaxEndsListed;
}

/// Records that no unknown inherited tasks run on the worker or have ended
/// there.
void confirmWorker(State &State, const WorkerId &Id) {
  State.UnconfirmedWorkers_.erase(Id);
}

/// Confirms the worker if its list tells what became of every inherited task.
/// Omitted ends are listed once those before them have been acknowledged. Rows
/// that can't be read may never become readable: they delay inherited tasks
/// only as long as a silent worker does.
void confirmByList(State &State, const WorkerId &Id, const RenewReply &Reply,
                   TimePoint Now) {
  bool Omitted = Reply.Ended_.size() >= MaxEndsListed;
  bool WaitedLongEnough = Now >= inheritedLeasesEnd(State, Id);
  if (isComplete(Reply) || (!Omitted && WaitedLongEnough))
    confirmWorker(State, Id);
}

/// Attaches a run that an earlier owner started.
void adoptRun(State &State, Worker &W, const RunningTask &R, TimePoint Now) {
  const workflow::StepSpec *Spec = findSpec(State, R.Task_.Step_);
  Run Adopted;
  Adopted.Number_ = R.Run_;
  Adopted.Worker_ = W.Info_.Id_;
  Adopted.Phase_ = RunPhase::Running;
  Adopted.Charged_ = workflow::chargedSize(*Spec);
  Adopted.StartedAt_ = Now;
  Adopted.SettledAt_ = Now;
  Adopted.LastProgressAt_ = Now;
  attachRun(State, R.Task_, std::move(Adopted));
  count(State.Counters_, "run-adopted");
  updateWaiting(State, R.Task_.Step_);
}

/// Whether the task is known and neither it nor its job has ended.
bool isOpenTask(State &State, const TaskId &Id) {
  Job *J = findJob(State, Id.Step_.Job_);
  Task *T = findTask(State, Id);
  return J && T && !T->Done_ && !workflow::isClosed(J->State_);
}

/// Updates the current run of a task from the list of its worker.
void refreshRun(State &State, const workflow::StepSpec &Spec, Task &T,
                const RunningTask &R, TimePoint Now) {
  Run &Current = *T.Run_;
  if (Current.Phase_ == RunPhase::Starting && !Current.InFlight_) {
    Current.Phase_ = RunPhase::Running;
    Current.SettledAt_ = Now;
    if (!Current.StopRequested_)
      State.PendingOrders_.erase(R.Task_);
  }
  recordProgress(Spec, Current, R.Percent_, Now);
  if (!R.Checkpoint_.empty())
    T.Checkpoint_ = R.Checkpoint_;
}

/// Processes the runs that a worker lists: updates known runs, adopts unknown
/// ones of open tasks if this is the \p First list, and stops all others.
void applyRunning(State &State, Worker &W, const RenewReply &Reply, bool First,
                  TimePoint Now, Outbox &Out) {
  W.Known_.UnclaimedSize_ = {};
  for (const RunningTask &R : Reply.Running_) {
    Task *T = findTask(State, R.Task_);
    bool IsCurrentRun = T && T->Run_ && T->Run_->Worker_ == W.Info_.Id_ &&
                        T->Run_->Number_ == R.Run_;
    if (!IsCurrentRun && First && isOpenTask(State, R.Task_) && !T->Run_) {
      adoptRun(State, W, R, Now);
      IsCurrentRun = true;
    }
    if (IsCurrentRun) {
      refreshRun(State, *findSpec(State, R.Task_.Step_), *T, R, Now);
      if (!R.Checkpoint_.empty())
        findStep(State, R.Task_.Step_)->GangCheckpoint_ = R.Checkpoint_;
      continue;
    }
    count(State.Counters_, "run-unclaimed");
    if (const workflow::StepSpec *Spec = findSpec(State, R.Task_.Step_))
      W.Known_.UnclaimedSize_ += workflow::chargedSize(*Spec);
    Out.Stops_.push_back({makeTarget(State, W), R.Task_, R.Run_});
  }
}

/// Detaches runs that have ended, as a complete list requested after they were
/// settled lacks them. One whose start may still be executed stays.
void detachAbsentRuns(State &State, Worker &W, const RenewCall &Call,
                      const RenewReply &Reply, TimePoint SentAt, TimePoint Now,
                      Outbox &Out) {
  if (!isComplete(Reply))
    return;
  std::set<TaskId> Listed;
  for (const RunningTask &R : Reply.Running_)
    Listed.insert(R.Task_);
  std::set<TaskId> Tasks = W.Tasks_;
  for (const TaskId &Id : Tasks) {
    Task *T = findTask(State, Id);
    if (Listed.count(Id) || !T || !T->Run_ || T->Run_->InFlight_)
      continue;
    if (!T->Run_->SettledAt_ || *T->Run_->SettledAt_ >= SentAt ||
        T->Run_->UnansweredToken_ >= Call.Target_.Token_)
      continue;
    count(State.Counters_, "run-absent");
    traceGiveUp(State, Id, "absent", Now, Out);
    detachRun(State, Id);
    stopIncompleteGang(State, Id.Step_);
  }
}

void handleMiss(State &State, Worker &W, TimePoint SentAt, TimePoint Now) {
  State.StaleTokens_.insert(W.Info_.Id_);
  bool GaveLease = std::exchange(W.LeaseInFlight_, false);
  if (GaveLease)
    W.UnconfirmedLeaseSentAt_ = std::max(W.UnconfirmedLeaseSentAt_, SentAt);
  // Until it became silent, it may have executed former calls.
  bool BecameSilent = W.Misses_ == 0 && !refusesFormerCalls(W);
  if (GaveLease || BecameSilent)
    prolongMisreadLease(State, W, Now);
  recordMissedRenewal(State, W, SentAt, Now);
  count(State.Counters_, "renewal-no-answer");
  recordLostAnswer(State, Now);
  scheduleRenewal(State, W, Now + RenewRetryInterval);
}

/// Time from the reply to a renewal to the next renewal.
Milliseconds renewalPause(const Worker &W) {
  if (W.Known_.SeenEnd_ > W.Known_.StoredEnd_)
    return AckWait;
  if (W.Known_.SentAck_ < W.Known_.StoredEnd_)
    return RenewSpacing;
  return W.Tasks_.empty() ? IdleRenewInterval : RenewSpacing;
}

} // namespace

} // namespace detail

void onRenewReply(State &State, const RenewCall &Call, const RenewReply &Reply,
                  TimePoint SentAt, TimePoint Now, Outbox &Out) {
  auto It = State.Workers_.find(Call.Target_.Worker_);
  if (It == State.Workers_.end())
    return;
  Worker &W = It->second;
  W.RenewInFlight_ = false;
  if (Reply.Status_ == CallStatus::Fenced) {
    State.Fenced_ = detail::isFencedByOther(State, Call.Target_);
    W.LeaseInFlight_ = false;
    detail::scheduleRenewal(State, W, Now);
    return;
  }
  bool Moved = Call.Target_.Address_ != W.Info_.Address_;
  if (Reply.Status_ == CallStatus::Elsewhere && !Moved) {
    // Another worker has its current address: this one has ended.
    detail::confirmWorker(State, Call.Target_.Worker_);
    State.Inherited_.erase(Call.Target_.Worker_);
    W.LeaseEndsAt_ = std::min(W.LeaseEndsAt_, Now);
    detail::abandonTasks(State, W, Now, Out, "replaced");
    detail::handleMiss(State, W, SentAt, Now);
    detail::scheduleRenewal(State, W, Now + Milliseconds(1'000));
    return;
  }
  if (Reply.Status_ != CallStatus::Done) {
    detail::traceMiss(State, W, Call, SentAt, Now, Out);
    detail::handleMiss(State, W, SentAt, Now);
    return;
  }
  if (std::size_t Unreadable = Reply.UnreadableRuns_ + Reply.UnreadableEnds_)
    count(State.Counters_, "row-unreadable", Unreadable);
  detail::resetMisses(W);
  bool First = !W.RunsKnown_;
  detail::updateIncarnation(State, W, Call, Reply, SentAt, Now);
  W.Known_.Clock_ = Reply.Clock_;
  W.Known_.ClockAt_ = Now;
  W.RunsKnown_ = true;
  W.LeaseInFlight_ = false;
  W.AnsweredSentAt_ = SentAt;
  for (const EndedTask &End : Reply.Ended_) {
    if (End.Number_ <= W.Known_.SeenEnd_) {
      detail::traceKnownEnd(State, Call.Target_.Worker_, End, Out);
      continue;
    }
    W.Known_.SeenEnd_ = End.Number_;
    State.AcksDirty_ = true;
    detail::applyEnd(State, Call.Target_.Worker_, End, SentAt, Now, Out);
  }
  detail::applyRunning(State, W, Reply, First, Now, Out);
  detail::detachAbsentRuns(State, W, Call, Reply, SentAt, Now, Out);
  detail::adjustThrottle(State, W, Reply, Out);
  detail::stopStalled(State, W, Now, Out);
  detail::confirmByList(State, Call.Target_.Worker_, Reply, Now);
  if (First) {
    State.PlacementNeeded_ = true;
    Out.Notes_.push_back({"worker-known",
                          {{"worker", Call.Target_.Worker_},
                           {"running", Reply.Running_.size()},
                           {"ended", Reply.Ended_.size()}}});
  }
  // The reply gives the worker's clock, which the first lease needs.
  bool LeaseDue = W.Rostered_ && !Call.LeaseUntil_;
  bool TokenDue =
      W.Token_ > Call.Target_.Token_ && !detail::refusesFormerCalls(W);
  Milliseconds Pause =
      LeaseDue || TokenDue ? Milliseconds(0) : detail::renewalPause(W);
  detail::scheduleRenewal(State, W, Now + Pause);
}

} // namespace pollenvale::scheduler
