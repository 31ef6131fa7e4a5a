/// \file
/// Partitions of the platform's store: offsets without gaps, conditional
/// appends, producers with epochs and sequence numbers, and the newest record
/// of each key.
#pragma once

#include "ledger/ledger.hpp"

#include <deque>
#include <map>

namespace pollenvale::standins {

/// Answer of the store to an append, as HTTP status and fields.
struct AppendResult {
  int Code_ = 200;
  Offset First_ = 0;
  Offset End_ = 0;
  std::string Reason_;                 ///< Of a 409.
  std::uint64_t ExpectedSequence_ = 0; ///< Of a 409 for the sequence number.
};

/// An earlier append of a producer, whose repetition gets the same answer.
struct RecentAppend {
  std::uint64_t Sequence_ = 0;
  AppendResult Result_;
};

/// State of one producer in one partition.
struct Producer {
  std::uint64_t Epoch_ = 0;
  std::uint64_t Next_ = 0; ///< Sequence number of the next append.
  std::deque<RecentAppend> Recent_;
};

struct StorePartition {
  std::vector<ledger::KeyedRecord> Records_;
  std::map<std::string, ledger::KeyedRecord> Newest_; ///< By key.
  std::map<std::string, Producer> Producers_;         ///< By name.
};

/// Appends \p Records all or nothing. \p At: the partition must end there.
AppendResult append(StorePartition &P, std::vector<ledger::KeyedRecord> Records,
                    std::optional<Offset> At,
                    const std::optional<ledger::Fence> &Fence);

inline Offset endOf(const StorePartition &P) { return P.Records_.size(); }

/// Decodes the records in the body of an append. Empty optional when the body
/// is truncated.
std::optional<std::vector<ledger::KeyedRecord>>
decodeRecords(const std::string &Body);
/// Body of the answer to a read from \p From, of about \p MaxBytes at most.
std::string encodeRead(const StorePartition &P, Offset From,
                       std::size_t MaxBytes);

} // namespace pollenvale::standins
