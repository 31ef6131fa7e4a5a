/// \file
/// Log lines and counters that tell why a task ran again: runs given up without
/// the worker's word, their ends if they arrive later, what was acknowledged.
/// Nothing here decides anything.
#pragma once

#include "scheduler/detail/state.hpp"

namespace pollenvale::scheduler::detail {

/// The task's run is about to be given up without word of its end. \p Cause:
/// silent, replaced or absent.
void traceGiveUp(State &S, const TaskId &Id, std::string_view Cause,
                 TimePoint Now, Outbox &Out);
/// The task's run has just been planned; a line if an earlier one was given up.
void traceRepeat(State &S, const TaskId &Id, TimePoint Now, Outbox &Out);
/// A worker lists an end for the first time; a line if the run was given up.
void traceEnd(State &S, const WorkerId &Where, const EndedTask &End,
              TimePoint Now, Outbox &Out);
/// A worker lists an end that counts as known; a line if the run still counts
/// as running.
void traceKnownEnd(State &S, const WorkerId &Where, const EndedTask &End,
                   Outbox &Out);
/// A renewal got no answer; a line for the first in a row of a worker with
/// tasks. Call before the miss is counted.
void traceMiss(State &S, Worker &W, const RenewCall &Call, TimePoint SentAt,
               TimePoint Now, Outbox &Out);
/// A renewal is about to carry \p W.StoredEnd_ as acknowledged.
void traceAck(Worker &W, TimePoint Now, Outbox &Out);

} // namespace pollenvale::scheduler::detail
