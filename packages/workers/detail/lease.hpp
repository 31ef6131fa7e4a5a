/// \file
/// Control leases on workers: acquisition, renewal, hand-over and release.
#pragma once

#include "workers/detail/state.hpp"

namespace pollenvale::workers {

/// Adds and removes workers to match the VM list, and updates their labels with
/// \p LabelsOf. Entries are not workers.
void syncVms(State &State, const membership::State &Members,
             const std::function<Labels(const membership::Vm &)> &LabelsOf,
             TimePoint Now);
/// Expires leases, sends the acquire, renew and release calls that are due, and
/// requests hand-overs. O(workers).
void tickLeases(State &State, const membership::State &Members, TimePoint Now,
                peering::Outbox &Out);
/// Records that peer \p Sender requests the hand-over of workers. The next
/// tickLeases() decides about it.
void onHandOverRequest(State &State, TimePoint Now, const NodeId &Sender,
                       const HandOverRequest &Request);
/// Applies a worker's reply to any control or task call. Ignores replies to
/// calls that are not pending.
void onReply(State &State, TimePoint Now, const peering::WorkerReply &Reply,
             const JobsView &Jobs, peering::Outbox &Out);
/// Releases every held worker without a control call in flight; its tasks keep
/// running.
void releaseAll(State &State, TimePoint Now, peering::Outbox &Out,
                const NodeId &Self);
/// True when no worker is held and no release is in flight.
bool isIdle(const State &State, TimePoint Now);

} // namespace pollenvale::workers
