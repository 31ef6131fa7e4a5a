#include "membership/membership.hpp"

namespace pollenvale::membership {

namespace {

void forgetOldPeers(State &S, TimePoint Now) {
  constexpr Milliseconds PeerMemory{600'000};
  std::erase_if(S.Peers_, [&](const auto &Entry) {
    return elapsed(Entry.second.LastHeartbeatAt_, Now) > PeerMemory;
  });
}

std::set<std::string> heartbeatTargets(const State &S) {
  std::set<std::string> Targets = S.SeedAddresses_;
  for (const auto &[Name, V] : S.Vms_)
    if (V.Entry_)
      Targets.insert(V.Address_);
  for (const auto &[Id, P] : S.Peers_)
    if (elapsed(P.LastHeartbeatAt_, S.NextHeartbeat_) < TakeoverAfter)
      Targets.insert(P.Address_);
  Targets.erase(S.Address_);
  return Targets;
}

} // namespace

void onVmList(State &S, TimePoint Now, bool Ok, VmList List) {
  S.ListInFlight_ = false;
  S.NextList_ = Now + ListInterval;
  if (!Ok || List.Version_ < S.ListVersion_)
    return;
  if (S.HasVmList_ && List.Version_ == S.AppliedVersion_)
    return; // Nothing changed since the last reading.
  S.HasVmList_ = true;
  S.ListVersion_ = S.AppliedVersion_ = List.Version_;
  std::map<WorkerId, Vm> Next;
  for (Vm &V : List.Vms_)
    Next[V.Name_] = std::move(V);
  for (const auto &[Name, V] : S.Vms_)
    if (!Next.count(Name))
      S.AbsentSince_.emplace(Name, Now);
  for (const auto &[Name, V] : Next)
    S.AbsentSince_.erase(Name);
  S.Vms_ = std::move(Next);
  ++S.VmsVersion_;
}

namespace {

/// A node without the VM list learns of leaving VMs from a peer that has it.
void adoptLeaving(State &S, const Heartbeat &H) {
  if (!S.HasVmList_ || H.ListVersion_ <= S.ListVersion_)
    return;
  S.ListVersion_ = H.ListVersion_;
  std::set<WorkerId> Leaving(H.LeavingVms_.begin(), H.LeavingVms_.end());
  for (auto &[Name, V] : S.Vms_) {
    bool Is = Leaving.count(Name) > 0;
    if (V.Leaving_ != Is)
      ++S.VmsVersion_;
    V.Leaving_ = Is;
  }
}

} // namespace

void onHeartbeat(State &S, TimePoint Now, const Heartbeat &H) {
  if (H.Sender_ == S.Self_)
    return;
  adoptLeaving(S, H);
  auto [It, New] = S.Peers_.try_emplace(H.Sender_);
  // A node that has just come knows nothing of this one.
  S.FullDue_ |= New;
  Peer &P = It->second;
  P.Address_ = H.Address_;
  P.LastHeartbeatAt_ = Now;
  auto Racks = std::move(P.LastHeartbeat_.Racks_);
  auto Usage = std::move(P.LastHeartbeat_.TeamUsage_);
  P.LastHeartbeat_ = H;
  if (H.Full_)
    return;
  P.LastHeartbeat_.Racks_ = std::move(Racks);
  P.LastHeartbeat_.TeamUsage_ = std::move(Usage);
}

void onRoomNotice(State &S, const NodeId &From, const RoomNotice &R) {
  auto It = S.Peers_.find(From);
  if (It == S.Peers_.end())
    return;
  for (RackSummary &Known : It->second.LastHeartbeat_.Racks_)
    for (const RackSummary &Told : R.Racks_)
      if (Known.Rack_ == Told.Rack_)
        Known = Told;
}

bool isHeartbeatDue(const State &S, TimePoint Now) {
  return Now >= S.NextHeartbeat_;
}

void tick(State &S, TimePoint Now, const Heartbeat &Own, peering::Outbox &Out) {
  if (isHeartbeatDue(S, Now)) {
    S.NextHeartbeat_ = Now + HeartbeatInterval;
    for (const std::string &Address : heartbeatTargets(S))
      peering::send(Out, "@" + Address, Own);
    forgetOldPeers(S, Now);
  }
  if (!S.ListInFlight_ && Now >= S.NextList_) {
    S.ListInFlight_ = true;
    Out.ListVms_ = true;
  }
}

bool isLive(const State &S, TimePoint Now, const NodeId &Node) {
  if (Node == S.Self_)
    return true;
  auto It = S.Peers_.find(Node);
  return It != S.Peers_.end() &&
         elapsed(It->second.LastHeartbeatAt_, Now) < SuspectAfter;
}

std::vector<Candidate> candidates(const State &S, TimePoint Now) {
  std::vector<Candidate> Out;
  if (!S.Leaving_)
    Out.push_back({S.Self_, S.Dc_});
  for (const auto &[Id, P] : S.Peers_)
    if (isLive(S, Now, Id) && !P.LastHeartbeat_.Leaving_)
      Out.push_back({Id, P.LastHeartbeat_.Dc_});
  return Out;
}

std::vector<NodeId> livePeers(const State &S, TimePoint Now) {
  std::vector<NodeId> Out;
  for (const auto &[Id, P] : S.Peers_)
    if (isLive(S, Now, Id))
      Out.push_back(Id);
  return Out;
}

bool shouldTakeOver(const State &S, TimePoint Now, const NodeId &Dead) {
  if (S.Leaving_ || Dead == S.Self_)
    return false;
  auto It = S.Peers_.find(Dead);
  bool HandsOver = It != S.Peers_.end() && It->second.LastHeartbeat_.Leaving_;
  TimePoint Heard =
      It == S.Peers_.end() ? S.StartedAt_ : It->second.LastHeartbeatAt_;
  for (const auto &[Id, P] : S.Peers_) {
    const auto &List = P.LastHeartbeat_.LivePeers_;
    if (!HandsOver && isLive(S, Now, Id) &&
        std::find(List.begin(), List.end(), Dead) != List.end())
      return false;
  }
  auto All = candidates(S, Now);
  std::erase_if(All, [&](const Candidate &C) { return C.Node_ == Dead; });
  auto Ranked = rankNodes(Dead, "", All);
  auto Place = std::find(Ranked.begin(), Ranked.end(), S.Self_);
  Milliseconds Wait =
      HandsOver || Dead.empty() ? Milliseconds(0) : TakeoverAfter;
  Wait += TakeoverStagger * (Place - Ranked.begin());
  return elapsed(Heard, Now) >= Wait;
}

namespace {

void updateOwnRanks(State &S, const std::vector<RackLoad> &Racks,
                    const std::vector<Candidate> &Nodes,
                    const std::map<std::string, NodeId> &Assigned) {
  S.OwnRank_.clear();
  for (const RackLoad &R : Racks) {
    if (Assigned.count(R.Rack_) && Assigned.at(R.Rack_) == S.Self_) {
      S.OwnRank_[R.Rack_] = 0;
      continue;
    }
    auto Ranked = rankNodes(R.Rack_, R.Dc_, Nodes);
    auto Place = std::find(Ranked.begin(), Ranked.end(), S.Self_);
    if (Place != Ranked.end())
      S.OwnRank_[R.Rack_] = int(Place - Ranked.begin()) + 1;
  }
}

} // namespace

void updateAssignment(State &S, TimePoint Now) {
  auto Nodes = candidates(S, Now);
  std::string Key = std::to_string(S.VmsVersion_);
  for (const Candidate &C : Nodes)
    Key += "|" + C.Node_;
  if (Key != S.AssignmentKey_) {
    S.AssignmentKey_ = Key;
    std::map<std::string, RackLoad> Racks;
    for (const auto &[Name, V] : S.Vms_)
      if (!V.Entry_) {
        RackLoad &R = Racks[V.Rack_];
        R = {V.Rack_, V.Dc_, R.Workers_ + 1};
      }
    std::vector<RackLoad> Loads;
    for (auto &[Name, R] : Racks)
      Loads.push_back(std::move(R));
    auto Next = assignRacks(Loads, Nodes);
    updateOwnRanks(S, Loads, Nodes, Next);
    if (Next != S.ProposedHolders_) {
      S.ProposedHolders_ = std::move(Next);
      S.ProposedAt_ = Now;
    }
  }
  if (S.AssignedHolders_ != S.ProposedHolders_ &&
      (S.AssignedHolders_.empty() ||
       elapsed(S.ProposedAt_, Now) >= AssignmentHoldDown))
    S.AssignedHolders_ = S.ProposedHolders_;
}

} // namespace pollenvale::membership
