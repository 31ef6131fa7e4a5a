/// \file
/// Jobs of one partition, folded from its records.
#pragma once

#include "ledger/detail/record.hpp"

#include <map>

namespace pollenvale::ledger {

struct JobRow {
  AcceptedJob Accepted_;
  Offset AcceptedAt_ = 0;
  bool Cancelled_ = false;
  workflow::Progress Progress_;
  Offset ProgressAt_ = 0; ///< Offset of the record that Progress_ is from.
};

struct Replica {
  std::map<JobId, JobRow> Jobs_;
  /// Cancellations and progress read before their job, by the order of keys.
  std::map<JobId, JobRow> Early_;
  std::map<std::string, Roster> Rosters_; ///< By slice.
  std::uint64_t Unreadable_ = 0;          ///< Records that could not be read.
};

/// What one record changed.
struct Change {
  enum class Kind { None, Accepted, Cancelled, Progress, Removed, Fenced };
  Kind Kind_ = Kind::None;
  JobId Job_;
  /// Of Fenced: the slice that has a new owner, and its claim. Every record
  /// after it is for that owner alone.
  std::string Slice_ = {};
  std::uint64_t Claim_ = 0;
};

/// Applies \p R. Applying one twice has the effect of applying it once.
Change apply(Replica &Copy, const KeyedRecord &R);

/// Before the newest record of each key is applied: these replace the progress
/// that the copy has, also where it came from an offset that proved wrong.
void beginLoad(Replica &Copy);

/// State to show for \p Row.
workflow::JobState shownState(const JobRow &Row);
/// Jobs of \p Queue of which no task has started. O(jobs).
std::size_t pendingJobs(const Replica &Copy, const std::string &Queue);

} // namespace pollenvale::ledger
