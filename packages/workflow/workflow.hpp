/// \file
/// Jobs made of dependent steps: specification, progress, queues and ids.
#pragma once

#include "workflow/detail/progress.hpp"
#include "workflow/detail/queue.hpp"
#include "workflow/detail/spec.hpp"
#include "workflow/detail/task_id.hpp"
