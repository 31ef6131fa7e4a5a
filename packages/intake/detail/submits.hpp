/// \file
/// Functions shared by the source files of this package.
#pragma once

#include "intake/detail/intake.hpp"

namespace pollenvale::intake::detail {

/// Part of the caller's deadline that is reserved for delivering the answer.
inline constexpr Milliseconds AnswerMargin{350};

/// How long a call may wait for its answer.
Milliseconds answerTimeout(const CallTimes &T);
Answer rejected(ErrorKind Kind, std::string Message);
/// Rejection whose retry delay grows with the length of the outage, because
/// callers retry only a few times. Half of the jobs get one more second, which
/// spreads the retries. \p ExpiresAt bounds the delay: a retry after the
/// caller's deadline is useless.
Answer rejectedByOutage(const Intake &State, const JobId &Job, TimePoint Now,
                        TimePoint ExpiresAt, std::string Message);
Answer rejectedByStop();

/// Null if the copy of \p Partition does not contain the job.
const ledger::ReplicatedJob *findJob(const Intake &State,
                                     std::uint32_t Partition, const JobId &Job);
/// A job and the partition that holds it.
struct StoredJob {
  std::uint32_t Partition_ = 0;
  const ledger::ReplicatedJob *Row_ = nullptr; ///< Null if there is none.
};

/// The job in the partition of its queue's service, or else in that of the
/// service to which the queue belonged when the job was accepted.
StoredJob findJobOfQueue(const Intake &State, const workflow::Queue &Q,
                         const JobId &Job);

/// Partitions that may hold jobs of the queue: that of its service, and those
/// of its former ones.
std::vector<std::uint32_t> partitionsOf(const Intake &State,
                                        const workflow::Queue &Q);

/// Stores \p Record, which is about \p Job, and answers once that is certain.
void addWrite(Intake &State, std::uint32_t Partition, const JobId &Job,
              bool Cancel, ledger::KeyedRecord Record, const CallTimes &T,
              Reply Done);
/// Stores the jobs of which nothing stands in the way any more, and rejects
/// those that have expired.
void retrySubmits(Intake &State, TimePoint Now);

} // namespace pollenvale::intake::detail
