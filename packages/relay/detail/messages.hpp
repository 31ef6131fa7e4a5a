/// \file
/// Messages by which an entry has another one call the store.
#pragma once

#include "ledger/ledger.hpp"

#include <variant>

namespace pollenvale::relay {

enum class CallKind { Append, Read, Newest };

struct Row {
  std::string Key_;
  std::string Value_;
  Offset Offset_ = 0;
  MSGPACK_DEFINE(Key_, Value_, Offset_)
};

/// One call of any kind; fields that the kind does not use are empty.
struct RequestMessage {
  CallId Id_ = 0;
  std::string ReplyTo_; ///< Peer address of the entry that asks.
  int Kind_ = 0;        ///< A CallKind.
  std::string Topic_;
  std::uint32_t Partition_ = 0;
  std::vector<Row> Rows_;             ///< Of an append.
  std::optional<Offset> ExpectedEnd_; ///< Of an append.
  std::string Producer_;              ///< Of a fenced append; else empty.
  std::uint64_t Epoch_ = 0;
  std::uint64_t Sequence_ = 0;
  Offset From_ = 0;          ///< Of a read.
  std::uint32_t WaitMs_ = 0; ///< Of a read.
  std::string AfterKey_;     ///< Of a page of newest records.
  std::uint32_t TimeoutMs_ = 0;
  MSGPACK_DEFINE(Id_, ReplyTo_, Kind_, Topic_, Partition_, Rows_, ExpectedEnd_,
                 Producer_, Epoch_, Sequence_, From_, WaitMs_, AfterKey_,
                 TimeoutMs_)
};

struct ReplyMessage {
  CallId Id_ = 0;
  int Status_ = int(ledger::StoreStatus::Unknown);
  std::vector<Row> Rows_;
  Offset First_ = 0;
  Offset End_ = 0;
  Offset Next_ = 0;
  std::uint64_t ExpectedSequence_ = 0;
  bool More_ = false;
  /// What it answers.
  int Kind_ = 0;
  std::string Topic_;
  std::uint32_t Partition_ = 0;
  Offset From_ = 0;
  std::string AfterKey_;
  MSGPACK_DEFINE(Id_, Status_, Rows_, First_, End_, Next_, ExpectedSequence_,
                 More_, Kind_, Topic_, Partition_, From_, AfterKey_)
};

/// Records that its writer knows to be stored.
struct StoredMessage {
  std::string Topic_;
  std::uint32_t Partition_ = 0;
  std::vector<Row> Rows_;
  MSGPACK_DEFINE(Topic_, Partition_, Rows_)
};

using Message =
    std::variant<std::monostate, RequestMessage, ReplyMessage, StoredMessage>;

std::string encode(const RequestMessage &M);
std::string encode(const ReplyMessage &M);
std::string encode(const StoredMessage &M);
/// std::monostate when \p Bytes are no such message.
Message decode(const std::string &Bytes);

std::vector<ledger::KeyedRecord> toRecords(std::vector<Row> Rows);
RequestMessage makeRequest(const ledger::AppendCall &Call);
RequestMessage makeRequest(const ledger::ReadCall &Call);
RequestMessage makeRequest(const ledger::NewestCall &Call);
ledger::AppendCall appendCall(RequestMessage M);
ledger::ReadCall readCall(const RequestMessage &M);
ledger::NewestCall newestCall(const RequestMessage &M);

/// Says in \p Reply that it answers \p Asked.
void address(ReplyMessage &Reply, const RequestMessage &Asked);
bool isAnswerTo(const ReplyMessage &Reply, const RequestMessage &Asked);

ReplyMessage makeReply(CallId Id, const ledger::AppendReply &R);
ReplyMessage makeReply(CallId Id, ledger::ReadReply R);
ReplyMessage makeReply(CallId Id, ledger::NewestReply R);
ledger::AppendReply appendReply(const ReplyMessage &M);
ledger::ReadReply readReply(ReplyMessage M);
ledger::NewestReply newestReply(ReplyMessage M);

} // namespace pollenvale::relay
