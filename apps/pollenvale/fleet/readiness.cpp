#include "fleet/readiness.hpp"

#include "observe/observe.hpp"

namespace pollenvale::fleet {

std::string_view toString(Readiness R) {
  switch (R) {
  case Readiness::Ready:
    return "ready";
  case Readiness::Stopping:
    return "stopping";
  case Readiness::NoConfiguration:
    return "no-configuration";
  case Readiness::ClaimsNotLoaded:
    return "claims-not-loaded";
  case Readiness::JobsNotLoaded:
    return "jobs-not-loaded";
  case Readiness::StoreUnreachable:
    return "store-unreachable";
  }
  return "ready";
}

std::vector<std::uint32_t> unloadedPartitions(const intake::Intake &Intake) {
  std::vector<std::uint32_t> Out;
  for (const auto &[Number, Copy] : Intake.Partitions_)
    if (!Copy.Tail_.Loaded_)
      Out.push_back(Number);
  return Out;
}

Readiness readinessOf(const ReadinessInput &Input, const intake::Intake &Intake,
                      TimePoint Now) {
  if (Input.Stopping_)
    return Readiness::Stopping;
  if (!Input.HasCatalog_)
    return Readiness::NoConfiguration;
  if (!Input.HasClaims_)
    return Readiness::ClaimsNotLoaded;
  if (!unloadedPartitions(Intake).empty())
    return Readiness::JobsNotLoaded;
  return intake::isStoreReachable(Intake, Now) ? Readiness::Ready
                                               : Readiness::StoreUnreachable;
}

void ReadinessLog::update(Readiness New, const intake::Intake &Intake,
                          TimePoint Now) {
  bool First = Since_ == TimePoint{};
  if (New == Last_ && !First)
    return;
  nlohmann::json Fields = {{"rejected", Rejected_}};
  if (!First) {
    Fields["before"] = toString(Last_);
    Fields["after_ms"] = elapsed(Since_, Now).count();
  }
  if (New != Readiness::Ready)
    Fields["reason"] = toString(New);
  if (New == Readiness::JobsNotLoaded)
    Fields["partitions"] = unloadedPartitions(Intake);
  bool Expected =
      New == Readiness::Ready || New == Readiness::Stopping || First;
  observe::log(Expected ? observe::Level::Info : observe::Level::Warning,
               New == Readiness::Ready ? "ready" : "not-ready", Fields);
  Last_ = New;
  Since_ = Now;
  Rejected_ = 0;
}

} // namespace pollenvale::fleet
