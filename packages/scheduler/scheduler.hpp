/// \file
/// Scheduling decisions of the owner of a slice: when and on which worker of
/// the slice each task of its jobs starts.
///
/// Takes jobs, workers, replies and the time as input, and produces calls in an
/// Outbox. It does no I/O.
#pragma once

#include "scheduler/detail/api.hpp"
#include "scheduler/detail/outbox.hpp"
#include "scheduler/detail/state.hpp"
