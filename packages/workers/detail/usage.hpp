/// \file
/// Reported resource usage of tasks, usage estimates, and relief of workers
/// whose tasks use more than the capacity.
#pragma once

#include "workers/detail/state.hpp"

namespace pollenvale::workers {

/// Resources to reserve for an attempt: in each dimension the larger of its
/// size and its last reported usage, or its expected usage until one is known.
Resources committedResources(const Attempt &Attempt);
/// Estimated usage of a task, from earlier ones of the same team and name; at
/// least its size. O(log estimates).
Resources expectedUsage(const State &State, const TaskSpec &Task);
/// Records the usage that a worker reports and updates the estimate. Without
/// \p Usage the task counts as using its size. O(log estimates).
void recordUsage(State &State, Attempt &Attempt,
                 const std::optional<Resources> &Usage);
/// If the tasks of a worker use more than its capacity, throttles tasks to
/// their declared processors, and checkpoints the cheapest batch tasks when
/// other resources are short. O(attempts).
void relieveOveruse(State &State, Worker &Worker, const NodeId &Self,
                    TimePoint Now, peering::Outbox &Out);

} // namespace pollenvale::workers
