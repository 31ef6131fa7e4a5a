/// \file
/// Specification of a job by its caller.
#pragma once

#include "base/base.hpp"

#include <optional>
#include <vector>

namespace pollenvale::workflow {

/// Tasks of one kind, which may run concurrently.
struct StepSpec {
  std::uint32_t Count_ = 1; ///< Number of tasks.
  Resources Size_;          ///< Declared size of one task.
  /// Declared run time of one task. Often inaccurate.
  std::uint32_t EstimateMs_ = 0;
  /// Indexes of earlier steps that must be done before this step starts.
  std::vector<std::uint32_t> DependsOn_;
  /// Label that the worker must have; empty for any worker.
  std::string RequiredLabel_;
  /// Rack that holds the input; tasks run slower in other racks. Empty for
  /// none.
  std::string DataRack_;
  /// Program that the tasks run. Tasks of one image behave alike.
  std::string Image_;
  /// Maximum number of tasks of the step on one worker; 0 for no limit.
  std::uint32_t MaxPerWorker_ = 0;
  /// Upper bound of the tail latency of a service task, in ms; 0 for none.
  std::uint32_t TailTargetMs_ = 0;
  /// Number of service tasks that the scheduler itself may keep stopped at a
  /// time. Empty if the caller set none.
  std::optional<std::uint32_t> MaxUnavailable_;
  bool Checkpointing_ = false;
  bool Gang_ = false;     ///< All tasks run together or not at all.
  bool SameRack_ = false; ///< A gang over several racks runs slower.
  bool Speculative_ = false;
  bool LongRunning_ = false; ///< Runs until cancelled, restarted when it ends.
  /// Uses processors that other tasks leave idle; see chargedSize().
  bool BestEffort_ = false;

  MSGPACK_DEFINE(Count_, Size_, EstimateMs_, DependsOn_, RequiredLabel_,
                 DataRack_, Image_, MaxPerWorker_, TailTargetMs_,
                 MaxUnavailable_, Checkpointing_, Gang_, SameRack_,
                 Speculative_, LongRunning_, BestEffort_)
};

/// Specification of a job.
struct WorkflowSpec {
  std::string Payload_; ///< Passed to every task unchanged.
  std::vector<StepSpec> Steps_;
  /// Number of occurrences; 0 for a job that runs once, immediately.
  std::uint32_t Repeats_ = 0;
  std::int64_t FirstDueUnixMs_ = 0; ///< Due time of the first occurrence.
  std::uint32_t IntervalMs_ = 0;    ///< Between due times of occurrences.

  MSGPACK_DEFINE(Payload_, Steps_, Repeats_, FirstDueUnixMs_, IntervalMs_)
};

/// Limits of an accepted job.
inline constexpr std::size_t MaxPayloadBytes = 4'000;
inline constexpr std::size_t MaxSteps = 256;
inline constexpr std::uint32_t MaxTasksPerStep = 10'000;
/// Tasks of all steps together.
inline constexpr std::size_t MaxTasksPerOccurrence = 10'000;
/// Stored progress of a task with 4 recorded failures.
inline constexpr std::size_t MaxProgressBytesPerTask = 26;
inline constexpr std::uint32_t MaxRepeats = 10'000;
/// Stored number of an occurrence in progress.
inline constexpr std::size_t MaxBytesPerOpenOccurrence = 7;

/// Returns true, or BadSpec with the position and value of the first invalid
/// field.
Result<bool> validate(const WorkflowSpec &Spec);

/// Resources that a task occupies on its worker: the declared size, without
/// processors for best-effort tasks.
Resources chargedSize(const StepSpec &Step);
/// Number of tasks of one occurrence.
std::size_t taskCount(const WorkflowSpec &Spec);
/// Whether the job has a schedule, so that it may have several occurrences.
inline bool isRepeated(const WorkflowSpec &Spec) { return Spec.Repeats_ > 0; }
/// Number of occurrences of the job, at least 1.
std::uint32_t occurrenceCount(const WorkflowSpec &Spec);
/// Declared run time of the longest chain of dependent steps.
Milliseconds longestChain(const WorkflowSpec &Spec);

} // namespace pollenvale::workflow
