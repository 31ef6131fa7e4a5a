/// \file
/// Vocabulary shared by every slice: errors, identifiers, resources, selectors,
/// time, counters and seeded randomness.
#pragma once

#include "base/detail/counters.hpp"
#include "base/detail/error.hpp"
#include "base/detail/ids.hpp"
#include "base/detail/job_spec.hpp"
#include "base/detail/packing.hpp"
#include "base/detail/random.hpp"
#include "base/detail/resources.hpp"
#include "base/detail/selector.hpp"
#include "base/detail/time.hpp"
