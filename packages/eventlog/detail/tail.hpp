/// \file
/// Reads from and appends to the log. An append whose answer was lost is
/// repeated until the record is read back, so lost answers need no separate
/// recovery.
#pragma once

#include "eventlog/detail/record.hpp"

#include <deque>
#include <map>
#include <optional>

namespace pollenvale::eventlog {

/// Delay before the next read after a failed one.
inline constexpr Milliseconds ReadRetry{300};
/// Delay before the next append after a failed one.
inline constexpr Milliseconds AppendRetry{300};
/// Long-poll time of a read at the end of the log.
inline constexpr Milliseconds ReadWait{500};
/// Records per append.
inline constexpr std::size_t MaxBatch = 2'000;

enum class AppendStatus {
  Appended, ///< The service answered with the offsets.
  Refused,  ///< Refused by the service, or no byte of the call was sent.
  Lost      ///< No answer: the records may be in the log.
};

/// Appends a batch of records.
struct AppendCall {
  CallId Call_ = 0;
  std::vector<Record> Records_;
};

/// Reads the records from FirstOffset_ on.
struct ReadCall {
  CallId Call_ = 0;
  Offset FirstOffset_ = 0; ///< 0: from the earliest record.
  Milliseconds Wait_{0};   ///< Long-poll time; zero: answer immediately.
};

/// Answer to a ReadCall.
struct ReadReply {
  bool Ok_ = false;     ///< False if the read failed; the rest is then unset.
  Offset Earliest_ = 0; ///< First offset still retained.
  Offset Next_ = 0;     ///< Offset after the last record of this reply.
  Offset End_ = 0;      ///< Offset after the last record of the log.
  std::vector<StoredRecord> Records_;
};

/// A record whose append is not confirmed yet.
struct PendingAppend {
  Record Record_;
  std::string Key_; ///< recordKey() of the record.
  /// Appended again if the service refuses it.
  bool Persistent_ = false;
  /// The answer to an append of it was lost, so it may be in the log already.
  bool InDoubt_ = false;
};

/// Position in the log and pending calls. At most one read and one append are
/// in flight.
struct State {
  Offset Next_ = 0;     ///< Next offset to read; 0 before the first read.
  Offset Earliest_ = 0; ///< First offset still retained at the last read.
  /// False until a read has reached the end of the log.
  bool CaughtUp_ = false;
  /// Every record appended before this time has been read.
  TimePoint FreshAsOf_{};
  bool Unreachable_ = false; ///< The last read failed.
  /// Records to append; those in doubt come first.
  std::deque<PendingAppend> Queue_;
  std::map<CallId, std::vector<PendingAppend>> InFlight_;
  std::optional<CallId> ReadInFlight_;
  TimePoint ReadSentAt_{};
  TimePoint NextRead_{};
  TimePoint NextAppend_{};
  CallId LastCall_ = 0;
};

/// Effect of a read on the state.
struct ReadResult {
  std::vector<StoredRecord> NewRecords_;
  /// Retention removed records that this node has not read. Its state must be
  /// rebuilt from the remaining records.
  bool Gap_ = false;
};

/// Queues \p Record. A persistent record is appended until it is in the log;
/// any other is dropped if the service refuses it.
void append(State &State, Record Record, bool Persistent);
/// Next batch to append, if one is due. O(batch).
std::optional<AppendCall> nextAppend(State &State, TimePoint Now);
/// Next read, if one is due.
std::optional<ReadCall> nextRead(State &State, TimePoint Now);
/// Handles the result of an append. Returns the dropped records, which are
/// certainly not in the log.
std::vector<Record> onAppend(State &State, TimePoint Now, CallId Call,
                             AppendStatus Status);
/// Handles the answer to a read; ignores answers to earlier calls.
ReadResult onRead(State &State, TimePoint Now, CallId Call, ReadReply Reply);

} // namespace pollenvale::eventlog
