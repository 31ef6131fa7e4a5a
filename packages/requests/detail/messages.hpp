/// \file
/// Messages that grant instance slots: between an entry that serves requests
/// and the holder of the instance's worker.
#pragma once

#include "base/base.hpp"

#include <vector>

namespace pollenvale::requests {

/// Requests slots of a service. Replaces the sender's previous request for that
/// service.
struct SlotRequest {
  ServiceName Service_;
  std::uint32_t Wanted_ = 0;  ///< Slots that the sender can use now.
  std::uint64_t StampMs_ = 0; ///< Sender's clock; grants return it.
  /// Grants of the receiver that the sender still has. If Complete_, the
  /// receiver frees every older grant that is not listed.
  std::vector<std::uint64_t> Held_;
  bool Complete_ = false;
  MSGPACK_DEFINE(Service_, Wanted_, StampMs_, Held_, Complete_)
};

/// Grants one slot of an instance for a short time.
struct SlotGrant {
  ServiceName Service_;
  std::string Instance_; ///< Attempt id of the service task.
  std::string Address_;  ///< Where the instance accepts requests.
  std::string Dc_;       ///< Data centre of the instance.
  WorkerId Worker_;
  std::uint64_t Grant_ = 0;   ///< Unique at the holder.
  std::uint64_t StampMs_ = 0; ///< StampMs_ of the SlotRequest.
  /// Validity, counted from StampMs_ so that network delay does not extend it.
  std::uint32_t TtlMs_ = 0;
  bool Scarce_ = false; ///< The entry should return the slot once it is idle.
  MSGPACK_DEFINE(Service_, Instance_, Address_, Dc_, Worker_, Grant_, StampMs_,
                 TtlMs_, Scarce_)
};

/// Returns a granted slot to the holder.
struct SlotReturn {
  std::string Instance_;
  std::uint64_t Grant_ = 0;
  bool Suspect_ = false; ///< The instance failed or was unreachable.
  bool Leaving_ = false; ///< The instance answered that it is leaving.
  MSGPACK_DEFINE(Instance_, Grant_, Suspect_, Leaving_)
};

} // namespace pollenvale::requests
