#include "scheduler/detail/tasks.hpp"
#include "scheduler/scheduler.hpp"

#include <algorithm>

namespace pollenvale::scheduler {

namespace detail {

namespace {

/// How long answers count as getting lost after the last loss.
constexpr Milliseconds LossyDuration{4'000};
/// Timeout of calls while answers get lost. May be short, as every call can be
/// repeated.
constexpr Milliseconds LossyTimeout{130};
/// Added to the duration of each lease.
constexpr Milliseconds LeaseMargin{250};
constexpr unsigned MissesBeforeAvoiding = 2;

} // namespace

Milliseconds workerClock(const Worker &W, TimePoint Now) {
  return W.Known_.Clock_ + elapsed(W.Known_.ClockAt_, Now);
}

Target makeTarget(const State &State, const Worker &W) {
  Target To{W.Info_.Id_, W.Info_.Address_, W.Token_};
  if (State.LastTick_ < State.LossyUntil_)
    To.Timeout_ = LossyTimeout;
  return To;
}

Resources freeResources(const Worker &W) {
  return W.Info_.Capacity_ - W.Used_ - W.Known_.UnclaimedSize_;
}

bool acceptsTasks(const Worker &W, TimePoint Now) {
  // After a restart, the registry may still show the service, the capacity and
  // the labels of the former incarnation.
  bool SameIncarnation = W.Info_.StartedUnixMs_ == W.Known_.StartedUnixMs_;
  return W.InRegistry_ && W.Rostered_ && W.RunsKnown_ && SameIncarnation &&
         refusesFormerCalls(W) && !W.Info_.Draining_ &&
         W.Misses_ < MissesBeforeAvoiding && Now >= W.AvoidUntil_;
}

bool canHost(const Worker &W, const Job &J, const workflow::StepSpec &Spec,
             TimePoint Now) {
  return acceptsTasks(W, Now) && W.Info_.Service_ == J.Queue_.Service_ &&
         fits(workflow::chargedSize(Spec), W.Info_.Capacity_) &&
         (Spec.RequiredLabel_.empty() ||
          W.Info_.Labels_.count(Spec.RequiredLabel_));
}

void recordLostAnswer(State &State, TimePoint Now) {
  if (!isOwnerLate(State, Now))
    State.LossyUntil_ = Now + LossyDuration;
}

void forgetAdvice(State &State, const WorkerId &Id) {
  for (auto &[JobName, J] : State.Jobs_)
    for (auto &[Number, O] : J.Open_)
      for (Step &Step : O.Steps_) {
        Step.Denied_.erase(Id);
        Step.Permits_.erase(Id);
      }
}

void extendLease(State &State, Worker &W, Milliseconds Length, TimePoint Now) {
  Length = std::min(Length, State.Options_.MaxLease_);
  W.LeaseEndsAt_ =
      std::max(W.LeaseEndsAt_, Now + longestOnClock(Length) + LeaseMargin);
}

namespace {

/// Updates Worker::Released_. A later owner learns of ends that are not stored
/// from the worker only, so it must wait for that worker.
void releaseEmpty(State &State, Worker &W, TimePoint Now) {
  bool Empty = W.Tasks_.empty() && W.Known_.UnclaimedSize_ == Resources{} &&
               W.Known_.SeenEnd_ == W.Known_.StoredEnd_;
  bool Release = W.Info_.Draining_ && W.RunsKnown_ && Empty &&
                 !State.UnconfirmedWorkers_.count(W.Info_.Id_);
  if (Release == W.Released_)
    return;
  W.Released_ = Release;
  W.Rostered_ = false;
  State.RosterDirty_ = true;
  scheduleRenewal(State, W, Now);
}

} // namespace

void checkLeases(State &State, TimePoint Now, Outbox &Out) {
  bool OthersAnswer = mostWorkersAnswer(State, Now);
  for (auto It = State.Workers_.begin(); It != State.Workers_.end();) {
    Worker &W = It->second;
    releaseEmpty(State, W, Now);
    bool Lapsed = Now > mayWorkUntil(State, W) || W.Released_;
    if (Lapsed && isSilent(State, W, OthersAnswer, Now))
      abandonTasks(State, W, Now, Out, "silent");
    if (Lapsed && !W.InRegistry_ && W.Tasks_.empty() && !W.RenewInFlight_ &&
        !State.UnconfirmedWorkers_.count(It->first)) {
      State.RenewalQueue_.erase({W.RenewDueAt_, It->first});
      // It may come back under its id.
      forgetAdvice(State, It->first);
      It = State.Workers_.erase(It);
      State.RosterDirty_ = true;
    } else {
      ++It;
    }
  }
}

void checkInheritance(State &State, TimePoint Now, Outbox &Out) {
  if (!State.InheritancePending_)
    return;
  if (Now >= State.Options_.InheritedLeasesEndAt_) {
    bool OthersAnswer = mostWorkersAnswer(State, Now);
    std::erase_if(State.UnconfirmedWorkers_, [&](const WorkerId &Id) {
      if (Now < inheritedLeasesEnd(State, Id))
        return false;
      auto It = State.Workers_.find(Id);
      return It == State.Workers_.end() ||
             isSilent(State, It->second, OthersAnswer, Now);
    });
  }
  if (!State.UnconfirmedWorkers_.empty())
    return;
  State.InheritancePending_ = false;
  State.RosterDirty_ = true;
  State.PlacementNeeded_ = true;
  Out.Notes_.push_back(
      {"inheritance-settled",
       {{"after_ms", elapsed(State.Options_.ClaimedAt_, Now).count()}}});
  for (auto &[Id, J] : State.Jobs_)
    for (auto &[Number, O] : J.Open_)
      for (std::uint32_t StepIndex = 0; StepIndex < O.Steps_.size();
           ++StepIndex)
        stopIncompleteGang(State, {Id, Number, StepIndex});
}

} // namespace detail

void onInheritedLeasesEnd(State &State, TimePoint Ordinary, TimePoint Misread) {
  Options &O = State.Options_;
  O.InheritedLeasesEndAt_ = std::min(O.InheritedLeasesEndAt_, Ordinary);
  O.MisreadLeasesEndAt_ = std::min(O.MisreadLeasesEndAt_, Misread);
}

Milliseconds longestOnClock(Milliseconds Lease) {
  return Milliseconds(
      std::int64_t(double(Lease.count()) * (1 + detail::ClockDrift)));
}

void onWorker(State &State, const WorkerInfo &Info, TimePoint Now) {
  auto [It, New] = State.Workers_.try_emplace(Info.Id_);
  Worker &W = It->second;
  bool Replaced = W.Info_.Address_ != Info.Address_ ||
                  W.Info_.StartedUnixMs_ != Info.StartedUnixMs_;
  State.RosterDirty_ = State.RosterDirty_ || New;
  // It may have been known before, and have seen the newest token.
  if (New)
    W.Token_ = std::max(State.Options_.Token_, State.NewestToken_);
  if (New || !W.InRegistry_ || W.Info_.Draining_ != Info.Draining_)
    State.PlacementNeeded_ = true;
  if (W.RunsKnown_ && Info.StartedUnixMs_ > W.Known_.StartedUnixMs_ &&
      Info.StartedUnixMs_ != W.Info_.StartedUnixMs_)
    detail::recordRestart(State, W, Now);
  detail::recordRegistered(State, Info);
  W.Info_ = Info;
  W.InRegistry_ = true;
  if (New || Replaced)
    detail::scheduleRenewal(State, W, Now);
}

void onWorkerGone(State &State, const WorkerId &Id, TimePoint Now) {
  auto It = State.Workers_.find(Id);
  if (It == State.Workers_.end() || !It->second.InRegistry_)
    return;
  It->second.InRegistry_ = false;
  It->second.LeftRegistryAt_ = Now;
}

void releaseWorkers(State &State, TimePoint Now) {
  for (auto &[Id, W] : State.Workers_) {
    W.Info_.Draining_ = true;
    onWorkerGone(State, Id, Now);
  }
}

} // namespace pollenvale::scheduler
