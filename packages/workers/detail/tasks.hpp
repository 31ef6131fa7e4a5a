/// \file
/// Holds, starts, stops and reports of tasks on held workers.
#pragma once

#include "workers/detail/state.hpp"

namespace pollenvale::workers {

/// Grants or refuses a hold. Sends no reply while preempted tasks have yet to
/// end; a repeated request gets the same worker.
void onHoldRequest(State &State, TimePoint Now, const NodeId &Sender,
                   const HoldRequest &Request, const JobsView &Jobs,
                   peering::Outbox &Out);
/// Starts the task of a hold if \p Sender is the job's home and the worker is
/// open for starts. A repeated commit is answered with the attempt's state.
void onCommit(State &State, TimePoint Now, const NodeId &Sender,
              const NodeId &Self, const Commit &Commit, const JobsView &Jobs,
              peering::Outbox &Out);
/// Drops a hold, or stops or drains a started attempt.
void onRelease(State &State, TimePoint Now, const NodeId &Sender,
               const Release &Request, peering::Outbox &Out);
/// Stops a service task once no slot of it is in use; its home replaces it.
void drain(State &State, const AttemptId &Id);
/// Ends the reports of an ended attempt, and lets the worker forget it unless
/// it finished.
void onAck(State &State, const TaskAck &Ack);
/// Replies for each requested worker whose inventory is known and on which no
/// start of a former home is unsettled.
void onLocate(State &State, TimePoint Now, const NodeId &Sender,
              const LocateRequest &Request, const JobsView &Jobs,
              peering::Outbox &Out);
/// Expires holds, repeats reports and stops, and relieves overused workers.
/// \p InUse returns true while a service task has slots in use. O(attempts).
void tickTasks(State &State, TimePoint Now, const NodeId &Self,
               const JobsView &Jobs,
               const std::function<bool(const AttemptId &)> &InUse,
               peering::Outbox &Out);
/// Reports a running or ended attempt to the job's current home. Sends nothing
/// in other phases or when the home is unknown.
void report(const AttemptId &Id, const Attempt &Attempt, const WorkerId &Worker,
            const JobsView &Jobs, peering::Outbox &Out);
/// Records the result of an attempt that is known not to run any more.
void endAttempt(State &State, Worker &Worker, const AttemptId &Id,
                AttemptState Result, const std::string &Reason);

} // namespace pollenvale::workers
