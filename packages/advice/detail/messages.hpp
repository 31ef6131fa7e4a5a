/// \file
/// Messages by which an entry has another one ask the policy.
#pragma once

#include "scheduler/scheduler.hpp"

#include <variant>

namespace pollenvale::advice {

struct RequestMessage {
  CallId Id_ = 0;
  std::string ReplyTo_; ///< Peer address of the entry that wants to know.
  std::string Step_;
  std::vector<WorkerId> Workers_;
  MSGPACK_DEFINE(Id_, ReplyTo_, Step_, Workers_)
};

struct PermitText {
  WorkerId Worker_;
  std::string Permit_;
  MSGPACK_DEFINE(Worker_, Permit_)
};

struct ReplyMessage {
  CallId Id_ = 0;
  bool Answered_ = false;
  std::vector<PermitText> Rows_;
  std::uint32_t ValidityMs_ = 0;
  MSGPACK_DEFINE(Id_, Answered_, Rows_, ValidityMs_)
};

using Message = std::variant<std::monostate, RequestMessage, ReplyMessage>;

std::string encode(const RequestMessage &M);
std::string encode(const ReplyMessage &M);
/// std::monostate when \p Bytes are no such message.
Message decode(const std::string &Bytes);

} // namespace pollenvale::advice
