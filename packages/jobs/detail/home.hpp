/// \file
/// Decisions of a job's home: attempts, gangs, cancellation, recovery.
#pragma once

#include "config/config.hpp"
#include "jobs/detail/table.hpp"
#include "membership/membership.hpp"
#include "workers/workers.hpp"

#include <optional>

namespace pollenvale::jobs {

/// Interval at which an unanswered message to a holder is repeated.
inline constexpr Milliseconds MessageRetry{1'000};
/// First delay of a task that could not be placed; it doubles up to the
/// maximum.
inline constexpr Milliseconds PlacementBackoff{500};
inline constexpr Milliseconds MaxPlacementBackoff{8'000};
/// Interval at which a job is checked without an event while all its tasks run.
inline constexpr Milliseconds JobCheckInterval{500};
/// Interval at which the workers of running tasks are looked up in the VM list.
inline constexpr Milliseconds GoneCheckInterval{1'000};
/// A gang without holds for all its tasks after this time releases its holds.
inline constexpr Milliseconds GangDeadline{1'500};
/// Interval at which an attempt is located while its state is in doubt.
inline constexpr Milliseconds LocateInterval{3'000};
/// Interval at which a running task is located without any doubt.
inline constexpr Milliseconds AuditInterval{60'000};
/// A change of labels drains 1/DrainDivisor of a service's tasks at a time, but
/// at least one.
inline constexpr std::size_t DrainDivisor = 4;
/// Distinct workers on which a task must fail to stop its job.
inline constexpr std::size_t PoisonThreshold = 3;
/// Failures of a task that stop its job when there are too few workers to reach
/// PoisonThreshold.
inline constexpr std::uint32_t MaxFailures = 6;
/// A worker that is absent from the VM list this long runs no task any more.
inline constexpr Milliseconds GoneTimeout =
    workers::LeaseTtl + workers::TaskGrace + Milliseconds(5'000);

enum class TaskPhase {
  Pending,
  Holding,    ///< A hold was requested.
  Held,       ///< Room is held; other tasks of a gang or the log are pending.
  Committing, ///< The start was requested; it may run from here on.
  Running,
  Recovering, ///< After a take-over: not yet known whether and where it runs.
  Finished,
  Ended ///< Will not run again.
};

/// A task of a homed job and its current attempt.
struct Task {
  TaskPhase Phase_ = TaskPhase::Pending;
  AttemptId Attempt_;
  NodeId Holder_;   ///< Empty when no holder is chosen.
  WorkerId Worker_; ///< Empty when no hold is granted.
  TimePoint NextAction_{};
  TimePoint HoldRequestedAt_{};
  Milliseconds Backoff_{0};    ///< Last backoff; 0 after a start.
  bool WaitsForRoom_ = false;  ///< Pending: no holder had room.
  std::uint32_t Attempts_ = 0; ///< Attempts of this home so far.
  bool Stopping_ = false;
  bool Draining_ = false;
  /// Only replies to locate requests with a larger nonce prove that the attempt
  /// does not run: earlier ones may predate its start.
  std::uint64_t CommitNonce_ = 0;
  TimePoint NextAudit_{}; ///< Next locate request.
  std::set<WorkerId> FailedOn_;
  std::uint32_t Failures_ = 0;
  std::set<NodeId> RefusedBy_; ///< Holders that refused since the last backoff.
  /// Number of workers ruled out, by reason, in the current round of requests.
  std::map<std::string, std::uint32_t> Reasons_;
};

/// An open job whose home is this node.
struct HomedJob {
  JobId Id_;
  std::vector<Task> Tasks_;
  TimePoint RecordedAt_{}; ///< Last time the log received the whole job.
  TimePoint AcceptedAt_{};
  TimePoint GangSince_{};
  TimePoint NextCheck_{}; ///< Next round over its tasks; events reset it.
  std::uint32_t TasksInUse_ = 0; ///< Tasks that have or request room.
  /// Pending tasks for which no holder had room.
  std::uint32_t TasksWithoutRoom_ = 0;
  std::set<WorkerId> FailedOn_; ///< Of any task; counts for gangs.
  std::string FailureReason_;   ///< Not empty once the job is to fail.
  bool OutcomeQueued_ = false;  ///< The outcome is on its way to the log.
  std::set<NodeId> Recovering_; ///< Former homes whose recovery is pending.
};

/// Recovery of the jobs of a former home: locates its tasks on all workers that
/// it used.
struct Recovery {
  std::set<WorkerId> Unaccounted_; ///< Workers with no reply so far.
  Offset MinNext_ = 0;             ///< Least log offset of a valid reply.
  TimePoint StartedAt_{};
  TimePoint NextLocate_{};
};

/// State of all jobs whose home is this node.
struct State {
  std::map<JobId, HomedJob> HomedJobs_;
  std::map<NodeId, Recovery> Recoveries_; ///< By former home.
  std::uint64_t LocateNonce_ = 0;         ///< Of the last locate request.
  std::set<WorkerId> UsesQueued_; ///< Workers with a queued uses record.
  TimePoint UsesRecordedAt_{};    ///< Last time the log received all uses.
  /// Workers to locate that no VM list has shown, and since when.
  std::map<WorkerId, TimePoint> UnlistedSince_;
  std::map<std::string, Resources> TeamUsage_; ///< Of jobs homed here.
  std::map<std::string, Resources> PeerUsage_; ///< Of jobs of live peers.
  TimePoint NextPeerUsage_{};
  /// Pending tasks for which no holder had room, of all jobs.
  std::uint32_t TasksWithoutRoom_ = 0;
  TimePoint NextGoneCheck_{};
  TimePoint NextWake_{};
  std::map<NodeId, Resources> LastFreeRoom_; ///< By holder, at the last wake.
  Counters Counters_;
  Random Random_;
  /// Times from acceptance to the first start; cleared when they are observed.
  std::vector<Milliseconds> StartDelays_;
};

/// Inputs of a decision, and the log and outbox that receive its effects.
struct Context {
  const Table &Table_;
  const membership::State &Members_;
  const config::State &Config_;
  const workers::State &Workers_;
  eventlog::State &Log_;
  NodeId Self_;
  TimePoint Now_;
  Milliseconds Retention_; ///< How long the log keeps a record.
  peering::Outbox &Out_;
};

/// Applies a change of the job table to the jobs homed here.
void onChange(State &State, Context &Context, const Change &Change);
/// Applies a holder's reply to a hold request. Releases a granted hold that is
/// not wanted any more.
void onHoldReply(State &State, Context &Context, const NodeId &Sender,
                 const workers::HoldReply &Reply);
/// Applies and acknowledges a holder's report. Releases a running attempt that
/// another one has replaced.
void onReport(State &State, Context &Context, const NodeId &Sender,
              const workers::TaskReport &Report);
/// Applies the reported attempts, and retries tasks whose attempt is missing
/// from the worker's inventory.
void onLocateReply(State &State, Context &Context, const NodeId &Sender,
                   const workers::LocateReply &Reply);
/// Places, retries, stops and recovers tasks that are due, and repeats records
/// that retention would remove. O(tasks homed here).
void tick(State &State, Context &Context);
/// Drops all homed jobs, after another node took them over.
void reset(State &State);
/// Array of the job's tasks with phase, worker, attempts and reasons of
/// refusal. Empty when the job's home is not this node.
nlohmann::json explain(const State &State, const JobId &Id);

} // namespace pollenvale::jobs
