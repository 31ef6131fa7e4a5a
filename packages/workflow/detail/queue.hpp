/// \file
/// Queues and services of the operators' configuration.
#pragma once

#include "base/base.hpp"

#include <optional>
#include <vector>

namespace pollenvale::workflow {

/// Duration of a call to the placement policy, which decides on which workers a
/// step may run, and validity of its answer.
struct AdvicePolicy {
  double DecisionMs_ = 0;  ///< Fixed part of the duration.
  double PerWorkerMs_ = 0; ///< Additional time for each worker asked about.
  std::uint32_t ValidityMs_ = 2'000; ///< How long a permit is valid.
  MSGPACK_DEFINE(DecisionMs_, PerWorkerMs_, ValidityMs_)
};

/// Accepts the jobs of one host and path prefix for a service.
struct Queue {
  std::string Name_;
  std::string Host_; ///< Host that calls name; compared literally.
  std::string PathPrefix_;
  ServiceName Service_;
  int Priority_ = 0;              ///< 0 is the most urgent.
  std::uint32_t MaxAttempts_ = 1; ///< Of each task.
  /// Objective of an occurrence, from its due time to its completion:
  /// Stretch_ * longestChain() + SlackMs_.
  double Stretch_ = 1;
  std::uint32_t SlackMs_ = 0;
  /// Empty if tasks are placed without the policy.
  std::optional<AdvicePolicy> Advice_;
  MSGPACK_DEFINE(Name_, Host_, PathPrefix_, Service_, Priority_, MaxAttempts_,
                 Stretch_, SlackMs_, Advice_)
};

/// A group of workers and the queues whose jobs they run.
struct Service {
  ServiceName Name_;
  bool RejectsOverload_ = false;
  bool Standby_ = false; ///< Its VMs are switched off.
};

/// One version of the configuration.
struct Catalog {
  std::uint64_t Version_ = 0;
  std::vector<Queue> Queues_;
  std::vector<Service> Services_;
  std::size_t MaxBodyBytes_ = 262'144;
};

/// Queue of \p Host with the longest prefix of \p Path; null if none matches.
const Queue *findQueue(const Catalog &C, std::string_view Host,
                       std::string_view Path);
/// Null if no queue has this name.
const Queue *findQueue(const Catalog &C, std::string_view Name);
/// Whether the configuration lists the service.
bool hasService(const Catalog &C, std::string_view Name);

} // namespace pollenvale::workflow
