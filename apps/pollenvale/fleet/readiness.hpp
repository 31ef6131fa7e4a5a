/// \file
/// Whether an entry can serve callers, and the reason if it can not.
#pragma once

#include "intake/intake.hpp"

namespace pollenvale::fleet {

enum class Readiness {
  Ready,
  Stopping,
  NoConfiguration, ///< No configuration has been read since the start.
  ClaimsNotLoaded, ///< The claims, which name further services, are not read.
  JobsNotLoaded,   ///< Some copy of a job partition was never complete.
  StoreUnreachable
};
std::string_view toString(Readiness R);

/// State of an entry that decides whether it is ready.
struct ReadinessInput {
  bool Stopping_ = false;
  bool HasCatalog_ = false; ///< A configuration has been read.
  bool HasClaims_ = false;  ///< All claims have been read.
};

Readiness readinessOf(const ReadinessInput &Input, const intake::Intake &Intake,
                      TimePoint Now);
/// Partitions of which no complete copy has been read since the start.
std::vector<std::uint32_t> unloadedPartitions(const intake::Intake &Intake);

/// Logs each change of the readiness once, and counts the calls that were
/// rejected since the last one.
class ReadinessLog {
public:
  /// To be called at intervals. \p Intake names the partitions that are
  /// missing.
  void update(Readiness New, const intake::Intake &Intake, TimePoint Now);
  /// Counts a call that was rejected because the entry is not ready.
  void addRejected() { ++Rejected_; }

private:
  Readiness Last_ = Readiness::Ready;
  TimePoint Since_{}; ///< Time of the last change; not set before the first.
  std::uint64_t Rejected_ = 0;
};

} // namespace pollenvale::fleet
