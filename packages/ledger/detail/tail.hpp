/// \file
/// Follows one partition of a keyed topic: loads the newest record of each key,
/// then reads every later record. Loads again when the store no longer keeps
/// the next records, or when its answers contradict the position reached.
#pragma once

#include "ledger/detail/store.hpp"

#include <map>

namespace pollenvale::ledger {

struct TailOptions {
  Partition Partition_;
  /// How long the store may wait for a new record before it answers a read.
  Milliseconds Wait_{5'000};
  /// Pause after a read that has reached the end of the partition.
  Milliseconds Spacing_{0};
};

/// The call to make next. Newest: a page of the newest records.
enum class TailStep { Idle, Newest, Read };

/// Position in the partition and the call in flight. The driver makes the call
/// that nextStep() names, notes it by onSent() and passes the reply to
/// onNewest() or onRead().
struct Tail {
  TailOptions Options_;
  bool Loaded_ = false;   ///< A load has been completed at least once.
  bool Loading_ = true;   ///< A load is in progress.
  bool InFlight_ = false; ///< A call has not been answered yet.
  /// Last key of the pages loaded so far; empty before the first one.
  std::string PageAfterKey_;
  Offset Next_ = 0; ///< Offset of the next record to be taken.
  /// End of the partition as of the first page of the load in progress.
  std::optional<Offset> LoadEnd_;
  /// Pages in a row without an answer.
  unsigned FailedPages_ = 0;
  TimePoint NextCallAt_{}; ///< No call is made before this time.
  TimePoint SentAt_{};
  /// Everything that was stored before this time has been read.
  TimePoint CurrentAt_{};
  TimePoint AnsweredAt_{}; ///< Last successful answer of the store.
  /// Delivered records that come after a record which is still missing.
  std::map<Offset, KeyedRecord> BufferedRecords_;
  bool Reachable_ = false; ///< The last call was answered.
  Offset ReadOffset_ = 0;  ///< First offset of the last read.
  /// Offset after the last record known when the last read was sent. If the
  /// answer gives a smaller end of the partition, it is a mismatch.
  Offset KnownEnd_ = 0;
  /// Number of answers that contradict earlier answers or delivered records.
  std::uint64_t Mismatches_ = 0;
};

/// Idle while a call is in flight or none is due.
TailStep nextStep(const Tail &Tail, TimePoint Now);
/// The page to load next. It fails soon if the store is silent, so that a load
/// begins anew soon after an outage; the limit doubles with each failure, as
/// the store may just be slow.
NewestCall nextPage(const Tail &Tail);
/// The read to make next. While the store is unreachable, the read does not
/// wait for new records and has a short timeout, so that the tail soon notices
/// when the store answers again.
ReadCall nextRead(const Tail &Tail);
/// Notes that the call named by nextStep() was sent.
void onSent(Tail &Tail, TimePoint Now);
/// Handles a page. Returns true if it completes the load: keys that were on
/// none of its pages have been removed from the topic.
bool onNewest(Tail &Tail, const NewestReply &Reply, TimePoint Now);
/// Handles the answer to a read. The driver applies the records itself.
void onRead(Tail &Tail, const ReadReply &Reply, TimePoint Now);
/// Accepts stored records that were sent by their writer instead of being read.
/// Returns the records that come next, in order and without a gap, as reads
/// would have returned them. Records after a gap are kept until it is filled.
/// During a load, the records are ignored.
std::vector<KeyedRecord> deliver(Tail &Tail, std::vector<KeyedRecord> Records,
                                 TimePoint Now);
/// Removes and returns the delivered records that come next after a read.
std::vector<KeyedRecord> takeBufferedRecords(Tail &Tail);
/// Moves the next read forward to \p At. No effect while the store is
/// unreachable or if a read is due earlier.
void scheduleReadBy(Tail &Tail, TimePoint At);
/// Whether the last complete read was sent longer ago than reads take when the
/// store answers.
bool isStale(const Tail &Tail, TimePoint Now);
/// Whether the store answers, but no read has reached the end of the partition
/// for longer than \p Limit.
bool isBehind(const Tail &Tail, Milliseconds Limit, TimePoint Now);

} // namespace pollenvale::ledger
