#include "membership/membership.hpp"

#include <cmath>

namespace pollenvale::membership {

std::vector<NodeId> rankNodes(const std::string &Key, const std::string &Dc,
                              const std::vector<Candidate> &Nodes) {
  struct ScoredNode {
    bool OtherDc_;
    std::uint64_t Hash_;
    NodeId Node_;
    auto key() const { return std::make_tuple(OtherDc_, ~Hash_, Node_); }
  };
  std::vector<ScoredNode> Scored;
  for (const Candidate &C : Nodes)
    Scored.push_back(
        {C.Dc_ != Dc, stableHash(Key + "|" + nodeName(C.Node_)), C.Node_});
  std::sort(Scored.begin(), Scored.end(),
            [](const ScoredNode &A, const ScoredNode &B) {
              return A.key() < B.key();
            });
  std::vector<NodeId> Ranked;
  for (ScoredNode &Node : Scored)
    Ranked.push_back(std::move(Node.Node_));
  return Ranked;
}

std::map<std::string, NodeId> assignRacks(const std::vector<RackLoad> &Racks,
                                          const std::vector<Candidate> &Nodes) {
  constexpr double MaxLoadFactor = 1.25;
  std::map<std::string, NodeId> Assigned;
  if (Nodes.empty())
    return Assigned;
  std::map<std::string, std::uint32_t> WorkersIn, NodesIn;
  for (const RackLoad &Rack : Racks)
    WorkersIn[Rack.Dc_] += Rack.Workers_;
  for (const Candidate &C : Nodes)
    ++NodesIn[C.Dc_];
  std::uint32_t Total = 0;
  for (const auto &[Dc, Count] : WorkersIn)
    Total += Count;
  std::map<NodeId, std::uint32_t> Load;
  for (const RackLoad &Rack : Racks) {
    bool Local = NodesIn.count(Rack.Dc_) > 0;
    double Share = Local ? double(WorkersIn[Rack.Dc_]) / NodesIn[Rack.Dc_]
                         : double(Total) / double(Nodes.size());
    auto Ranked = rankNodes(Rack.Rack_, Rack.Dc_, Nodes);
    // If every node is full, the best-ranked one exceeds the limit.
    const NodeId *Chosen = &Ranked.front();
    for (const NodeId &N : Ranked)
      if (Load[N] + Rack.Workers_ <= std::ceil(Share * MaxLoadFactor)) {
        Chosen = &N;
        break;
      }
    Load[*Chosen] += Rack.Workers_;
    Assigned[Rack.Rack_] = *Chosen;
  }
  return Assigned;
}

} // namespace pollenvale::membership
