/// Addresses of the other entries.
#include "fleet/peer_directory.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;

namespace {

constexpr TimePoint T0{std::chrono::seconds(100)};

ownership::State threePeers() {
  ownership::State Claims;
  Claims.Options_.Address_ = "self:1";
  for (const char *Name : {"a", "b", "c", "self"}) {
    ownership::NodeView &Node = Claims.Nodes_[Name];
    Node.Address_ = std::string(Name) + ":1";
  }
  Claims.Slices_["s"].Address_ = "b:1";
  return Claims;
}

} // namespace

Test(peer_directory, owners_are_not_idle) {
  fleet::PeerDirectory Peers;
  cr_assert(Peers.refresh(threePeers(), T0));
  cr_assert(Peers.all() == std::vector<std::string>({"a:1", "b:1", "c:1"}));
  cr_assert(Peers.idle() == std::vector<std::string>({"a:1", "c:1"}));
}

// Guards against an event loop that spends its time on the list of peers: an
// owner's loop turns thousands of times a second.
Test(peer_directory, turns_of_the_loop_share_a_refresh) {
  fleet::PeerDirectory Peers;
  ownership::State Claims = threePeers();
  int Refreshes = 0;
  constexpr int Turns = 2'000;
  for (int Ms = 0; Ms < Turns; ++Ms)
    Refreshes += Peers.refresh(Claims, T0 + Milliseconds(Ms / 2));
  cr_assert_leq(Refreshes, 10);
  Claims.Nodes_["d"].Address_ = "d:1";
  cr_assert(Peers.refresh(Claims, T0 + Milliseconds(Turns)));
  cr_assert_eq(Peers.all().size(), 4u);
}
