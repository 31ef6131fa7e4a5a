/// \file
/// Holder side: grants slots of the instances on held workers to entries.
#pragma once

#include "membership/membership.hpp"
#include "peering/peering.hpp"
#include "workers/workers.hpp"

namespace pollenvale::requests {

/// Validity of a grant. It bounds how long a leaving instance can receive new
/// requests.
inline constexpr Milliseconds GrantTtl{2'000};
/// A slot request that is not repeated within this time is dropped.
inline constexpr Milliseconds SlotRequestTtl{2'000};
/// Duration of an instance's first ejection; each further one doubles it.
inline constexpr Milliseconds FirstEjection{1'000};
inline constexpr Milliseconds MaxEjection{30'000};

/// A slot granted to an entry.
struct Grant {
  NodeId Entry_;
  TimePoint GrantedAt_{};
};

/// A running service task on a held worker, with the grants of its slots.
struct Instance {
  AttemptId Task_;
  ServiceName Service_;
  std::string Address_; ///< Empty until the task reports one.
  std::string Dc_;
  WorkerId Worker_;
  std::uint32_t Slots_ = 0; ///< Requests that it runs at a time.
  bool Draining_ = false;   ///< Gets no further grants.
  /// End of the lease on the worker. No slot is granted from then on.
  TimePoint LeaseUntil_{};
  /// End of the current ejection. From then on one grant at a time probes the
  /// instance.
  TimePoint EjectedUntil_{};
  /// Duration of the last ejection; zero for a healthy instance.
  Milliseconds Ejection_{0};
  std::map<std::uint64_t, Grant> Grants_; ///< By grant id.
};

/// The last slot request of an entry for one service.
struct PendingSlotRequest {
  std::uint32_t Wanted_ = 0; ///< Slots not granted yet.
  std::uint64_t StampMs_ = 0;
  TimePoint ReceivedAt_{};
};

/// Slots and grants of the workers that this node holds.
struct SlotState {
  std::map<std::string, Instance> Instances_; ///< By attempt id.
  std::map<ServiceName, std::map<NodeId, PendingSlotRequest>> SlotRequests_;
  /// Entry that got the last grant of a service.
  std::map<ServiceName, NodeId> LastServed_;
  std::uint64_t LastGrant_ = 0; ///< Id of the latest grant.
  Random Random_;
  Counters Counters_;
};

/// Updates the instances to the running service tasks of held workers.
void syncInstances(SlotState &State, const workers::State &Workers,
                   TimePoint Now);
/// Records the request of \p From and grants available slots.
void onSlotRequest(SlotState &State, const membership::State &Members,
                   TimePoint Now, const NodeId &From,
                   const SlotRequest &Request, peering::Outbox &Out);
/// Frees the returned slot, ejects a suspect instance and grants available
/// slots. Ignores a grant that \p From does not have.
void onReturn(SlotState &State, const membership::State &Members, TimePoint Now,
              const NodeId &From, const SlotReturn &Return,
              peering::Outbox &Out);
/// Frees the grants of entries that are not live, drops expired slot requests
/// and grants available slots to pending ones.
void tickSlots(SlotState &State, const membership::State &Members,
               TimePoint Now, peering::Outbox &Out);
/// True while a slot of the service task \p Task is granted.
bool isInUse(const SlotState &State, const AttemptId &Task);
/// Number of slots that can be granted now, by service.
std::map<ServiceName, std::uint32_t> freeSlots(const SlotState &State,
                                               TimePoint Now);

} // namespace pollenvale::requests
