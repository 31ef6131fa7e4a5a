/// \file
/// This entry's view of VMs and peers.
#pragma once

#include "membership/detail/assignment.hpp"
#include "membership/detail/messages.hpp"
#include "peering/detail/outbox.hpp"

#include <set>

namespace pollenvale::membership {

/// Time between two heartbeats.
inline constexpr Milliseconds HeartbeatInterval{1'000};
/// A peer without a heartbeat for this long is not live: it gets no new work.
inline constexpr Milliseconds SuspectAfter{3'000};
/// The jobs of a peer without a heartbeat for this long are taken over.
inline constexpr Milliseconds TakeoverAfter{6'000};
/// Additional delay of a take-over for each better-ranked candidate.
inline constexpr Milliseconds TakeoverStagger{4'000};
/// A new assignment applies only after it stayed unchanged for this long, so
/// that short outages of an entry do not move held workers.
inline constexpr Milliseconds AssignmentHoldDown{5'000};
/// Time between two reads of the VM list.
inline constexpr Milliseconds ListInterval{1'000};

/// A VM of the platform's VM list.
struct Vm {
  WorkerId Name_;
  std::string Address_;
  std::string Rack_;
  std::string Dc_;
  Labels Labels_;
  Resources Capacity_;
  bool Leaving_ = false; ///< The platform is about to remove it.
  bool Entry_ = false;   ///< Runs an entry; not a worker.
};

/// The platform's VM list; every change increments the version.
struct VmList {
  std::uint64_t Version_ = 0;
  std::vector<Vm> Vms_;
};

/// Another entry, known from its heartbeats.
struct Peer {
  std::string Address_;
  TimePoint LastHeartbeatAt_{};
  Heartbeat LastHeartbeat_;
};

/// Peers, VMs and rack assignment as this entry knows them.
struct State {
  NodeId Self_;
  std::string Address_;
  std::string Dc_;
  bool Leaving_ = false; ///< This entry is shutting down.
  TimePoint StartedAt_{};
  std::set<std::string> SeedAddresses_; ///< Peers known at start.
  std::map<WorkerId, Vm> Vms_;
  bool HasVmList_ = false; ///< The VM list was read at least once.
  /// Version of the list that determines the leaving VMs: read by this entry or
  /// received in a heartbeat.
  std::uint64_t ListVersion_ = 0;
  std::uint64_t AppliedVersion_ = 0; ///< Of the last list that was read.
  bool ListInFlight_ = false;        ///< A read of the list is pending.
  TimePoint NextList_{};
  std::map<WorkerId, TimePoint> AbsentSince_; ///< VMs dropped from the list.
  std::map<NodeId, Peer> Peers_;
  TimePoint NextHeartbeat_{};
  bool FullDue_ = true; ///< The next heartbeat must be a full one.
  /// Node that should hold the workers of each rack.
  std::map<std::string, NodeId> AssignedHolders_;
  /// Latest computed assignment; becomes AssignedHolders_ after
  /// AssignmentHoldDown.
  std::map<std::string, NodeId> ProposedHolders_;
  /// This node's rank among the nodes that may acquire workers of a rack: 0 if
  /// the rack is assigned to it. No element if it may not acquire any.
  std::map<std::string, int> OwnRank_;
  TimePoint ProposedAt_{};
  std::uint64_t VmsVersion_ = 0; ///< Counts the changes of Vms_.
  /// VmsVersion_ and candidates of the last computed assignment.
  std::string AssignmentKey_;
};

/// Applies the result of reading the VM list. Ignored if the read failed (\p Ok
/// is false) or returned an older version than the known one.
void onVmList(State &State, TimePoint Now, bool Ok, VmList List);
/// Updates the sender's state; adopts its leaving VMs if its list is newer.
void onHeartbeat(State &State, TimePoint Now, const Heartbeat &Heartbeat);
/// Updates the free capacity of \p From in the racks of the notice.
void onRoomNotice(State &State, const NodeId &From, const RoomNotice &Notice);
/// Sends heartbeats and requests the VM list when due.
void tick(State &State, TimePoint Now, const Heartbeat &Own,
          peering::Outbox &Out);
bool isHeartbeatDue(const State &State, TimePoint Now);
/// True for this node, and for a peer whose last heartbeat is newer than
/// SuspectAfter.
bool isLive(const State &State, TimePoint Now, const NodeId &Node);
/// Live nodes that are not leaving, including this one.
std::vector<Candidate> candidates(const State &State, TimePoint Now);
/// Live nodes, excluding this one.
std::vector<NodeId> livePeers(const State &State, TimePoint Now);
/// True if this node should append a take-over of \p Dead now: after
/// TakeoverAfter without a heartbeat while no live peer reports it as live, or
/// at once if it is leaving. TakeoverStagger is added per better candidate.
bool shouldTakeOver(const State &State, TimePoint Now, const NodeId &Dead);
/// Recomputes the rack assignment if VMs or candidates changed, and applies it
/// after AssignmentHoldDown.
void updateAssignment(State &State, TimePoint Now);

} // namespace pollenvale::membership
