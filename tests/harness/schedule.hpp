/// \file
/// Seeded random schedules of faults in a cell. After a phase without faults,
/// checks that every accepted job has ended and every worker has one holder.
#pragma once

#include "harness/scenario.hpp"

namespace pollenvale::harness {

struct ScheduleResult {
  std::vector<std::string> Failures_;
  std::vector<std::string> Trace_;
  std::size_t Jobs_ = 0;
  std::size_t Requests_ = 0;
  std::size_t Attempts_ = 0;
};

ScheduleResult runSchedule(std::uint64_t Seed);

} // namespace pollenvale::harness
