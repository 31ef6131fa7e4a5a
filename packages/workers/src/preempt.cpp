#include "workers/detail/preempt.hpp"

#include "workers/detail/usage.hpp"
#include "workers/workers.hpp"

namespace pollenvale::workers {

namespace {

/// Victims to preempt on one worker.
struct Plan {
  Worker *Worker_ = nullptr; ///< Null when preemption frees too little.
  std::vector<AttemptId> Victims_;
  double Cost_ = 0; ///< Core seconds of work that is lost or delayed.
};

/// True for a running batch task that is neither urgent nor being stopped.
bool isPreemptible(const Attempt &Attempt) {
  return Attempt.Phase_ == Phase::Running && !Attempt.StopWanted_ &&
         !Attempt.Task_.Urgent_ &&
         JobKind(Attempt.Task_.Kind_) == JobKind::Batch;
}

/// Core seconds since the start of the attempt.
double preemptionCost(const Attempt &Attempt, TimePoint Now) {
  return double(elapsed(Attempt.StartedAt_, Now).count()) *
         double(Attempt.Task_.Size_.Cpu_) / 1e6;
}

/// Plans room for \p Size on one worker by preemption of its cheapest tasks.
Plan planPreemption(Worker &Worker, const HoldRequest &Request,
                    const Resources &Size, TimePoint Now) {
  Plan Result;
  Result.Victims_ =
      cheapestVictims(Worker, Size, Now, [&](const Attempt &Attempt) {
        return Request.Task_.Urgent_ ||
               (Attempt.Task_.Borrowed_ &&
                Attempt.Task_.Team_ != Request.Task_.Team_);
      });
  Resources Free = roomAfterStops(Worker);
  for (const AttemptId &Id : Result.Victims_) {
    const Attempt &Attempt = Worker.Attempts_.at(Id);
    Free += committedResources(Attempt);
    Result.Cost_ += preemptionCost(Attempt, Now);
  }
  if (fits(Size, Free))
    Result.Worker_ = &Worker;
  return Result;
}

/// True when the worker could run the task once enough of its tasks have ended.
bool isEligible(const State &State, const Worker &Worker,
                const HoldRequest &Request, TimePoint Now,
                const JobsView &Jobs) {
  Selector Wanted;
  for (const auto &[Key, Values] : Request.Selector_)
    Wanted[Key] = {Values.begin(), Values.end()};
  auto Indexed = State.Index_.Workers_.find(Worker.Vm_.Name_);
  return isOpenForStarts(Worker, Now, Jobs) &&
         Indexed != State.Index_.Workers_.end() && Indexed->second.Usable_ &&
         fits(Request.Task_.Size_, Worker.Capacity_) &&
         matches(Wanted, Worker.Labels_);
}

} // namespace

std::vector<AttemptId>
cheapestVictims(const Worker &Worker, const Resources &Need, TimePoint Now,
                const std::function<bool(const Attempt &)> &MayTake) {
  std::vector<std::pair<double, AttemptId>> Order;
  for (const auto &[Id, Attempt] : Worker.Attempts_)
    if (isPreemptible(Attempt) && MayTake(Attempt))
      Order.emplace_back(preemptionCost(Attempt, Now), Id);
  std::sort(Order.begin(), Order.end());
  std::vector<AttemptId> Victims;
  Resources Free = roomAfterStops(Worker);
  for (const auto &[Cost, Id] : Order) {
    if (fits(Need, Free))
      break;
    Free += committedResources(Worker.Attempts_.at(Id));
    Victims.push_back(Id);
  }
  return Victims;
}

bool preemptFor(State &State, TimePoint Now, const NodeId &Sender,
                const HoldRequest &Request, const JobsView &Jobs) {
  Plan Best;
  for (auto &[Name, Worker] : State.Workers_) {
    if (!isEligible(State, Worker, Request, Now, Jobs))
      continue;
    Plan Candidate = planPreemption(Worker, Request,
                                    expectedUsage(State, Request.Task_), Now);
    if (Candidate.Worker_ && (!Best.Worker_ || Candidate.Cost_ < Best.Cost_))
      Best = std::move(Candidate);
  }
  if (!Best.Worker_)
    return false;
  Worker &Worker = *Best.Worker_;
  Worker.NextCheck_ = {};
  for (const AttemptId &Id : Best.Victims_) {
    Attempt &Victim = Worker.Attempts_.at(Id);
    Victim.StopWanted_ = Victim.Preempted_ = true;
    count(State.Counters_,
          Request.Task_.Urgent_ ? "task-preempted" : "room-claimed-back");
  }
  Attempt Hold;
  Hold.Task_ = Request.Task_;
  Hold.HoldUntil_ = Now + HoldTtl;
  Hold.ExpectedUsage_ = expectedUsage(State, Request.Task_);
  Hold.Reserved_ = true;
  Hold.Requester_ = Sender;
  Worker.Attempts_[Request.Attempt_] = std::move(Hold);
  State.WorkerByAttempt_[Request.Attempt_] = Worker.Vm_.Name_;
  reindex(State, Worker, Now);
  return true;
}

void grantReserved(State &State, Worker &Worker, TimePoint Now,
                   peering::Outbox &Out) {
  Resources Free = freeRoom(Worker);
  bool IsWithinCapacity =
      Free.Cpu_ >= 0 && Free.Memory_ >= 0 && Free.Accelerators_ >= 0;
  if (!IsWithinCapacity || !isHeld(Worker, Now))
    return;
  for (auto &[Id, Attempt] : Worker.Attempts_)
    if (Attempt.Phase_ == Phase::Holding && Attempt.Reserved_) {
      Attempt.Reserved_ = false;
      count(State.Counters_, "preemption-granted");
      peering::send(Out, Attempt.Requester_,
                    HoldReply{Id, true, Worker.Vm_.Name_, {}});
    }
}

} // namespace pollenvale::workers
