/// \file
/// What a caller asks to run.
#pragma once

#include "base/base.hpp"

#include <optional>
#include <vector>

namespace pollenvale::workflow {

/// Tasks of one kind that may run beside each other.
struct StepSpec {
  std::uint32_t Count_ = 1;
  Resources Size_; ///< Declared size of one task.
  /// Declared run time of one task, in milliseconds. Often far off.
  std::uint32_t EstimateMs_ = 0;
  /// Earlier steps whose tasks must all be done first.
  std::vector<std::uint32_t> DependsOn_;
  /// Label that the worker must have; empty for any worker.
  std::string RequiredLabel_;
  /// Rack that holds the input; elsewhere the task runs slower.
  std::string DataRack_;
  /// What the tasks run; tasks of one image behave alike.
  std::string Image_;
  /// Most tasks of the step on one worker; 0 for no limit.
  std::uint32_t MaxPerWorker_ = 0;
  /// Upper bound of the tail latency of a service task; 0 for none.
  std::uint32_t TailTargetMs_ = 0;
  /// Service tasks that may be down at a time by the scheduler's own orders.
  std::optional<std::uint32_t> MaxUnavailable_;
  bool Checkpointing_ = false;
  bool Gang_ = false;     ///< All tasks run together or not at all.
  bool SameRack_ = false; ///< A gang over several racks runs slower.
  bool Speculative_ = false;
  bool LongRunning_ = false; ///< Runs until cancelled, restarted at any end.
  /// Uses processors that other tasks leave idle; its own size is not counted.
  bool BestEffort_ = false;

  MSGPACK_DEFINE(Count_, Size_, EstimateMs_, DependsOn_, RequiredLabel_,
                 DataRack_, Image_, MaxPerWorker_, TailTargetMs_,
                 MaxUnavailable_, Checkpointing_, Gang_, SameRack_,
                 Speculative_, LongRunning_, BestEffort_)
};

struct WorkflowSpec {
  std::string Payload_; ///< Handed to every task as it is.
  std::vector<StepSpec> Steps_;
  /// Times that the steps run; 0 for a job that runs once, at once.
  std::uint32_t Repeats_ = 0;
  std::int64_t FirstDueUnixMs_ = 0;
  std::uint32_t IntervalMs_ = 0;

  MSGPACK_DEFINE(Payload_, Steps_, Repeats_, FirstDueUnixMs_, IntervalMs_)
};

/// Bounds of what is accepted.
inline constexpr std::size_t MaxPayloadBytes = 4'000;
inline constexpr std::size_t MaxSteps = 256;
inline constexpr std::uint32_t MaxTasksPerStep = 10'000;
/// Of all steps: its progress, with 4 failed attempts noted for each task,
/// stays within a record of 256 kB.
inline constexpr std::size_t MaxTasks = 10'000;
inline constexpr std::uint32_t MaxRepeats = 10'000;

/// Success, or BadSpec with the place and value of the first fault.
Result<bool> validate(const WorkflowSpec &Spec);

/// Size that a task takes from its worker: best-effort tasks take no
/// processors.
Resources chargedSize(const StepSpec &Step);
/// Tasks of one occurrence.
std::size_t taskCount(const WorkflowSpec &Spec);
/// Occurrences of the job, at least 1.
std::uint32_t occurrenceCount(const WorkflowSpec &Spec);
/// Declared run time of the longest chain of steps.
Milliseconds longestChain(const WorkflowSpec &Spec);

} // namespace pollenvale::workflow
