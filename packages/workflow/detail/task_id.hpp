/// \file
/// Ids of tasks and steps of a job.
#pragma once

#include "base/base.hpp"

#include <optional>

namespace pollenvale::workflow {

/// One step of one occurrence of a job.
struct StepId {
  JobId Job_;
  std::uint32_t Occurrence_ = 0; ///< 0 for a job that runs once.
  std::uint32_t Step_ = 0;

  auto key() const { return std::tie(Job_, Occurrence_, Step_); }
  bool operator<(const StepId &O) const { return key() < O.key(); }
  bool operator==(const StepId &O) const { return key() == O.key(); }
};

/// One task of a step.
struct TaskId {
  StepId Step_;
  std::uint32_t Index_ = 0; ///< Within the step.

  auto key() const { return std::tie(Step_, Index_); }
  bool operator<(const TaskId &O) const { return key() < O.key(); }
  bool operator==(const TaskId &O) const { return key() == O.key(); }
};

/// "JOB.OCCURRENCE.STEP"
std::string toString(const StepId &Id);
/// "JOB.OCCURRENCE.STEP.INDEX"
std::string toString(const TaskId &Id);
/// Inverse of toString(const TaskId &). Empty if \p Text is malformed.
std::optional<TaskId> parseTaskId(std::string_view Text);

} // namespace pollenvale::workflow
