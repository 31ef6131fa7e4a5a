#include "node/detail/heartbeat.hpp"

#include "node/node.hpp"

namespace pollenvale::node {

using peering::Outbox;

namespace {

/// The racks make up most of a heartbeat, so they are sent every
/// FullHeartbeatInterval only, and at once if the held workers have changed.
bool isFullHeartbeatDue(const Node &Node, TimePoint Now,
                        const std::vector<membership::RackSummary> &Racks) {
  return Node.Members_.FullDue_ || Node.Members_.Leaving_ ||
         Now >= Node.NextFullHeartbeat_ ||
         !std::equal(Racks.begin(), Racks.end(), Node.ReportedRacks_.begin(),
                     Node.ReportedRacks_.end(),
                     [](const auto &A, const auto &B) {
                       return A.Rack_ == B.Rack_ && A.Held_ == B.Held_;
                     });
}

/// Live peers whose tasks are pending for lack of capacity.
std::vector<NodeId> peersWithPendingTasks(const Node &Node, TimePoint Now) {
  std::vector<NodeId> Out;
  for (const auto &[Id, P] : Node.Members_.Peers_)
    if (P.LastHeartbeat_.PendingTasks_ > 0 &&
        membership::isLive(Node.Members_, Now, Id))
      Out.push_back(Id);
  return Out;
}

} // namespace

membership::Heartbeat makeHeartbeat(Node &Node, TimePoint Now) {
  membership::Heartbeat Heartbeat;
  Heartbeat.Sender_ = Node.Self_;
  Heartbeat.Address_ = Node.Members_.Address_;
  Heartbeat.Dc_ = Node.Members_.Dc_;
  Heartbeat.Leaving_ = Node.Members_.Leaving_;
  Heartbeat.ConfigVersion_ = Node.Config_.Version_;
  Heartbeat.LogNext_ = Node.Log_.Next_;
  auto Racks = workers::summarize(Node.Workers_, Now);
  Heartbeat.Full_ = isFullHeartbeatDue(Node, Now, Racks);
  if (Heartbeat.Full_) {
    Node.Members_.FullDue_ = false;
    Node.NextFullHeartbeat_ = Now + FullHeartbeatInterval;
    Heartbeat.Racks_ = Node.ReportedRacks_ = std::move(Racks);
    Heartbeat.TeamUsage_ = Node.Jobs_.TeamUsage_;
  }
  Heartbeat.FreeSlots_ = requests::freeSlots(Node.Slots_, Now);
  Heartbeat.PendingTasks_ = Node.Jobs_.TasksWithoutRoom_;
  Heartbeat.ListVersion_ = Node.Members_.ListVersion_;
  for (const auto &[Name, Vm] : Node.Members_.Vms_)
    if (Vm.Leaving_)
      Heartbeat.LeavingVms_.push_back(Name);
  Heartbeat.LivePeers_ = membership::livePeers(Node.Members_, Now);
  return Heartbeat;
}

void sendRoomNotices(Node &Node, TimePoint Now, Outbox &Out) {
  auto Peers = peersWithPendingTasks(Node, Now);
  Node.Workers_.RoomWanted_ =
      Node.Jobs_.TasksWithoutRoom_ > 0 || !Peers.empty();
  if (Peers.empty() || Now < Node.NextRoomNotice_)
    return;
  auto Racks = workers::summarize(Node.Workers_, Now);
  membership::RoomNotice Notice;
  for (const auto &Rack : Racks)
    for (const auto &Reported : Node.ReportedRacks_)
      if (Rack.Rack_ == Reported.Rack_ && !fits(Rack.Free_, Reported.Free_))
        Notice.Racks_.push_back(Rack);
  if (Notice.Racks_.empty())
    return;
  Node.NextRoomNotice_ = Now + RoomNoticeInterval;
  Node.ReportedRacks_ = std::move(Racks);
  count(Node.Counters_, "room-notice");
  for (const NodeId &Id : Peers)
    peering::send(Out, Id, Notice);
}

} // namespace pollenvale::node
