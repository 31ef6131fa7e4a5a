/// \file
/// Queues and services as the operators configure them.
#pragma once

#include "base/base.hpp"

#include <optional>
#include <vector>

namespace pollenvale::workflow {

/// Cost of asking the placement policy which workers may run a step.
struct AdvicePolicy {
  double DecisionMs_ = 0;
  double PerWorkerMs_ = 0;
  std::uint32_t ValidityMs_ = 2'000; ///< Incarnation of a permit.
  MSGPACK_DEFINE(DecisionMs_, PerWorkerMs_, ValidityMs_)
};

struct Queue {
  std::string Name_;
  std::string Host_;
  std::string PathPrefix_;
  ServiceName Service_;
  int Priority_ = 0; ///< 0 is the most urgent.
  std::uint32_t MaxAttempts_ = 1;
  /// Objective: Stretch_ times the longest chain of work, and SlackMs_ more.
  double Stretch_ = 1;
  std::uint32_t SlackMs_ = 0;
  std::optional<AdvicePolicy> Advice_;
  MSGPACK_DEFINE(Name_, Host_, PathPrefix_, Service_, Priority_, MaxAttempts_,
                 Stretch_, SlackMs_, Advice_)
};

struct Service {
  ServiceName Name_;
  bool RejectsOverload_ = false;
  bool Standby_ = false; ///< Its VMs are off.
};

/// One version of the configuration.
struct Catalog {
  std::uint64_t Version_ = 0;
  std::vector<Queue> Queues_;
  std::vector<Service> Services_;
  std::size_t MaxBodyBytes_ = 262'144;
};

/// Queue of \p Host with the longest prefix that \p Path begins with.
const Queue *findQueue(const Catalog &C, std::string_view Host,
                       std::string_view Path);
const Queue *findQueue(const Catalog &C, std::string_view Name);

} // namespace pollenvale::workflow
