#include "scheduler/detail/tasks.hpp"
#include "scheduler/detail/trace.hpp"
#include "scheduler/scheduler.hpp"

#include <algorithm>

namespace pollenvale::scheduler {

using detail::findJob;
using detail::findTask;

namespace detail {

namespace {

/// A worker asked once in this time keeps its lease and tells its clock.
constexpr Milliseconds IdleRenewInterval{1'500};
/// How long a worker with tasks may keep a renewal waiting for an end.
constexpr Milliseconds BusyRenewWait{500};
/// The same while answers get lost: each lost one hides ends for that long.
constexpr Milliseconds LossyRenewWait{120};
constexpr Milliseconds LossyTime{4'000};
/// Limit of a call while answers get lost: every call may be repeated.
constexpr Milliseconds LossyTimeout{130};
constexpr Milliseconds RenewSpacing{10};
constexpr Milliseconds RenewRetryInterval{200};
/// Limit for storing ends before the worker is asked again.
constexpr Milliseconds StoreWait{250};
/// A worker's clock may be slow by this share; leases last longer for it.
constexpr double ClockDrift = 0.02;
constexpr Milliseconds LeaseMargin{250};
constexpr unsigned MissesBeforeAvoiding = 2;

} // namespace

Milliseconds clockOf(const Worker &W, TimePoint Now) {
  return W.Clock_ + elapsed(W.ClockAt_, Now);
}

Target targetOf(const State &S, const Worker &W) {
  Target To{W.Info_.Id_, W.Info_.Address_, S.Options_.Token_};
  if (S.LastTick_ < S.LossyUntil_)
    To.Timeout_ = LossyTimeout;
  return To;
}

Resources freeRoom(const Worker &W) {
  return W.Info_.Capacity_ - W.Used_ - W.Unclaimed_;
}

bool takesTasks(const Worker &W, TimePoint Now) {
  return W.Listed_ && W.Rostered_ && W.Known_ && !W.Info_.Draining_ &&
         W.Misses_ < MissesBeforeAvoiding && Now >= W.AvoidUntil_;
}

bool couldTake(const Worker &W, const Job &J, const workflow::StepSpec &Spec,
               TimePoint Now) {
  return takesTasks(W, Now) && W.Info_.Service_ == J.Queue_.Service_ &&
         fits(workflow::chargedSize(Spec), W.Info_.Capacity_) &&
         (Spec.RequiredLabel_.empty() ||
          W.Info_.Labels_.count(Spec.RequiredLabel_));
}

void noteLoss(State &S, TimePoint Now) {
  if (!isLate(S, Now))
    S.LossyUntil_ = Now + LossyTime;
}

void extendLease(State &S, Worker &W, Milliseconds Length, TimePoint Now) {
  Length = std::min(Length, S.Options_.MaxLease_);
  auto Longest =
      Milliseconds(std::int64_t(double(Length.count()) * (1 + ClockDrift)));
  W.LeaseEndsAt_ = std::max(W.LeaseEndsAt_, Now + Longest + LeaseMargin);
}

void planRenewals(State &S, TimePoint Now, Outbox &Out) {
  for (auto &[Id, W] : S.Workers_) {
    if (W.RenewInFlight_ || Now < W.RenewDueAt_ ||
        !(W.Rostered_ || W.Released_))
      continue;
    RenewCall Call{targetOf(S, W), W.StoredEnd_};
    // A worker that does not answer may be gone: its tasks start elsewhere
    // once no lease can last, so no further one is given.
    if (W.Known_ && W.Misses_ == 0 && W.Rostered_) {
      Milliseconds Lease =
          S.StoreAway_ ? S.Options_.OutageLease_ : S.Options_.Lease_;
      Call.LeaseUntil_ = clockOf(W, Now) + Lease;
      extendLease(S, W, Lease, Now);
      if (!W.Tasks_.empty() && W.SeenEnd_ == W.StoredEnd_)
        Call.Wait_ = Now < S.LossyUntil_ ? LossyRenewWait : BusyRenewWait;
    } else if (W.Misses_ > 0)
      Call.To_.Timeout_ = retryTimeout(S, W, Now);
    Call.To_.Timeout_ += Call.Wait_;
    traceAck(W, Now, Out);
    W.RenewInFlight_ = true;
    Out.Renewals_.push_back(std::move(Call));
  }
}

namespace {

void releaseEmpty(State &S, Worker &W) {
  bool Empty = W.Tasks_.empty() && W.Unclaimed_ == Resources{};
  bool Release = W.Info_.Draining_ && W.Known_ && Empty &&
                 !S.Unaccounted_.count(W.Info_.Id_);
  if (Release == W.Released_)
    return;
  W.Released_ = Release;
  W.Rostered_ = false;
  S.RosterDirty_ = true;
}

} // namespace

void checkLeases(State &S, TimePoint Now, Outbox &Out) {
  bool OthersAnswer = mostAnswer(S, Now);
  for (auto It = S.Workers_.begin(); It != S.Workers_.end();) {
    Worker &W = It->second;
    releaseEmpty(S, W);
    bool Lapsed = Now > W.LeaseEndsAt_ || W.Released_;
    if (Lapsed && isSilent(S, W, OthersAnswer, Now))
      loseTasks(S, W, Now, Out, "silent");
    if (Lapsed && !W.Listed_ && W.Tasks_.empty() && !W.RenewInFlight_ &&
        !S.Unaccounted_.count(It->first)) {
      It = S.Workers_.erase(It);
      S.RosterDirty_ = true;
    } else {
      ++It;
    }
  }
}

void checkInheritance(State &S, TimePoint Now, Outbox &Out) {
  if (!S.InheritanceOpen_)
    return;
  bool OthersAnswer = mostAnswer(S, Now);
  if (Now >= S.Options_.InheritedLeasesEndAt_)
    std::erase_if(S.Unaccounted_, [&](const WorkerId &Id) {
      auto It = S.Workers_.find(Id);
      return It == S.Workers_.end() ||
             isSilent(S, It->second, OthersAnswer, Now);
    });
  if (!S.Unaccounted_.empty())
    return;
  S.InheritanceOpen_ = false;
  S.RosterDirty_ = true;
  S.PlaceWanted_ = true;
  Out.Notes_.push_back(
      {"inheritance-settled",
       {{"after_ms", elapsed(S.Options_.ClaimedAt_, Now).count()}}});
  for (auto &[Id, J] : S.Jobs_)
    for (auto &[Number, O] : J.Open_)
      for (std::uint32_t P = 0; P < O.Steps_.size(); ++P)
        reconcileGang(S, {Id, Number, P});
}

namespace {

void account(State &S, const WorkerId &Id) { S.Unaccounted_.erase(Id); }

/// Takes over a run that an earlier owner started.
void adopt(State &S, Worker &W, const RunningTask &R, TimePoint Now) {
  const workflow::StepSpec *Spec = findSpec(S, R.Task_.Step_);
  Run Adopted;
  Adopted.Number_ = R.Run_;
  Adopted.Worker_ = W.Info_.Id_;
  Adopted.Phase_ = RunPhase::Running;
  Adopted.Charged_ = workflow::chargedSize(*Spec);
  Adopted.StartedAt_ = Now;
  Adopted.SettledAt_ = Now;
  Adopted.AdvancedAt_ = Now;
  attachRun(S, R.Task_, std::move(Adopted));
  count(S.Counters_, "run-adopted");
  refreshWaiting(S, R.Task_.Step_);
}

bool isOpenTask(State &S, const TaskId &Id) {
  Job *J = findJob(S, Id.Step_.Job_);
  Task *T = findTask(S, Id);
  return J && T && !T->Done_ && !workflow::isClosed(J->State_);
}

void refreshRun(State &S, const workflow::StepSpec &Spec, Task &T,
                const RunningTask &R, TimePoint Now) {
  Run &X = *T.Run_;
  if (X.Phase_ == RunPhase::Starting && !X.InFlight_) {
    X.Phase_ = RunPhase::Running;
    X.SettledAt_ = Now;
    if (!X.StopWanted_)
      S.Unsettled_.erase(R.Task_);
  }
  noteProgress(Spec, X, R.Percent_, Now);
  if (!R.Checkpoint_.empty())
    T.Checkpoint_ = R.Checkpoint_;
}

void applyRunning(State &S, Worker &W, const RenewReply &Reply, bool First,
                  TimePoint Now, Outbox &Out) {
  W.Unclaimed_ = {};
  for (const RunningTask &R : Reply.Running_) {
    Task *T = findTask(S, R.Task_);
    bool Mine = T && T->Run_ && T->Run_->Worker_ == W.Info_.Id_ &&
                T->Run_->Number_ == R.Run_;
    if (!Mine && First && isOpenTask(S, R.Task_) && !T->Run_) {
      adopt(S, W, R, Now);
      Mine = true;
    }
    if (Mine) {
      refreshRun(S, *findSpec(S, R.Task_.Step_), *T, R, Now);
      if (!R.Checkpoint_.empty())
        findStep(S, R.Task_.Step_)->GangCheckpoint_ = R.Checkpoint_;
      continue;
    }
    count(S.Counters_, "run-unclaimed");
    if (const workflow::StepSpec *Spec = findSpec(S, R.Task_.Step_))
      W.Unclaimed_ += workflow::chargedSize(*Spec);
    Out.Stops_.push_back({targetOf(S, W), R.Task_, R.Run_});
  }
}

/// A worker that has more ends lists the others next time.
constexpr std::size_t MaxEndsListed = 500;

/// Runs that a list asked for after they were settled lacks have ended. A list
/// with rows that can't be read may lack any of them, or their ends.
void dropAbsent(State &S, Worker &W, const RenewReply &Reply, TimePoint SentAt,
                TimePoint Now, Outbox &Out) {
  bool Complete = Reply.UnreadableRuns_ == 0 && Reply.UnreadableEnds_ == 0 &&
                  Reply.Ended_.size() < MaxEndsListed;
  if (!Complete)
    return;
  std::set<TaskId> Listed;
  for (const RunningTask &R : Reply.Running_)
    Listed.insert(R.Task_);
  std::set<TaskId> Tasks = W.Tasks_;
  for (const TaskId &Id : Tasks) {
    Task *T = findTask(S, Id);
    if (Listed.count(Id) || !T || !T->Run_ || T->Run_->InFlight_)
      continue;
    if (!T->Run_->SettledAt_ || *T->Run_->SettledAt_ >= SentAt)
      continue;
    count(S.Counters_, "run-absent");
    traceGiveUp(S, Id, "absent", Now, Out);
    detachRun(S, Id);
    reconcileGang(S, Id.Step_);
  }
}

void onMiss(State &S, Worker &W, TimePoint SentAt, TimePoint Now) {
  noteUnanswered(S, W, SentAt, Now);
  count(S.Counters_, "renewal-no-answer");
  noteLoss(S, Now);
  W.RenewDueAt_ = Now + RenewRetryInterval;
}

void onIncarnation(State &S, Worker &W, const RenewReply &Reply) {
  if (W.Known_ && W.Incarnation_ == Reply.StartedUnixMs_)
    return;
  if (W.Known_)
    count(S.Counters_, "worker-restarted");
  W.Incarnation_ = Reply.StartedUnixMs_;
  W.SeenEnd_ = W.StoredEnd_ = 0;
  W.FailedJobs_.clear();
}

void planNextRenewal(Worker &W, TimePoint Now) {
  if (W.SeenEnd_ > W.StoredEnd_)
    W.RenewDueAt_ = Now + StoreWait;
  else if (!W.Tasks_.empty())
    W.RenewDueAt_ = Now + RenewSpacing;
  else
    W.RenewDueAt_ = Now + IdleRenewInterval;
}

} // namespace

} // namespace detail

void onWorker(State &S, const WorkerInfo &Info, TimePoint Now) {
  auto [It, New] = S.Workers_.try_emplace(Info.Id_);
  Worker &W = It->second;
  bool Moved = !New && W.Info_.Address_ != Info.Address_;
  if (New) {
    S.RosterDirty_ = true;
    W.RenewDueAt_ = Now;
  }
  if (Moved || (!New && W.Info_.StartedUnixMs_ != Info.StartedUnixMs_))
    W.RenewDueAt_ = Now;
  if (New || !W.Listed_ || W.Info_.Draining_ != Info.Draining_)
    S.PlaceWanted_ = true;
  W.Info_ = Info;
  W.Listed_ = true;
}

void onWorkerGone(State &S, const WorkerId &Id, TimePoint Now) {
  auto It = S.Workers_.find(Id);
  if (It == S.Workers_.end() || !It->second.Listed_)
    return;
  It->second.Listed_ = false;
  It->second.UnlistedAt_ = Now;
}

void onRenewed(State &S, const RenewCall &Call, const RenewReply &Reply,
               TimePoint SentAt, TimePoint Now, Outbox &Out) {
  auto It = S.Workers_.find(Call.To_.Worker_);
  if (It == S.Workers_.end())
    return;
  Worker &W = It->second;
  W.RenewInFlight_ = false;
  if (Reply.Status_ == CallStatus::Fenced) {
    S.Fenced_ = true;
    return;
  }
  bool Moved = Call.To_.Address_ != W.Info_.Address_;
  if (Reply.Status_ == CallStatus::Elsewhere && !Moved) {
    // Its address belongs to another worker: this one has ended.
    detail::account(S, Call.To_.Worker_);
    W.LeaseEndsAt_ = std::min(W.LeaseEndsAt_, Now);
    detail::loseTasks(S, W, Now, Out, "replaced");
    detail::onMiss(S, W, SentAt, Now);
    W.RenewDueAt_ = Now + Milliseconds(1'000);
    return;
  }
  if (Reply.Status_ != CallStatus::Done) {
    detail::traceMiss(S, W, Call, SentAt, Now, Out);
    detail::onMiss(S, W, SentAt, Now);
    return;
  }
  if (std::size_t Rows = Reply.UnreadableRuns_ + Reply.UnreadableEnds_)
    count(S.Counters_, "row-unreadable", Rows);
  detail::noteAnswered(W);
  W.Clock_ = Reply.Clock_;
  W.ClockAt_ = Now;
  bool First = !W.Known_;
  detail::onIncarnation(S, W, Reply);
  W.Known_ = true;
  for (const EndedTask &End : Reply.Ended_) {
    if (End.Number_ <= W.SeenEnd_) {
      detail::traceKnownEnd(S, Call.To_.Worker_, End, Out);
      continue;
    }
    W.SeenEnd_ = End.Number_;
    S.AcksDirty_ = true;
    detail::applyEnd(S, Call.To_.Worker_, End, Now, Out);
  }
  detail::applyRunning(S, W, Reply, First, Now, Out);
  detail::dropAbsent(S, W, Reply, SentAt, Now, Out);
  detail::adjustThrottle(S, W, Reply, Out);
  detail::stopStalled(S, W, Now, Out);
  detail::account(S, Call.To_.Worker_);
  if (First) {
    S.PlaceWanted_ = true;
    Out.Notes_.push_back({"worker-known",
                          {{"worker", Call.To_.Worker_},
                           {"running", Reply.Running_.size()},
                           {"ended", Reply.Ended_.size()}}});
  }
  detail::planNextRenewal(W, Now);
  // The lease begins with the first answer that tells the worker's clock.
  if (!Call.LeaseUntil_)
    W.RenewDueAt_ = Now;
}

} // namespace pollenvale::scheduler
