/// \file
/// Answers to callers from the copies of the partitions, and the writes that
/// must be stored before an answer.
#pragma once

#include "intake/detail/partition.hpp"

#include <functional>
#include <list>
#include <map>

namespace pollenvale::intake {

enum class Outcome {
  Stored,   ///< The job or its cancellation is stored.
  State,    ///< State_ tells how far the job is.
  Unknown,  ///< No such job.
  Rejected, ///< Error_ tells why; its kind tells whether anything was done.
};

struct Answer {
  Outcome Outcome_ = Outcome::Rejected;
  workflow::JobState State_ = workflow::JobState::Queued;
  Error Error_{ErrorKind::LogUnavailable, {}};
  std::chrono::seconds RetryAfter_{1}; ///< When a rejected caller may return.
};
using Reply = std::function<void(Answer)>;

/// A call that waits until the copy is as new as the call.
struct PendingCall {
  std::uint32_t Partition_ = 0;
  JobId Job_;
  bool Cancel_ = false;
  TimePoint ReceivedAt_{};
  TimePoint ExpiresAt_{};
  Reply Reply_;
};

/// A job or a cancellation on its way into the store. It is stored when the
/// store says so or when the copy shows it, and may be sent any number of
/// times.
struct PendingWrite {
  std::uint32_t Partition_ = 0;
  JobId Job_;
  bool Cancel_ = false;
  ledger::KeyedRecord Record_;
  TimePoint ExpiresAt_{};
  /// A sending without an answer may still be stored.
  bool MayBeStored_ = false;
  bool InFlight_ = false;
  bool Answered_ = false;
  Reply Reply_;
};

/// Writes to one partition: one append at a time. A store that is slow carries
/// out one append of a partition after the other, so what comes meanwhile goes
/// together into the next.
struct PartitionQueue {
  bool InFlight_ = false;
  std::list<std::shared_ptr<PendingWrite>> Unsent_;
};

struct Intake {
  ledger::Store *Store_ = nullptr;
  std::function<TimePoint()> Clock_; ///< Time at which answers arrive.
  std::map<std::uint32_t, PartitionCopy> Partitions_;
  std::list<PendingCall> PendingCalls_;
  std::list<std::shared_ptr<PendingWrite>> Writes_;
  std::map<std::uint32_t, PartitionQueue> PartitionQueues_;
  std::optional<TimePoint> OutageSince_; ///< The store has failed since then.
  TimePoint LastFailureAt_{}; ///< Last append that the store did not carry out.
  std::size_t InFlight_ = 0;  ///< Appends whose answer is awaited.
  Counters Counters_;
};

/// When a call came and how long its caller waits.
struct CallTimes {
  TimePoint Now_{};
  std::int64_t NowUnixMs_ = 0;
  Milliseconds Deadline_{3'000};
};

/// Stores the job; the same id any number of times is one job.
void submit(Intake &State, const workflow::Queue &Q, const JobId &Job,
            workflow::WorkflowSpec Spec, const CallTimes &T, Reply Done);
void queryState(Intake &State, const workflow::Queue &Q, const JobId &Job,
                const CallTimes &T, Reply Done);
void cancel(Intake &State, const workflow::Queue &Q, const JobId &Job,
            const CallTimes &T, Reply Done);
/// Accepted jobs of the queue of which no task has started.
std::size_t countPendingJobs(const Intake &State, const workflow::Queue &Q);

/// Answers waiters that the copy of \p Partition can answer now.
void onCopyUpdated(Intake &State, std::uint32_t Partition, TimePoint Now);
/// Answers waiters whose time is over.
void tick(Intake &State, TimePoint Now);
/// Whether the store answers; without it no job can be accepted.
bool isStoreReachable(const Intake &State, TimePoint Now);

} // namespace pollenvale::intake
