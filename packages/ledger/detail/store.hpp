/// \file
/// Interface to the platform's store: a partitioned log whose topics keep the
/// newest record of each key.
#pragma once

#include "base/base.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace pollenvale::ledger {

struct Partition {
  std::string Topic_;
  std::uint32_t Number_ = 0;
};

/// A record of a keyed topic. An empty value removes the key.
struct KeyedRecord {
  std::string Key_;
  std::string Value_;
  Offset Offset_ = 0; ///< Position in the partition; set on stored records.
};

/// Limits of the store. It refuses what exceeds them, at every repetition.
struct StoreLimits {
  /// Largest record in bytes: length of the key (1 byte), key and value.
  std::size_t RecordBytes_ = 256 * 1'024;
  /// Largest sum of the records of one append in bytes, with their lengths (4
  /// bytes each).
  std::size_t CallBytes_ = 2 * 1'024 * 1'024;
};

/// Bytes that count against StoreLimits::RecordBytes_.
inline std::size_t recordBytes(const KeyedRecord &R) {
  return 1 + R.Key_.size() + R.Value_.size();
}
/// Bytes that count against StoreLimits::CallBytes_.
inline std::size_t callBytes(const KeyedRecord &R) {
  constexpr std::size_t LengthBytes = 4;
  return LengthBytes + recordBytes(R);
}

/// Outcome of a call to the store.
enum class StoreStatus {
  Done,
  NotDone, ///< The store refused the call and did nothing.
  Unknown, ///< No answer: an append may have been stored or may be stored
           ///< later.
  Moved,   ///< The partition does not end at ExpectedEnd_; nothing was stored.
  Fenced,  ///< A writer with a higher epoch exists.
  OutOfSequence, ///< The store expects another sequence number of the fence.
  Forgotten,     ///< The store no longer keeps the records to be read.
};

std::string_view toString(StoreStatus Status);

/// Makes appends exclusive and idempotent. Within a partition, the store
/// refuses epochs lower than one it has seen, and sequence numbers that do not
/// follow the last one. It answers a repetition of a recent append with the
/// first answer to it.
struct Fence {
  std::string Producer_;
  std::uint64_t Epoch_ = 0;
  std::uint64_t Sequence_ = 0;
};

/// Appends records to a partition.
struct AppendCall {
  Partition Partition_;
  std::vector<KeyedRecord> Records_;
  std::optional<Offset>
      ExpectedEnd_; ///< If set, append only if the partition ends here.
  std::optional<Fence> Fence_; ///< Empty for an append without a fence.
  Milliseconds Timeout_{2'000};
};

struct AppendReply {
  StoreStatus Status_ = StoreStatus::Unknown;
  Offset First_ = 0; ///< Offset of the first record, when Done.
  Offset End_ = 0;   ///< Offset after the last record, when Done.
  /// When OutOfSequence: the number that the store expects; 0 if unknown.
  std::uint64_t ExpectedSequence_ = 0;
};

/// Reads the records of a partition from an offset on.
struct ReadCall {
  Partition Partition_;
  Offset Offset_ = 0;
  Milliseconds Wait_{0}; ///< How long the store may wait for a new record.
  Milliseconds Timeout_{1'000}; ///< In addition to Wait_.
  /// Largest answer in bytes. It takes 0.1 s over a link of 10 Mbit/s, so that
  /// an entry that is behind catches up by reads that end before their timeout.
  std::size_t MaxBytes_ = 128 * 1'024;
};

/// Reads one page of the newest record of each key, in the order of the keys.
struct NewestCall {
  Partition Partition_;
  std::string
      AfterKey_; ///< Only keys after this one; empty for the first page.
  /// Twice the time that a page of 1 MB takes over a link of 2 Mbit/s.
  Milliseconds Timeout_{8'000};
  /// The call fails when no byte of the page arrives for this long; 0 for no
  /// such limit.
  Milliseconds SilenceTimeout_{0};
};

struct ReadReply {
  StoreStatus Status_ = StoreStatus::Unknown;
  std::vector<KeyedRecord> Records_;
  Offset Next_ = 0; ///< Offset after the last record that was read.
  Offset End_ = 0;  ///< End of the partition.
};

/// A page of the newest record of each key.
struct NewestReply {
  StoreStatus Status_ = StoreStatus::Unknown;
  std::vector<KeyedRecord> Records_;
  bool More_ = false; ///< Another page follows.
  Offset End_ = 0;    ///< End of the partition.
  /// Last key of the page if its record can't be decoded and is left out of
  /// Records_; else empty, and the last key is that of the last record.
  std::string LastKey_ = {};
};

/// Receives the reply to a call.
template <class T> using ReplyHandler = std::function<void(T)>;

/// A client of the store. It does not repeat calls; it calls \p Done exactly
/// once for each.
class Store {
public:
  virtual ~Store() = default;
  virtual void append(AppendCall Call, ReplyHandler<AppendReply> Done) = 0;
  virtual void read(ReadCall Call, ReplyHandler<ReadReply> Done) = 0;
  /// Reads a page of the newest records, in the order of their keys.
  virtual void readNewest(NewestCall Call, ReplyHandler<NewestReply> Done) = 0;
};

} // namespace pollenvale::ledger
