/// \file
/// Time types. Every slice receives the current time as an argument, so the
/// same code runs on the steady clock and on the virtual clock of the tests.
#pragma once

#include <chrono>

namespace pollenvale {

using Milliseconds = std::chrono::milliseconds;
using TimePoint = std::chrono::steady_clock::time_point;

/// Whole milliseconds between two points; negative when \p To is earlier.
inline Milliseconds elapsed(TimePoint From, TimePoint To) {
  return std::chrono::duration_cast<Milliseconds>(To - From);
}

} // namespace pollenvale
