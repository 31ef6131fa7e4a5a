#include "membership/membership.hpp"

#include <cmath>

namespace pollenvale::membership {

std::vector<NodeId> rankNodes(const std::string &Key, const std::string &Dc,
                              const std::vector<Candidate> &Nodes) {
  struct Scored {
    bool Far_;
    std::uint64_t Hash_;
    NodeId Node_;
    auto key() const { return std::make_tuple(Far_, ~Hash_, Node_); }
  };
  std::vector<Scored> All;
  for (const Candidate &C : Nodes)
    All.push_back(
        {C.Dc_ != Dc, stableHash(Key + "|" + nodeName(C.Node_)), C.Node_});
  std::sort(All.begin(), All.end(),
            [](const Scored &A, const Scored &B) { return A.key() < B.key(); });
  std::vector<NodeId> Ranked;
  for (Scored &S : All)
    Ranked.push_back(std::move(S.Node_));
  return Ranked;
}

std::map<std::string, NodeId> assignRacks(const std::vector<RackLoad> &Racks,
                                          const std::vector<Candidate> &Nodes) {
  constexpr double LoadSlack = 1.25;
  std::map<std::string, NodeId> Out;
  if (Nodes.empty())
    return Out;
  std::map<std::string, std::uint32_t> WorkersIn, NodesIn;
  for (const RackLoad &R : Racks)
    WorkersIn[R.Dc_] += R.Workers_;
  for (const Candidate &C : Nodes)
    ++NodesIn[C.Dc_];
  std::uint32_t Total = 0;
  for (const auto &[Dc, Count] : WorkersIn)
    Total += Count;
  std::map<NodeId, std::uint32_t> Load;
  for (const RackLoad &R : Racks) {
    bool Local = NodesIn.count(R.Dc_) > 0;
    double Share = Local ? double(WorkersIn[R.Dc_]) / NodesIn[R.Dc_]
                         : double(Total) / double(Nodes.size());
    auto Ranked = rankNodes(R.Rack_, R.Dc_, Nodes);
    const NodeId *Chosen = &Ranked.front();
    for (const NodeId &N : Ranked)
      if (Load[N] + R.Workers_ <= std::ceil(Share * LoadSlack)) {
        Chosen = &N;
        break;
      }
    Load[*Chosen] += R.Workers_;
    Out[R.Rack_] = *Chosen;
  }
  return Out;
}

} // namespace pollenvale::membership
