/// \file
/// Replica of the jobs of one partition, built by applying its records.
#pragma once

#include "ledger/detail/record.hpp"

#include <map>

namespace pollenvale::ledger {

/// Stored progress of one occurrence of a repeated job. Kept encoded, as only
/// an owner reads it.
struct StoredOccurrence {
  std::string Value_;
  Offset Offset_ = 0; ///< As ReplicatedJob::ProgressOffset_.
};

/// What the records of one job say.
struct ReplicatedJob {
  AcceptedJob Accepted_;
  Offset AcceptedOffset_ = 0; ///< Offset of the record of Accepted_.
  bool Cancelled_ = false;    ///< A cancellation was stored.
  workflow::Progress Progress_;
  /// Offset of the record of Progress_; 0 if there is none or a load has begun
  /// since it was applied.
  Offset ProgressOffset_ = 0;
  /// By number. May contain occurrences that are done, which Progress_ no
  /// longer lists.
  std::map<std::uint32_t, StoredOccurrence> Occurrences_;
};

/// The newest record that closes a queue in the partition.
struct ClosedQueue {
  std::uint64_t Version_ = 0;
  Offset Offset_ = 0;
};

/// The newest roster of a slice.
struct ReplicatedRoster {
  Roster Roster_;
  TimePoint ReadAt_{}; ///< When it was applied; it was made before.
};

/// Jobs and rosters of one partition.
struct Replica {
  std::map<JobId, ReplicatedJob> Jobs_;
  /// Jobs that were stored after their queue had been closed, and have not been
  /// removed from the store yet. They were never accepted.
  std::map<JobId, AcceptedJob> VoidJobs_;
  std::map<std::string, ClosedQueue> ClosedQueues_; ///< By queue.
  /// Highest AcceptedJob::Version_ of the jobs read so far, by queue.
  std::map<std::string, std::uint64_t> QueueVersions_;
  /// Jobs of which only a cancellation or progress has been read so far: a load
  /// reads records in the order of their keys.
  std::map<JobId, ReplicatedJob> EarlyJobs_;
  std::map<std::string, ReplicatedRoster> Rosters_; ///< By slice.
  std::uint64_t UnreadableRecords_ = 0; ///< Records that could not be decoded.
};

/// How one record changed the replica.
struct Change {
  enum class Kind {
    None,
    Accepted,
    Cancelled,
    Progress,
    Removed,
    Fenced,
    /// A void record of the job was stored. The job itself may have been
    /// accepted by an earlier one.
    Void
  };
  Kind Kind_ = Kind::None;
  JobId Job_; ///< Empty for None and Fenced.
  /// Set for Fenced: the slice that has a new owner, and the owner's claim
  /// number. Later records are to be handled by that owner only.
  std::string Slice_ = {};
  std::uint64_t Claim_ = 0;
};

/// Applies \p R, which was read at \p Now. Applying a record again changes
/// nothing but ReplicatedRoster::ReadAt_.
Change apply(Replica &Copy, const KeyedRecord &R, TimePoint Now);

/// To be called before a load applies the newest record of each key. Lets these
/// replace any progress, even one applied at a larger offset: the store may
/// hold another record there.
void beginLoad(Replica &Copy);

/// State of the job for callers: a job that was cancelled is Cancelled before
/// its owner has written that, unless it closed earlier.
workflow::JobState effectiveState(const ReplicatedJob &Job);
/// Number of jobs of \p Queue of which no task has started. Takes time linear
/// in the number of jobs in \p Copy.
std::size_t pendingJobs(const Replica &Copy, const std::string &Queue);

} // namespace pollenvale::ledger
