#include "jobs/detail/wake.hpp"

#include "jobs/detail/round.hpp"

namespace pollenvale::jobs {

namespace {

constexpr Milliseconds WakeInterval{100};

/// Free room of every holder, by what this node was last told.
std::map<NodeId, Resources> freeByHolder(const Context &C) {
  std::map<NodeId, Resources> Out;
  auto Sum = [](const std::vector<membership::RackSummary> &Racks) {
    Resources Free;
    for (const auto &R : Racks)
      Free += R.Free_;
    return Free;
  };
  Out[C.Self_] = Sum(workers::summarize(C.Workers_, C.Now_));
  for (const auto &[Id, P] : C.Members_.Peers_)
    if (membership::isLive(C.Members_, C.Now_, Id) &&
        !P.LastHeartbeat_.Leaving_)
      Out[Id] = Sum(P.LastHeartbeat_.Racks_);
  return Out;
}

/// What came free since the last look. A holder that is new brings nothing, so
/// that a take-over wakes nobody.
Resources freedSince(State &S, const Context &C) {
  auto Now = freeByHolder(C);
  Resources Freed;
  for (const auto &[Holder, Free] : Now)
    if (auto Before = S.FreeSeen_.find(Holder); Before != S.FreeSeen_.end())
      Freed += largest({}, Free - Before->second);
  S.FreeSeen_ = std::move(Now);
  return Freed;
}

} // namespace

void wakeForRoom(State &S, const Context &C, const std::vector<Work *> &Order) {
  if (C.Now_ < S.NextWake_)
    return;
  S.NextWake_ = C.Now_ + WakeInterval;
  if (S.Waiting_ == 0) {
    S.FreeSeen_.clear();
    return;
  }
  Resources Freed = freedSince(S, C);
  if (Freed == Resources())
    return;
  for (Work *W : Order) {
    if (W->Waiting_ == 0)
      continue;
    const Resources &Size = specOf(C, C.Table_.Jobs_.at(W->Job_)).Size_;
    for (Task &T : W->Tasks_) {
      if (T.Phase_ != TaskPhase::Pending || !T.WaitsForRoom_ ||
          T.NextAction_ <= C.Now_)
        continue;
      if (!fits(Size, Freed))
        break;
      Freed -= Size;
      T.NextAction_ = C.Now_;
      W->NextLook_ = {};
      T.Backoff_ = Milliseconds(0);
      count(S.Counters_, "task-woken-for-room");
    }
  }
}

} // namespace pollenvale::jobs
