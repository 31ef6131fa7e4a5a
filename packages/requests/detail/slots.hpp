/// \file
/// Holder side: slots of the instances on held workers, granted to entries.
#pragma once

#include "membership/membership.hpp"
#include "peering/peering.hpp"
#include "workers/workers.hpp"

namespace pollenvale::requests {

/// Time in which an entry may dispatch on a grant. It bounds how long a
/// leaving instance can get new work.
inline constexpr Milliseconds GrantTtl{2'000};
inline constexpr Milliseconds AskTtl{2'000};
inline constexpr Milliseconds FirstEjection{1'000};
inline constexpr Milliseconds MaxEjection{30'000};

struct Grant {
  NodeId Entry_;
  TimePoint GrantedAt_{};
};

struct Instance {
  AttemptId Task_;
  ServiceName Service_;
  std::string Address_;
  std::string Dc_;
  WorkerId Worker_;
  std::uint32_t Slots_ = 0;
  bool Draining_ = false;
  /// No slot is granted after the lease on the worker.
  TimePoint LeaseUntil_{};
  /// Ejected until then; afterwards one grant probes it.
  TimePoint EjectedUntil_{};
  Milliseconds Ejection_{0};
  std::map<std::uint64_t, Grant> Grants_;
};

struct Asked {
  std::uint32_t Wanted_ = 0;
  std::uint64_t StampMs_ = 0;
  TimePoint At_{};
};

struct SlotState {
  std::map<std::string, Instance> Instances_;
  std::map<ServiceName, std::map<NodeId, Asked>> Asked_;
  std::map<ServiceName, NodeId> LastServed_;
  std::uint64_t LastGrant_ = 0;
  Random Random_;
  Counters Counters_;
};

/// Aligns instances with the running service tasks of held workers.
void syncInstances(SlotState &S, const workers::State &W, TimePoint Now);
void onSlotRequest(SlotState &S, const membership::State &M, TimePoint Now,
                   const NodeId &From, const SlotRequest &A,
                   peering::Outbox &Out);
void onReturn(SlotState &S, const membership::State &M, TimePoint Now,
              const NodeId &From, const SlotReturn &R, peering::Outbox &Out);
/// Frees the grants of dead entries and serves waiting asks.
void tickSlots(SlotState &S, const membership::State &M, TimePoint Now,
               peering::Outbox &Out);
/// True while an entry may be using a slot of the service task.
bool isInUse(const SlotState &S, const AttemptId &Task);
std::map<ServiceName, std::uint32_t> freeSlots(const SlotState &S,
                                               TimePoint Now);

} // namespace pollenvale::requests
