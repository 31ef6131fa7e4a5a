/// \file
/// Exclusive writing to a partition under a fence, one append at a time.
#pragma once

#include "ledger/detail/store.hpp"

namespace pollenvale::ledger {

/// A write that the store has not settled yet, and the number that it has. The
/// driver makes the calls and hands back their replies.
struct Writer {
  Partition To_;
  /// Producer and epoch, and the number of the write in progress or next.
  Fence Fence_;
  std::vector<KeyedRecord> Records_; ///< Of the write in progress.
  std::optional<TimePoint> RepeatAt_;
};

enum class WriteOutcome {
  Stored,
  NotStored, ///< The store answered for other records; to be written anew.
  Fenced,    ///< A writer with a higher epoch exists.
  Open       ///< Not known yet; the same write is repeated.
};

/// Begins a write. There must be none in progress.
AppendCall beginWrite(Writer &W, std::vector<KeyedRecord> Records);
WriteOutcome onAppended(Writer &W, const AppendReply &Reply, TimePoint Now);
/// The repetition of the write in progress once it is due.
std::optional<AppendCall> repeatWrite(Writer &W, TimePoint Now);

} // namespace pollenvale::ledger
