/// \file
/// A worker that keeps the platform's rules: fencing tokens, leases on its own
/// clock, numbered ends, and runs that are rejected once stopped or ended.
#pragma once

#include "scheduler/scheduler.hpp"

#include <map>

namespace pollenvale::fleettest {

using scheduler::EndedTask;
using scheduler::EndKind;
using workflow::TaskId;

/// How one run of a task will go.
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
  /// When it began to work; a gang's members begin when all are there.
  std::optional<TimePoint> WorksSince_ = {};
};

struct FakeWorker {
  scheduler::WorkerInfo Info_;
  bool Alive_ = true;
  bool Cut_ = false;            ///< No call reaches it; it runs on.
  Milliseconds AnswerDelay_{0}; ///< Its answers are longer on their way.
  Milliseconds ClockShift_{0};
  Token Token_ = 0;
  TimePoint LeaseEndsAt_{};
  std::map<TaskId, FakeRun> Runs_;
  std::map<TaskId, std::uint32_t> Past_; ///< Highest run ended or stopped.
  std::vector<EndedTask> Ends_;
  std::uint64_t LastEnd_ = 0;
  std::map<std::uint64_t, TimePoint> EndedAt_; ///< Of each end, by its number.
  TimePoint LapsedAt_{}; ///< When its leases were last over.
  /// What it reports of every task; empty for the share of its run time.
  std::optional<unsigned> Percent_;
  unsigned Gauge_ = 0;     ///< What it reports of every task.
  bool HidesRuns_ = false; ///< Its rows of running tasks can't be read.
};

/// What the harness knows of a task and the worker does not.
struct Nature {
  std::function<Fate(const TaskId &, std::uint32_t Run)> Fate_;
  std::function<Resources(const TaskId &)> Size_;
  std::function<bool(const TaskId &)> IsGang_;
};

Milliseconds clockOf(const FakeWorker &W, TimePoint Now);
/// Ends the run at once.
void end(FakeWorker &W, const TaskId &Id, EndKind Kind, TimePoint Now);
/// Ends what is over by \p Now: done, failed, stopped or without a lease.
void advance(FakeWorker &W, TimePoint Now);
/// Its process ends and starts again, knowing nothing.
void restart(FakeWorker &W, std::int64_t StartedUnixMs);

scheduler::OrderReply start(FakeWorker &W, const scheduler::StartCall &C,
                            const Nature &N, TimePoint Now);
scheduler::OrderReply stop(FakeWorker &W, const scheduler::StopCall &C,
                           TimePoint Now);
scheduler::RenewReply renew(FakeWorker &W, const scheduler::RenewCall &C,
                            TimePoint Now);

} // namespace pollenvale::fleettest
