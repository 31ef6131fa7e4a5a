#include "delegation/delegation.hpp"

namespace pollenvale::delegation {

using scheduler::CallStatus;
using scheduler::OrderReply;
using scheduler::StartCall;

namespace {

constexpr char RequestTag = 'o';
constexpr char ReplyTag = 'p';

} // namespace

std::string encode(const RequestMessage &M) {
  return packTagged(RequestTag, M);
}
std::string encode(const ReplyMessage &M) { return packTagged(ReplyTag, M); }

Message decode(const std::string &Bytes) {
  if (auto Request = unpackTagged<RequestMessage>(RequestTag, Bytes))
    return std::move(*Request);
  if (auto Reply = unpackTagged<ReplyMessage>(ReplyTag, Bytes))
    return std::move(*Reply);
  return {};
}

StartRow makeRow(CallId Id, const StartCall &C) {
  return {Id,
          workflow::toString(C.Task_),
          C.Run_,
          C.To_.Worker_,
          C.To_.Address_,
          C.To_.Token_,
          C.Checkpoint_,
          C.Permit_,
          C.Deadline_.count(),
          std::uint32_t(C.To_.Timeout_.count())};
}

std::optional<StartCall> startCall(const StartRow &Row,
                                   const std::string &Payload) {
  auto Task = workflow::parseTaskId(Row.Task_);
  if (!Task)
    return std::nullopt;
  StartCall Out;
  Out.To_ = {Row.Worker_, Row.Address_, Row.Token_,
             Milliseconds(Row.TimeoutMs_)};
  Out.Task_ = *Task;
  Out.Run_ = Row.Run_;
  Out.Payload_ = Payload;
  Out.Checkpoint_ = Row.Checkpoint_;
  Out.Permit_ = Row.Permit_;
  Out.Deadline_ = Milliseconds(Row.DeadlineMs_);
  return Out;
}

ReplyRow makeReply(CallId Id, const OrderReply &R) {
  return {Id, true, int(R.Status_), R.Clock_.count()};
}

OrderReply orderReply(const ReplyRow &Row) {
  bool Known = Row.Status_ >= int(CallStatus::Done) &&
               Row.Status_ <= int(CallStatus::NoAnswer);
  return {Known ? CallStatus(Row.Status_) : CallStatus::NoAnswer,
          Milliseconds(Row.ClockMs_)};
}

} // namespace pollenvale::delegation
