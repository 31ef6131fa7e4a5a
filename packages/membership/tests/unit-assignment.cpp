#include "membership/membership.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::membership;

namespace {

std::vector<RackLoad> racks(int Count) {
  std::vector<RackLoad> Out;
  for (int I = 0; I < Count; ++I)
    Out.push_back({"r" + std::to_string(I), "dc" + std::to_string(I % 2), 4});
  return Out;
}

const std::vector<Candidate> Four = {
    {"e1.1", "dc0"}, {"e2.1", "dc1"}, {"e3.1", "dc0"}, {"e4.1", "dc1"}};

} // namespace

// Guards against racks held from another data centre and against uneven load.
Test(assignment, stays_in_the_data_centre_and_in_bounds) {
  std::map<NodeId, int> Load;
  for (const auto &[Rack, Node] : assignRacks(racks(40), Four)) {
    bool Even = (Rack.back() - '0') % 2 == 0;
    cr_assert(Even == (Node == "e1.1" || Node == "e3.1"));
    ++Load[Node];
  }
  // An even share is 10 racks.
  for (const auto &[Node, Count] : Load)
    cr_assert(Count <= 12 + 1, "%s has %d", Node.c_str(), Count);
}

// Guards against workers changing hands at every restart of an entry.
Test(assignment, a_restarted_node_gets_its_racks_back) {
  auto Restarted = Four;
  Restarted[0].Node_ = "e1.2";
  auto Before = assignRacks(racks(40), Four);
  auto After = assignRacks(racks(40), Restarted);
  for (const auto &[Rack, Node] : Before)
    cr_assert(nodeName(Node) == nodeName(After.at(Rack)));
}

// Guards against an assignment to a node that does not exist.
Test(assignment, no_nodes_no_assignment) {
  cr_assert(assignRacks(racks(3), {}).empty());
}
