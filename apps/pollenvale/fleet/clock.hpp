/// \file
/// Clocks of an entry on the platform.
#pragma once

#include "base/base.hpp"

#include <ctime>

namespace pollenvale::fleet {

/// Monotonic time that continues while the VM is suspended, unlike the steady
/// clock.
inline TimePoint now() {
  timespec T{};
  clock_gettime(CLOCK_BOOTTIME, &T);
  return TimePoint(std::chrono::duration_cast<TimePoint::duration>(
      std::chrono::seconds(T.tv_sec) + std::chrono::nanoseconds(T.tv_nsec)));
}

/// Wall-clock time in milliseconds since the Unix epoch; may jump.
inline std::int64_t nowUnixMs() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace pollenvale::fleet
