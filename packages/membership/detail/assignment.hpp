/// \file
/// Assignment of racks to live entries.
#pragma once

#include "base/base.hpp"

#include <map>
#include <vector>

namespace pollenvale::membership {

struct Candidate {
  NodeId Node_;
  std::string Dc_;
};

struct RackLoad {
  std::string Rack_;
  std::string Dc_;
  std::uint32_t Workers_ = 0;
};

/// Nodes for a key, best first: same data centre, then rendezvous hash of the
/// node's name, so a restarted entry gets its racks back. O(n log n).
std::vector<NodeId> rankNodes(const std::string &Key, const std::string &Dc,
                              const std::vector<Candidate> &Nodes);

/// Rendezvous assignment with bounded load: a node takes at most 1.25 times
/// its even share of its data centre's workers. O(racks * n log n).
std::map<std::string, NodeId> assignRacks(const std::vector<RackLoad> &Racks,
                                          const std::vector<Candidate> &Nodes);

} // namespace pollenvale::membership
