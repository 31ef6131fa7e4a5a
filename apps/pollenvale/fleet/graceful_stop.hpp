/// \file
/// How long an entry goes on serving after SIGTERM.
#pragma once

#include "base/base.hpp"

#include <algorithm>

namespace pollenvale::fleet {

/// Times since SIGTERM.
struct StopTimes {
  /// The entry serves callers at least until then, so that the balancer notices
  /// that it is not ready.
  Milliseconds Linger_{0};
  /// The entry ends then, whatever is in flight, before it is killed.
  Milliseconds Limit_{0};
};

/// \p Grace: time from SIGTERM to SIGKILL.
inline StopTimes stopTimes(Milliseconds Grace) {
  /// Two missed probes, a second apart, and the time of an answer.
  constexpr Milliseconds BalancerDelay{3'500};
  constexpr Milliseconds KillMargin{700};
  Milliseconds Limit = std::max(Milliseconds(0), Grace - KillMargin);
  return {std::min(BalancerDelay, Limit), Limit};
}

} // namespace pollenvale::fleet
