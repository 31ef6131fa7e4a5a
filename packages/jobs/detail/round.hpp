/// \file
/// Placement, drain and stop of the tasks of one job. Internal.
#pragma once

#include "jobs/detail/home.hpp"

namespace pollenvale::jobs {

/// The spec in force: for services the configured one, if there is one.
const JobSpec &specOf(const Context &Context, const Job &TableJob);
/// Queues a log record that this node uses the worker, unless it is recorded or
/// queued. It must be in the log before the first start there.
void queueUse(State &State, Context &Context, const WorkerId &Worker);
/// Requests holds, commits, drains, stops and closes what is due for one job.
void advanceJob(State &State, Context &Context, HomedJob &Job);
/// True while a hold is requested or granted.
bool isHoldStage(const Task &Task);

} // namespace pollenvale::jobs
