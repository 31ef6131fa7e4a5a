/// \file
/// Calls of job callers: submission, state query and cancellation.
#pragma once

#include "intake/detail/intake.hpp"
#include "intake/detail/partition.hpp"
