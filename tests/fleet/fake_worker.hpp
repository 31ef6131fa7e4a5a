/// \file
/// A fake worker that follows the platform's rules: fencing tokens, leases on
/// its own clock, numbered ends, and rejection of runs that it has already
/// stopped or ended.
#pragma once

#include "scheduler/scheduler.hpp"

#include <map>

namespace pollenvale::fleettest {

using scheduler::EndedTask;
using scheduler::EndKind;
using workflow::TaskId;

/// Planned duration and result of one run of a task.
struct Fate {
  Milliseconds Length_{100};
  EndKind Kind_ = EndKind::Done;
};

struct FakeRun {
  std::uint32_t Number_ = 0;
  TimePoint StartedAt_{};
  Fate Fate_;
  Resources Size_;
  std::optional<TimePoint> StopsAt_;
  bool Gang_ = false;
  /// When the work began. Members of a gang begin once all of them have been
  /// started; empty until then.
  std::optional<TimePoint> WorkStartedAt_ = {};
};

struct FakeWorker {
  scheduler::WorkerInfo Info_;
  bool Alive_ = true;
  bool Listed_ = true;          ///< The registry lists it.
  bool Cut_ = false;            ///< Calls are lost; its tasks continue to run.
  Milliseconds AnswerDelay_{0}; ///< Added to the network delay of answers.
  Milliseconds ClockShift_{0};
  double ClockRate_ = 1; ///< Of its clock; above 1, the clock is fast.
  Token Token_ = 0;
  TimePoint LeaseEndsAt_{};
  std::map<TaskId, FakeRun> Runs_;
  std::map<TaskId, std::uint32_t>
      HighestPastRuns_; ///< Highest run ended or stopped.
  std::vector<EndedTask> Ends_;
  std::uint64_t LastEnd_ = 0;
  std::uint64_t ListedEnd_ = 0; ///< Highest end that a list has contained.
  /// Ends that were acknowledged before any list contained them.
  std::vector<EndedTask> LostEnds_;
  std::vector<EndedTask> AckedEnds_; ///< Acknowledged since last checked.
  std::map<std::uint64_t, TimePoint>
      EndedAt_;               ///< Time of each end, by its number.
  TimePoint LeaseLapsedAt_{}; ///< When its leases last expired.
  /// Progress reported for every task; empty to report the share of the run
  /// time that has elapsed.
  std::optional<unsigned> Percent_;
  unsigned Gauge_ = 0;     ///< Gauge value reported for every task.
  bool HidesRuns_ = false; ///< Its list of running tasks is unreadable.
};

/// Properties of tasks that the harness knows and start calls do not carry.
struct TaskTraits {
  std::function<Fate(const TaskId &, std::uint32_t Run)> Fate_;
  std::function<Resources(const TaskId &)> Size_;
  std::function<bool(const TaskId &)> IsGang_;
};

Milliseconds clockOf(const FakeWorker &W, TimePoint Now);
/// Ends the current run of \p Id immediately.
void end(FakeWorker &W, const TaskId &Id, EndKind Kind, TimePoint Now);
/// Ends every run that is complete, stopped or without a lease at \p Now.
void advance(FakeWorker &W, TimePoint Now);
/// Restarts the worker's process; all its state is lost and its clock starts
/// anew.
void restart(FakeWorker &W, std::int64_t StartedUnixMs, TimePoint Now);

scheduler::OrderReply start(FakeWorker &W, const scheduler::StartCall &C,
                            const TaskTraits &N, TimePoint Now);
scheduler::OrderReply stop(FakeWorker &W, const scheduler::StopCall &C,
                           TimePoint Now);
scheduler::RenewReply renew(FakeWorker &W, const scheduler::RenewCall &C,
                            TimePoint Now);

} // namespace pollenvale::fleettest
