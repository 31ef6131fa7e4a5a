/// \file
/// What the slices need of the platform's store: a partitioned log whose topics
/// keep the newest record of each key.
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

/// A record of a keyed topic. Without a value it removes its key.
struct KeyedRecord {
  std::string Key_;
  std::string Value_;
  Offset Offset_ = 0; ///< Set on records that were read.
};

enum class StoreStatus {
  Done,
  NotDone, ///< Refused; nothing was stored.
  Unknown, ///< No answer; it may have been stored or may be stored yet.
  Moved,   ///< The partition does not end where the writer expected.
  Fenced,  ///< A writer with a higher epoch exists.
  OutOfSequence,
  Forgotten, ///< The records asked for are no longer kept.
};

std::string_view toString(StoreStatus Status);

/// Exclusive writing: the store refuses lower epochs and repeats no append.
struct Fence {
  std::string Producer_;
  std::uint64_t Epoch_ = 0;
  std::uint64_t Sequence_ = 0;
};

struct AppendCall {
  Partition To_;
  std::vector<KeyedRecord> Records_;
  std::optional<Offset> ExpectedEnd_; ///< Append only at this end.
  std::optional<Fence> Fence_;
  Milliseconds Timeout_{2'000};
};

struct AppendReply {
  StoreStatus Status_ = StoreStatus::Unknown;
  Offset First_ = 0; ///< Offset of the first record.
  Offset End_ = 0;   ///< End of the partition, when known.
  std::uint64_t ExpectedSequence_ = 0;
};

struct ReadCall {
  Partition From_;
  Offset Offset_ = 0;
  Milliseconds Wait_{0};        ///< How long the store may wait for a record.
  Milliseconds Timeout_{1'000}; ///< Beyond Wait_.
  /// Most bytes of an answer: 0.1 s on a link of 10 Mbit/s, so that an entry
  /// that has fallen behind catches up in steps that end within the limit.
  std::size_t MaxBytes_ = 128 * 1'024;
};

/// Asks for the newest record of each key.
struct NewestCall {
  Partition From_;
  std::string AfterKey_; ///< Only keys after this one; empty for all.
  /// A page of 1 MB takes 4 s over a link of 2 Mbit/s.
  Milliseconds Timeout_{8'000};
};

struct ReadReply {
  StoreStatus Status_ = StoreStatus::Unknown;
  std::vector<KeyedRecord> Records_;
  Offset Next_ = 0; ///< Offset after the last record read.
  Offset End_ = 0;
};

/// A page of the newest record of each key.
struct NewestReply {
  StoreStatus Status_ = StoreStatus::Unknown;
  std::vector<KeyedRecord> Records_;
  bool More_ = false;
  Offset End_ = 0;
  /// Last key of the page, if that of a record which can't be read; empty for
  /// that of the last one in Records_.
  std::string LastKey_ = {};
};

template <class T> using Done = std::function<void(T)>;

/// Calls never repeat by themselves; \p Done is called exactly once.
class Store {
public:
  virtual ~Store() = default;
  virtual void append(AppendCall Call, Done<AppendReply> Done) = 0;
  virtual void read(ReadCall Call, Done<ReadReply> Done) = 0;
  /// A page of keys in order.
  virtual void newest(NewestCall Call, Done<NewestReply> Done) = 0;
};

} // namespace pollenvale::ledger
