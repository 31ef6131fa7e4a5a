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

void sendControl(State &S, Worker &W, WorkerOp Op, const NodeId &Self,
                 TimePoint Now, peering::Outbox &Out) {
  WorkerCall &Call = sendCall(S, W, Op, Self, {}, Now, Out);
  Call.Ttl_ = LeaseTtl;
  if (Op == WorkerOp::Renew)
    Call.Forget_.assign(W.Forget_.begin(), W.Forget_.end());
  Call.Since_ = W.Revision_;
  S.Calls_.at(Call.Call_).Forget_ = W.Forget_;
  W.ControlCall_ = Call.Call_;
}

/// Drops every claim on the worker. Attempts whose start had no answer are
/// unknown from here on; the next holder's inventory tells.
void loseLease(State &S, Worker &W, TimePoint Now) {
  for (const auto &[Id, A] : W.Attempts_)
    S.Where_.erase(Id);
  W.Attempts_.clear();
  W.Forget_.clear();
  W.Lease_ = LeaseState::Unheld;
  W.NeedsReacquire_ = false;
  W.UnheldSince_ = Now;
  W.NextAcquire_ = Now + AcquireRetry;
  reindex(S, W, Now);
}

/// True when a live peer says that it holds workers of this rack.
bool isHeldByPeer(const membership::State &M, TimePoint Now,
                  const std::string &Rack) {
  for (const auto &[Id, P] : M.Peers_)
    if (membership::isLive(M, Now, Id))
      for (const auto &R : P.LastHeartbeat_.Racks_)
        if (R.Rack_ == Rack)
          return true;
  return false;
}

bool shouldAcquire(const membership::State &M, TimePoint Now, const Worker &W) {
  // Hysteresis is for workers that are held; a free one goes to the node that
  // would get it now.
  auto Rank = M.OwnRank_.find(W.Vm_.Rack_);
  // A node that starts waits to hear its peers before it takes anything.
  if (Rank == M.OwnRank_.end() || M.Leaving_ ||
      elapsed(M.StartedAt_, Now) < StartQuiet)
    return false;
  if (Rank->second == 0)
    return true;
  auto Stagger = FallbackStagger * Rank->second;
  if (elapsed(W.UnheldSince_, Now) < Stagger)
    return false;
  return elapsed(W.UnheldSince_, Now) >= Stagger * 2 ||
         !isHeldByPeer(M, Now, W.Vm_.Rack_);
}

bool shouldHandOver(const membership::State &M, TimePoint Now,
                    const Worker &W) {
  if (M.Leaving_)
    return true;
  auto It = M.AssignedHolders_.find(W.Vm_.Rack_);
  return It != M.AssignedHolders_.end() && It->second != M.Self_ &&
         M.AssignedHolders_ == M.ProposedHolders_ &&
         membership::isLive(M, Now, It->second) && W.WantedBy_ == It->second &&
         elapsed(W.WantedAt_, Now) < HandOverTtl &&
         elapsed(W.AcquiredAt_, Now) >= membership::AssignmentHoldDown;
}

/// A worker changes hands only between starts, so none is left unknown.
bool hasUnsettled(const Worker &W) {
  if (W.StartsInFlight_ > 0)
    return true;
  for (const auto &[Id, A] : W.Attempts_)
    if (A.Phase_ == Phase::Holding || A.Phase_ == Phase::Starting)
      return true;
  return false;
}

/// True once after the declared end of a running task.
bool isEndDue(Worker &W, TimePoint Now) {
  bool Due = false;
  for (auto &[Id, A] : W.Attempts_) {
    Milliseconds Run(A.Task_.RunMs_);
    if (A.Phase_ != Phase::Running || A.EndAsked_ || Run == Milliseconds(0) ||
        elapsed(A.StartedAt_, Now) < Run)
      continue;
    A.EndAsked_ = Due = true;
  }
  return Due;
}

void tickWorker(State &S, Worker &W, const membership::State &M, TimePoint Now,
                peering::Outbox &Out) {
  if (W.Lease_ == LeaseState::Held && Now >= W.LeaseUntil_) {
    count(S.Counters_, "lease-lapsed");
    loseLease(S, W, Now);
  }
  if (W.ControlCall_)
    return;
  if (W.Lease_ == LeaseState::Unheld) {
    if (Now < W.NextAcquire_)
      return;
    W.NextAcquire_ = Now + AcquireCheck;
    if (shouldAcquire(M, Now, W)) {
      W.Lease_ = LeaseState::Acquiring;
      sendControl(S, W, WorkerOp::Acquire, M.Self_, Now, Out);
    }
    return;
  }
  if (W.NeedsReacquire_) {
    if (Now >= W.NextAcquire_)
      sendControl(S, W, WorkerOp::Acquire, M.Self_, Now, Out);
    return;
  }
  if (shouldHandOver(M, Now, W) && !hasUnsettled(W)) {
    W.Lease_ = LeaseState::Releasing;
    reindex(S, W, Now);
    sendControl(S, W, WorkerOp::Release, M.Self_, Now, Out);
    return;
  }
  if (Now >= W.NextRenew_ || (S.RoomWanted_ && isEndDue(W, Now)))
    sendControl(S, W, WorkerOp::Renew, M.Self_, Now, Out);
}

/// Takes in tasks that the worker tells of.
void applyTasks(State &S, Worker &W, const WorkerReply &Reply, TimePoint Now) {
  W.Revision_ = Reply.Revision_;
  for (const peering::WorkerTask &T : Reply.Tasks_) {
    Attempt &A = W.Attempts_[T.Attempt_];
    S.Where_[T.Attempt_] = W.Vm_.Name_;
    A.Task_ = T.Task_;
    if (!T.Address_.empty())
      A.Address_ = T.Address_;
    if (T.Usage_)
      noteUsage(S, A, T.Usage_);
    if (T.State_ == AttemptState::Running) {
      if (A.Phase_ != Phase::Running)
        A.StartedAt_ = Now;
      A.Phase_ = Phase::Running;
    } else if (A.Phase_ != Phase::Ended) {
      endAttempt(S, W, T.Attempt_, T.State_, T.Reason_);
    }
  }
}

/// Ends what a whole inventory, read under a new token, does not show.
void endAbsent(State &S, Worker &W, const WorkerReply &Reply, TimePoint AsOf) {
  std::set<AttemptId> Seen;
  for (const peering::WorkerTask &T : Reply.Tasks_)
    Seen.insert(T.Attempt_);
  for (auto &[Id, A] : W.Attempts_) {
    if (Seen.count(Id))
      continue;
    // No start sent under an earlier token can land any more.
    if (A.Phase_ == Phase::Starting)
      endAttempt(S, W, Id, AttemptState::NotRun, "start-not-taken");
    else if (A.Phase_ == Phase::Running && A.StartedAt_ <= AsOf)
      endAttempt(S, W, Id, AttemptState::Stopped, "lost-by-worker");
  }
}

void onAcquired(State &S, Worker &W, const PendingCall &Call,
                const WorkerReply &Reply, TimePoint Now) {
  W.Lease_ = LeaseState::Held;
  W.Token_ = Reply.Token_;
  W.LeaseUntil_ = Call.SentAt_ + LeaseTtl - LeaseMargin;
  if (!W.NeedsReacquire_)
    W.AcquiredAt_ = Now;
  W.NeedsReacquire_ = false;
  W.NextRenew_ = Now + RenewInterval;
  W.Capacity_ = Reply.Capacity_;
  applyTasks(S, W, Reply, Now);
  endAbsent(S, W, Reply, Call.SentAt_);
  count(S.Counters_, "lease-acquired");
  reindex(S, W, Now);
}

void onAcquireReply(State &S, Worker &W, const PendingCall &Call,
                    const WorkerReply &Reply, TimePoint Now) {
  if (Reply.Status_ == CallStatus::Ok) {
    onAcquired(S, W, Call, Reply, Now);
    return;
  }
  W.NextAcquire_ = Now + AcquireRetry;
  count(S.Counters_, Reply.Status_ == CallStatus::Refused
                         ? "acquire-refused-" + Reply.Reason_
                         : "acquire-failed");
  if (Reply.Status_ == CallStatus::Refused && W.NeedsReacquire_) {
    loseLease(S, W, Now);
    return;
  }
  if (!W.NeedsReacquire_) {
    W.Lease_ = LeaseState::Unheld;
    if (Reply.Status_ == CallStatus::Refused && Reply.Reason_ == "held")
      W.UnheldSince_ = W.RefusedAt_ = Now;
  }
}

void onRenewReply(State &S, Worker &W, const PendingCall &Call,
                  const WorkerReply &Reply, TimePoint Now,
                  peering::Outbox &Out) {
  if (Reply.Status_ == CallStatus::Refused) {
    count(S.Counters_, "renew-refused-" + Reply.Reason_);
    loseLease(S, W, Now);
    return;
  }
  if (Reply.Status_ != CallStatus::Ok) {
    count(S.Counters_, "renew-retried");
    W.NextRenew_ = Now + RenewRetry;
    return;
  }
  W.LeaseUntil_ = Call.SentAt_ + LeaseTtl - LeaseMargin;
  W.NextRenew_ = Now + RenewInterval;
  W.Capacity_ = Reply.Capacity_;
  for (const AttemptId &Id : Call.Forget_) {
    W.Forget_.erase(Id);
    W.Attempts_.erase(Id);
    S.Where_.erase(Id);
  }
  applyTasks(S, W, Reply, Now);
  grantReserved(S, W, Now, Out);
  reindex(S, W, Now);
}

void onStartReply(State &S, Worker &W, const PendingCall &Call,
                  const WorkerReply &Reply, TimePoint Now, const JobsView &Jobs,
                  peering::Outbox &Out) {
  if (W.StartsInFlight_ > 0)
    --W.StartsInFlight_;
  auto It = W.Attempts_.find(Call.Attempt_);
  if (It == W.Attempts_.end() || It->second.Phase_ != Phase::Starting)
    return;
  Attempt &A = It->second;
  switch (Reply.Status_) {
  case CallStatus::Ok:
    A.Phase_ = Phase::Running;
    A.StartedAt_ = Now;
    A.Address_ = Reply.Address_;
    A.Announced_ = true;
    count(S.Counters_, "start-ok");
    break;
  case CallStatus::Refused:
    count(S.Counters_, "start-refused-" + Reply.Reason_);
    endAttempt(S, W, Call.Attempt_, AttemptState::NotRun, Reply.Reason_);
    if (Reply.Reason_ == "stale-token" || Reply.Reason_ == "lapsed") {
      loseLease(S, W, Now);
      return;
    }
    break;
  case CallStatus::Unreachable:
    count(S.Counters_, "start-unreachable");
    endAttempt(S, W, Call.Attempt_, AttemptState::NotRun, "unreachable");
    break;
  case CallStatus::Lost:
    // A new token makes the lost start refusable and its inventory tells
    // whether it was taken.
    count(S.Counters_, "start-lost");
    W.NeedsReacquire_ = true;
    W.NextAcquire_ = Now;
    return;
  }
  report(Call.Attempt_, A, W.Vm_.Name_, Jobs, Out);
  reindex(S, W, Now);
}

} // namespace

void syncVms(State &S, const membership::State &M,
             const std::function<Labels(const membership::Vm &)> &LabelsOf,
             TimePoint Now) {
  for (const auto &[Name, V] : M.Vms_) {
    if (V.Entry_)
      continue;
    auto [It, New] = S.Workers_.try_emplace(Name);
    Worker &W = It->second;
    if (New)
      W.UnheldSince_ = Now;
    W.Vm_ = V;
    W.Labels_ = LabelsOf(V);
    W.Vm_.Leaving_ |= config::isDrained(W.Labels_);
    reindex(S, W, Now);
  }
  for (auto It = S.Workers_.begin(); It != S.Workers_.end();) {
    if (M.Vms_.count(It->first)) {
      ++It;
      continue;
    }
    loseLease(S, It->second, Now);
    placement::remove(S.Index_, It->first);
    It = S.Workers_.erase(It);
  }
}

namespace {

/// Asks for the workers that are assigned to this node, that it reaches, and
/// that another node holds.
void askForHandOver(State &S, const membership::State &M, TimePoint Now,
                    peering::Outbox &Out) {
  if (Now < S.NextHandOverRequest_ || M.Leaving_)
    return;
  S.NextHandOverRequest_ = Now + HandOverInterval;
  HandOverRequest R;
  for (const auto &[Name, W] : S.Workers_) {
    auto It = M.AssignedHolders_.find(W.Vm_.Rack_);
    bool Own = It != M.AssignedHolders_.end() && It->second == M.Self_;
    if (Own && W.Lease_ != LeaseState::Held && W.RefusedAt_ != TimePoint() &&
        elapsed(W.RefusedAt_, Now) < HandOverTtl)
      R.Workers_.push_back(Name);
  }
  if (R.Workers_.empty())
    return;
  count(S.Counters_, "hand-over-asked");
  for (const NodeId &Peer : membership::livePeers(M, Now))
    peering::send(Out, Peer, R);
}

} // namespace

void tickLeases(State &S, const membership::State &M, TimePoint Now,
                peering::Outbox &Out) {
  for (auto &[Name, W] : S.Workers_)
    tickWorker(S, W, M, Now, Out);
  askForHandOver(S, M, Now, Out);
}

void onHandOverRequest(State &S, TimePoint Now, const NodeId &From,
                       const HandOverRequest &R) {
  for (const WorkerId &Name : R.Workers_)
    if (auto It = S.Workers_.find(Name); It != S.Workers_.end()) {
      It->second.WantedBy_ = From;
      It->second.WantedAt_ = Now;
    }
}

void onReply(State &S, TimePoint Now, const WorkerReply &Reply,
             const JobsView &Jobs, peering::Outbox &Out) {
  auto It = S.Calls_.find(Reply.Call_);
  if (It == S.Calls_.end())
    return;
  PendingCall Call = std::move(It->second);
  S.Calls_.erase(It);
  auto Found = S.Workers_.find(Call.Worker_);
  if (Found == S.Workers_.end())
    return;
  Worker &W = Found->second;
  W.NextLook_ = {};
  if (W.ControlCall_ == Reply.Call_)
    W.ControlCall_.reset();
  // The answer may come after a pause that outlasted the lease.
  if (W.Lease_ == LeaseState::Held && Now >= W.LeaseUntil_) {
    count(S.Counters_, "lease-lapsed");
    loseLease(S, W, Now);
  }
  bool Current = Call.Token_ == W.Token_ && W.Lease_ != LeaseState::Unheld;
  switch (Call.Op_) {
  case WorkerOp::Acquire:
    onAcquireReply(S, W, Call, Reply, Now);
    break;
  case WorkerOp::Renew:
    if (Current)
      onRenewReply(S, W, Call, Reply, Now, Out);
    break;
  case WorkerOp::Release:
    if (W.Lease_ == LeaseState::Releasing)
      loseLease(S, W, Now);
    break;
  case WorkerOp::Start:
    onStartReply(S, W, Call, Reply, Now, Jobs, Out);
    break;
  case WorkerOp::Stop:
  case WorkerOp::Checkpoint:
  case WorkerOp::Throttle:
    if (auto A = W.Attempts_.find(Call.Attempt_); A != W.Attempts_.end()) {
      A->second.StopInFlight_ = false;
      if (Reply.Status_ == CallStatus::Ok && Current)
        W.NextRenew_ = Now; // Fetch the outcome.
    }
    break;
  }
}

void releaseAll(State &S, TimePoint Now, peering::Outbox &Out,
                const NodeId &Self) {
  for (auto &[Name, W] : S.Workers_) {
    if (!isHeld(W, Now) || W.ControlCall_)
      continue;
    W.Lease_ = LeaseState::Releasing;
    sendControl(S, W, WorkerOp::Release, Self, Now, Out);
  }
}

bool isIdle(const State &S, TimePoint Now) {
  for (const auto &[Name, W] : S.Workers_)
    if (isHeld(W, Now) || W.Lease_ == LeaseState::Releasing)
      return false;
  return true;
}

} // namespace pollenvale::workers
