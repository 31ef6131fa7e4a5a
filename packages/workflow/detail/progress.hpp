/// \file
/// How far a job is, as it is stored.
#pragma once

#include "workflow/detail/spec.hpp"

#include <set>

namespace pollenvale::workflow {

enum class JobState { Queued, Running, Completed, Failed, Cancelled };

std::string_view toString(JobState State);
inline bool isClosed(JobState S) {
  return S != JobState::Queued && S != JobState::Running;
}

/// Failed attempts of one task. A gang counts as its task 0.
struct TaskFailures {
  std::uint32_t Index_ = 0;
  std::set<std::uint32_t> Runs_; ///< A run that is listed twice counts once.
  MSGPACK_DEFINE(Index_, Runs_)
};

struct StepProgress {
  std::vector<bool> Done_; ///< One entry a task.
  std::vector<TaskFailures> Failures_;
  MSGPACK_DEFINE(Done_, Failures_)
};

struct OccurrenceProgress {
  std::uint32_t Number_ = 0;
  std::vector<StepProgress> Steps_;
  MSGPACK_DEFINE(Number_, Steps_)
};

struct Progress {
  int State_ = 0; ///< A JobState.
  std::vector<OccurrenceProgress> Open_;
  /// Occurrences before this one are done, but for those in Open_.
  std::uint32_t DoneBefore_ = 0;
  MSGPACK_DEFINE(State_, Open_, DoneBefore_)

  JobState state() const { return JobState(State_); }
};

} // namespace pollenvale::workflow
