/// \file
/// Heartbeats and room notices that a node sends. Internal.
#pragma once

#include "node/detail/state.hpp"

namespace pollenvale::node {

/// Makes the heartbeat that is due. A full one records the racks as reported
/// and is O(racks + teams).
membership::Heartbeat makeHeartbeat(Node &Node, TimePoint Now);
/// Between heartbeats, notifies live peers with pending tasks of racks in which
/// capacity was freed. O(workers) while there are such peers.
void sendRoomNotices(Node &Node, TimePoint Now, peering::Outbox &Out);

} // namespace pollenvale::node
