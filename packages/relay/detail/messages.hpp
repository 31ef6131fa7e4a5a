/// \file
/// Messages between entries: calls of the store on behalf of another entry,
/// their replies, and announcements of stored records.
#pragma once

#include "ledger/ledger.hpp"

#include <variant>

namespace pollenvale::relay {

/// Call of ledger::Store that a RequestMessage stands for.
enum class CallKind { Append, Read, Newest };

/// A ledger::KeyedRecord in a message.
struct MessageRecord {
  std::string Key_;
  std::string Value_;
  Offset Offset_ = 0;
  MSGPACK_DEFINE(Key_, Value_, Offset_)
};

/// Request to make one call. Fields that its kind does not use are empty or 0.
struct RequestMessage {
  CallId Id_ = 0;
  std::string ReplyTo_; ///< Peer address of the entry that makes the call.
  int Kind_ = 0;        ///< A CallKind.
  std::string Topic_;
  std::uint32_t Partition_ = 0;
  std::vector<MessageRecord> Records_; ///< Of an append.
  std::optional<Offset> ExpectedEnd_;  ///< Of an append.
  std::string Producer_;               ///< Of a fenced append; else empty.
  std::uint64_t Epoch_ = 0;
  std::uint64_t Sequence_ = 0;
  Offset FromOffset_ = 0;    ///< First offset, of a read.
  std::uint32_t WaitMs_ = 0; ///< Of a read.
  std::string AfterKey_;     ///< Of a page of newest records.
  std::uint32_t TimeoutMs_ = 0;
  /// Of a page of newest records. Not sent: calls through a peer are short.
  Milliseconds SilenceTimeout_{0};
  MSGPACK_DEFINE(Id_, ReplyTo_, Kind_, Topic_, Partition_, Records_,
                 ExpectedEnd_, Producer_, Epoch_, Sequence_, FromOffset_,
                 WaitMs_, AfterKey_, TimeoutMs_)
};

/// Reply to a RequestMessage. Fields that the kind of its call does not use are
/// empty or 0.
struct ReplyMessage {
  CallId Id_ = 0;                                  ///< Of the request.
  int Status_ = int(ledger::StoreStatus::Unknown); ///< A ledger::StoreStatus.
  std::vector<MessageRecord> Records_;
  Offset First_ = 0;
  Offset End_ = 0;
  Offset Next_ = 0;
  std::uint64_t ExpectedSequence_ = 0;
  bool More_ = false;
  /// The following fields repeat those of the request; see isAnswerTo().
  int Kind_ = 0;
  std::string Topic_;
  std::uint32_t Partition_ = 0;
  Offset FromOffset_ = 0;
  std::string AfterKey_;
  MSGPACK_DEFINE(Id_, Status_, Records_, First_, End_, Next_, ExpectedSequence_,
                 More_, Kind_, Topic_, Partition_, FromOffset_, AfterKey_)
};

/// Announces records that the store has confirmed to the sender.
struct StoredMessage {
  std::string Topic_;
  std::uint32_t Partition_ = 0;
  std::vector<MessageRecord> Records_;
  MSGPACK_DEFINE(Topic_, Partition_, Records_)
};

using Message =
    std::variant<std::monostate, RequestMessage, ReplyMessage, StoredMessage>;

std::string encode(const RequestMessage &M);
std::string encode(const ReplyMessage &M);
std::string encode(const StoredMessage &M);
/// std::monostate if \p Bytes can't be decoded as one of the messages.
Message decode(const std::string &Bytes);

std::vector<ledger::KeyedRecord> toRecords(std::vector<MessageRecord> Records);
RequestMessage makeRequest(const ledger::AppendCall &Call);
RequestMessage makeRequest(const ledger::ReadCall &Call);
RequestMessage makeRequest(const ledger::NewestCall &Call);
/// The call that \p M, a request of the matching kind, stands for.
ledger::AppendCall appendCall(RequestMessage M);
ledger::ReadCall readCall(const RequestMessage &M);
ledger::NewestCall newestCall(const RequestMessage &M);

/// Copies the id of \p Request and the fields that isAnswerTo() compares.
void copyCallFields(ReplyMessage &Reply, const RequestMessage &Request);
/// Whether \p Reply repeats the kind, partition and position of \p Request. An
/// id alone is not enough: an earlier process at this address may have used it.
bool isAnswerTo(const ReplyMessage &Reply, const RequestMessage &Request);

ReplyMessage makeReply(CallId Id, const ledger::AppendReply &R);
ReplyMessage makeReply(CallId Id, ledger::ReadReply R);
ReplyMessage makeReply(CallId Id, ledger::NewestReply R);
/// The store's reply that \p M, a reply of the matching kind, stands for. A
/// status out of range becomes Unknown.
ledger::AppendReply appendReply(const ReplyMessage &M);
ledger::ReadReply readReply(ReplyMessage M);
ledger::NewestReply newestReply(ReplyMessage M);

} // namespace pollenvale::relay
