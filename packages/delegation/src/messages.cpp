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

StartRow makeStartRow(CallId Id, const StartCall &Call) {
  return {Id,
          workflow::toString(Call.Task_),
          Call.Run_,
          Call.Target_.Worker_,
          Call.Target_.Address_,
          Call.Target_.Token_,
          Call.Checkpoint_,
          Call.Permit_,
          Call.Deadline_.count(),
          std::uint32_t(Call.Target_.Timeout_.count())};
}

std::optional<StartCall> toStartCall(const StartRow &Row,
                                     const std::string &Payload) {
  auto Task = workflow::parseTaskId(Row.Task_);
  if (!Task)
    return std::nullopt;
  StartCall Call;
  Call.Target_ = {Row.Worker_, Row.Address_, Row.Token_,
                  Milliseconds(Row.TimeoutMs_)};
  Call.Task_ = *Task;
  Call.Run_ = Row.Run_;
  Call.Payload_ = Payload;
  Call.Checkpoint_ = Row.Checkpoint_;
  Call.Permit_ = Row.Permit_;
  Call.Deadline_ = Milliseconds(Row.DeadlineMs_);
  return Call;
}

ReplyRow makeReplyRow(CallId Id, const OrderReply &Reply) {
  return {Id, true, int(Reply.Status_), Reply.Clock_.count()};
}

OrderReply toOrderReply(const ReplyRow &Row) {
  bool Known = Row.Status_ >= int(CallStatus::Done) &&
               Row.Status_ <= int(CallStatus::NoAnswer);
  return {Known ? CallStatus(Row.Status_) : CallStatus::NoAnswer,
          Milliseconds(Row.ClockMs_)};
}

} // namespace pollenvale::delegation
