/// \file
/// Durable jobs: the job table replayed from the log, and the home's decisions
/// on attempts, cancellation, take-over and recovery.
#pragma once

#include "jobs/detail/home.hpp"
#include "jobs/detail/table.hpp"
