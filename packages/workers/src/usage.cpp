#include "workers/detail/usage.hpp"

#include "workers/detail/preempt.hpp"
#include "workers/detail/worker_call.hpp"
#include "workers/workers.hpp"

namespace pollenvale::workers {

namespace {

/// Bounds the memory of the estimates; one is evicted above it.
constexpr std::size_t MaxUsageEstimates = 10'000;
/// A smaller usage lowers an estimate by this fraction of the difference.
constexpr std::int64_t DecayDivisor = 4;

/// Key of the usage estimate that tasks of one team and name share.
std::string usageKey(const TaskSpec &Task) {
  return Task.Team_ + "/" + Task.Name_;
}

/// Rises to a larger usage at once and decays towards a smaller one.
std::int64_t adjustEstimate(std::int64_t Estimate, std::int64_t Used) {
  return Used >= Estimate ? Used : Estimate - (Estimate - Used) / DecayDivisor;
}

/// Updates the estimate of a task's team and name. One is kept only after a
/// task has exceeded its size.
void updateEstimate(State &State, const TaskSpec &Task, const Resources &Used) {
  std::string Key = usageKey(Task);
  auto It = State.UsageEstimates_.find(Key);
  if (It == State.UsageEstimates_.end()) {
    if (fits(Used, Task.Size_))
      return;
    if (State.UsageEstimates_.size() >= MaxUsageEstimates)
      State.UsageEstimates_.erase(State.UsageEstimates_.begin());
    State.UsageEstimates_[Key] = Used;
    return;
  }
  Resources &Estimate = It->second;
  Estimate = {adjustEstimate(Estimate.Cpu_, Used.Cpu_),
              adjustEstimate(Estimate.Memory_, Used.Memory_),
              adjustEstimate(Estimate.Accelerators_, Used.Accelerators_)};
}

/// Processors, in thousandths of a core, that an attempt uses above its size.
std::int64_t excessCpu(const Attempt &Attempt) {
  return committedResources(Attempt).Cpu_ - Attempt.Task_.Size_.Cpu_;
}

/// Running tasks that use more processors than declared: batch tasks first,
/// then by decreasing excess.
std::vector<AttemptId> throttleOrder(const Worker &Worker) {
  std::vector<std::tuple<bool, std::int64_t, AttemptId>> Order;
  for (const auto &[Id, Attempt] : Worker.Attempts_)
    if (Attempt.Phase_ == Phase::Running && Attempt.Usage_ &&
        excessCpu(Attempt) > 0)
      Order.emplace_back(JobKind(Attempt.Task_.Kind_) != JobKind::Batch,
                         -excessCpu(Attempt), Id);
  std::sort(Order.begin(), Order.end());
  std::vector<AttemptId> Out;
  for (const auto &[NotBatch, NegatedExcess, Id] : Order)
    Out.push_back(Id);
  return Out;
}

void sendThrottle(State &State, Worker &Worker, const AttemptId &Id,
                  Attempt &Attempt, const NodeId &Self, TimePoint Now,
                  peering::Outbox &Out) {
  sendCall(State, Worker, peering::WorkerOp::Throttle, Self, Id, Now, Out)
      .CpuLimit_ = Attempt.Task_.Size_.Cpu_;
  Attempt.Throttled_ = true;
  Attempt.NextThrottle_ = Now + ThrottleRetry;
  count(State.Counters_, "task-throttled");
}

/// Throttles tasks until \p FreeCpu, in thousandths of a core, is not negative.
void throttleTasks(State &State, Worker &Worker, std::int64_t FreeCpu,
                   const NodeId &Self, TimePoint Now, peering::Outbox &Out) {
  for (const AttemptId &Id : throttleOrder(Worker)) {
    if (FreeCpu >= 0)
      return;
    Attempt &Attempt = Worker.Attempts_.at(Id);
    FreeCpu += excessCpu(Attempt);
    if (Now >= Attempt.NextThrottle_)
      sendThrottle(State, Worker, Id, Attempt, Self, Now, Out);
  }
}

} // namespace

Resources committedResources(const Attempt &Attempt) {
  return largest(Attempt.Task_.Size_,
                 Attempt.Usage_.value_or(Attempt.ExpectedUsage_));
}

Resources expectedUsage(const State &State, const TaskSpec &Task) {
  auto It = State.UsageEstimates_.find(usageKey(Task));
  return It == State.UsageEstimates_.end() ? Task.Size_
                                           : largest(Task.Size_, It->second);
}

void recordUsage(State &State, Attempt &Attempt,
                 const std::optional<Resources> &Usage) {
  Attempt.Usage_ = Usage.value_or(Attempt.Task_.Size_);
  Attempt.ExpectedUsage_ = {};
  // The usage of a throttled task says nothing about unthrottled ones.
  if (!Attempt.Throttled_)
    updateEstimate(State, Attempt.Task_, *Attempt.Usage_);
}

void relieveOveruse(State &State, Worker &Worker, const NodeId &Self,
                    TimePoint Now, peering::Outbox &Out) {
  Resources Free = roomAfterStops(Worker);
  if (fits({}, Free)) {
    Worker.Overused_ = false;
    return;
  }
  if (!Worker.Overused_)
    count(State.Counters_, "worker-overused");
  Worker.Overused_ = true;
  // Throttling frees processors; other resources are freed only when tasks end.
  Resources Need{std::min<std::int64_t>(0, Free.Cpu_), 0, 0};
  throttleTasks(State, Worker, Free.Cpu_, Self, Now, Out);
  for (const AttemptId &Id : cheapestVictims(Worker, Need, Now)) {
    Attempt &Victim = Worker.Attempts_.at(Id);
    Victim.StopWanted_ = Victim.Preempted_ = true;
    count(State.Counters_, "task-checkpointed-for-room");
  }
}

} // namespace pollenvale::workers
