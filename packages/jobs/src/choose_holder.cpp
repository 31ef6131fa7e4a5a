#include "jobs/detail/choose_holder.hpp"

namespace pollenvale::jobs {

namespace {

bool hasRoom(const std::vector<membership::RackSummary> &Racks,
             const Resources &Size) {
  return std::any_of(Racks.begin(), Racks.end(), [&](const auto &Rack) {
    return fits(Size, Rack.LargestFree_);
  });
}

/// True when tasks on borrowed room run on the holder's workers.
bool hasBorrowed(const std::vector<membership::RackSummary> &Racks) {
  return std::any_of(Racks.begin(), Racks.end(),
                     [](const auto &Rack) { return Rack.Borrowed_ > 0; });
}

/// Free processors, in thousandths of a core.
std::int64_t totalFree(const std::vector<membership::RackSummary> &Racks) {
  std::int64_t Free = 0;
  for (const auto &Rack : Racks)
    Free += Rack.Free_.Cpu_;
  return Free;
}

/// Number of the job's tasks that the holder holds or was asked for.
std::uint32_t countTasksAt(const HomedJob &Job, const NodeId &Holder) {
  return std::uint32_t(std::count_if(
      Job.Tasks_.begin(), Job.Tasks_.end(), [&](const Task &Task) {
        return Task.Phase_ != TaskPhase::Pending && Task.Holder_ == Holder;
      }));
}

} // namespace

NodeId chooseHolder(const Context &Context, const HomedJob &Job,
                    const Task &Task, const JobSpec &Spec, bool Spread,
                    bool Entitled) {
  using Score = std::tuple<bool, std::uint32_t, std::int64_t, NodeId>;
  std::optional<Score> Best;
  auto Consider = [&](const NodeId &Node,
                      const std::vector<membership::RackSummary> &Racks) {
    bool HasRoom = hasRoom(Racks, Spec.Size_);
    // Urgent tasks may preempt, and entitled ones may claim back borrowed room.
    bool MayMakeRoom = Spec.Urgent_ || (Entitled && hasBorrowed(Racks));
    if (Task.RefusedBy_.count(Node) || Racks.empty() ||
        (!HasRoom && !MayMakeRoom))
      return;
    std::int64_t Free = totalFree(Racks);
    Score Candidate{!HasRoom, Spread ? countTasksAt(Job, Node) : 0,
                    Spread ? -Free : Free, Node};
    if (!Best || Candidate < *Best)
      Best = Candidate;
  };
  Consider(Context.Self_, workers::summarize(Context.Workers_, Context.Now_));
  for (const auto &[Id, Peer] : Context.Members_.Peers_)
    if (membership::isLive(Context.Members_, Context.Now_, Id) &&
        !Peer.LastHeartbeat_.Leaving_)
      Consider(Id, Peer.LastHeartbeat_.Racks_);
  return Best ? std::get<3>(*Best) : NodeId();
}

} // namespace pollenvale::jobs
