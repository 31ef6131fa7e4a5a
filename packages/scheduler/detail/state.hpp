/// \file
/// State of the owner of one slice.
#pragma once

#include "scheduler/detail/outbox.hpp"

#include <map>

namespace pollenvale::scheduler {

enum class RunPhase {
  Starting,   ///< Sent; not answered.
  Running,    ///< The worker has accepted it or lists it.
  Unresolved, ///< May run or not; a stop or the worker's list will tell.
};

/// One start of a task.
struct Run {
  std::uint32_t Number_ = 0;
  WorkerId Worker_;
  RunPhase Phase_ = RunPhase::Starting;
  Resources Charged_;
  TimePoint StartedAt_{};
  /// A list that was asked for after this time and lacks the run shows that it
  /// has ended or never was.
  std::optional<TimePoint> SettledAt_;
  TimePoint RetryAt_{}; ///< Next sending of its start or stop.
  unsigned Sends_ = 0;
  std::string Permit_;
  bool InFlight_ = false; ///< A start or stop of it is on its way.
  bool StopWanted_ = false;
  unsigned Percent_ = 0;
  TimePoint AdvancedAt_{}; ///< When Percent_ last grew.
  unsigned AppliedShare_ = 100;
};

/// A run that the owner gave up without its worker's word of an end.
struct GivenUpRun {
  std::uint32_t Number_ = 0;
  WorkerId Worker_;
  std::string Cause_;
  TimePoint At_{};
};

struct Task {
  bool Done_ = false;
  std::set<std::uint32_t> FailedRuns_; ///< Attempts used up.
  std::uint32_t LastRun_ = 0;
  WorkerId FailedOn_; ///< Where it failed last.
  std::string Checkpoint_;
  std::optional<Run> Run_;
  std::vector<GivenUpRun> GivenUp_; ///< For the log only.
  TimePoint NotBefore_{};
};

/// Leave of the placement policy to run a step on one worker.
struct Permit {
  std::string Text_;
  TimePoint Until_{};
};

struct Step {
  std::vector<Task> Tasks_;
  std::uint32_t DoneCount_ = 0;
  std::uint32_t RunCount_ = 0; ///< Tasks with a run.
  bool Ready_ = false;         ///< The steps before it are done.
  TimePoint ReadyAt_{};
  TimePoint WaitsSince_{}; ///< When the first of the tasks to start came up.
  TimePoint FirstStartAt_{};
  TimePoint LastStartAt_{};
  TimePoint DoneAt_{};
  std::map<WorkerId, Permit> Permits_; ///< Workers that the policy allows.
  std::set<WorkerId> Denied_;
  TimePoint DeniedRecheckAt_{}; ///< When a step that none may run is reviewed.
  bool AdviceInFlight_ = false;
  TimePoint AdviceNotBefore_{};
  std::uint32_t AdviceCalls_ = 0;
  std::uint32_t AdviceUnanswered_ = 0; ///< Calls since the last answer.
  TimePoint AdviceAskedAt_{};          ///< First call to the policy.
  TimePoint AdviceAnsweredAt_{};       ///< First answer of the policy.
  std::string GangCheckpoint_;
};

struct Occurrence {
  std::vector<Step> Steps_;
  std::uint32_t StepsDone_ = 0;
  TimePoint CameDueAt_{}; ///< Begin of its objective.
};

struct Job {
  JobId Id_;
  workflow::Queue Queue_;
  workflow::WorkflowSpec Spec_;
  workflow::JobState State_ = workflow::JobState::Queued;
  std::map<std::uint32_t, Occurrence> Open_;
  std::uint32_t NextOccurrence_ = 0; ///< First one that is not yet due.
  bool Inherited_ = false;           ///< Accepted before this owner's claim.
  bool Dirty_ = false;               ///< Progress is to be written.
  TimePoint AcceptedAt_{};
  Milliseconds Objective_{0}; ///< Of each occurrence, from when it came due.
  TimePoint ClosedAt_{};
};

struct Worker {
  WorkerInfo Info_;
  bool Listed_ = true;     ///< The registry names it.
  TimePoint UnlistedAt_{}; ///< When the registry dropped it.
  bool Rostered_ = false;  ///< A stored roster names it.
  /// Draining and empty: it gets no lease and is left out of the roster, so
  /// that no later owner waits for it.
  bool Released_ = false;
  bool Known_ = false; ///< It has told what runs, under this owner's token.
  std::int64_t Incarnation_ =
      0; ///< Start of the incarnation that Known_ is about.
  std::set<TaskId> Tasks_;
  Resources Used_;
  Resources Unclaimed_; ///< Of runs on it that no job accounts for.
  Milliseconds Clock_{0};
  TimePoint ClockAt_{};
  bool RenewInFlight_ = false;
  TimePoint RenewDueAt_{};
  unsigned Misses_ = 0; ///< Renewals in a row without an answer.
  /// Renewals in a row without an answer that were sent after its leases were
  /// over, by an owner that read its answers in time.
  unsigned SilentCalls_ = 0;
  TimePoint SilentSince_{}; ///< When the first of them was sent.
  /// Latest end of any lease that this owner has given there.
  TimePoint LeaseEndsAt_{};
  std::uint64_t SeenEnd_ = 0;
  std::uint64_t StoredEnd_ = 0; ///< Ends up to here are stored.
  std::set<JobId> FailedJobs_;  ///< Jobs that failed there since a success.
  TimePoint AvoidUntil_{};
  unsigned BestEffortShare_ =
      100; ///< Share that best-effort tasks there may work at.
  // For the log only.
  TimePoint FirstMissAt_{};   ///< When the first of Misses_ was sent.
  Milliseconds MissLimit_{0}; ///< Limit of the last unanswered renewal.
  std::size_t GivenUp_ = 0;   ///< Runs given up since the last such line.
  TimePoint GaveUpAt_{};      ///< When the last of them was.
  std::uint64_t SentAck_ = 0; ///< Highest end acknowledged by a renewal.
};

struct Options {
  std::string Slice_;
  Token Token_ = 0;
  std::uint32_t Generation_ = 1;
  TimePoint ClaimedAt_{};
  /// When no lease given by an earlier owner can last any longer.
  TimePoint InheritedLeasesEndAt_{};
  /// Short, so that tasks of a silent worker start elsewhere soon.
  Milliseconds Lease_{3'400};
  /// While the owner can't read the store: tasks outlast the time in which it
  /// may give no order.
  Milliseconds OutageLease_{5'000};
  Milliseconds MaxLease_{10'000}; ///< The workers cut longer ones down.
  Milliseconds StartDeadline_{2'500};
  Milliseconds KeepClosed_{180'000}; ///< How long closed jobs stay known.
};

/// Ends that become acknowledgeable once a write is stored.
struct PendingAck {
  WorkerId Worker_;
  std::int64_t Incarnation_ = 0;
  std::uint64_t End_ = 0;
};

struct PendingWrite {
  std::uint64_t Id_ = 0;
  std::vector<PendingAck> Acks_;
  std::vector<WorkerId> Roster_;
  bool HasRoster_ = false;
  std::vector<JobId> Removed_;
};

/// Room of a worker that is kept for one step until a time.
struct Reservation {
  StepId Step_;
  WorkerId Worker_;
  Resources Room_;
  TimePoint Until_{};
};

struct State {
  Options Options_;
  workflow::Catalog Catalog_;
  std::map<JobId, Job> Jobs_;
  std::map<WorkerId, Worker> Workers_;
  std::set<WorkerId> Unaccounted_; ///< Workers that may run inherited tasks.
  bool InheritanceOpen_ = false;   ///< Whereabouts of inherited tasks unclear.
  std::set<StepId> Waiting_;       ///< Ready steps with tasks to start.
  std::set<JobId> Dirty_;
  std::set<TaskId> Unsettled_; ///< Runs with a start or stop to send.
  std::vector<JobId> Closed_;  ///< Closed since the last tick.
  std::set<JobId> Expired_;    ///< Closed long ago; to be removed.
  TimePoint ExpiryDueAt_{};
  std::set<JobId> Scheduled_; ///< Jobs with occurrences still to come.
  std::optional<PendingWrite> Writing_;
  TimePoint WriteNotBefore_{};
  std::uint64_t NextWrite_ = 1;
  std::vector<Reservation> Reservations_;
  bool RosterDirty_ = false;
  bool AcksDirty_ = false;
  bool PlaceWanted_ = false; ///< Something changed since the last placement.
  TimePoint PlaceNotBefore_{};
  TimePoint LeaseCheckDueAt_{};
  TimePoint ExplainDueAt_{};
  TimePoint LossyUntil_{}; ///< Workers' answers got lost a moment ago.
  bool StoreAway_ = false; ///< The owner can't read the store at present.
  /// The store answers, and the owner has not read all that it holds: jobs may
  /// have been cancelled.
  bool Behind_ = false;
  bool Fenced_ = false; ///< A worker has seen a higher token.
  TimePoint LastTick_{};
  TimePoint PausedAt_{};  ///< First turn after the last long pause.
  TimePoint LateUntil_{}; ///< The owner's turns count as late until then.
  Counters Counters_;
};

} // namespace pollenvale::scheduler
