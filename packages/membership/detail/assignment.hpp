/// \file
/// Assignment of racks to live entries.
#pragma once

#include "base/base.hpp"

#include <map>
#include <vector>

namespace pollenvale::membership {

/// A live entry that may be assigned work.
struct Candidate {
  NodeId Node_;
  std::string Dc_;
};

/// A rack and the number of its workers.
struct RackLoad {
  std::string Rack_;
  std::string Dc_;
  std::uint32_t Workers_ = 0;
};

/// Ranks \p Nodes for \p Key, best first: nodes in \p Dc, then by rendezvous
/// hash of the node name. The name lacks the incarnation, so a restarted entry
/// keeps its rank. O(n log n).
std::vector<NodeId> rankNodes(const std::string &Key, const std::string &Dc,
                              const std::vector<Candidate> &Nodes);

/// Maps each rack to its node by rendezvous hashing with bounded load: a node
/// gets at most 1.25 times its even share of its data centre's workers. Empty
/// if \p Nodes is. O(racks * n log n).
std::map<std::string, NodeId> assignRacks(const std::vector<RackLoad> &Racks,
                                          const std::vector<Candidate> &Nodes);

} // namespace pollenvale::membership
