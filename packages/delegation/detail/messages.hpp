/// \file
/// Messages by which an owner has another entry send starts.
#pragma once

#include "scheduler/scheduler.hpp"

#include <variant>

namespace pollenvale::delegation {

/// A start without its payload.
struct StartRow {
  CallId Id_ = 0;
  std::string Task_;
  std::uint32_t Run_ = 0;
  WorkerId Worker_;
  std::string Address_;
  Token Token_ = 0;
  std::string Checkpoint_;
  std::string Permit_;
  std::int64_t DeadlineMs_ = 0; ///< On the worker's clock.
  std::uint32_t TimeoutMs_ = 0;
  MSGPACK_DEFINE(Id_, Task_, Run_, Worker_, Address_, Token_, Checkpoint_,
                 Permit_, DeadlineMs_, TimeoutMs_)
};

struct RequestMessage {
  std::string ReplyTo_;         ///< Peer address of the owner.
  std::uint32_t Partition_ = 0; ///< Of the job topic.
  std::vector<StartRow> Rows_;
  MSGPACK_DEFINE(ReplyTo_, Partition_, Rows_)
};

struct ReplyRow {
  CallId Id_ = 0;
  /// False: the entry has not sent the start and will not, as its copy lacks
  /// the job.
  bool Sent_ = false;
  int Status_ = int(scheduler::CallStatus::NoAnswer);
  std::int64_t ClockMs_ = 0;
  MSGPACK_DEFINE(Id_, Sent_, Status_, ClockMs_)
};

struct ReplyMessage {
  std::vector<ReplyRow> Rows_;
  MSGPACK_DEFINE(Rows_)
};

using Message = std::variant<std::monostate, RequestMessage, ReplyMessage>;

std::string encode(const RequestMessage &M);
std::string encode(const ReplyMessage &M);
/// std::monostate when \p Bytes are no such message.
Message decode(const std::string &Bytes);

StartRow makeRow(CallId Id, const scheduler::StartCall &Call);
/// The call that \p Row stands for; empty when its task can't be read.
std::optional<scheduler::StartCall> startCall(const StartRow &Row,
                                              const std::string &Payload);
ReplyRow makeReply(CallId Id, const scheduler::OrderReply &R);
scheduler::OrderReply orderReply(const ReplyRow &Row);

} // namespace pollenvale::delegation
