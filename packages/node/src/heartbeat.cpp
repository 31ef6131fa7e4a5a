#include "node/detail/heartbeat.hpp"

#include "node/node.hpp"

namespace pollenvale::node {

using peering::Outbox;

namespace {

/// What each rack offers makes up most of a heartbeat, so it is sent with every
/// few of them, and at once when other workers are held than last told.
bool isFullDue(const Node &N, TimePoint Now,
               const std::vector<membership::RackSummary> &Racks) {
  return N.Members_.FullDue_ || N.Members_.Leaving_ || Now >= N.NextFull_ ||
         !std::equal(Racks.begin(), Racks.end(), N.RacksTold_.begin(),
                     N.RacksTold_.end(), [](const auto &A, const auto &B) {
                       return A.Rack_ == B.Rack_ && A.Held_ == B.Held_;
                     });
}

std::vector<NodeId> waitingPeers(const Node &N, TimePoint Now) {
  std::vector<NodeId> Out;
  for (const auto &[Id, P] : N.Members_.Peers_)
    if (P.LastHeartbeat_.PendingTasks_ > 0 &&
        membership::isLive(N.Members_, Now, Id))
      Out.push_back(Id);
  return Out;
}

} // namespace

membership::Heartbeat makeHeartbeat(Node &N, TimePoint Now) {
  membership::Heartbeat H;
  H.Sender_ = N.Self_;
  H.Address_ = N.Members_.Address_;
  H.Dc_ = N.Members_.Dc_;
  H.Leaving_ = N.Members_.Leaving_;
  H.ConfigVersion_ = N.Config_.Version_;
  H.LogNext_ = N.Log_.Next_;
  auto Racks = workers::summarize(N.Workers_, Now);
  H.Full_ = isFullDue(N, Now, Racks);
  if (H.Full_) {
    N.Members_.FullDue_ = false;
    N.NextFull_ = Now + FullInterval;
    H.Racks_ = N.RacksTold_ = std::move(Racks);
    H.TeamUsage_ = N.Jobs_.TeamUsage_;
  }
  H.FreeSlots_ = requests::freeSlots(N.Slots_, Now);
  H.PendingTasks_ = N.Jobs_.Waiting_;
  H.ListVersion_ = N.Members_.ListVersion_;
  for (const auto &[Name, V] : N.Members_.Vms_)
    if (V.Leaving_)
      H.LeavingVms_.push_back(Name);
  H.LivePeers_ = membership::livePeers(N.Members_, Now);
  return H;
}

void tellFreedRoom(Node &N, TimePoint Now, Outbox &Out) {
  auto Waiting = waitingPeers(N, Now);
  N.Workers_.RoomWanted_ = N.Jobs_.Waiting_ > 0 || !Waiting.empty();
  if (Waiting.empty() || Now < N.NextRoomNotice_)
    return;
  auto Racks = workers::summarize(N.Workers_, Now);
  membership::RoomNotice Notice;
  for (const auto &R : Racks)
    for (const auto &Told : N.RacksTold_)
      if (R.Rack_ == Told.Rack_ && !fits(R.Free_, Told.Free_))
        Notice.Racks_.push_back(R);
  if (Notice.Racks_.empty())
    return;
  N.NextRoomNotice_ = Now + RoomNoticeInterval;
  N.RacksTold_ = std::move(Racks);
  count(N.Counters_, "room-notice");
  for (const NodeId &Id : Waiting)
    peering::send(Out, Id, Notice);
}

} // namespace pollenvale::node
