/// \file
/// Recovery of tasks after a take-over or the loss of a holder. Internal.
#pragma once

#include "jobs/detail/home.hpp"

namespace pollenvale::jobs {

/// True when the current attempt may be on a worker, so that it is over if the
/// worker's inventory does not list it.
bool isLocatable(const Task &Task);
/// Makes an attempt of a former home the task's current one if it is running or
/// has finished.
void adoptAttempt(Task &Task, const workers::TaskReport &Report);
/// Sends the locate requests of recoveries that are due. Completes recoveries
/// without unaccounted workers, which makes their tasks pending.
void tickRecoveries(State &State, Context &Context);
/// Locates attempts whose holder is unreachable, and at AuditInterval all
/// others. Retries tasks whose worker is gone.
void locateAttempts(State &State, Context &Context);
/// True when the worker has been absent from the VM list for GoneTimeout.
bool isGone(State &State, const Context &Context, const WorkerId &Worker);
/// Schedules another attempt after one that is over without finishing.
void retryTask(State &State, Context &Context, HomedJob &Job, Task &Task,
               workers::AttemptState Result);
/// Adds tasks up to \p Count. They are recovering while the recovery of a
/// former home, which may have started them, is pending.
void growTasks(HomedJob &Job, std::size_t Count);
/// Appends to the log that the job is closed and attached to another one.
void recordAttached(Context &Context, const JobId &Id);

} // namespace pollenvale::jobs
