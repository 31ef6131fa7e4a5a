/// \file
/// Addresses of the other entries.
#pragma once

#include "ownership/ownership.hpp"

namespace pollenvale::fleet {

/// Refreshed at intervals, as membership changes far less often than the event
/// loop runs.
class PeerDirectory {
public:
  /// Reads the addresses from \p Claims if it is time to. Returns whether it
  /// did.
  bool refresh(const ownership::State &Claims, TimePoint Now);
  const std::vector<std::string> &all() const { return All_; }
  /// Entries that own no slice and so have CPU and bandwidth to spare.
  const std::vector<std::string> &idle() const { return Idle_; }

private:
  std::vector<std::string> All_, Idle_;
  TimePoint RefreshAt_{};
};

} // namespace pollenvale::fleet
