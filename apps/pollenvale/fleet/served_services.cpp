#include "fleet/served_services.hpp"

#include <algorithm>

namespace pollenvale::fleet {

namespace {

/// Whether the owner of \p Service has not stored the end of some job.
bool hasOpenJob(const intake::Intake &Copies, const ServiceName &Service) {
  auto Copy = Copies.Partitions_.find(
      intake::partitionOf(Service, Copies.TopicPartitions_));
  if (Copy == Copies.Partitions_.end())
    return false;
  const auto &Jobs = Copy->second.Replica_.Jobs_;
  return std::any_of(Jobs.begin(), Jobs.end(), [&](const auto &Row) {
    const ledger::ReplicatedJob &Job = Row.second;
    return Job.Accepted_.Queue_.Service_ == Service &&
           !workflow::isClosed(Job.Progress_.state());
  });
}

} // namespace

void ServedServices::update(const workflow::Catalog &C,
                            const ownership::State &Claims,
                            const intake::Intake &Copies) {
  std::set<ServiceName> Served = ownership::knownSlices(Claims);
  for (const workflow::Service &S : C.Services_)
    Served.insert(S.Name_);
  for (const ServiceName &Name : Names_)
    if (!Served.count(Name) && hasOpenJob(Copies, Name))
      Served.insert(Name);
  Names_ = std::move(Served);
}

std::set<ServiceName> ServedServices::notIn(const workflow::Catalog &C) const {
  std::set<ServiceName> Out = Names_;
  std::erase_if(Out, [&](const ServiceName &Name) {
    return workflow::hasService(C, Name);
  });
  return Out;
}

std::set<std::uint32_t>
ServedServices::partitions(std::uint32_t TopicPartitions) const {
  std::set<std::uint32_t> Out;
  for (const ServiceName &Name : Names_)
    Out.insert(intake::partitionOf(Name, TopicPartitions));
  return Out;
}

} // namespace pollenvale::fleet
