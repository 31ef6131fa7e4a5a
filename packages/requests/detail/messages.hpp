/// \file
/// Between an entry and the holder of an instance's worker: slots as credits.
#pragma once

#include "base/base.hpp"

#include <vector>

namespace pollenvale::requests {

/// How many slots of a service the sender can use now; replaces its last one.
struct SlotRequest {
  ServiceName Service_;
  std::uint32_t Wanted_ = 0;
  std::uint64_t StampMs_ = 0; ///< Sender's clock; comes back in the grants.
  /// Grants of the receiver that the sender still has; when the list is
  /// complete the others are free again.
  std::vector<std::uint64_t> Held_;
  bool Complete_ = false;
  MSGPACK_DEFINE(Service_, Wanted_, StampMs_, Held_, Complete_)
};

/// One slot of an instance, for a short time.
struct SlotGrant {
  ServiceName Service_;
  std::string Instance_; ///< Attempt id of the service task.
  std::string Address_;
  std::string Dc_;
  WorkerId Worker_;
  std::uint64_t Grant_ = 0;   ///< Unique at the holder.
  std::uint64_t StampMs_ = 0; ///< Of the ask that it answers.
  std::uint32_t TtlMs_ = 0; ///< Counted from the stamp, so no delay adds to it.
  bool Scarce_ = false;     ///< An idle slot should come back at once.
  MSGPACK_DEFINE(Service_, Instance_, Address_, Dc_, Worker_, Grant_, StampMs_,
                 TtlMs_, Scarce_)
};

struct SlotReturn {
  std::string Instance_;
  std::uint64_t Grant_ = 0;
  bool Suspect_ = false; ///< The instance failed or could not be reached.
  bool Leaving_ = false; ///< The instance said that it is leaving.
  MSGPACK_DEFINE(Instance_, Grant_, Suspect_, Leaving_)
};

} // namespace pollenvale::requests
