/// \file
/// Starts of tasks that another entry sends for the owner of a slice. It takes
/// the payload, most of a start's bytes, from its own copy of the job.
#pragma once

#include "delegation/detail/messages.hpp"
#include "delegation/detail/pool.hpp"
