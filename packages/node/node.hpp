/// \file
/// Control state of an entry, combining jobs, workers, requests, membership and
/// configuration. Input arrives as events with the current time; output goes to
/// an outbox. The package does no I/O, so tests run the same code as the
/// binary.
#pragma once

#include "node/detail/api.hpp"
#include "node/detail/events.hpp"
#include "node/detail/metrics.hpp"
#include "node/detail/state.hpp"
