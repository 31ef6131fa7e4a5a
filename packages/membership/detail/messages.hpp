/// \file
/// Messages between entries: heartbeats, notices of free capacity, and the
/// transfer of a newer configuration.
#pragma once

#include "base/base.hpp"

#include <map>
#include <vector>

namespace pollenvale::membership {

/// Free capacity of the workers that one entry holds in a rack.
struct RackSummary {
  std::string Rack_;
  std::uint32_t Held_ = 0; ///< Workers with a valid lease.
  Resources Free_;         ///< Sum over these workers.
  /// Largest free amount on one worker, for each resource by itself.
  Resources LargestFree_;
  std::uint32_t Borrowed_ = 0; ///< Running tasks above their team's quota.
  bool operator==(const RackSummary &) const = default;
  MSGPACK_DEFINE(Rack_, Held_, Free_, LargestFree_, Borrowed_)
};

/// Sent between heartbeats to peers with pending tasks when capacity was freed.
/// Lists the racks concerned.
struct RoomNotice {
  std::vector<RackSummary> Racks_;
  MSGPACK_DEFINE(Racks_)
};

/// State of an entry, sent to every peer once per HeartbeatInterval.
struct Heartbeat {
  NodeId Sender_;
  std::string Address_;
  std::string Dc_;
  bool Leaving_ = false;     ///< The sender is shutting down.
  Offset ConfigVersion_ = 0; ///< In force at the sender; 0 without one.
  Offset LogNext_ = 0;       ///< Offset of the next record to read.
  std::vector<RackSummary> Racks_;
  std::map<ServiceName, std::uint32_t> FreeSlots_; ///< Of held instances.
  std::map<std::string, Resources>
      TeamUsage_;                 ///< Of jobs whose home is the sender.
  std::vector<NodeId> LivePeers_; ///< Peers that the sender regards as live.
  /// Version of the sender's VM list, and the VMs that the list marks as
  /// leaving.
  std::uint64_t ListVersion_ = 0;
  std::vector<WorkerId> LeavingVms_;
  std::uint32_t PendingTasks_ = 0; ///< Tasks that no worker had capacity for.
  /// False if Racks_ and TeamUsage_ are omitted; those of the last full
  /// heartbeat then stay valid.
  bool Full_ = true;
  MSGPACK_DEFINE(Sender_, Address_, Dc_, Leaving_, ConfigVersion_, LogNext_,
                 Racks_, FreeSlots_, TeamUsage_, LivePeers_, ListVersion_,
                 LeavingVms_, PendingTasks_, Full_)
};

/// Requests the receiver's configuration if it is newer than KnownVersion_.
struct ConfigPull {
  Offset KnownVersion_ = 0;
  MSGPACK_DEFINE(KnownVersion_)
};

/// Answers a ConfigPull.
struct ConfigPush {
  Offset Version_ = 0;
  std::string Json_; ///< The document, serialised.
  MSGPACK_DEFINE(Version_, Json_)
};

} // namespace pollenvale::membership
