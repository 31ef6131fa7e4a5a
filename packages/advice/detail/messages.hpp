/// \file
/// Peer messages that delegate a call to the placement policy to another entry.
#pragma once

#include "scheduler/scheduler.hpp"

#include <variant>

namespace pollenvale::advice {

/// Asks the receiving entry to call the policy for one step.
struct RequestMessage {
  CallId Id_ = 0;
  std::string ReplyTo_;           ///< Peer address of the requesting entry.
  std::string Step_;              ///< Text form of a workflow::StepId.
  std::vector<WorkerId> Workers_; ///< Workers that the policy decides about.
  MSGPACK_DEFINE(Id_, ReplyTo_, Step_, Workers_)
};

/// Permit of the policy to run the step on one worker.
struct PermitText {
  WorkerId Worker_;
  std::string Permit_; ///< Opaque token of the policy.
  MSGPACK_DEFINE(Worker_, Permit_)
};

/// Answer of the policy, returned to RequestMessage::ReplyTo_.
struct ReplyMessage {
  CallId Id_ = 0;                ///< Id of the request.
  bool Answered_ = false;        ///< False if the call to the policy failed.
  std::vector<PermitText> Rows_; ///< One for each permitted worker.
  std::uint32_t ValidityMs_ = 0; ///< How long the permits are valid.
  MSGPACK_DEFINE(Id_, Answered_, Rows_, ValidityMs_)
};

using Message = std::variant<std::monostate, RequestMessage, ReplyMessage>;

std::string encode(const RequestMessage &M);
std::string encode(const ReplyMessage &M);
/// std::monostate if \p Bytes can't be decoded.
Message decode(const std::string &Bytes);

} // namespace pollenvale::advice
