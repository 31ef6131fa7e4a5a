#include "jobs/detail/recovery.hpp"

namespace pollenvale::jobs {

using workers::AttemptState;

namespace {

/// Sends a request to every node that could hold one of the workers.
void ask(State &S, Context &C, std::vector<WorkerId> Workers, Offset MinNext) {
  workers::LocateRequest R{std::move(Workers), MinNext, ++S.LocateNonce_};
  for (const NodeId &Peer : membership::livePeers(C.Members_, C.Now_))
    peering::send(C.Out_, Peer, R);
  peering::send(C.Out_, C.Self_, std::move(R));
}

void finishRecovery(State &S, Context &C, const NodeId &Dead) {
  count(S.Counters_, "recovery-complete");
  for (auto &[Id, W] : S.Works_) {
    if (!W.Recovering_.erase(Dead) || !W.Recovering_.empty())
      continue;
    W.NextLook_ = {};
    for (Task &T : W.Tasks_)
      if (T.Phase_ == TaskPhase::Recovering) {
        T.Phase_ = TaskPhase::Pending;
        T.NextAction_ = C.Now_;
      }
  }
}

bool needsLocate(const Task &T, const Context &C) {
  if (!isLocatable(T))
    return false;
  if (C.Now_ >= T.NextAudit_)
    return true;
  // The holder went silent since the last look.
  return T.NextAudit_ > C.Now_ + LocateInterval &&
         !membership::isLive(C.Members_, C.Now_, T.Holder_);
}

} // namespace

bool isLocatable(const Task &T) {
  return T.Phase_ == TaskPhase::Committing || T.Phase_ == TaskPhase::Running;
}

void adopt(Task &T, const workers::TaskReport &R) {
  auto State = AttemptState(R.State_);
  if (State == AttemptState::Failed)
    T.FailedOn_.insert(R.Worker_);
  if (State != AttemptState::Running && State != AttemptState::Finished)
    return;
  T.Attempt_ = R.Attempt_;
  T.Worker_ = R.Worker_;
  T.Phase_ = TaskPhase::Committing;
}

bool isGone(State &S, const Context &C, const WorkerId &Worker) {
  if (!C.Members_.HasVmList_ || C.Members_.Vms_.count(Worker))
    return false;
  auto It = C.Members_.AbsentSince_.find(Worker);
  TimePoint Since =
      It != C.Members_.AbsentSince_.end()
          ? It->second
          : S.NeverSeen_.try_emplace(Worker, C.Now_).first->second;
  return elapsed(Since, C.Now_) >= GoneAfter;
}

void tickRecoveries(State &S, Context &C) {
  for (auto It = S.Recoveries_.begin(); It != S.Recoveries_.end();) {
    Recovery &R = It->second;
    std::erase_if(R.Unaccounted_,
                  [&](const WorkerId &W) { return isGone(S, C, W); });
    if (R.Unaccounted_.empty()) {
      finishRecovery(S, C, It->first);
      It = S.Recoveries_.erase(It);
      continue;
    }
    if (C.Now_ >= R.NextAsk_) {
      R.NextAsk_ = C.Now_ + MessageRetry;
      ask(S, C, {R.Unaccounted_.begin(), R.Unaccounted_.end()}, R.MinNext_);
    }
    ++It;
  }
}

void locateAttempts(State &S, Context &C) {
  std::set<WorkerId> Workers;
  bool LookForGone = C.Now_ >= S.NextGoneLook_;
  if (LookForGone)
    S.NextGoneLook_ = C.Now_ + GoneLookInterval;
  for (auto &[Id, W] : S.Works_) {
    if (C.Now_ < W.NextLook_ && !LookForGone)
      continue;
    for (Task &T : W.Tasks_) {
      if (!isLocatable(T))
        continue;
      if (LookForGone && isGone(S, C, T.Worker_)) {
        count(S.Counters_, "attempt-worker-gone");
        retry(S, C, W, T, AttemptState::Stopped);
        continue;
      }
      if (!needsLocate(T, C))
        continue;
      bool Calm = T.Phase_ == TaskPhase::Running && !T.Stopping_ &&
                  membership::isLive(C.Members_, C.Now_, T.Holder_);
      T.NextAudit_ = C.Now_ + (Calm ? AuditInterval : LocateInterval);
      Workers.insert(T.Worker_);
    }
  }
  if (!Workers.empty())
    ask(S, C, {Workers.begin(), Workers.end()}, C.Log_.Next_);
}

} // namespace pollenvale::jobs
