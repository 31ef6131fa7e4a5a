#include "jobs/detail/wake.hpp"

#include "jobs/detail/round.hpp"

namespace pollenvale::jobs {

namespace {

/// Minimum time between two comparisons of the free room.
constexpr Milliseconds WakeInterval{100};

/// Free room of every holder, as last reported.
std::map<NodeId, Resources> freeByHolder(const Context &Context) {
  std::map<NodeId, Resources> Out;
  auto Sum = [](const std::vector<membership::RackSummary> &Racks) {
    Resources Free;
    for (const auto &Rack : Racks)
      Free += Rack.Free_;
    return Free;
  };
  Out[Context.Self_] = Sum(workers::summarize(Context.Workers_, Context.Now_));
  for (const auto &[Id, Peer] : Context.Members_.Peers_)
    if (membership::isLive(Context.Members_, Context.Now_, Id) &&
        !Peer.LastHeartbeat_.Leaving_)
      Out[Id] = Sum(Peer.LastHeartbeat_.Racks_);
  return Out;
}

/// Room that became free since the last call. A holder that was not known then
/// does not count, so that a take-over wakes no tasks.
Resources takeFreedRoom(State &State, const Context &Context) {
  auto FreeNow = freeByHolder(Context);
  Resources Freed;
  for (const auto &[Holder, Free] : FreeNow)
    if (auto Before = State.LastFreeRoom_.find(Holder);
        Before != State.LastFreeRoom_.end())
      Freed += largest({}, Free - Before->second);
  State.LastFreeRoom_ = std::move(FreeNow);
  return Freed;
}

} // namespace

void wakeForRoom(State &State, const Context &Context,
                 const std::vector<HomedJob *> &Order) {
  if (Context.Now_ < State.NextWake_)
    return;
  State.NextWake_ = Context.Now_ + WakeInterval;
  if (State.TasksWithoutRoom_ == 0) {
    State.LastFreeRoom_.clear();
    return;
  }
  Resources Freed = takeFreedRoom(State, Context);
  if (Freed == Resources())
    return;
  for (HomedJob *Job : Order) {
    if (Job->TasksWithoutRoom_ == 0)
      continue;
    const Resources &Size =
        specOf(Context, Context.Table_.Jobs_.at(Job->Id_)).Size_;
    for (Task &Task : Job->Tasks_) {
      if (Task.Phase_ != TaskPhase::Pending || !Task.WaitsForRoom_ ||
          Task.NextAction_ <= Context.Now_)
        continue;
      if (!fits(Size, Freed))
        break;
      Freed -= Size;
      Task.NextAction_ = Context.Now_;
      Job->NextCheck_ = {};
      Task.Backoff_ = Milliseconds(0);
      count(State.Counters_, "task-woken-for-room");
    }
  }
}

} // namespace pollenvale::jobs
