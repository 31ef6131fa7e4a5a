/// \file
/// Functions of the owner of a slice: one for each event, and the periodic
/// tick().
#pragma once

#include "scheduler/detail/state.hpp"

namespace pollenvale::scheduler {

/// How long \p Lease, measured on a worker's clock, may last.
Milliseconds longestOnClock(Milliseconds Lease);

/// State of a new owner. \p Roster lists the workers on which an earlier owner
/// may have started tasks.
State makeState(Options O, const workflow::Catalog &C,
                const ledger::ReplicatedRoster &Roster);

/// More is known of earlier owners: their leases end at these times or earlier.
/// See Options::InheritedLeasesEndAt_ and Options::MisreadLeasesEndAt_.
void onInheritedLeasesEnd(State &State, TimePoint Ordinary, TimePoint Misread);
/// The catalog of queues has changed.
void onCatalog(State &State, const workflow::Catalog &C);
/// The store holds a job of the slice. Does nothing if the job is known
/// already. \p Inherited: it was accepted before this owner claimed the slice.
void onJob(State &State, const JobId &Id, const ledger::ReplicatedJob &Row,
           bool Inherited, TimePoint Now, std::int64_t NowUnixMs);
/// A caller has cancelled the job. Does nothing if it is unknown or closed.
void onCancel(State &State, const JobId &Id, TimePoint Now);

/// A void record of the job has been stored. It replaces the first one for
/// those who load the records from now on: progress shows that the job was
/// accepted. Removes the record if the job is not known.
void onVoidJob(State &State, const JobId &Id);

/// The registry lists the worker, with its current properties.
void onWorker(State &State, const WorkerInfo &Info, TimePoint Now);
/// The registry no longer lists the worker.
void onWorkerGone(State &State, const WorkerId &Id, TimePoint Now);

/// Gives all workers back, as no task is to start any more: an empty worker
/// gets no further lease, leaves the roster and is forgotten. onWorker() takes
/// it up again.
void releaseWorkers(State &State, TimePoint Now);

/// The reply to a renewal that was sent at \p SentAt; its status is
/// CallStatus::NoAnswer after a timeout.
void onRenewReply(State &State, const RenewCall &Call, const RenewReply &Reply,
                  TimePoint SentAt, TimePoint Now, Outbox &Out);
/// The reply to a start.
void onStartReply(State &State, const StartCall &Call, const OrderReply &Reply,
                  TimePoint Now, Outbox &Out);
/// The reply to a stop.
void onStopReply(State &State, const StopCall &Call, const OrderReply &Reply,
                 TimePoint Now);
/// The reply to a throttle call.
void onThrottleReply(State &State, const ThrottleCall &Call,
                     const OrderReply &Reply);
/// The reply of the placement policy.
void onAdviceReply(State &State, const AdviceCall &Call,
                   const AdviceReply &Reply, TimePoint Now);
/// The outcome of a write. Unless \p Stored, the records are written again.
void onWriteReply(State &State, std::uint64_t Id, bool Stored, TimePoint Now);

/// Adds every call that is due to \p Out. Call it whenever nextDue() has
/// passed.
void tick(State &State, TimePoint Now, std::int64_t NowUnixMs, Outbox &Out);
/// Whether any job has not ended.
bool hasOpenJobs(const State &State);
/// Whether the slice has no job in the store, and nothing left to write or to
/// wait for.
bool isEmpty(const State &State);
/// When tick() is due next if no event occurs before.
TimePoint nextDue(const State &State, TimePoint Now);

} // namespace pollenvale::scheduler
