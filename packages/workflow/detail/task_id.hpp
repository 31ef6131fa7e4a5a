/// \file
/// Names of tasks and steps of a workflow.
#pragma once

#include "base/base.hpp"

#include <compare>
#include <optional>

namespace pollenvale::workflow {

/// One step of one occurrence of a job.
struct StepId {
  JobId Job_;
  std::uint32_t Occurrence_ = 0; ///< 0 for a job that runs once.
  std::uint32_t Step_ = 0;

  auto operator<=>(const StepId &) const = default;
};

/// One task of a step.
struct TaskId {
  StepId Step_;
  std::uint32_t Index_ = 0;

  auto operator<=>(const TaskId &) const = default;
};

/// "JOB.OCCURRENCE.STEP"
std::string toString(const StepId &Id);
/// "JOB.OCCURRENCE.STEP.INDEX"
std::string toString(const TaskId &Id);
/// Inverse of toString(). Empty when \p Text is not such a name.
std::optional<TaskId> parseTaskId(std::string_view Text);

} // namespace pollenvale::workflow
