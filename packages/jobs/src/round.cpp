#include "jobs/detail/round.hpp"

#include "jobs/detail/choose_holder.hpp"
#include "jobs/detail/recovery.hpp"
#include "jobs/detail/shares.hpp"
#include "jobs/detail/wake.hpp"

namespace pollenvale::jobs {

namespace {

/// Last moment to commit a hold, counted from when it was asked for.
constexpr Milliseconds CommitWindow = workers::HoldTtl - Milliseconds(1'000);

workers::TaskSpec taskSpec(const JobSpec &Spec, Claim Claim) {
  workers::TaskSpec T;
  T.Kind_ = std::uint8_t(Spec.Kind_);
  T.Name_ = Spec.Name_;
  T.Team_ = Spec.Team_;
  T.Size_ = Spec.Size_;
  T.RunMs_ = std::uint32_t(Spec.RunTime_.count());
  T.Slots_ = Spec.Slots_;
  T.Urgent_ = Spec.Urgent_;
  T.Borrowed_ = Claim == Claim::Borrowed;
  return T;
}

bool isUseRecorded(const Context &C, const WorkerId &Worker) {
  auto It = C.Table_.Uses_.find(C.Self_);
  return It != C.Table_.Uses_.end() && It->second.count(Worker) > 0;
}

/// Waits before the next round of asking all holders.
void backOff(State &S, const Context &C, Task &T) {
  T.Refused_.clear();
  T.WaitsForRoom_ = true;
  T.Backoff_ = std::min(MaxPlaceBackoff, T.Backoff_ * 2 + PlaceBackoff);
  auto Jitter =
      Milliseconds(S.Random_.below(std::uint64_t(T.Backoff_.count())));
  T.NextAction_ = C.Now_ + T.Backoff_ / 2 + Jitter / 2;
}

void askForRoom(State &S, Context &C, Work &W, std::uint32_t Index,
                const JobSpec &Spec) {
  Task &T = W.Tasks_[Index];
  Claim Claim = claimOf(S, C, Spec);
  if (Claim == Claim::Refused) {
    T.Reasons_["quota"] = 1;
    count(S.Counters_, "wait-quota");
    return backOff(S, C, T);
  }
  bool Spread = config::policyFor(C.Config_.Doc_, Spec).Placement_ ==
                config::Placement::Spread;
  NodeId Holder = chooseHolder(C, W, T, Spec, Spread, Claim == Claim::Entitled);
  if (Holder.empty()) {
    if (T.Refused_.empty())
      T.Reasons_["no-holder-with-room"] = 1;
    count(S.Counters_, "wait-no-room");
    return backOff(S, C, T);
  }
  if (T.Refused_.empty())
    T.Reasons_.clear();
  T.Phase_ = TaskPhase::Holding;
  T.Holder_ = Holder;
  T.HeldAt_ = C.Now_;
  T.NextAction_ = C.Now_ + MessageRetry;
  T.Attempt_ = {W.Job_, Index, C.Self_, ++T.Attempts_};
  S.TeamUsage_[Spec.Team_] += Spec.Size_;
  workers::HoldRequest R;
  R.Attempt_ = T.Attempt_;
  R.Task_ = taskSpec(Spec, Claim);
  R.Entitled_ = Claim == Claim::Entitled;
  for (const auto &[Key, Values] :
       config::effectiveSelector(C.Config_.Doc_, Spec))
    R.Selector_[Key] = {Values.begin(), Values.end()};
  R.Spread_ = Spread;
  // Better a worker where it failed than none at all.
  if (T.Backoff_ < MaxPlaceBackoff)
    R.Avoid_ = {T.FailedOn_.begin(), T.FailedOn_.end()};
  peering::send(C.Out_, Holder, std::move(R));
}

void release(Context &C, const Task &T, const char *Reason) {
  NodeId To =
      membership::isLive(C.Members_, C.Now_, T.Holder_) ? T.Holder_ : NodeId();
  if (!To.empty())
    peering::send(C.Out_, To, workers::Release{T.Attempt_, T.Worker_, Reason});
}

/// Gives up a hold that was never committed; the holder drops it at its
/// deadline even if this message is lost.
void abandonHold(State &S, Context &C, Task &T) {
  release(C, T, "abandoned");
  count(S.Counters_, "hold-abandoned");
  T.Phase_ = TaskPhase::Pending;
  T.Holder_.clear();
  T.Worker_.clear();
  backOff(S, C, T);
}

void commit(State &S, Context &C, Task &T) {
  T.Phase_ = TaskPhase::Committing;
  T.LocateAfter_ = S.LocateNonce_;
  T.NextAction_ = C.Now_ + MessageRetry;
  T.NextAudit_ = C.Now_ + LocateInterval;
  peering::send(C.Out_, T.Holder_, workers::Commit{T.Attempt_, T.Worker_});
}

bool mayCommit(const Context &C, const Task &T) {
  return T.Phase_ == TaskPhase::Held && isUseRecorded(C, T.Worker_) &&
         elapsed(T.HeldAt_, C.Now_) < CommitWindow;
}

/// Commits single tasks as their holds come in.
void commitSingles(State &S, Context &C, Work &W) {
  for (Task &T : W.Tasks_)
    if (mayCommit(C, T))
      commit(S, C, T);
    else if (isHoldStage(T) && elapsed(T.HeldAt_, C.Now_) >= CommitWindow)
      abandonHold(S, C, T);
}

/// Commits a gang only when every task is held with time to spare.
void commitGang(State &S, Context &C, Work &W) {
  bool All = std::all_of(W.Tasks_.begin(), W.Tasks_.end(),
                         [&](const Task &T) { return mayCommit(C, T); });
  if (All) {
    for (Task &T : W.Tasks_)
      commit(S, C, T);
    return;
  }
  bool Late = std::any_of(W.Tasks_.begin(), W.Tasks_.end(), [&](const Task &T) {
    return isHoldStage(T) && elapsed(T.HeldAt_, C.Now_) >= GangDeadline;
  });
  if (!Late)
    return;
  count(S.Counters_, "gang-released");
  auto Until = C.Now_ + PlaceBackoff +
               Milliseconds(S.Random_.below(PlaceBackoff.count() * 4));
  for (Task &T : W.Tasks_) {
    if (isHoldStage(T))
      abandonHold(S, C, T);
    T.NextAction_ = Until;
  }
}

/// Stops what is left of a gang that lost a task. Returns true while it must
/// not be placed again.
bool regroupGang(State &S, Context &C, Work &W) {
  bool Broken = false, Live = false;
  for (const Task &T : W.Tasks_) {
    Broken |= T.Phase_ == TaskPhase::Pending;
    Live |= isLocatable(T) || T.Phase_ == TaskPhase::Recovering;
  }
  if (!Broken)
    return Live;
  if (!Live) {
    for (Task &T : W.Tasks_)
      if (T.Phase_ == TaskPhase::Finished)
        T.Phase_ = TaskPhase::Pending;
    return false;
  }
  for (Task &T : W.Tasks_) {
    if (!isLocatable(T) || C.Now_ < T.NextAction_)
      continue;
    count(S.Counters_, "gang-regrouped");
    T.Stopping_ = true;
    T.NextAction_ = C.Now_ + MessageRetry;
    release(C, T, "gang-regroup");
  }
  return true;
}

void repeatCommits(Context &C, Work &W) {
  for (Task &T : W.Tasks_)
    if (T.Phase_ == TaskPhase::Committing && C.Now_ >= T.NextAction_) {
      T.NextAction_ = C.Now_ + MessageRetry;
      peering::send(C.Out_, T.Holder_, workers::Commit{T.Attempt_, T.Worker_});
    }
}

void closeJob(State &S, Context &C, Work &W, const char *State,
              const std::string &Reason) {
  if (W.OutcomeQueued_)
    return;
  W.OutcomeQueued_ = true;
  count(S.Counters_, std::string("job-") + State);
  peering::noteJob(C.Out_, "job-ended", W.Job_,
                   {{"state", State}, {"reason", Reason}});
  eventlog::append(C.Log_, eventlog::OutcomeRecord{W.Job_, State, Reason},
                   true);
}

/// Stops every task; closes the job once none can run any more.
void stopRound(State &S, Context &C, Work &W, const char *State,
               const std::string &Reason) {
  bool Over = true;
  for (Task &T : W.Tasks_) {
    if (T.Phase_ == TaskPhase::Holding || T.Phase_ == TaskPhase::Held) {
      abandonHold(S, C, T);
      T.Phase_ = TaskPhase::Ended;
    }
    if (T.Phase_ == TaskPhase::Pending)
      T.Phase_ = TaskPhase::Ended;
    if (T.Phase_ == TaskPhase::Finished || T.Phase_ == TaskPhase::Ended)
      continue;
    Over = false;
    if (isLocatable(T) && (!T.Stopping_ || C.Now_ >= T.NextAction_)) {
      if (!T.Stopping_)
        T.NextAudit_ = C.Now_ + LocateInterval;
      T.Stopping_ = true;
      T.NextAction_ = C.Now_ + MessageRetry;
      release(C, T, State);
    }
  }
  if (Over)
    closeJob(S, C, W, State, Reason);
}

/// Drains service tasks whose worker leaves or lost its labels.
void drainRound(State &S, Context &C, Work &W, const JobSpec &Spec) {
  auto Wanted = config::effectiveSelector(C.Config_.Doc_, Spec);
  std::size_t Draining =
      std::count_if(W.Tasks_.begin(), W.Tasks_.end(), [](const Task &T) {
        return T.Draining_ || T.Phase_ != TaskPhase::Running;
      });
  std::size_t Limit = std::max<std::size_t>(1, W.Tasks_.size() / DrainDivisor);
  for (std::size_t I = 0; I < W.Tasks_.size(); ++I) {
    Task &T = W.Tasks_[I];
    auto Vm = C.Members_.Vms_.find(T.Worker_);
    if (T.Phase_ != TaskPhase::Running || Vm == C.Members_.Vms_.end())
      continue;
    bool Surplus = I >= Spec.Tasks_;
    const membership::Vm &V = Vm->second;
    Labels Here =
        config::labelsOf(C.Config_.Doc_, V.Name_, V.Rack_, V.Dc_, V.Labels_);
    bool Fits = matches(Wanted, Here);
    bool Leaving = V.Leaving_ || config::isDrained(Here);
    if (!T.Draining_) {
      if (!Surplus && !Leaving && (Fits || Draining >= Limit))
        continue;
      T.Draining_ = true;
      T.NextAction_ = C.Now_;
      ++Draining;
      count(S.Counters_, "task-drained");
    }
    if (C.Now_ >= T.NextAction_) {
      T.NextAction_ = C.Now_ + MessageRetry;
      release(C, T, "drain");
    }
  }
}

bool allFinished(const Work &W) {
  return std::all_of(W.Tasks_.begin(), W.Tasks_.end(), [](const Task &T) {
    return T.Phase_ == TaskPhase::Finished;
  });
}

} // namespace

bool isHoldStage(const Task &T) {
  return T.Phase_ == TaskPhase::Holding || T.Phase_ == TaskPhase::Held;
}

const JobSpec &specOf(const Context &C, const Job &J) {
  if (J.Spec_.Kind_ == JobKind::Service)
    if (auto It = C.Config_.Doc_.Services_.find(J.Spec_.Name_);
        It != C.Config_.Doc_.Services_.end())
      return It->second.Spec_;
  return J.Spec_;
}

void queueUse(State &S, Context &C, const WorkerId &Worker) {
  if (isUseRecorded(C, Worker) || !S.UsesQueued_.insert(Worker).second)
    return;
  eventlog::append(C.Log_, eventlog::UsesRecord{C.Self_, {Worker}}, true);
}

void placeRound(State &S, Context &C, Work &W) {
  const Job &J = C.Table_.Jobs_.at(W.Job_);
  const JobSpec &Spec = specOf(C, J);
  if (W.OutcomeQueued_)
    return;
  if (allFinished(W))
    return closeJob(S, C, W, "done", "");
  if (J.Cancelled_)
    return stopRound(S, C, W, "cancelled", "cancelled");
  if (!W.Fault_.empty())
    return stopRound(S, C, W, "failed", W.Fault_);
  if (Spec.Kind_ == JobKind::Service) {
    if (!C.Config_.Doc_.Services_.count(Spec.Name_) && C.Config_.VersionKnown_)
      return stopRound(S, C, W, "cancelled", "removed from configuration");
    growTasks(W, Spec.Tasks_);
    drainRound(S, C, W, Spec);
  }
  repeatCommits(C, W);
  bool Gang = Spec.Kind_ == JobKind::Gang;
  if (Gang && regroupGang(S, C, W))
    return;
  for (std::uint32_t I = 0; I < W.Tasks_.size(); ++I) {
    Task &T = W.Tasks_[I];
    // A leaving node starts nothing more for jobs it is handing over.
    if (T.Phase_ != TaskPhase::Pending || C.Now_ < T.NextAction_ ||
        C.Members_.Leaving_)
      continue;
    if (Spec.Kind_ == JobKind::Service && I >= Spec.Tasks_)
      T.Phase_ = TaskPhase::Ended;
    else
      askForRoom(S, C, W, I, Spec);
  }
  if (Gang)
    commitGang(S, C, W);
  else
    commitSingles(S, C, W);
}

namespace {

/// Repeats in the log what retention would soon remove.
void repeatRecords(State &S, Context &C) {
  auto Due = [&](TimePoint Since) {
    return elapsed(Since, C.Now_) >= C.Retention_ / 2;
  };
  for (auto &[Id, W] : S.Works_) {
    if (!Due(W.SeenAt_))
      continue;
    W.SeenAt_ = C.Now_;
    const Job &J = C.Table_.Jobs_.at(Id);
    eventlog::append(
        C.Log_,
        eventlog::AcceptRecord{Id, J.Spec_, C.Self_, J.Cancelled_, J.Attached_},
        true);
  }
  auto Uses = C.Table_.Uses_.find(C.Self_);
  if (!Due(S.UsesSeenAt_) || Uses == C.Table_.Uses_.end())
    return;
  S.UsesSeenAt_ = C.Now_;
  eventlog::append(
      C.Log_,
      eventlog::UsesRecord{C.Self_, {Uses->second.begin(), Uses->second.end()}},
      true);
}

/// Jobs to look at: urgent ones first, then those of the teams that use least
/// of their quota.
std::vector<Work *> placingOrder(State &S, const Context &C) {
  std::map<std::string, double> Shares;
  for (const auto &[Team, Quota] : C.Config_.Doc_.Quotas_)
    Shares[Team] = quotaShare(S, C, Team);
  std::vector<std::tuple<bool, double, Work *>> Order;
  for (auto &[Id, W] : S.Works_) {
    if (C.Now_ < W.NextLook_ && W.Waiting_ == 0)
      continue;
    const JobSpec &Spec = C.Table_.Jobs_.at(Id).Spec_;
    auto Share = Shares.find(Spec.Team_);
    Order.emplace_back(!Spec.Urgent_, Share == Shares.end() ? 0 : Share->second,
                       &W);
  }
  std::stable_sort(Order.begin(), Order.end(),
                   [](const auto &A, const auto &B) {
                     return std::tie(std::get<0>(A), std::get<1>(A)) <
                            std::tie(std::get<0>(B), std::get<1>(B));
                   });
  std::vector<Work *> Out;
  for (const auto &[Normal, Share, W] : Order)
    Out.push_back(W);
  return Out;
}

/// When the job needs a look if nothing happens: at once while a task is on its
/// way, at the end of a backoff, else once an interval.
TimePoint nextLook(const Context &C, const Work &W) {
  TimePoint Next = C.Now_ + JobLookInterval;
  for (const Task &T : W.Tasks_) {
    bool Settled = T.Phase_ == TaskPhase::Running ||
                   T.Phase_ == TaskPhase::Finished ||
                   T.Phase_ == TaskPhase::Ended;
    if (T.Phase_ == TaskPhase::Pending)
      Next = std::min(Next, T.NextAction_);
    else if (!Settled || T.Stopping_ || T.Draining_)
      return {};
  }
  return Next;
}

} // namespace

void tick(State &S, Context &C) {
  if (S.UsesSeenAt_ == TimePoint{})
    S.UsesSeenAt_ = C.Now_;
  tickRecoveries(S, C);
  locateAttempts(S, C);
  sumTeamUsage(S, C);
  auto Order = placingOrder(S, C);
  wakeForRoom(S, C, Order);
  for (Work *W : Order) {
    if (C.Now_ < W->NextLook_)
      continue;
    placeRound(S, C, *W);
    W->NextLook_ = nextLook(C, *W);
  }
  repeatRecords(S, C);
}

} // namespace pollenvale::jobs
