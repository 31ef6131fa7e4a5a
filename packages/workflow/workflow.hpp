/// \file
/// Jobs of dependent steps: what a caller hands in, how far it is, and the
/// queue it belongs to.
#pragma once

#include "workflow/detail/progress.hpp"
#include "workflow/detail/queue.hpp"
#include "workflow/detail/spec.hpp"
#include "workflow/detail/task_id.hpp"
