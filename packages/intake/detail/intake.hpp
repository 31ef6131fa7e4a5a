/// \file
/// Answers to callers from the copies of the partitions, and the writes that
/// must be stored before an answer.
#pragma once

#include "intake/detail/partition.hpp"

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
};
using Reply = std::function<void(Answer)>;

/// A call that waits until the copy is as new as the call.
struct Waiter {
  std::uint32_t Partition_ = 0;
  JobId Job_;
  bool Cancel_ = false;
  TimePoint AskedAt_{};
  TimePoint GiveUpAt_{};
  Reply Reply_;
};

struct Intake {
  ledger::Store *Store_ = nullptr;
  std::map<std::uint32_t, PartitionCopy> Partitions_;
  std::list<Waiter> Waiters_;
  std::size_t InFlight_ = 0; ///< Appends whose answer is awaited.
  Counters Counters_;
};

/// When a call came and how long its caller waits.
struct Times {
  TimePoint Now_{};
  std::int64_t NowUnixMs_ = 0;
  Milliseconds Deadline_{3'000};
};

/// Stores the job; the same id any number of times is one job.
void submit(Intake &I, const workflow::Queue &Q, const JobId &Job,
            workflow::WorkflowSpec Spec, const Times &T, Reply Done);
void askState(Intake &I, const workflow::Queue &Q, const JobId &Job,
              const Times &T, Reply Done);
void cancel(Intake &I, const workflow::Queue &Q, const JobId &Job,
            const Times &T, Reply Done);
/// Accepted jobs of the queue of which no task has started.
std::size_t pending(const Intake &I, const workflow::Queue &Q);

/// Answers waiters that the copy of \p Partition can answer now.
void onProgress(Intake &I, std::uint32_t Partition, TimePoint Now);
/// Answers waiters whose time is over.
void tick(Intake &I, TimePoint Now);
/// Whether the store answers; without it no job can be accepted.
bool isStoreReachable(const Intake &I, TimePoint Now);

} // namespace pollenvale::intake
