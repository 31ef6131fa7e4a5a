/// \file
/// Reading and appending. An append counts as done only when the record comes
/// back in the tail, so a lost answer needs no second mechanism.
#pragma once

#include "eventlog/detail/record.hpp"

#include <deque>
#include <map>
#include <optional>

namespace pollenvale::eventlog {

inline constexpr Milliseconds ReadRetry{300};
inline constexpr Milliseconds AppendRetry{300};
/// Long-poll time of a read at the end of the log.
inline constexpr Milliseconds ReadWait{500};
inline constexpr std::size_t MaxBatch = 2'000;

enum class AppendStatus {
  Appended, ///< The service answered with the offsets.
  Refused,  ///< The service said no, or no byte of the call left.
  Lost      ///< No answer: the records may be in the log.
};

struct AppendCall {
  CallId Call_ = 0;
  std::vector<Record> Records_;
};

struct ReadCall {
  CallId Call_ = 0;
  Offset FirstOffset_ = 0;
  Milliseconds Wait_{0};
};

struct ReadReply {
  bool Ok_ = false;
  Offset Earliest_ = 0; ///< First offset that retention has left.
  Offset Next_ = 0;     ///< Offset after the last record of this reply.
  Offset End_ = 0;      ///< Offset after the last record of the log.
  std::vector<StoredRecord> Records_;
};

struct Waiting {
  Record Record_;
  std::string Key_;
  /// Kept and tried again when the service refuses it.
  bool Persistent_ = false;
  /// An append of it got no answer, so it may be in the log already.
  bool InDoubt_ = false;
};

struct State {
  Offset Next_ = 0;
  Offset Earliest_ = 0;
  /// False until the first read reached the end of the log.
  bool CaughtUp_ = false;
  /// Every record appended before this point has been applied.
  TimePoint FreshAsOf_{};
  bool Unreachable_ = false;
  std::deque<Waiting> Queue_;
  std::map<CallId, std::vector<Waiting>> InFlight_;
  std::optional<CallId> Reading_;
  TimePoint ReadIssued_{};
  TimePoint NextRead_{};
  TimePoint NextAppend_{};
  CallId LastCall_ = 0;
};

struct ReadResult {
  std::vector<StoredRecord> New_;
  /// Retention removed records that this node has not read: its state must be
  /// rebuilt from the records that are left.
  bool Gap_ = false;
};

/// Queues \p R. A persistent record is repeated until it is in the log.
void append(State &S, Record R, bool Persistent);
/// Next batch to send, if one is due. O(batch).
std::optional<AppendCall> nextAppend(State &S, TimePoint Now);
std::optional<ReadCall> nextRead(State &S, TimePoint Now);
/// Returns the records that are surely not in the log and were given up.
std::vector<Record> onAppend(State &S, TimePoint Now, CallId Call,
                             AppendStatus Status);
ReadResult onRead(State &S, TimePoint Now, CallId Call, ReadReply Reply);
} // namespace pollenvale::eventlog
