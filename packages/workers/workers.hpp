/// \file
/// Holder side of task execution: control leases on workers, inventories of
/// their attempts, holds, starts and stops. Workers reject control calls with
/// an outdated token; see docs/design/0002-control-leases.md.
#pragma once

#include "workers/detail/lease.hpp"
#include "workers/detail/messages.hpp"
#include "workers/detail/state.hpp"
#include "workers/detail/tasks.hpp"
