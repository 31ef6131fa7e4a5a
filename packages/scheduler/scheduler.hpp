/// \file
/// What the owner of a slice decides: which task starts where and when, on the
/// workers of the slice, for the jobs of its queues.
///
/// Input: jobs, workers, answers and the time. Output: an Outbox of calls. No
/// I/O is done here.
#pragma once

#include "scheduler/detail/api.hpp"
#include "scheduler/detail/outbox.hpp"
#include "scheduler/detail/state.hpp"
