/// \file
/// Writes to a partition under a fence, one append at a time.
#pragma once

#include "ledger/detail/store.hpp"

namespace pollenvale::ledger {

/// State of a fenced writer. A write is in progress until the store has settled
/// its sequence number. The driver makes the calls and passes the replies to
/// onAppended().
struct Writer {
  Partition Partition_;
  /// Its sequence number is that of the write in progress or, if there is none,
  /// of the next one.
  Fence Fence_;
  std::vector<KeyedRecord> Records_; ///< Of the write in progress.
  /// When to repeat the write in progress; empty while a call is in flight.
  std::optional<TimePoint> RepeatAt_;
};

/// What a reply says about the write in progress.
enum class WriteOutcome {
  Stored,
  NotStored, ///< Its sequence number belongs to other records: write again.
  Fenced,    ///< A writer with a higher epoch exists.
  Pending    ///< Not settled yet: the same write will be repeated.
};

/// Begins a write and returns the call to make. None may be in progress.
AppendCall beginWrite(Writer &Writer, std::vector<KeyedRecord> Records);
/// Handles the reply to a call of the write in progress.
WriteOutcome onAppended(Writer &Writer, const AppendReply &Reply,
                        TimePoint Now);
/// The call that repeats the write in progress; empty if none is due.
std::optional<AppendCall> repeatWrite(Writer &Writer, TimePoint Now);

} // namespace pollenvale::ledger
