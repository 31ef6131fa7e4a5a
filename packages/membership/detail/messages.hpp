/// \file
/// Heartbeats and the pull of a newer configuration.
#pragma once

#include "base/base.hpp"

#include <map>
#include <vector>

namespace pollenvale::membership {

/// What a holder can offer in one rack.
struct RackSummary {
  std::string Rack_;
  std::uint32_t Held_ = 0;     ///< Workers under a live lease.
  Resources Free_;             ///< Sum over these workers.
  Resources LargestFree_;      ///< Largest free amount by dimension.
  std::uint32_t Borrowed_ = 0; ///< Running tasks above their team's quota.
  bool operator==(const RackSummary &) const = default;
  MSGPACK_DEFINE(Rack_, Held_, Free_, LargestFree_, Borrowed_)
};

/// Racks in which room came free, for peers that wait for it.
struct RoomNotice {
  std::vector<RackSummary> Racks_;
  MSGPACK_DEFINE(Racks_)
};

/// Sent to every peer once an interval.
struct Heartbeat {
  NodeId Sender_;
  std::string Address_;
  std::string Dc_;
  bool Leaving_ = false;
  Offset ConfigVersion_ = 0;
  Offset LogNext_ = 0;
  std::vector<RackSummary> Racks_;
  std::map<ServiceName, std::uint32_t> FreeSlots_;
  std::map<std::string, Resources> TeamUsage_; ///< Of jobs homed here.
  std::vector<NodeId> LivePeers_; ///< Peers heard lately; indirect evidence.
  /// Version of the sender's VM list, and the VMs that it shows as leaving.
  std::uint64_t ListVersion_ = 0;
  std::vector<WorkerId> LeavingVms_;
  std::uint32_t PendingTasks_ = 0; ///< Tasks homed here that wait for room.
  /// Racks_ and TeamUsage_ are sent; else those of the last full one hold.
  bool Full_ = true;
  MSGPACK_DEFINE(Sender_, Address_, Dc_, Leaving_, ConfigVersion_, LogNext_,
                 Racks_, FreeSlots_, TeamUsage_, LivePeers_, ListVersion_,
                 LeavingVms_, PendingTasks_, Full_)
};

struct ConfigPull {
  Offset KnownVersion_ = 0;
  MSGPACK_DEFINE(KnownVersion_)
};

struct ConfigPush {
  Offset Version_ = 0;
  std::string Json_;
  MSGPACK_DEFINE(Version_, Json_)
};

} // namespace pollenvale::membership
