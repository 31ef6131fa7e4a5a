#include "workflow/workflow.hpp"

#include <algorithm>

namespace pollenvale::workflow {

namespace {

Error invalidStep(std::size_t Step, const std::string &Problem) {
  return makeError(ErrorKind::BadSpec,
                   "steps[" + std::to_string(Step) + "]." + Problem);
}

Result<bool> checkStep(const WorkflowSpec &Spec, std::size_t I) {
  const StepSpec &S = Spec.Steps_[I];
  if (S.Count_ == 0 || S.Count_ > MaxTasksPerStep)
    return invalidStep(I, "count: " + std::to_string(S.Count_) +
                              " is not 1 to " +
                              std::to_string(MaxTasksPerStep));
  if (S.Size_.Cpu_ < 0 || S.Size_.Memory_ < 0 || S.Size_.Accelerators_ < 0)
    return invalidStep(I, "size: negative");
  for (std::uint32_t Dependency : S.DependsOn_)
    if (Dependency >= I)
      return invalidStep(I, "after: " + std::to_string(Dependency) +
                                " is not an earlier step");
  return true;
}

} // namespace

Result<bool> validate(const WorkflowSpec &Spec) {
  if (Spec.Payload_.size() > MaxPayloadBytes)
    return makeError(ErrorKind::BadSpec,
                     "spec: " + std::to_string(Spec.Payload_.size()) +
                         " bytes, at most " + std::to_string(MaxPayloadBytes));
  if (Spec.Steps_.empty() || Spec.Steps_.size() > MaxSteps)
    return makeError(ErrorKind::BadSpec,
                     "steps: " + std::to_string(Spec.Steps_.size()) +
                         " is not 1 to " + std::to_string(MaxSteps));
  if (Spec.Repeats_ > MaxRepeats)
    return makeError(ErrorKind::BadSpec,
                     "repeats: " + std::to_string(Spec.Repeats_) +
                         ", at most " + std::to_string(MaxRepeats));
  for (std::size_t I = 0; I < Spec.Steps_.size(); ++I)
    if (auto Ok = checkStep(Spec, I); !Ok)
      return Ok;
  if (taskCount(Spec) > MaxTasksPerOccurrence)
    return makeError(ErrorKind::BadSpec,
                     "steps: " + std::to_string(taskCount(Spec)) +
                         " tasks, at most " +
                         std::to_string(MaxTasksPerOccurrence));
  return true;
}

Resources chargedSize(const StepSpec &Step) {
  Resources Size = Step.Size_;
  if (Step.BestEffort_)
    Size.Cpu_ = 0;
  return Size;
}

std::size_t taskCount(const WorkflowSpec &Spec) {
  std::size_t Count = 0;
  for (const StepSpec &Step : Spec.Steps_)
    Count += Step.Count_;
  return Count;
}

std::uint32_t occurrenceCount(const WorkflowSpec &Spec) {
  return std::max<std::uint32_t>(1, Spec.Repeats_);
}

Milliseconds longestChain(const WorkflowSpec &Spec) {
  std::vector<std::uint64_t> EndMs(Spec.Steps_.size(), 0);
  std::uint64_t LongestMs = 0;
  for (std::size_t I = 0; I < Spec.Steps_.size(); ++I) {
    std::uint64_t StartMs = 0;
    for (std::uint32_t Dependency : Spec.Steps_[I].DependsOn_)
      StartMs = std::max(StartMs, EndMs[Dependency]);
    EndMs[I] = StartMs + Spec.Steps_[I].EstimateMs_;
    LongestMs = std::max(LongestMs, EndMs[I]);
  }
  return Milliseconds(LongestMs);
}

std::string_view toString(JobState State) {
  switch (State) {
  case JobState::Queued:
    return "queued";
  case JobState::Running:
    return "running";
  case JobState::Completed:
    return "completed";
  case JobState::Failed:
    return "failed";
  case JobState::Cancelled:
    return "cancelled";
  }
  return "queued";
}

} // namespace pollenvale::workflow
