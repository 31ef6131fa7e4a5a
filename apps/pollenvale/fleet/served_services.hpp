/// \file
/// The services whose slices have owners and whose jobs every entry follows.
#pragma once

#include "intake/intake.hpp"
#include "ownership/ownership.hpp"

namespace pollenvale::fleet {

/// Services of the configuration in force, and those that have left it while
/// the store still holds something of theirs: an accepted job ends by its own
/// rules, whatever the configuration says later. Their claims, or their names
/// beside the claims, show them to an entry that starts afterwards.
class ServedServices {
public:
  /// Brings the set up to date. A service stays in it without being configured
  /// or claimed while a copy holds an open job of it: the job may have been
  /// accepted by an entry that had not read the configuration yet.
  void update(const workflow::Catalog &C, const ownership::State &Claims,
              const intake::Intake &Copies);
  /// Adds the service of a job that was read from the store.
  void onJobAccepted(const ServiceName &Service) { Names_.insert(Service); }

  const std::set<ServiceName> &names() const { return Names_; }
  /// Those that the configuration does not name.
  std::set<ServiceName> notIn(const workflow::Catalog &C) const;
  /// Partitions of the job topic that hold their jobs.
  std::set<std::uint32_t> partitions(std::uint32_t TopicPartitions) const;

private:
  std::set<ServiceName> Names_;
};

} // namespace pollenvale::fleet
