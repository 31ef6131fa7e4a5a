/// \file
/// Closed set of messages between entries.
#pragma once

#include "membership/detail/messages.hpp"
#include "requests/detail/messages.hpp"
#include "workers/detail/messages.hpp"

#include <variant>

namespace pollenvale::peering {

/// Asks a job's home where its tasks stand.
struct JobQuery {
  JobId Job_;
  std::uint64_t Connection_ = 0; ///< Of the caller, at the asking entry.
  MSGPACK_DEFINE(Job_, Connection_)
};

struct JobAnswer {
  std::uint64_t Connection_ = 0;
  std::string Json_;
  MSGPACK_DEFINE(Connection_, Json_)
};

using PeerMessage =
    std::variant<membership::Heartbeat, membership::ConfigPull,
                 membership::ConfigPush, workers::HoldRequest,
                 workers::HoldReply, workers::Commit, workers::Release,
                 workers::TaskReport, workers::TaskAck, workers::LocateRequest,
                 workers::LocateReply, requests::SlotRequest,
                 requests::SlotGrant, requests::SlotReturn, JobQuery, JobAnswer,
                 membership::RoomNotice, workers::HandOverRequest>;

struct Addressed {
  NodeId To_;
  PeerMessage Message_;
};

} // namespace pollenvale::peering
