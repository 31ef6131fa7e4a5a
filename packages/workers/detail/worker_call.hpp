/// \file
/// Creation of calls to workers. Internal.
#pragma once

#include "peering/peering.hpp"
#include "workers/detail/state.hpp"

namespace pollenvale::workers {

/// Queues a call with the worker's token and records it as pending until its
/// reply. The caller may complete the returned call before it uses \p Out
/// again; after that the reference is invalid.
peering::WorkerCall &sendCall(State &State, const Worker &Worker,
                              peering::WorkerOp Op, const NodeId &Self,
                              const AttemptId &Attempt, TimePoint Now,
                              peering::Outbox &Out);

} // namespace pollenvale::workers
