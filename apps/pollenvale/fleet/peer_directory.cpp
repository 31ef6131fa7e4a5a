#include "fleet/peer_directory.hpp"

namespace pollenvale::fleet {

namespace {

constexpr Milliseconds RefreshInterval{100};

} // namespace

bool PeerDirectory::refresh(const ownership::State &Claims, TimePoint Now) {
  if (Now < RefreshAt_)
    return false;
  RefreshAt_ = Now + RefreshInterval;
  std::set<std::string_view> Owners;
  for (const auto &[Slice, View] : Claims.Slices_)
    Owners.insert(View.Address_);
  All_ = ownership::peerAddresses(Claims);
  Idle_.clear();
  for (const std::string &Address : All_)
    if (!Owners.count(Address))
      Idle_.push_back(Address);
  return true;
}

} // namespace pollenvale::fleet
