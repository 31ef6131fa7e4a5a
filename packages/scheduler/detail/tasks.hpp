/// \file
/// Shared steps of the scheduler: lookups, accounting, what becomes ready.
#pragma once

#include "scheduler/detail/state.hpp"

namespace pollenvale::scheduler::detail {

Job *findJob(State &S, const JobId &Id);
Step *findStep(State &S, const StepId &Id);
Task *findTask(State &S, const TaskId &Id);
const workflow::StepSpec *findSpec(const State &S, const StepId &Id);

/// Accounts for \p R as the run of the task.
void attachRun(State &S, const TaskId &Id, Run R);
/// Ends the accounting of the task's run; the task may start again.
void detachRun(State &S, const TaskId &Id);

/// Adds the step to those that wait if one of its tasks may start.
void refreshWaiting(State &S, const StepId &Id);
/// Marks steps ready whose earlier steps are done.
void releaseSteps(State &S, Job &J, std::uint32_t Occurrence, TimePoint Now);
/// Opens the occurrences that are due.
void openDueOccurrences(State &S, Job &J, TimePoint Now,
                        std::int64_t NowUnixMs);
void markDirty(State &S, Job &J);
/// Ends the job: nothing of it starts any more and what runs is stopped.
void closeJob(State &S, Job &J, workflow::JobState State, TimePoint Now);
/// Wants the run stopped, at once if \p Now allows.
void stopRun(State &S, const TaskId &Id);

/// Takes the end of a run into account.
void applyEnd(State &S, const WorkerId &W, const EndedTask &End, TimePoint Now,
              Outbox &Out);
/// A gang of which a member is missing is stopped as a whole.
void reconcileGang(State &S, const StepId &Id);

workflow::Progress makeProgress(const Job &J);
void loadProgress(State &S, Job &J, const workflow::Progress &P, TimePoint Now,
                  std::int64_t NowUnixMs);

/// The worker's clock as of \p Now.
Milliseconds clockOf(const Worker &W, TimePoint Now);
Target targetOf(const State &S, const Worker &W);
/// Every task on the worker is known to be gone.
void loseTasks(State &S, Worker &W, TimePoint Now, Outbox &Out,
               const char *Reason);
/// Room that new tasks may take.
Resources freeRoom(const Worker &W);
/// Whether new tasks may start there.
bool takesTasks(const Worker &W, TimePoint Now);

/// Whether an empty \p W could take a task of the step, as far as the policy is
/// not concerned.
bool couldTake(const Worker &W, const Job &J, const workflow::StepSpec &Spec,
               TimePoint Now);

/// A turn of the owner begins.
void noteTurn(State &S, TimePoint Now);
/// Whether the owner's turns were late a moment ago.
bool isLate(const State &S, TimePoint Now);
/// Whether the owner has read answers without a long pause since \p Since.
bool wasAttentive(const State &S, TimePoint Since, TimePoint Now);
/// A renewal that was sent at \p SentAt got no answer within its limit.
void noteUnanswered(State &S, Worker &W, TimePoint SentAt, TimePoint Now);
void noteAnswered(Worker &W);
/// Limit of the next renewal of a worker that left one unanswered.
Milliseconds retryTimeout(const State &S, const Worker &W, TimePoint Now);
/// Whether at least half of the workers answer. If not, the owner itself may be
/// cut off, and calls that were not answered by now show nothing.
bool mostAnswer(State &S, TimePoint Now);
/// Whether the worker, whose leases are over, has been asked since and stays
/// without an answer by no fault of the owner. As long as it isn't, its next
/// list may still tell how its tasks ended. A worker that the registry names
/// counts only if others answer (\p OthersAnswer).
bool isSilent(const State &S, const Worker &W, bool OthersAnswer,
              TimePoint Now);

/// An answer of a worker got lost, or came too late for an owner that is late
/// itself: only the former shortens the limits of calls.
void noteLoss(State &S, TimePoint Now);
/// Accounts for a lease of \p Length that is given now.
void extendLease(State &S, Worker &W, Milliseconds Length, TimePoint Now);
/// Gives up what ran on workers whose leases have lapsed unheard.
void checkLeases(State &S, TimePoint Now, Outbox &Out);
/// Sends the start of the task's run.
StartCall makeStart(State &S, const TaskId &Id, TimePoint Now);

/// No more than half of the workers are set aside at a time.
bool maySetAside(const State &S, TimePoint Now);
/// Takes the reported progress of a run into account.
void noteProgress(const workflow::StepSpec &Spec, Run &X, unsigned Percent,
                  TimePoint Now);
/// Stops tasks on the worker that stand still, so that they start elsewhere.
void stopStalled(State &S, Worker &W, TimePoint Now, Outbox &Out);

void planRenewals(State &S, TimePoint Now, Outbox &Out);
void resendOrders(State &S, TimePoint Now, Outbox &Out);
void checkInheritance(State &S, TimePoint Now, Outbox &Out);
void planWrites(State &S, TimePoint Now, Outbox &Out);
/// Starts waiting tasks and asks for permits they need.
void placeTasks(State &S, TimePoint Now, Outbox &Out);
/// Notes what steps that wait for long wait for.
void explainWaiting(State &S, TimePoint Now, Outbox &Out);
void adjustThrottle(State &S, Worker &W, const RenewReply &Reply, Outbox &Out);

} // namespace pollenvale::scheduler::detail
