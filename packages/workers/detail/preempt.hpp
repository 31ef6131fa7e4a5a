/// \file
/// Preemption of batch tasks: for urgent tasks, and of tasks on borrowed room
/// for tasks within their team's quota.
#pragma once

#include "workers/detail/state.hpp"

namespace pollenvale::workers {

/// Reserves room for a task by checkpointing the cheapest batch tasks of one
/// worker: any for an urgent task, otherwise those that other teams run on
/// borrowed room. The hold is granted once they have ended. Returns false when
/// preemption frees enough room on no worker. O(attempts on held workers).
bool preemptFor(State &State, TimePoint Now, const NodeId &Sender,
                const HoldRequest &Request, const JobsView &Jobs);
/// Batch tasks in order of increasing cost, as many as must end to leave
/// \p Need free on the worker; all that \p MayTake admits when they do not
/// suffice. O(attempts log attempts).
std::vector<AttemptId> cheapestVictims(
    const Worker &Worker, const Resources &Need, TimePoint Now,
    const std::function<bool(const Attempt &)> &MayTake = [](const Attempt &) {
      return true;
    });
/// Grants the reserved holds of a worker unless its tasks, with these holds,
/// take more than its capacity.
void grantReserved(State &State, Worker &Worker, TimePoint Now,
                   peering::Outbox &Out);

} // namespace pollenvale::workers
