/// \file
/// Log events and counters that explain why a task ran again: runs abandoned
/// without a reported end, ends reported later, and acknowledgements. They have
/// no influence on scheduling.
#pragma once

#include "scheduler/detail/state.hpp"

namespace pollenvale::scheduler::detail {

/// Call before the task's run is abandoned without a reported end. \p Cause:
/// silent, replaced or absent.
void traceGiveUp(State &State, const TaskId &Id, std::string_view Cause,
                 TimePoint Now, Outbox &Out);
/// Call when the task's run has been planned. Logs it if an earlier run was
/// abandoned.
void traceRepeat(State &State, const TaskId &Id, TimePoint Now, Outbox &Out);
/// Call when a worker lists an end for the first time. Logs it if the run was
/// abandoned.
void traceEnd(State &State, const WorkerId &Where, const EndedTask &End,
              TimePoint Now, Outbox &Out);
/// Call when a worker lists an end that was processed before. Logs it if the
/// run still counts as running.
void traceKnownEnd(State &State, const WorkerId &Where, const EndedTask &End,
                   Outbox &Out);
/// Call when a renewal got no answer, before the miss is counted. Logs the
/// first consecutive miss of a worker with tasks.
void traceMiss(State &State, Worker &W, const RenewCall &Call, TimePoint SentAt,
               TimePoint Now, Outbox &Out);
/// Call before a renewal acknowledges the ends up to \p Acked for the first
/// time.
void traceAck(Worker &W, std::uint64_t Acked, TimePoint Now, Outbox &Out);

} // namespace pollenvale::scheduler::detail
