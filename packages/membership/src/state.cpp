#include "membership/membership.hpp"

namespace pollenvale::membership {

namespace {

void removeOldPeers(State &State, TimePoint Now) {
  constexpr Milliseconds PeerRetention{600'000};
  std::erase_if(State.Peers_, [&](const auto &Peer) {
    return elapsed(Peer.second.LastHeartbeatAt_, Now) > PeerRetention;
  });
}

/// Addresses of the seeds, the listed entries and the peers that may be alive.
std::set<std::string> heartbeatTargets(const State &State) {
  std::set<std::string> Targets = State.SeedAddresses_;
  for (const auto &[Name, Vm] : State.Vms_)
    if (Vm.Entry_)
      Targets.insert(Vm.Address_);
  for (const auto &[Id, P] : State.Peers_)
    if (elapsed(P.LastHeartbeatAt_, State.NextHeartbeat_) < TakeoverAfter)
      Targets.insert(P.Address_);
  Targets.erase(State.Address_);
  return Targets;
}

} // namespace

void onVmList(State &State, TimePoint Now, bool Ok, VmList List) {
  State.ListInFlight_ = false;
  State.NextList_ = Now + ListInterval;
  if (!Ok || List.Version_ < State.ListVersion_)
    return;
  if (State.HasVmList_ && List.Version_ == State.AppliedVersion_)
    return; // No change since the last read.
  State.HasVmList_ = true;
  State.ListVersion_ = State.AppliedVersion_ = List.Version_;
  std::map<WorkerId, Vm> Next;
  for (Vm &Vm : List.Vms_)
    Next[Vm.Name_] = std::move(Vm);
  for (const auto &[Name, Vm] : State.Vms_)
    if (!Next.count(Name))
      State.AbsentSince_.emplace(Name, Now);
  for (const auto &[Name, Vm] : Next)
    State.AbsentSince_.erase(Name);
  State.Vms_ = std::move(Next);
  ++State.VmsVersion_;
}

namespace {

/// Adopts the leaving VMs of a peer whose VM list is newer: this node may be
/// unable to read the list itself.
void adoptLeaving(State &State, const Heartbeat &Heartbeat) {
  if (!State.HasVmList_ || Heartbeat.ListVersion_ <= State.ListVersion_)
    return;
  State.ListVersion_ = Heartbeat.ListVersion_;
  std::set<WorkerId> Leaving(Heartbeat.LeavingVms_.begin(),
                             Heartbeat.LeavingVms_.end());
  for (auto &[Name, Vm] : State.Vms_) {
    bool IsLeaving = Leaving.count(Name) > 0;
    if (Vm.Leaving_ != IsLeaving)
      ++State.VmsVersion_;
    Vm.Leaving_ = IsLeaving;
  }
}

} // namespace

void onHeartbeat(State &State, TimePoint Now, const Heartbeat &Heartbeat) {
  if (Heartbeat.Sender_ == State.Self_)
    return;
  adoptLeaving(State, Heartbeat);
  auto [It, New] = State.Peers_.try_emplace(Heartbeat.Sender_);
  // A new peer has not received a full heartbeat of this node yet.
  State.FullDue_ |= New;
  Peer &Sender = It->second;
  Sender.Address_ = Heartbeat.Address_;
  Sender.LastHeartbeatAt_ = Now;
  auto Racks = std::move(Sender.LastHeartbeat_.Racks_);
  auto Usage = std::move(Sender.LastHeartbeat_.TeamUsage_);
  Sender.LastHeartbeat_ = Heartbeat;
  if (Heartbeat.Full_)
    return;
  Sender.LastHeartbeat_.Racks_ = std::move(Racks);
  Sender.LastHeartbeat_.TeamUsage_ = std::move(Usage);
}

void onRoomNotice(State &State, const NodeId &From, const RoomNotice &Notice) {
  auto It = State.Peers_.find(From);
  if (It == State.Peers_.end())
    return;
  for (RackSummary &Known : It->second.LastHeartbeat_.Racks_)
    for (const RackSummary &Update : Notice.Racks_)
      if (Known.Rack_ == Update.Rack_)
        Known = Update;
}

bool isHeartbeatDue(const State &State, TimePoint Now) {
  return Now >= State.NextHeartbeat_;
}

void tick(State &State, TimePoint Now, const Heartbeat &Own,
          peering::Outbox &Out) {
  if (isHeartbeatDue(State, Now)) {
    State.NextHeartbeat_ = Now + HeartbeatInterval;
    for (const std::string &Address : heartbeatTargets(State))
      peering::send(Out, "@" + Address, Own);
    removeOldPeers(State, Now);
  }
  if (!State.ListInFlight_ && Now >= State.NextList_) {
    State.ListInFlight_ = true;
    Out.ListVms_ = true;
  }
}

bool isLive(const State &State, TimePoint Now, const NodeId &Node) {
  if (Node == State.Self_)
    return true;
  auto It = State.Peers_.find(Node);
  return It != State.Peers_.end() &&
         elapsed(It->second.LastHeartbeatAt_, Now) < SuspectAfter;
}

std::vector<Candidate> candidates(const State &State, TimePoint Now) {
  std::vector<Candidate> Out;
  if (!State.Leaving_)
    Out.push_back({State.Self_, State.Dc_});
  for (const auto &[Id, P] : State.Peers_)
    if (isLive(State, Now, Id) && !P.LastHeartbeat_.Leaving_)
      Out.push_back({Id, P.LastHeartbeat_.Dc_});
  return Out;
}

std::vector<NodeId> livePeers(const State &State, TimePoint Now) {
  std::vector<NodeId> Out;
  for (const auto &[Id, P] : State.Peers_)
    if (isLive(State, Now, Id))
      Out.push_back(Id);
  return Out;
}

bool shouldTakeOver(const State &State, TimePoint Now, const NodeId &Dead) {
  if (State.Leaving_ || Dead == State.Self_)
    return false;
  auto It = State.Peers_.find(Dead);
  bool HandsOver =
      It != State.Peers_.end() && It->second.LastHeartbeat_.Leaving_;
  TimePoint LastHeartbeatAt =
      It == State.Peers_.end() ? State.StartedAt_ : It->second.LastHeartbeatAt_;
  for (const auto &[Id, P] : State.Peers_) {
    const auto &LivePeers = P.LastHeartbeat_.LivePeers_;
    if (!HandsOver && isLive(State, Now, Id) &&
        std::find(LivePeers.begin(), LivePeers.end(), Dead) != LivePeers.end())
      return false;
  }
  auto Nodes = candidates(State, Now);
  std::erase_if(Nodes, [&](const Candidate &C) { return C.Node_ == Dead; });
  auto Ranked = rankNodes(Dead, "", Nodes);
  auto Self = std::find(Ranked.begin(), Ranked.end(), State.Self_);
  Milliseconds Delay =
      HandsOver || Dead.empty() ? Milliseconds(0) : TakeoverAfter;
  Delay += TakeoverStagger * (Self - Ranked.begin());
  return elapsed(LastHeartbeatAt, Now) >= Delay;
}

namespace {

/// Sets OwnRank_: 0 for racks assigned to this node, otherwise its rank plus 1.
void updateOwnRanks(State &State, const std::vector<RackLoad> &Racks,
                    const std::vector<Candidate> &Nodes,
                    const std::map<std::string, NodeId> &Assigned) {
  State.OwnRank_.clear();
  for (const RackLoad &Rack : Racks) {
    if (Assigned.count(Rack.Rack_) && Assigned.at(Rack.Rack_) == State.Self_) {
      State.OwnRank_[Rack.Rack_] = 0;
      continue;
    }
    auto Ranked = rankNodes(Rack.Rack_, Rack.Dc_, Nodes);
    auto Self = std::find(Ranked.begin(), Ranked.end(), State.Self_);
    if (Self != Ranked.end())
      State.OwnRank_[Rack.Rack_] = int(Self - Ranked.begin()) + 1;
  }
}

} // namespace

void updateAssignment(State &State, TimePoint Now) {
  auto Nodes = candidates(State, Now);
  std::string Key = std::to_string(State.VmsVersion_);
  for (const Candidate &C : Nodes)
    Key += "|" + C.Node_;
  if (Key != State.AssignmentKey_) {
    State.AssignmentKey_ = Key;
    std::map<std::string, RackLoad> Racks;
    for (const auto &[Name, Vm] : State.Vms_)
      if (!Vm.Entry_) {
        RackLoad &Rack = Racks[Vm.Rack_];
        Rack = {Vm.Rack_, Vm.Dc_, Rack.Workers_ + 1};
      }
    std::vector<RackLoad> Loads;
    for (auto &[Name, Rack] : Racks)
      Loads.push_back(std::move(Rack));
    auto Next = assignRacks(Loads, Nodes);
    updateOwnRanks(State, Loads, Nodes, Next);
    if (Next != State.ProposedHolders_) {
      State.ProposedHolders_ = std::move(Next);
      State.ProposedAt_ = Now;
    }
  }
  if (State.AssignedHolders_ != State.ProposedHolders_ &&
      (State.AssignedHolders_.empty() ||
       elapsed(State.ProposedAt_, Now) >= AssignmentHoldDown))
    State.AssignedHolders_ = State.ProposedHolders_;
}

} // namespace pollenvale::membership
