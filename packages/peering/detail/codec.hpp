/// \file
/// MessagePack frames: a sender and its messages of one step.
#pragma once

#include "peering/detail/peer_message.hpp"

#include <string>
#include <vector>

namespace pollenvale::peering {

struct Frame {
  NodeId From_;
  NodeId To_;
  std::vector<PeerMessage> Messages_;
};

/// O(bytes).
std::string encode(const Frame &F);
/// Errors: BadJson for bytes that are no frame of this version.
Result<Frame> decode(const std::string &Bytes);

} // namespace pollenvale::peering
