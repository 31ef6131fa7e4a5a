#include "jobs/detail/choose_holder.hpp"

namespace pollenvale::jobs {

namespace {

bool hasRoom(const std::vector<membership::RackSummary> &Racks,
             const Resources &Size) {
  return std::any_of(Racks.begin(), Racks.end(),
                     [&](const auto &R) { return fits(Size, R.LargestFree_); });
}

bool hasBorrowed(const std::vector<membership::RackSummary> &Racks) {
  return std::any_of(Racks.begin(), Racks.end(),
                     [](const auto &R) { return R.Borrowed_ > 0; });
}

std::int64_t totalFree(const std::vector<membership::RackSummary> &Racks) {
  std::int64_t Free = 0;
  for (const auto &R : Racks)
    Free += R.Free_.Cpu_;
  return Free;
}

std::uint32_t tasksAt(const Work &W, const NodeId &Holder) {
  return std::uint32_t(
      std::count_if(W.Tasks_.begin(), W.Tasks_.end(), [&](const Task &T) {
        return T.Phase_ != TaskPhase::Pending && T.Holder_ == Holder;
      }));
}

} // namespace

NodeId chooseHolder(const Context &C, const Work &W, const Task &T,
                    const JobSpec &Spec, bool Spread, bool Entitled) {
  using Score = std::tuple<bool, std::uint32_t, std::int64_t, NodeId>;
  std::optional<Score> Best;
  auto Consider = [&](const NodeId &Node,
                      const std::vector<membership::RackSummary> &Racks) {
    bool Room = hasRoom(Racks, Spec.Size_);
    // Urgent work may make room, and borrowed room may be claimed back.
    bool MayMakeRoom = Spec.Urgent_ || (Entitled && hasBorrowed(Racks));
    if (T.Refused_.count(Node) || Racks.empty() || (!Room && !MayMakeRoom))
      return;
    std::int64_t Free = totalFree(Racks);
    Score Here{!Room, Spread ? tasksAt(W, Node) : 0, Spread ? -Free : Free,
               Node};
    if (!Best || Here < *Best)
      Best = Here;
  };
  Consider(C.Self_, workers::summarize(C.Workers_, C.Now_));
  for (const auto &[Id, P] : C.Members_.Peers_)
    if (membership::isLive(C.Members_, C.Now_, Id) &&
        !P.LastHeartbeat_.Leaving_)
      Consider(Id, P.LastHeartbeat_.Racks_);
  return Best ? std::get<3>(*Best) : NodeId();
}

} // namespace pollenvale::jobs
