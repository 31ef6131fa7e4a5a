/// \file
/// Named event counters: one for each refusal and retry reason.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace pollenvale {

using Counters = std::map<std::string, std::uint64_t>;

inline void count(Counters &C, const std::string &Name, std::uint64_t By = 1) {
  C[Name] += By;
}

} // namespace pollenvale
