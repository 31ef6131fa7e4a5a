/// \file
/// State of the workers that this node holds or may acquire.
#pragma once

#include "membership/membership.hpp"
#include "placement/placement.hpp"
#include "workers/detail/messages.hpp"

#include <functional>
#include <optional>
#include <set>

namespace pollenvale::workers {

/// Validity of a control lease, counted from when its acquire or renew call was
/// sent.
inline constexpr Milliseconds LeaseTtl{10'000};
/// The holder stops using a lease this long before it expires by its own clock.
inline constexpr Milliseconds LeaseMargin{1'500};
inline constexpr Milliseconds RenewInterval{2'500};
/// Delay before a renewal is repeated that got no reply.
inline constexpr Milliseconds RenewRetry{500};
/// A node acquires nothing for this long after its start, so that it receives
/// its peers' heartbeats first.
inline constexpr Milliseconds StartupDelay{1'500};
/// Interval at which an unheld worker is considered for acquisition.
inline constexpr Milliseconds AcquireCheckInterval{500};
/// Delay before a worker is acquired again after a failure or a lost lease.
inline constexpr Milliseconds AcquireRetry{1'000};
/// Interval of the requests to hand over workers that others hold.
inline constexpr Milliseconds HandOverInterval{1'000};
/// Validity of a hand-over request, and of a refusal that leads to one.
inline constexpr Milliseconds HandOverTtl{4'000};
/// Delay per rank after which a lower-ranked node acquires an unheld worker;
/// twice that if a peer reports that it holds workers of the rack.
inline constexpr Milliseconds FallbackStagger{8'000};
/// How long a worker keeps tasks running after its lease has expired.
inline constexpr Milliseconds TaskGrace{20'000};
/// A hold that is not committed within this time expires.
inline constexpr Milliseconds HoldTtl{3'000};
/// Interval of the reports of an ended attempt until the home acknowledges it.
inline constexpr Milliseconds ReportRetry{1'000};
/// Minimum time between two throttle calls for the same task.
inline constexpr Milliseconds ThrottleRetry{5'000};
/// Interval at which the attempts of a worker are checked without an event.
inline constexpr Milliseconds AttemptCheckInterval{500};
/// A running task without reported usage after this time counts as using its
/// size.
inline constexpr Milliseconds ExpectedUsageTimeout{6'000};
/// Distinct jobs whose tasks must fail on a worker, without a success between
/// them, to set it aside.
inline constexpr std::size_t SetAsideThreshold = 3;
/// How long a worker that was set aside gets no new tasks.
inline constexpr Milliseconds SetAsideDuration{60'000};

/// Lease on a worker, as this node knows it.
enum class LeaseState { Unheld, Acquiring, Held, Releasing };

/// Phase of an attempt on a held worker.
enum class Phase {
  Holding,  ///< Room is reserved; not committed.
  Starting, ///< The start call is in flight or its outcome is unknown.
  Running,
  Ended
};

/// One attempt to run a task, on a worker that this node holds.
struct Attempt {
  TaskSpec Task_;
  Phase Phase_ = Phase::Holding;
  AttemptState Result_ = AttemptState::Running; ///< Ended: the outcome.
  std::string Reason_;  ///< Ended: reason of the outcome; may be empty.
  std::string Address_; ///< Address of the task; empty until known.
  TimePoint HoldUntil_{};
  TimePoint StartedAt_{}; ///< When this node learnt that it runs.
  /// Usage that the worker reported, or the size once ExpectedUsageTimeout has
  /// passed without a report.
  std::optional<Resources> Usage_;
  Resources ExpectedUsage_;    ///< Counts until Usage_ is known.
  Offset OpenAtOffset_ = 0;    ///< Its job was open up to this log offset.
  bool EndPolled_ = false;     ///< Polled once at its declared end.
  bool Throttled_ = false;     ///< A throttle call was sent.
  TimePoint NextThrottle_{};   ///< Earliest time of the next throttle call.
  bool StopWanted_ = false;    ///< Stop it as soon as possible.
  bool Preempted_ = false;     ///< Stop it by a checkpoint.
  bool Reserved_ = false;      ///< Holding: granted when victims have ended.
  NodeId Requester_;           ///< Reserved hold: receives the reply.
  bool Draining_ = false;      ///< Stop it once no slot of it is in use.
  bool StopInFlight_ = false;  ///< A stop or checkpoint call has no reply yet.
  bool StartReported_ = false; ///< The home was notified that it runs.
  bool Acknowledged_ = false;  ///< The home has recorded the outcome.
  TimePoint NextStop_{};
  TimePoint NextReport_{}; ///< Default until the end was reported once.
};

/// A worker of the VM list: its lease, and what is known of its attempts.
struct Worker {
  membership::Vm Vm_;
  Labels Labels_;
  LeaseState Lease_ = LeaseState::Unheld;
  Token Token_ = 0;        ///< Of the last lease; 0 before the first one.
  TimePoint LeaseUntil_{}; ///< End of the lease less LeaseMargin.
  /// When the reply to the acquire call that began this lease was received.
  TimePoint AcquiredAt_{};
  TimePoint UnheldSince_{}; ///< Since when no holder is known.
  TimePoint NextAcquire_{};
  TimePoint RefusedAt_{};      ///< Last refusal because another node holds it.
  NodeId HandOverRequestedBy_; ///< Sender of the last hand-over request.
  TimePoint HandOverRequestedAt_{};
  TimePoint NextRenew_{};
  std::optional<CallId> ControlCall_; ///< Acquire, renew or release in flight.
  /// A start call was lost: a new token is acquired, which makes that call
  /// refusable, and the inventory read with it shows whether the task started.
  bool NeedsReacquire_ = false;
  std::uint32_t StartsInFlight_ = 0;
  Resources Capacity_;
  std::uint64_t Revision_ = 0; ///< Newest inventory revision received.
  std::map<AttemptId, Attempt> Attempts_;
  Resources Free_;             ///< Free room at the last reindex().
  std::uint32_t Borrowed_ = 0; ///< Running tasks above their team's quota.
  TimePoint NextCheck_{};      ///< Next check of its attempts; events reset it.
  bool Overused_ = false;      ///< Its tasks use more than its capacity.
  std::set<AttemptId> Forget_; ///< Ended attempts that the worker may forget.
  std::set<JobId> FailedJobs_; ///< Distinct jobs failed since a success.
  TimePoint SetAsideUntil_{};  ///< Gets no new tasks before this time.
};

/// A call to a worker without a reply so far.
struct PendingCall {
  WorkerId Worker_;
  peering::WorkerOp Op_;
  Token Token_ = 0;
  AttemptId Attempt_; ///< Task calls only.
  TimePoint SentAt_{};
  std::set<AttemptId> Forget_; ///< Renew: attempts the worker may forget.
};

/// All workers of this node and the calls to them.
struct State {
  std::map<WorkerId, Worker> Workers_;
  std::map<AttemptId, WorkerId> WorkerByAttempt_;
  std::map<CallId, PendingCall> Calls_;
  Offset CheckedLogNext_ = 0; ///< End of the log at the last tickTasks().
  placement::Index Index_;    ///< Held workers only.
  CallId LastCall_ = 0;
  TimePoint NextHandOverRequest_{};
  Counters Counters_;
  std::uint64_t LabelsVersion_ = 0;
  /// A home has tasks without room: workers are polled at the declared end of
  /// their tasks.
  bool RoomWanted_ = false;
  /// Usage of tasks that exceeded their size, by "team/name".
  std::map<std::string, Resources> UsageEstimates_;
  /// Workers on which a job failed, to tell bad workers from bad jobs.
  std::map<JobId, std::set<WorkerId>> FailuresByJob_;
};

/// Queries on the jobs replayed from the log.
struct JobsView {
  /// Current home of an open job; nothing when it is closed or not known.
  std::function<std::optional<NodeId>(const JobId &)> HomeOf_;
  /// True when the job is known to be closed.
  std::function<bool(const JobId &)> IsClosed_;
  /// Every record appended before this time is applied.
  TimePoint FreshAsOf_{};
  Offset LogNext_ = 0; ///< Offset after the last applied record.
};

/// True while the lease may be used, by this node's clock.
bool isHeld(const Worker &Worker, TimePoint Now);
/// True when new tasks may be committed: the log was read to its end after the
/// lease was acquired, so no take-over can be missing.
bool isOpenForStarts(const Worker &Worker, TimePoint Now, const JobsView &Jobs);
/// Capacity less what holds, starts and running tasks take. Negative when tasks
/// use more than they declared.
Resources freeRoom(const Worker &Worker);
/// Free room once the tasks that are being stopped have ended.
Resources roomAfterStops(const Worker &Worker);
/// Updates the worker in the placement index; removes it unless it is held.
void reindex(State &State, Worker &Worker, TimePoint Now);
/// Held workers and their free room by rack, for the heartbeat.
std::vector<membership::RackSummary> summarize(const State &State,
                                               TimePoint Now);

} // namespace pollenvale::workers
