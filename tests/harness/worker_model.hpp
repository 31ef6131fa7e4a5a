/// \file
/// Model of a platform worker with a single lease that is fenced by a token.
/// Used by the HTTP stand-in and by the fakes of the scenarios.
#pragma once

#include "workers/workers.hpp"

namespace pollenvale::harness {

/// Delay until the usage of a started task appears in the inventory.
inline constexpr Milliseconds UsageLag{2'000};

struct ModelTask {
  workers::TaskSpec Task_;
  workers::AttemptState State_ = workers::AttemptState::Running;
  std::string Reason_;
  std::string Address_;
  Resources Uses_; ///< Actual usage.
  TimePoint UsageSeenAt_{};
  bool UsageSeen_ = false;
  TimePoint EndsAt_{};
  bool Endless_ = false;
  std::uint64_t Revision_ = 0; ///< Inventory revision of its last change.
};

struct WorkerModel {
  WorkerId Name_;
  Resources Capacity_;
  Milliseconds Grace_ = workers::TaskGrace;
  /// Every task on this worker fails.
  bool Bad_ = false;
  std::string InstanceBase_; ///< Prefix of instance addresses.
  std::uint64_t Revision_ = 0;
  Token Token_ = 0;
  NodeId Holder_;
  TimePoint LeaseUntil_{};
  bool Leased_ = false;
  std::map<AttemptId, ModelTask> Tasks_;
  Counters Counters_;
};

/// Ends tasks that are due, and all tasks once the grace period after the lease
/// has passed.
void advance(WorkerModel &W, TimePoint Now);
/// Executes one call.
peering::WorkerReply handle(WorkerModel &W, TimePoint Now,
                            const peering::WorkerCall &Call);
/// Sum of the sizes of running tasks.
Resources inUse(const WorkerModel &W);
/// Sum of the actual usage of running tasks.
Resources totalActualUse(const WorkerModel &W);
/// Encodes an answer as the worker's HTTP interface sends it.
nlohmann::json toJson(const peering::WorkerReply &R);

} // namespace pollenvale::harness
