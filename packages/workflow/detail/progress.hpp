/// \file
/// Stored progress of a job.
#pragma once

#include "workflow/detail/spec.hpp"

#include <set>

namespace pollenvale::workflow {

enum class JobState { Queued, Running, Completed, Failed, Cancelled };

std::string_view toString(JobState State);
/// Whether the state is final.
inline bool isClosed(JobState State) {
  return State != JobState::Queued && State != JobState::Running;
}

/// Failed attempts of one task. A gang records them under task 0.
struct TaskFailures {
  std::uint32_t Index_ = 0; ///< Of the task within its step.
  /// Numbers of the failed runs. A set, so that a run that is reported twice
  /// counts once.
  std::set<std::uint32_t> Runs_;
  MSGPACK_DEFINE(Index_, Runs_)
};

struct StepProgress {
  std::vector<bool> Done_;             ///< By task: whether it is done.
  std::vector<TaskFailures> Failures_; ///< Only tasks with failed attempts.
  MSGPACK_DEFINE(Done_, Failures_)
};

struct OccurrenceProgress {
  std::uint32_t Number_ = 0;
  std::vector<StepProgress> Steps_; ///< By step.
  MSGPACK_DEFINE(Number_, Steps_)
};

struct Progress {
  int State_ = 0; ///< A JobState.
  /// Occurrences in progress. Those of a repeated job have no steps here: they
  /// may overlap without limit, so each one is stored in a record of its own.
  std::vector<OccurrenceProgress> Open_;
  /// Occurrences below this number are done, except those in Open_.
  std::uint32_t DoneBefore_ = 0;
  MSGPACK_DEFINE(State_, Open_, DoneBefore_)

  JobState state() const { return JobState(State_); }
};

} // namespace pollenvale::workflow
