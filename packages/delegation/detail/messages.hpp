/// \file
/// Messages between an owner and the peers that send starts for it.
#pragma once

#include "scheduler/scheduler.hpp"

#include <variant>

namespace pollenvale::delegation {

/// One start in a request: a scheduler::StartCall without its payload.
struct StartRow {
  CallId Id_ = 0;    ///< Names the start in the reply.
  std::string Task_; ///< As written by workflow::toString().
  std::uint32_t Run_ = 0;
  WorkerId Worker_;
  std::string Address_;
  Token Token_ = 0;
  std::string Checkpoint_;
  std::string Permit_;
  std::int64_t DeadlineMs_ = 0; ///< To begin, on the worker's clock.
  std::uint32_t TimeoutMs_ = 0; ///< Of the call to the worker.
  MSGPACK_DEFINE(Id_, Task_, Run_, Worker_, Address_, Token_, Checkpoint_,
                 Permit_, DeadlineMs_, TimeoutMs_)
};

/// Starts to send, from the owner to a peer.
struct RequestMessage {
  std::string ReplyTo_;         ///< Peer address of the owner.
  std::uint32_t Partition_ = 0; ///< Of the job topic, with the jobs.
  std::vector<StartRow> Rows_;
  MSGPACK_DEFINE(ReplyTo_, Partition_, Rows_)
};

/// The outcome of one delegated start.
struct ReplyRow {
  CallId Id_ = 0; ///< StartRow::Id_ of the start.
  /// False: the peer has not sent the start and will not, as its replica lacks
  /// the job.
  bool Sent_ = false;
  /// scheduler::CallStatus of the call to the worker.
  int Status_ = int(scheduler::CallStatus::NoAnswer);
  std::int64_t ClockMs_ = 0; ///< The worker's clock.
  MSGPACK_DEFINE(Id_, Sent_, Status_, ClockMs_)
};

/// Outcomes, from a peer to the owner.
struct ReplyMessage {
  std::vector<ReplyRow> Rows_;
  MSGPACK_DEFINE(Rows_)
};

/// Any message of this package; std::monostate if it could not be parsed.
using Message = std::variant<std::monostate, RequestMessage, ReplyMessage>;

std::string encode(const RequestMessage &M);
std::string encode(const ReplyMessage &M);
/// Parses a message. Returns std::monostate if \p Bytes are not a valid one.
Message decode(const std::string &Bytes);

/// The row for \p Call, which \p Id shall name.
StartRow makeStartRow(CallId Id, const scheduler::StartCall &Call);
/// The call that \p Row describes; empty if its task id is invalid.
std::optional<scheduler::StartCall> toStartCall(const StartRow &Row,
                                                const std::string &Payload);
/// The row for a start that was sent and got \p Reply.
ReplyRow makeReplyRow(CallId Id, const scheduler::OrderReply &Reply);
/// The reply of the worker; CallStatus::NoAnswer if the status is unknown.
scheduler::OrderReply toOrderReply(const ReplyRow &Row);

} // namespace pollenvale::delegation
