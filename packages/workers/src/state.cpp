#include "workers/detail/usage.hpp"
#include "workers/detail/worker_call.hpp"
#include "workers/workers.hpp"

namespace pollenvale::workers {

peering::WorkerCall &sendCall(State &State, const Worker &Worker,
                              peering::WorkerOp Op, const NodeId &Self,
                              const AttemptId &Attempt, TimePoint Now,
                              peering::Outbox &Out) {
  peering::WorkerCall Call;
  Call.Call_ = ++State.LastCall_;
  Call.Worker_ = Worker.Vm_.Name_;
  Call.Address_ = Worker.Vm_.Address_;
  Call.Op_ = Op;
  Call.Holder_ = Self;
  Call.Token_ = Worker.Token_;
  Call.Attempt_ = Attempt;
  State.Calls_[Call.Call_] = {Worker.Vm_.Name_, Op,  Worker.Token_,
                              Attempt,          Now, {}};
  Out.Workers_.push_back(std::move(Call));
  return Out.Workers_.back();
}

bool isHeld(const Worker &Worker, TimePoint Now) {
  return Worker.Lease_ == LeaseState::Held && Now < Worker.LeaseUntil_;
}

bool isOpenForStarts(const Worker &Worker, TimePoint Now,
                     const JobsView &Jobs) {
  return isHeld(Worker, Now) && !Worker.NeedsReacquire_ &&
         Jobs.FreshAsOf_ > Worker.AcquiredAt_;
}

Resources freeRoom(const Worker &Worker) {
  Resources Free = Worker.Capacity_;
  for (const auto &[Id, Attempt] : Worker.Attempts_)
    if (Attempt.Phase_ != Phase::Ended)
      Free -= committedResources(Attempt);
  return Free;
}

Resources roomAfterStops(const Worker &Worker) {
  Resources Free = freeRoom(Worker);
  for (const auto &[Id, Attempt] : Worker.Attempts_)
    if (Attempt.Phase_ == Phase::Running && Attempt.StopWanted_)
      Free += committedResources(Attempt);
  return Free;
}

void reindex(State &State, Worker &Worker, TimePoint Now) {
  if (!isHeld(Worker, Now)) {
    placement::remove(State.Index_, Worker.Vm_.Name_);
    return;
  }
  placement::IndexedWorker IndexedWorker;
  IndexedWorker.Name_ = Worker.Vm_.Name_;
  IndexedWorker.Rack_ = Worker.Vm_.Rack_;
  IndexedWorker.Dc_ = Worker.Vm_.Dc_;
  IndexedWorker.Labels_ = Worker.Labels_;
  IndexedWorker.Total_ = Worker.Capacity_;
  IndexedWorker.Free_ = Worker.Free_ = freeRoom(Worker);
  Worker.Borrowed_ = std::uint32_t(std::count_if(
      Worker.Attempts_.begin(), Worker.Attempts_.end(), [](const auto &Item) {
        return Item.second.Phase_ == Phase::Running &&
               Item.second.Task_.Borrowed_;
      }));
  IndexedWorker.Usable_ = !Worker.Vm_.Leaving_ && Now >= Worker.SetAsideUntil_;
  placement::upsert(State.Index_, std::move(IndexedWorker));
}

std::vector<membership::RackSummary> summarize(const State &State,
                                               TimePoint Now) {
  std::map<std::string, membership::RackSummary> Racks;
  for (const auto &[Name, Worker] : State.Workers_) {
    if (!isHeld(Worker, Now))
      continue;
    membership::RackSummary &Summary = Racks[Worker.Vm_.Rack_];
    Summary.Rack_ = Worker.Vm_.Rack_;
    ++Summary.Held_;
    Summary.Borrowed_ += Worker.Borrowed_;
    const Resources &Free = Worker.Free_;
    Summary.Free_ += Free;
    Summary.LargestFree_.Cpu_ = std::max(Summary.LargestFree_.Cpu_, Free.Cpu_);
    Summary.LargestFree_.Memory_ =
        std::max(Summary.LargestFree_.Memory_, Free.Memory_);
    Summary.LargestFree_.Accelerators_ =
        std::max(Summary.LargestFree_.Accelerators_, Free.Accelerators_);
  }
  std::vector<membership::RackSummary> Out;
  for (auto &[Name, Summary] : Racks)
    Out.push_back(std::move(Summary));
  return Out;
}

} // namespace pollenvale::workers
