/// \file
/// Internal functions shared by the source files of the scheduler.
#pragma once

#include "scheduler/detail/state.hpp"

namespace pollenvale::scheduler::detail {

/// Each owner numbers the runs of inherited tasks from this multiple of the
/// number of earlier owners, so that no number is used twice.
inline constexpr std::uint32_t RunsPerOwner = 1'000;
/// Relative error by which a worker's clock may be slow.
inline constexpr double ClockDrift = 0.02;

// Each lookup returns null if it finds nothing. findStep() and findTask() see
// open occurrences only. markReadySteps(), and with it detachRun() and
// applyEnd(), may remove an occurrence with its steps, tasks and runs: what was
// looked up before must not be used afterwards.
Job *findJob(State &State, const JobId &Id);
Step *findStep(State &State, const StepId &Id);
Task *findTask(State &State, const TaskId &Id);
const workflow::StepSpec *findSpec(const State &State, const StepId &Id);

/// Makes \p R the run of the task and charges it to its worker.
void attachRun(State &State, const TaskId &Id, Run R);
/// Removes the run of the task, if any, and its charge; the task may start
/// again.
void detachRun(State &State, const TaskId &Id);

/// Adds the step to State::WaitingSteps_ if it is ready and has tasks to start,
/// and removes it otherwise.
void updateWaiting(State &State, const StepId &Id);
/// Marks steps ready whose predecessors are done. Closes an occurrence, and its
/// job, when all steps are done.
void markReadySteps(State &State, Job &J, std::uint32_t Occurrence,
                    TimePoint Now);
/// Time since \p SinceUnixMs, limited to a plausible range, as wall clocks of
/// two VMs may differ.
Milliseconds ageOf(std::int64_t SinceUnixMs, std::int64_t NowUnixMs);
/// An occurrence of the job of which nothing is done.
Occurrence beginOccurrence(const State &State, const Job &J,
                           std::uint32_t Number, TimePoint Now,
                           std::int64_t NowUnixMs);
/// Opens the occurrences that are due, as many as the owner can hold: the
/// others are opened when earlier ones are done.
void openDueOccurrences(State &State, Job &J, TimePoint Now,
                        std::int64_t NowUnixMs);
/// Adds an open occurrence to the job.
void openOccurrence(State &State, Job &J, std::uint32_t Number, Occurrence O);
/// Removes an open occurrence, if there is one of this number.
void dropOccurrence(State &State, Job &J, std::uint32_t Number);
/// Drops the occurrences of closed jobs whose runs have all ended.
void dropStoppedOccurrences(State &State);
/// Forgets the job.
void eraseJob(State &State, const JobId &Id);
/// Whether any task of the job has a run.
bool hasRuns(const Job &J);
/// Applies the catalog's present settings of the job's queue, but for its
/// service.
void updateQueue(const workflow::Catalog &C, Job &J);
/// Has the record of the job itself written to the store.
void markDirty(State &State, const Job &J);
/// Has the progress of one occurrence written to the store.
void markDirty(State &State, const Job &J, std::uint32_t Occurrence);
/// Closes the job: no further task starts, and its runs are stopped. Does
/// nothing if it is closed.
void closeJob(State &State, Job &J, workflow::JobState NewState, TimePoint Now);
/// Has the run of the task stopped at the next tick. Does nothing without a
/// run.
void requestStop(State &State, const TaskId &Id);

/// Processes the end of a run that a worker reports for the first time, in the
/// reply to a renewal sent at \p SentAt.
void applyEnd(State &State, const WorkerId &Where, const EndedTask &End,
              TimePoint SentAt, TimePoint Now, Outbox &Out);
/// Stops the remaining runs of a gang if some of its tasks have no run.
void stopIncompleteGang(State &State, const StepId &Id);

/// Whether there is anything to write to the store, or ends to acknowledge.
bool hasUnwrittenChanges(const State &State);
/// Record of the job itself for the store.
workflow::Progress makeProgress(const Job &J);
/// Progress of an open occurrence for the store.
workflow::OccurrenceProgress makeOccurrenceProgress(const Job &J,
                                                    std::uint32_t Number);
/// Restores the stored progress \p Row into a new \p J.
void loadProgress(State &State, Job &J, const ledger::ReplicatedJob &Row,
                  TimePoint Now, std::int64_t NowUnixMs);

/// Estimate of the worker's clock at \p Now.
Milliseconds workerClock(const Worker &W, TimePoint Now);
Target makeTarget(const State &State, const Worker &W);
/// Detaches all runs on the worker, so that their tasks may start again. Logs
/// \p Reason.
void abandonTasks(State &State, Worker &W, TimePoint Now, Outbox &Out,
                  const char *Reason);
/// Whether the incarnation that answered last is the newest one known, so that
/// its clock can be used for deadlines.
bool isClockCurrent(const Worker &W);
/// Records that a start is sent. Until it is confirmed that the known
/// incarnation has executed it, a later one may have run the task to its end.
void recordStartSent(Worker &W, const StartCall &Call, TimePoint Now);
/// Records the answer to a start, which is confirmed if the clock in the answer
/// is that of the known incarnation.
void recordStartAnswer(State &State, Worker &W, const StartCall &Call,
                       const OrderReply &Reply, TimePoint Now);
/// Whether the known incarnation executes no call any more that was meant for a
/// former one.
bool refusesFormerCalls(const Worker &W);
/// Whether another owner's token made a worker refuse a call. Otherwise, a
/// later call of this owner has overtaken it.
bool isFencedByOther(const State &State, const Target &To);
/// Raises the tokens of workers that may still execute former calls, and has
/// them told.
void raiseTokens(State &State, TimePoint Now);
/// Whether ends of the known incarnation may be acknowledged. The worker takes
/// an acknowledgement for one of its present incarnation, which would forget
/// ends that it has not listed.
bool mayAcknowledge(const Worker &W);
/// The incarnation by whose clock this owner gives leases, as the roster names
/// it.
std::int64_t rosterIncarnation(const Worker &W);
/// Records what the registry shows of a worker that an earlier owner may have
/// given leases to. The roster passes it on: the registry may drop the worker.
void recordRegistered(State &State, const WorkerInfo &Info);
/// Until when an inherited worker may hold a lease by the clock of a former
/// incarnation; in the past if it holds none.
TimePoint misreadLeaseEnd(const State &State, const InheritedWorker &Inherited);
/// When the last lease that an earlier owner gave to the worker expires, as
/// far as is known without an answer of the worker. In the past if there is
/// none.
TimePoint inheritedLeasesEnd(const State &State, const WorkerId &Id);
/// Until when the worker may be at work on a run without a further lease,
/// whichever owner gave the last one. Runs of a worker that doesn't answer are
/// given up after this time only.
TimePoint mayWorkUntil(const State &State, const Worker &W);
/// Accounts for a lease by the clock of the former incarnation, unless all that
/// were sent have certainly reached that one. Call it when the worker turns out
/// to have restarted.
void extendMisreadLease(State &State, Worker &W, TimePoint Now);
/// The same for a call without an answer that may have been executed by the
/// present incarnation up to now, though it was meant for a former one.
void prolongMisreadLease(State &State, Worker &W, TimePoint Now);
/// The worker has a later incarnation than was known: calls that were sent
/// before may be executed by it.
void recordRestart(State &State, Worker &W, TimePoint Now);
/// Processes that the incarnation in \p Reply has answered \p Call, which was
/// sent at \p SentAt: resets what belongs to a former one.
void updateIncarnation(State &State, Worker &W, const RenewCall &Call,
                       const RenewReply &Reply, TimePoint SentAt,
                       TimePoint Now);
/// Resources available to new tasks.
Resources freeResources(const Worker &W);
/// Whether new tasks may start on the worker.
bool acceptsTasks(const Worker &W, TimePoint Now);

/// Whether \p W accepts tasks and could run one of the step if it were empty.
/// The placement policy is not considered.
bool canHost(const Worker &W, const Job &J, const workflow::StepSpec &Spec,
             TimePoint Now);

/// Records that a tick begins, and whether it comes late.
void recordTick(State &State, TimePoint Now);
/// Whether a recent tick was late, or the next one is overdue.
bool isOwnerLate(const State &State, TimePoint Now);
/// Whether the owner has read answers without a long pause since \p Since.
bool wasResponsiveSince(const State &State, TimePoint Since, TimePoint Now);
/// Counts a renewal, sent at \p SentAt, that got no answer within its timeout.
void recordMissedRenewal(State &State, Worker &W, TimePoint SentAt,
                         TimePoint Now);
void resetMisses(Worker &W);
/// Timeout of the next renewal after an unanswered one.
Milliseconds retryTimeout(const State &State, const Worker &W, TimePoint Now);
/// Whether at least half of the registered workers answer. If not, the owner
/// itself may be cut off, so earlier unanswered calls no longer count.
bool mostWorkersAnswer(State &State, TimePoint Now);
/// Whether a worker with expired leases has left later renewals unanswered for
/// reasons other than a delay of the owner. Until then its next list may still
/// report how its tasks ended. A registered worker counts as silent only if
/// most others answer (\p OthersAnswer).
bool isSilent(const State &State, const Worker &W, bool OthersAnswer,
              TimePoint Now);

/// Records a missing answer. Shortens the timeouts of calls for a while, unless
/// the owner is late itself and may have missed the answer for that reason.
void recordLostAnswer(State &State, TimePoint Now);
/// Forgets what the placement policy said of the worker: a later incarnation
/// may be of another kind, and knows none of its permits.
void forgetAdvice(State &State, const WorkerId &Id);
/// Records that a lease of \p Length is granted now.
void extendLease(State &State, Worker &W, Milliseconds Length, TimePoint Now);
/// Abandons the runs on silent workers whose leases have expired, and forgets
/// empty workers that the registry no longer lists.
void checkLeases(State &State, TimePoint Now, Outbox &Out);
/// The call that starts the task's run; counts as a sending and extends the
/// lease accordingly.
StartCall makeStart(State &State, const TaskId &Id, TimePoint Now);

/// Whether one more worker may be avoided: at most half of them are at a time.
bool maySetAside(const State &State, TimePoint Now);
/// Records the reported progress of a run.
void recordProgress(const workflow::StepSpec &Spec, Run &R, unsigned Percent,
                    TimePoint Now);
/// Stops runs on the worker without progress, so that their tasks start
/// elsewhere.
void stopStalled(State &State, Worker &W, TimePoint Now, Outbox &Out);

/// Has the worker's lease renewed at \p At, and not before.
void scheduleRenewal(State &State, Worker &W, TimePoint At);
/// Renews the leases of workers that are due.
void planRenewals(State &State, TimePoint Now, Outbox &Out);
/// Sends starts again and stops that are due.
void sendPendingOrders(State &State, TimePoint Now, Outbox &Out);
/// Decides whether all inherited workers have answered or can no longer run
/// inherited tasks.
void checkInheritance(State &State, TimePoint Now, Outbox &Out);
/// Writes the roster, changed progress and removals, unless a write is pending.
void planWrites(State &State, TimePoint Now, Outbox &Out);
/// Starts waiting tasks and requests the permits that they need.
void placeTasks(State &State, TimePoint Now, Outbox &Out);
/// Logs why steps have been waiting for long, and runs that have been unsettled
/// for long.
void reportLongWaits(State &State, TimePoint Now, Outbox &Out);
/// Adapts the CPU limit of best-effort tasks on the worker to the tail latency
/// of its service tasks.
void adjustThrottle(State &State, Worker &W, const RenewReply &Reply,
                    Outbox &Out);

} // namespace pollenvale::scheduler::detail
