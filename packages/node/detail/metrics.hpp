/// \file
/// Counters and status of an entry.
#pragma once

#include "node/detail/state.hpp"

namespace pollenvale::node {

/// Counters of all packages, summed by name. O(counters).
Counters allCounters(const Node &Node);
/// Status of this entry, and of its live peers as this entry sees them.
nlohmann::json statusOf(const Node &Node, TimePoint Now);

} // namespace pollenvale::node
