/// \file
/// Finds jobs of a FleetCell that could run and have nothing running, by the
/// state of the workers and the store, not by what an owner believes.
#pragma once

#include "fleet/fleet_cell.hpp"

namespace pollenvale::fleettest {

/// What was seen of the jobs so far.
struct IdleJobs {
  TimePoint CalmSince_{};      ///< End of the last failure.
  TimePoint TrafficEndedAt_{}; ///< When the last job was submitted.
  /// Since when a job that could run has had nothing running.
  std::map<JobId, TimePoint> IdleSince_;
  /// Since when a task that lasts could run and doesn't.
  std::map<TaskId, TimePoint> DownSince_;
  /// When a task that lasts ran last, or its turn came.
  std::map<TaskId, TimePoint> LastRunAt_;
  std::set<std::string> Reported_;
};

/// Adds a line to FleetCell::Broken_ for each job or task that has been idle
/// for too long. Call it at intervals that are short against a second.
void checkIdleJobs(IdleJobs &Seen, FleetCell &C);

} // namespace pollenvale::fleettest
