/// \file
/// Answers callers from the local copies of the partitions, and stores jobs and
/// cancellations before it confirms them.
#pragma once

#include "intake/detail/partition.hpp"

#include <functional>
#include <list>
#include <map>

namespace pollenvale::intake {

enum class Outcome {
  Stored,   ///< The job or its cancellation is stored.
  State,    ///< State_ is the state of the job.
  Unknown,  ///< The job does not exist.
  Rejected, ///< Error_ is the reason; its kind tells whether the call may
            ///< have taken effect.
};

/// Result of a call.
struct Answer {
  Outcome Outcome_ = Outcome::Rejected;
  /// Valid for Outcome::State only.
  workflow::JobState State_ = workflow::JobState::Queued;
  /// Valid for Outcome::Rejected only.
  Error Error_{ErrorKind::LogUnavailable, {}};
  std::chrono::seconds RetryAfter_{1}; ///< Delay before a rejected call is
                                       ///< repeated.
};
/// Receives the answer, once for each call.
using Reply = std::function<void(Answer)>;

/// A state query or cancellation of a job that no copy holds yet. It is
/// answered when the job appears, or when every copy that may lack it is newer
/// than the call.
struct PendingCall {
  workflow::Queue Queue_;
  JobId Job_;
  bool Cancel_ = false; ///< Cancellation; otherwise a state query.
  TimePoint ReceivedAt_{};
  TimePoint ExpiresAt_{}; ///< Rejected if unanswered at this time.
  Reply Reply_;
};

/// A job or cancellation that is not known to be stored yet. It counts as
/// stored once the store confirms it or the copy contains it. Sending it
/// repeatedly is harmless.
struct PendingWrite {
  std::uint32_t Partition_ = 0;
  JobId Job_;
  bool Cancel_ = false; ///< Cancellation; otherwise a job.
  ledger::KeyedRecord Record_;
  TimePoint ExpiresAt_{}; ///< Abandoned if not stored at this time.
  /// An earlier append is stored, or its outcome is unknown.
  bool MayBeStored_ = false;
  bool Stored_ = false;   ///< Waits for the copy to contain it.
  bool InFlight_ = false; ///< Queued or part of an append in flight.
  bool Answered_ = false;
  Reply Reply_;
};

/// A submitted job that waits until its service is known to all entries and its
/// queue is closed where it was before.
/// Nothing of it has been sent to the store.
struct PendingSubmit {
  workflow::Queue Queue_;
  JobId Job_;
  workflow::WorkflowSpec Spec_;
  std::int64_t ReceivedUnixMs_ = 0;
  TimePoint ExpiresAt_{}; ///< Rejected if it still waits at this time.
  Reply Reply_;
};

/// A queue and a partition of the job topic.
using QueuePlace = std::pair<std::string, std::uint32_t>;

/// Writes to one partition, one append at a time. A slow store executes the
/// appends to a partition one after another, so writes that arrive during an
/// append are batched into the next one.
struct PartitionQueue {
  bool InFlight_ = false;
  std::list<std::shared_ptr<PendingWrite>> Unsent_;
};

/// State of the calls of all callers of this entry.
struct Intake {
  ledger::Store *Store_ = nullptr;
  std::uint32_t TopicPartitions_ = 1; ///< Partitions of the job topic.
  ledger::StoreLimits StoreLimits_;
  std::function<TimePoint()> Clock_; ///< Current time, read on each reply
                                     ///< of the store.
  /// Whether every entry finds the jobs of the service, whatever its
  /// configuration is; if not, sees to it. Empty: they always do.
  std::function<bool(const ServiceName &)> EnsureKnown_;
  std::map<std::uint32_t, PartitionCopy> Partitions_; ///< By partition.
  std::list<PendingCall> PendingCalls_;
  std::list<PendingSubmit> PendingSubmits_;
  std::uint64_t ConfigVersion_ = 0; ///< Of the configuration in force.
  /// Partitions that a queue has left while this process ran, and the version
  /// of the configuration by which it did.
  std::map<QueuePlace, std::uint64_t> LeftPartitions_;
  /// When a queue that was being closed in a partition is closed again.
  std::map<QueuePlace, TimePoint> ClosingRetryAt_;
  std::list<std::shared_ptr<PendingWrite>> Writes_; ///< Unanswered writes.
  std::map<std::uint32_t, PartitionQueue> PartitionQueues_; ///< By partition.
  std::optional<TimePoint> OutageSince_; ///< Begin of the store outage; empty
                                         ///< while the store works.
  TimePoint LastFailureAt_{}; ///< Last append that was not confirmed.
  std::size_t InFlight_ = 0;  ///< Appends in flight.
  bool Stopped_ = false; ///< Rejects what would wait for the store or a copy.
  Counters Counters_;
};

/// Arrival time and deadline of a call.
struct CallTimes {
  TimePoint Now_{};
  std::int64_t NowUnixMs_ = 0;
  Milliseconds Deadline_{3'000}; ///< How long the caller waits, from Now_.
};

/// Stores the job. Idempotent: repeated calls with one id create one job, also
/// if its queue moves to another service between them.
void submit(Intake &State, const workflow::Queue &Q, const JobId &Job,
            workflow::WorkflowSpec Spec, const CallTimes &T, Reply Done);
/// The configuration \p New replaces \p Old, which is empty at first.
void onCatalog(Intake &State, const workflow::Catalog &Old,
               const workflow::Catalog &New);
/// Answers with the state of the job, or Outcome::Unknown.
void queryState(Intake &State, const workflow::Queue &Q, const JobId &Job,
                const CallTimes &T, Reply Done);
/// Stores a cancellation of the job. A job that is closed or cancelled already
/// is confirmed without a write.
void cancel(Intake &State, const workflow::Queue &Q, const JobId &Job,
            const CallTimes &T, Reply Done);
/// Number of accepted jobs of the queue that have no started task.
std::size_t countPendingJobs(const Intake &State, const workflow::Queue &Q);

/// Called after a copy was read: answers the pending calls
/// that it can answer now, and retries writes.
void onCopyUpdated(Intake &State, TimePoint Now);
/// Rejects pending calls that have expired, and retries or abandons writes.
void tick(Intake &State, TimePoint Now);
/// Answers every call that waits, as the process ends soon. From then on, calls
/// that would wait are rejected before anything is done.
void stop(Intake &State);
/// Whether the store has answered a read recently and after the last failed
/// append. No job is accepted while it is unreachable.
bool isStoreReachable(const Intake &State, TimePoint Now);

} // namespace pollenvale::intake
