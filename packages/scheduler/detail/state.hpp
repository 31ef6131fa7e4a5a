/// \file
/// State that the owner of a slice keeps in memory: its jobs, its workers, and
/// what it has to send or to store.
#pragma once

#include "scheduler/detail/outbox.hpp"

#include <map>

namespace pollenvale::scheduler {

/// What the owner knows about a run.
enum class RunPhase {
  Starting,   ///< The start was sent and is unanswered.
  Running,    ///< The worker has accepted the start or lists the run.
  Unresolved, ///< Unknown until a stop is answered or the worker lists it.
};

/// One execution of a task on a worker. Repeated sendings of its start belong
/// to the same run.
struct Run {
  std::uint32_t Number_ = 0; ///< Unique within the task; increases.
  WorkerId Worker_;
  RunPhase Phase_ = RunPhase::Starting;
  Resources Charged_; ///< Counted in Worker::Used_.
  TimePoint StartedAt_{};
  /// When the worker last confirmed the run or its stop. A list requested later
  /// that lacks the run proves that it has ended or never began. Empty while a
  /// start is unanswered.
  std::optional<TimePoint> SettledAt_;
  TimePoint RetryAt_{}; ///< When its start or stop is sent again.
  unsigned Sends_ = 0;  ///< How often its start was sent.
  /// Highest token of a sending without an answer; 0 if there is none. The
  /// start may be executed until the worker has seen a higher one.
  Token UnansweredToken_ = 0;
  std::string Permit_;    ///< Empty if its queue needs none.
  bool InFlight_ = false; ///< A start or stop of it is unanswered.
  bool StopRequested_ = false;
  unsigned Percent_ = 0;       ///< Progress as last reported by the worker.
  TimePoint LastProgressAt_{}; ///< When Percent_ last increased.
  /// CPU limit last sent for a best-effort task, in percent; above 100 if
  /// unknown.
  unsigned AppliedShare_ = 100;
};

/// A run that the owner abandoned before its worker reported an end.
struct AbandonedRun {
  std::uint32_t Number_ = 0;
  WorkerId Worker_;
  std::string Cause_; ///< As logged; see traceGiveUp().
  TimePoint At_{};
};

/// A task and the results of its runs.
struct Task {
  bool Done_ = false;
  std::set<std::uint32_t> FailedRuns_; ///< Each uses up an attempt.
  std::uint32_t LastRun_ = 0;          ///< Highest run number used.
  WorkerId FailedOn_;      ///< Worker of the last failure; empty if none.
  std::string Checkpoint_; ///< Last one reported; empty if none.
  std::optional<Run> Run_; ///< Empty while the task has no run.
  std::vector<AbandonedRun> AbandonedRuns_; ///< For logging only.
  TimePoint EarliestStartAt_{};
};

/// Permission of the placement policy to run a step on one worker.
struct Permit {
  std::string Text_; ///< Opaque; sent with each start.
  TimePoint ExpiresAt_{};
};

/// One step of an occurrence: its tasks, and the advice obtained for it.
struct Step {
  std::vector<Task> Tasks_;
  std::uint32_t DoneCount_ = 0;
  std::uint32_t RunCount_ = 0; ///< Number of tasks with a run.
  bool Ready_ = false;         ///< All its predecessor steps are done.
  TimePoint ReadyAt_{};
  TimePoint WaitingSince_{}; ///< When it last began to have tasks to start.
  TimePoint FirstStartAt_{};
  TimePoint LastStartAt_{};
  TimePoint DoneAt_{};
  /// By worker; may have expired. Added by addPermit() only.
  std::map<WorkerId, Permit> Permits_;
  TimePoint PermitsEndAt_{};    ///< When the last of them expires.
  std::set<WorkerId> Denied_;   ///< Asked about and not permitted.
  TimePoint DeniedRecheckAt_{}; ///< When denials may be cleared; see placement.
  bool AdviceInFlight_ = false;
  TimePoint AdviceRetryAt_{};
  std::uint32_t AdviceCalls_ = 0;
  std::uint32_t AdviceUnanswered_ = 0; ///< Calls since the last answer.
  TimePoint AdviceAskedAt_{};          ///< Time of the first call.
  TimePoint AdviceAnsweredAt_{};       ///< Time of the first answer.
  std::string GangCheckpoint_;         ///< Last one reported by any member.
};

/// One execution of a workflow. A job without a schedule has exactly one.
struct Occurrence {
  std::vector<Step> Steps_;
  std::uint32_t StepsDone_ = 0;
  TimePoint CameDueAt_{}; ///< Start of its objective.
};

/// A job of the slice.
struct Job {
  JobId Id_;
  workflow::Queue Queue_;
  workflow::WorkflowSpec Spec_;
  workflow::JobState State_ = workflow::JobState::Queued;
  /// Due and unfinished. Changed by openOccurrence() and dropOccurrence() only.
  std::map<std::uint32_t, Occurrence> Open_;
  std::uint32_t NextOccurrence_ = 0; ///< Number of the next one to be opened.
  bool Inherited_ = false; ///< Accepted before this owner claimed the slice.
  /// Occurrences that have, or may have, a record of their own in the store.
  std::set<std::uint32_t> StoredOccurrences_;
  TimePoint AcceptedAt_{};
  Milliseconds Objective_{0}; ///< Of each occurrence, from its CameDueAt_.
  TimePoint ClosedAt_{};
};

/// A start that may have been executed by a later incarnation of its worker
/// than the owner knows.
struct UnconfirmedStart {
  TimePoint SentAt_{};
  /// When it was answered, or given up; empty while it is in flight.
  std::optional<TimePoint> SettledAt_ = {};
  Token UnansweredToken_ = 0; ///< As in Run.
};

/// What the owner knows of one incarnation of a worker. A restart replaces it
/// as a whole, so that nothing is applied to a later incarnation.
struct Incarnation {
  std::int64_t StartedUnixMs_ = 0; ///< Its start; 0 if none is known.
  /// Highest token of a renewal that it has answered: it refuses calls with a
  /// lower one.
  Token SeenToken_ = 0;
  Milliseconds Clock_{0}; ///< Its clock, as read at ClockAt_.
  TimePoint ClockAt_{};
  std::uint64_t SeenEnd_ = 0;   ///< Highest number of an end processed.
  std::uint64_t StoredEnd_ = 0; ///< Ends up to this number are stored.
  std::uint64_t SentAck_ = 0;   ///< Highest end number acknowledged so far.
  std::set<JobId> FailedJobs_;  ///< Jobs with failures there since a success.
  bool HasTailTarget_ = false;  ///< Lists a task with a target of its latency.
  /// CPU limit of best-effort tasks there, in percent.
  unsigned BestEffortShare_ = 100;
  Resources UnclaimedSize_; ///< Of listed runs that belong to no known job.
};

/// A worker of the slice as the owner sees it.
struct Worker {
  WorkerInfo Info_;
  bool InRegistry_ = true;     ///< The registry lists it.
  TimePoint LeftRegistryAt_{}; ///< When the registry dropped it.
  /// A stored roster contains its incarnation; see rosterIncarnation().
  bool Rostered_ = false;
  /// Draining and without tasks: it gets no lease and is left out of the
  /// roster, so that no later owner waits for it.
  bool Released_ = false;
  bool RunsKnown_ = false; ///< It has listed its runs under this claim.
  Token Token_ = 0;        ///< Of the calls that are sent to it.
  /// Highest token of the calls that were meant for an earlier incarnation than
  /// the newest one known.
  Token FormerToken_ = 0;
  Incarnation Known_; ///< The one that answered last.
  std::set<TaskId> Tasks_;
  Resources Used_; ///< Sum of Run::Charged_ over its runs.
  bool RenewInFlight_ = false;
  TimePoint RenewDueAt_{}; ///< Set by scheduleRenewal() only.
  unsigned Misses_ = 0;    ///< Consecutive unanswered renewals.
  /// Consecutive unanswered renewals that were sent after its leases had
  /// expired and while the owner read answers in time.
  unsigned ConclusiveMisses_ = 0;
  TimePoint SilentSince_{}; ///< When the first conclusive miss was sent.
  /// Latest expiry of the leases that this owner has granted there.
  TimePoint LeaseEndsAt_{};
  /// Until when it may hold a lease by the clock of a former incarnation.
  TimePoint MisreadLeaseEndsAt_{};
  /// When the last renewal was sent that has been answered.
  TimePoint AnsweredSentAt_{};
  bool LeaseInFlight_ = false; ///< The renewal in flight grants a lease.
  /// When a lease was last sent by an unanswered renewal.
  TimePoint UnconfirmedLeaseSentAt_{};
  /// By task and run; see recordStartSent().
  std::map<std::pair<TaskId, std::uint32_t>, UnconfirmedStart>
      UnconfirmedStarts_;
  TimePoint AvoidUntil_{}; ///< No new tasks before this time.
  // For logging only.
  TimePoint FirstMissAt_{};         ///< When the first of Misses_ was sent.
  Milliseconds LastMissTimeout_{0}; ///< Timeout of the last unanswered renewal.
  std::size_t AbandonedRunCount_ = 0; ///< Abandoned since last logged.
  TimePoint LastAbandonedAt_{};
};

/// What an earlier owner stored about a worker to which it may have given
/// leases.
struct InheritedWorker {
  /// By whose clock its leases were; 0 if unknown.
  std::int64_t Incarnation_ = 0;
  /// Until when it may hold a lease by the clock of a former incarnation; empty
  /// if it holds none.
  std::optional<TimePoint> MisreadUntil_ = {};
};

/// Values that stay constant while the owner holds the slice.
struct Options {
  std::string Slice_;
  Token Token_ = 0; ///< Fencing token of its first calls: its claim number.
  std::uint32_t Generation_ = 1; ///< Number of the claim; the first is 1.
  TimePoint ClaimedAt_{};
  /// Latest expiry of leases granted by earlier owners.
  TimePoint InheritedLeasesEndAt_{};
  /// The same for workers that have taken the deadline of a lease for one on
  /// the clock of a later incarnation.
  TimePoint MisreadLeasesEndAt_{};
  /// Short, so that tasks of a silent worker soon start elsewhere.
  Milliseconds Lease_{3'400};
  /// Lease while the store is unreachable. Tasks must outlast the time in which
  /// the owner may not send orders.
  Milliseconds OutageLease_{5'000};
  /// No such lease lasts longer than this after the owner has fenced itself:
  /// later owners wait for it.
  Milliseconds LeaseAfterFence_{3'900};
  Milliseconds MaxLease_{10'000}; ///< Workers shorten longer leases to this.
  Milliseconds StartDeadline_{2'500}; ///< For a worker to begin a run.
  Milliseconds KeepClosed_{180'000};  ///< How long closed jobs are kept.
  ledger::StoreLimits StoreLimits_;   ///< Of the writes.
};

/// Ends of one worker that may be acknowledged once a write is stored.
struct PendingAck {
  WorkerId Worker_;
  std::int64_t Incarnation_ = 0;
  std::uint64_t End_ = 0; ///< Highest number covered.
};

/// Names a record of the progress of a job: that of one occurrence or that of
/// the job itself, which sorts first.
struct ProgressId {
  JobId Job_;
  std::optional<std::uint32_t> Occurrence_;
  bool operator<(const ProgressId &O) const {
    return std::tie(Job_, Occurrence_) < std::tie(O.Job_, O.Occurrence_);
  }
};

/// Changes that are written together, by one write or by several in a row.
struct WriteRound {
  std::set<ProgressId> Records_; ///< Not written yet.
  /// Ends whose changes are stored once all records are.
  std::vector<PendingAck> Acks_;
};

/// A write that the store has not answered.
struct PendingWrite {
  std::uint64_t Id_ = 0;
  std::vector<PendingAck> Acks_;
  /// Workers in the roster that it writes, with their incarnations.
  std::map<WorkerId, std::int64_t> Roster_;
  bool HasRoster_ = false;
  std::vector<JobId> Removed_; ///< Jobs whose records it removes.
  /// Occurrences whose records it removes.
  std::vector<ProgressId> RemovedOccurrences_;
};

/// Resources of a worker that only one step may use until a time.
struct Reservation {
  StepId Step_;
  WorkerId Worker_;
  Resources Room_;
  TimePoint ExpiresAt_{};
  bool Whole_ = false; ///< Of the whole worker; one step at a time has it.
};

/// All state of the owner.
struct State {
  Options Options_;
  workflow::Catalog Catalog_;
  std::map<JobId, Job> Jobs_;
  std::map<WorkerId, Worker> Workers_;
  /// Worker::RenewDueAt_ of workers whose renewal has not come due yet; see
  /// scheduleRenewal().
  std::set<std::pair<TimePoint, WorkerId>> RenewalQueue_;
  /// Workers of the inherited roster that may run inherited tasks and have not
  /// answered.
  std::set<WorkerId> UnconfirmedWorkers_;
  /// The inherited roster, without the workers that are known to have ended.
  std::map<WorkerId, InheritedWorker> Inherited_;
  bool InheritancePending_ =
      false; ///< UnconfirmedWorkers_ has not been empty yet.
  std::set<StepId> WaitingSteps_;      ///< Ready steps with tasks to start.
  std::set<ProgressId> DirtyProgress_; ///< Changed since the round began.
  WriteRound Round_;                   ///< The changes that are being written.
  std::set<TaskId> PendingOrders_;     ///< Tasks with a start or stop to send.
  /// Workers that get a higher token as soon as there is one: they may still
  /// execute calls that are not expected to be executed any more.
  std::set<WorkerId> StaleTokens_;
  std::vector<JobId> NewlyClosedJobs_; ///< Closed since the last tick.
  std::set<JobId> ExpiredJobs_; ///< Closed jobs to remove from the store.
  TimePoint NextExpiryCheckAt_{};
  std::set<JobId> ScheduledJobs_; ///< Jobs with occurrences not yet open.
  std::size_t OpenTasks_ = 0;    ///< Tasks of the open occurrences of all jobs.
  std::set<JobId> StoppingJobs_; ///< Closed jobs that may still have runs.
  std::optional<PendingWrite> PendingWrite_; ///< At most one at a time.
  TimePoint NextWriteAt_{};
  std::uint64_t NextWriteId_ = 1;
  std::vector<Reservation> Reservations_;
  bool RosterDirty_ = false;     ///< The roster must be written.
  bool AcksDirty_ = false;       ///< There may be ends to acknowledge.
  bool PlacementNeeded_ = false; ///< Set by a change since the last pass.
  TimePoint NextPlacementAt_{};
  TimePoint NextLeaseCheckAt_{};
  TimePoint NextWaitReportAt_{};
  TimePoint LossyUntil_{};        ///< Shorter call timeouts apply until then.
  bool StoreUnreachable_ = false; ///< The owner cannot read the store.
  /// When the owner fences itself unless it learns more from the store; set by
  /// the driver before each tick.
  TimePoint OrdersEndAt_ = TimePoint::max();
  /// Of orders that are sent now; set by the driver before each tick. Higher
  /// than Options::Token_ once the store has accepted further records.
  Token NewestToken_ = 0;
  /// The store answers, but the owner has not read all of its records: jobs may
  /// have been cancelled, workers may drain.
  bool BehindStore_ = false;
  bool Fenced_ =
      false; ///< A worker has seen a higher token; tick() does nothing.
  TimePoint LastTick_{};
  TimePoint LastPauseEndedAt_{}; ///< First tick after the last long pause.
  TimePoint LateUntil_{};        ///< The owner counts as late until then.
  Counters Counters_;
};

} // namespace pollenvale::scheduler
