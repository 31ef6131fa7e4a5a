#include "config/config.hpp"
#include "workers/detail/preempt.hpp"
#include "workers/detail/usage.hpp"
#include "workers/detail/worker_call.hpp"
#include "workers/workers.hpp"

namespace pollenvale::workers {

using peering::CallStatus;
using peering::WorkerCall;
using peering::WorkerOp;
using peering::WorkerReply;

namespace {

void sendControl(State &State, Worker &Worker, WorkerOp Op, const NodeId &Self,
                 TimePoint Now, peering::Outbox &Out) {
  WorkerCall &Call = sendCall(State, Worker, Op, Self, {}, Now, Out);
  Call.Ttl_ = LeaseTtl;
  if (Op == WorkerOp::Renew)
    Call.Forget_.assign(Worker.Forget_.begin(), Worker.Forget_.end());
  Call.Since_ = Worker.Revision_;
  State.Calls_.at(Call.Call_).Forget_ = Worker.Forget_;
  Worker.ControlCall_ = Call.Call_;
}

/// Forgets the lease and all attempts of the worker. Attempts whose start call
/// got no reply are unknown from here on; the next holder's inventory shows
/// them.
void clearLease(State &State, Worker &Worker, TimePoint Now) {
  for (const auto &[Id, Attempt] : Worker.Attempts_)
    State.WorkerByAttempt_.erase(Id);
  Worker.Attempts_.clear();
  Worker.Forget_.clear();
  Worker.Lease_ = LeaseState::Unheld;
  Worker.NeedsReacquire_ = false;
  Worker.UnheldSince_ = Now;
  Worker.NextAcquire_ = Now + AcquireRetry;
  reindex(State, Worker, Now);
}

/// True when a live peer reports that it holds workers of this rack.
bool isHeldByPeer(const membership::State &Members, TimePoint Now,
                  const std::string &Rack) {
  for (const auto &[Id, Peer] : Members.Peers_)
    if (membership::isLive(Members, Now, Id))
      for (const auto &Summary : Peer.LastHeartbeat_.Racks_)
        if (Summary.Rack_ == Rack)
          return true;
  return false;
}

/// True when this node may try to acquire an unheld worker now.
bool shouldAcquire(const membership::State &Members, TimePoint Now,
                   const Worker &Worker) {
  // The hold-down of assignments protects held workers only; an unheld one goes
  // to the node that the current ranking prefers.
  auto Rank = Members.OwnRank_.find(Worker.Vm_.Rack_);
  // A starting node receives its peers' heartbeats before it acquires anything.
  if (Rank == Members.OwnRank_.end() || Members.Leaving_ ||
      elapsed(Members.StartedAt_, Now) < StartupDelay)
    return false;
  if (Rank->second == 0)
    return true;
  auto Stagger = FallbackStagger * Rank->second;
  if (elapsed(Worker.UnheldSince_, Now) < Stagger)
    return false;
  return elapsed(Worker.UnheldSince_, Now) >= Stagger * 2 ||
         !isHeldByPeer(Members, Now, Worker.Vm_.Rack_);
}

/// True when this node leaves, or when the node that the rack is assigned to is
/// live and has requested the worker.
bool shouldHandOver(const membership::State &Members, TimePoint Now,
                    const Worker &Worker) {
  if (Members.Leaving_)
    return true;
  auto It = Members.AssignedHolders_.find(Worker.Vm_.Rack_);
  return It != Members.AssignedHolders_.end() && It->second != Members.Self_ &&
         Members.AssignedHolders_ == Members.ProposedHolders_ &&
         membership::isLive(Members, Now, It->second) &&
         Worker.HandOverRequestedBy_ == It->second &&
         elapsed(Worker.HandOverRequestedAt_, Now) < HandOverTtl &&
         elapsed(Worker.AcquiredAt_, Now) >= membership::AssignmentHoldDown;
}

/// True while a hold or start is unsettled. Such a worker is not handed over,
/// because the outcome of the start would be unknown to the next holder.
bool hasUnsettledAttempts(const Worker &Worker) {
  if (Worker.StartsInFlight_ > 0)
    return true;
  for (const auto &[Id, Attempt] : Worker.Attempts_)
    if (Attempt.Phase_ == Phase::Holding || Attempt.Phase_ == Phase::Starting)
      return true;
  return false;
}

/// Marks running tasks that have passed their declared end. Returns true when
/// there is one that was not marked before.
bool markDueEnds(Worker &Worker, TimePoint Now) {
  bool Marked = false;
  for (auto &[Id, Attempt] : Worker.Attempts_) {
    Milliseconds RunTime(Attempt.Task_.RunMs_);
    if (Attempt.Phase_ != Phase::Running || Attempt.EndPolled_ ||
        RunTime == Milliseconds(0) ||
        elapsed(Attempt.StartedAt_, Now) < RunTime)
      continue;
    Attempt.EndPolled_ = Marked = true;
  }
  return Marked;
}

/// Expires the worker's lease, or sends the control call that is due.
void tickWorker(State &State, Worker &Worker, const membership::State &Members,
                TimePoint Now, peering::Outbox &Out) {
  if (Worker.Lease_ == LeaseState::Held && Now >= Worker.LeaseUntil_) {
    count(State.Counters_, "lease-lapsed");
    clearLease(State, Worker, Now);
  }
  if (Worker.ControlCall_)
    return;
  if (Worker.Lease_ == LeaseState::Unheld) {
    if (Now < Worker.NextAcquire_)
      return;
    Worker.NextAcquire_ = Now + AcquireCheckInterval;
    if (shouldAcquire(Members, Now, Worker)) {
      Worker.Lease_ = LeaseState::Acquiring;
      sendControl(State, Worker, WorkerOp::Acquire, Members.Self_, Now, Out);
    }
    return;
  }
  if (Worker.NeedsReacquire_) {
    if (Now >= Worker.NextAcquire_)
      sendControl(State, Worker, WorkerOp::Acquire, Members.Self_, Now, Out);
    return;
  }
  if (shouldHandOver(Members, Now, Worker) && !hasUnsettledAttempts(Worker)) {
    Worker.Lease_ = LeaseState::Releasing;
    reindex(State, Worker, Now);
    sendControl(State, Worker, WorkerOp::Release, Members.Self_, Now, Out);
    return;
  }
  if (Now >= Worker.NextRenew_ ||
      (State.RoomWanted_ && markDueEnds(Worker, Now)))
    sendControl(State, Worker, WorkerOp::Renew, Members.Self_, Now, Out);
}

/// Applies the tasks that a reply lists to the attempts of the worker.
void applyInventory(State &State, Worker &Worker, const WorkerReply &Reply,
                    TimePoint Now) {
  Worker.Revision_ = Reply.Revision_;
  for (const peering::WorkerTask &Task : Reply.Tasks_) {
    Attempt &Attempt = Worker.Attempts_[Task.Attempt_];
    State.WorkerByAttempt_[Task.Attempt_] = Worker.Vm_.Name_;
    Attempt.Task_ = Task.Task_;
    if (!Task.Address_.empty())
      Attempt.Address_ = Task.Address_;
    if (Task.Usage_)
      recordUsage(State, Attempt, Task.Usage_);
    if (Task.State_ == AttemptState::Running) {
      if (Attempt.Phase_ != Phase::Running)
        Attempt.StartedAt_ = Now;
      Attempt.Phase_ = Phase::Running;
    } else if (Attempt.Phase_ != Phase::Ended) {
      endAttempt(State, Worker, Task.Attempt_, Task.State_, Task.Reason_);
    }
  }
}

/// Ends attempts that are missing from a complete inventory which was read with
/// a new token. \p AsOf is when the inventory was requested.
void endMissingAttempts(State &State, Worker &Worker, const WorkerReply &Reply,
                        TimePoint AsOf) {
  std::set<AttemptId> Listed;
  for (const peering::WorkerTask &Task : Reply.Tasks_)
    Listed.insert(Task.Attempt_);
  for (auto &[Id, Attempt] : Worker.Attempts_) {
    if (Listed.count(Id))
      continue;
    // The worker refuses starts that were sent with an earlier token.
    if (Attempt.Phase_ == Phase::Starting)
      endAttempt(State, Worker, Id, AttemptState::NotRun, "start-not-taken");
    else if (Attempt.Phase_ == Phase::Running && Attempt.StartedAt_ <= AsOf)
      endAttempt(State, Worker, Id, AttemptState::Stopped, "lost-by-worker");
  }
}

void onAcquired(State &State, Worker &Worker, const PendingCall &Call,
                const WorkerReply &Reply, TimePoint Now) {
  Worker.Lease_ = LeaseState::Held;
  Worker.Token_ = Reply.Token_;
  Worker.LeaseUntil_ = Call.SentAt_ + LeaseTtl - LeaseMargin;
  if (!Worker.NeedsReacquire_)
    Worker.AcquiredAt_ = Now;
  Worker.NeedsReacquire_ = false;
  Worker.NextRenew_ = Now + RenewInterval;
  Worker.Capacity_ = Reply.Capacity_;
  applyInventory(State, Worker, Reply, Now);
  endMissingAttempts(State, Worker, Reply, Call.SentAt_);
  count(State.Counters_, "lease-acquired");
  reindex(State, Worker, Now);
}

void onAcquireReply(State &State, Worker &Worker, const PendingCall &Call,
                    const WorkerReply &Reply, TimePoint Now) {
  if (Reply.Status_ == CallStatus::Ok) {
    onAcquired(State, Worker, Call, Reply, Now);
    return;
  }
  Worker.NextAcquire_ = Now + AcquireRetry;
  count(State.Counters_, Reply.Status_ == CallStatus::Refused
                             ? "acquire-refused-" + Reply.Reason_
                             : "acquire-failed");
  if (Reply.Status_ == CallStatus::Refused && Worker.NeedsReacquire_) {
    clearLease(State, Worker, Now);
    return;
  }
  if (!Worker.NeedsReacquire_) {
    Worker.Lease_ = LeaseState::Unheld;
    if (Reply.Status_ == CallStatus::Refused && Reply.Reason_ == "held")
      Worker.UnheldSince_ = Worker.RefusedAt_ = Now;
  }
}

void onRenewReply(State &State, Worker &Worker, const PendingCall &Call,
                  const WorkerReply &Reply, TimePoint Now,
                  peering::Outbox &Out) {
  if (Reply.Status_ == CallStatus::Refused) {
    count(State.Counters_, "renew-refused-" + Reply.Reason_);
    clearLease(State, Worker, Now);
    return;
  }
  if (Reply.Status_ != CallStatus::Ok) {
    count(State.Counters_, "renew-retried");
    Worker.NextRenew_ = Now + RenewRetry;
    return;
  }
  Worker.LeaseUntil_ = Call.SentAt_ + LeaseTtl - LeaseMargin;
  Worker.NextRenew_ = Now + RenewInterval;
  Worker.Capacity_ = Reply.Capacity_;
  for (const AttemptId &Id : Call.Forget_) {
    Worker.Forget_.erase(Id);
    Worker.Attempts_.erase(Id);
    State.WorkerByAttempt_.erase(Id);
  }
  applyInventory(State, Worker, Reply, Now);
  grantReserved(State, Worker, Now, Out);
  reindex(State, Worker, Now);
}

void onStartReply(State &State, Worker &Worker, const PendingCall &Call,
                  const WorkerReply &Reply, TimePoint Now, const JobsView &Jobs,
                  peering::Outbox &Out) {
  if (Worker.StartsInFlight_ > 0)
    --Worker.StartsInFlight_;
  auto It = Worker.Attempts_.find(Call.Attempt_);
  if (It == Worker.Attempts_.end() || It->second.Phase_ != Phase::Starting)
    return;
  Attempt &Attempt = It->second;
  switch (Reply.Status_) {
  case CallStatus::Ok:
    Attempt.Phase_ = Phase::Running;
    Attempt.StartedAt_ = Now;
    Attempt.Address_ = Reply.Address_;
    Attempt.StartReported_ = true;
    count(State.Counters_, "start-ok");
    break;
  case CallStatus::Refused:
    count(State.Counters_, "start-refused-" + Reply.Reason_);
    endAttempt(State, Worker, Call.Attempt_, AttemptState::NotRun,
               Reply.Reason_);
    if (Reply.Reason_ == "stale-token" || Reply.Reason_ == "lapsed") {
      clearLease(State, Worker, Now);
      return;
    }
    break;
  case CallStatus::Unreachable:
    count(State.Counters_, "start-unreachable");
    endAttempt(State, Worker, Call.Attempt_, AttemptState::NotRun,
               "unreachable");
    break;
  case CallStatus::Lost:
    // With a new token the worker refuses the lost start call if it arrives
    // later, and the inventory shows whether the task was started before.
    count(State.Counters_, "start-lost");
    Worker.NeedsReacquire_ = true;
    Worker.NextAcquire_ = Now;
    return;
  }
  report(Call.Attempt_, Attempt, Worker.Vm_.Name_, Jobs, Out);
  reindex(State, Worker, Now);
}

} // namespace

void syncVms(State &State, const membership::State &Members,
             const std::function<Labels(const membership::Vm &)> &LabelsOf,
             TimePoint Now) {
  for (const auto &[Name, Vm] : Members.Vms_) {
    if (Vm.Entry_)
      continue;
    auto [It, New] = State.Workers_.try_emplace(Name);
    Worker &Worker = It->second;
    if (New)
      Worker.UnheldSince_ = Now;
    Worker.Vm_ = Vm;
    Worker.Labels_ = LabelsOf(Vm);
    Worker.Vm_.Leaving_ |= config::isDrained(Worker.Labels_);
    reindex(State, Worker, Now);
  }
  for (auto It = State.Workers_.begin(); It != State.Workers_.end();) {
    if (Members.Vms_.count(It->first)) {
      ++It;
      continue;
    }
    clearLease(State, It->second, Now);
    placement::remove(State.Index_, It->first);
    It = State.Workers_.erase(It);
  }
}

namespace {

/// Asks the peers to hand over workers that are assigned to this node, that it
/// has just reached, and that another node holds.
void requestHandOver(State &State, const membership::State &Members,
                     TimePoint Now, peering::Outbox &Out) {
  if (Now < State.NextHandOverRequest_ || Members.Leaving_)
    return;
  State.NextHandOverRequest_ = Now + HandOverInterval;
  HandOverRequest Request;
  for (const auto &[Name, Worker] : State.Workers_) {
    auto It = Members.AssignedHolders_.find(Worker.Vm_.Rack_);
    bool IsAssigned =
        It != Members.AssignedHolders_.end() && It->second == Members.Self_;
    if (IsAssigned && Worker.Lease_ != LeaseState::Held &&
        Worker.RefusedAt_ != TimePoint() &&
        elapsed(Worker.RefusedAt_, Now) < HandOverTtl)
      Request.Workers_.push_back(Name);
  }
  if (Request.Workers_.empty())
    return;
  count(State.Counters_, "hand-over-asked");
  for (const NodeId &Peer : membership::livePeers(Members, Now))
    peering::send(Out, Peer, Request);
}

} // namespace

void tickLeases(State &State, const membership::State &Members, TimePoint Now,
                peering::Outbox &Out) {
  for (auto &[Name, Worker] : State.Workers_)
    tickWorker(State, Worker, Members, Now, Out);
  requestHandOver(State, Members, Now, Out);
}

void onHandOverRequest(State &State, TimePoint Now, const NodeId &Sender,
                       const HandOverRequest &Request) {
  for (const WorkerId &Name : Request.Workers_)
    if (auto It = State.Workers_.find(Name); It != State.Workers_.end()) {
      It->second.HandOverRequestedBy_ = Sender;
      It->second.HandOverRequestedAt_ = Now;
    }
}

void onReply(State &State, TimePoint Now, const WorkerReply &Reply,
             const JobsView &Jobs, peering::Outbox &Out) {
  auto It = State.Calls_.find(Reply.Call_);
  if (It == State.Calls_.end())
    return;
  PendingCall Call = std::move(It->second);
  State.Calls_.erase(It);
  auto Found = State.Workers_.find(Call.Worker_);
  if (Found == State.Workers_.end())
    return;
  Worker &Worker = Found->second;
  Worker.NextCheck_ = {};
  if (Worker.ControlCall_ == Reply.Call_)
    Worker.ControlCall_.reset();
  // The reply may be processed after a pause that outlasted the lease.
  if (Worker.Lease_ == LeaseState::Held && Now >= Worker.LeaseUntil_) {
    count(State.Counters_, "lease-lapsed");
    clearLease(State, Worker, Now);
  }
  bool TokenIsCurrent =
      Call.Token_ == Worker.Token_ && Worker.Lease_ != LeaseState::Unheld;
  switch (Call.Op_) {
  case WorkerOp::Acquire:
    onAcquireReply(State, Worker, Call, Reply, Now);
    break;
  case WorkerOp::Renew:
    if (TokenIsCurrent)
      onRenewReply(State, Worker, Call, Reply, Now, Out);
    break;
  case WorkerOp::Release:
    if (Worker.Lease_ == LeaseState::Releasing)
      clearLease(State, Worker, Now);
    break;
  case WorkerOp::Start:
    onStartReply(State, Worker, Call, Reply, Now, Jobs, Out);
    break;
  case WorkerOp::Stop:
  case WorkerOp::Checkpoint:
  case WorkerOp::Throttle:
    if (auto Attempt = Worker.Attempts_.find(Call.Attempt_);
        Attempt != Worker.Attempts_.end()) {
      Attempt->second.StopInFlight_ = false;
      if (Reply.Status_ == CallStatus::Ok && TokenIsCurrent)
        Worker.NextRenew_ = Now; // Fetches the outcome.
    }
    break;
  }
}

void releaseAll(State &State, TimePoint Now, peering::Outbox &Out,
                const NodeId &Self) {
  for (auto &[Name, Worker] : State.Workers_) {
    if (!isHeld(Worker, Now) || Worker.ControlCall_)
      continue;
    Worker.Lease_ = LeaseState::Releasing;
    sendControl(State, Worker, WorkerOp::Release, Self, Now, Out);
  }
}

bool isIdle(const State &State, TimePoint Now) {
  for (const auto &[Name, Worker] : State.Workers_)
    if (isHeld(Worker, Now) || Worker.Lease_ == LeaseState::Releasing)
      return false;
  return true;
}

} // namespace pollenvale::workers
