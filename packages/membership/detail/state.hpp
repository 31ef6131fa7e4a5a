/// \file
/// Live view of VMs and peers.
#pragma once

#include "membership/detail/assignment.hpp"
#include "membership/detail/messages.hpp"
#include "peering/detail/outbox.hpp"

#include <set>

namespace pollenvale::membership {

inline constexpr Milliseconds HeartbeatInterval{1'000};
/// A silent peer gets no new work after this time.
inline constexpr Milliseconds SuspectAfter{3'000};
/// A silent peer's jobs are taken over after this time.
inline constexpr Milliseconds TakeoverAfter{6'000};
/// Extra wait of each lower-ranked candidate for a take-over.
inline constexpr Milliseconds TakeoverStagger{4'000};
/// A changed assignment moves held workers only after it stood this long.
inline constexpr Milliseconds AssignmentHoldDown{5'000};
inline constexpr Milliseconds ListInterval{1'000};

/// One row of the platform's VM list.
struct Vm {
  WorkerId Name_;
  std::string Address_;
  std::string Rack_;
  std::string Dc_;
  Labels Labels_;
  Resources Capacity_;
  bool Leaving_ = false;
  bool Entry_ = false; ///< A scheduler VM, not a worker.
};

/// The platform's list; its version grows with every change.
struct VmList {
  std::uint64_t Version_ = 0;
  std::vector<Vm> Vms_;
};

struct Peer {
  std::string Address_;
  TimePoint LastHeartbeatAt_{};
  Heartbeat LastHeartbeat_;
};

struct State {
  NodeId Self_;
  std::string Address_;
  std::string Dc_;
  bool Leaving_ = false;
  TimePoint StartedAt_{};
  std::set<std::string> SeedAddresses_;
  std::map<WorkerId, Vm> Vms_;
  bool HasVmList_ = false;
  /// The platform's version of what is known of leaving VMs, read here or told
  /// by a peer.
  std::uint64_t ListVersion_ = 0;
  std::uint64_t AppliedVersion_ = 0; ///< Of the list read here last.
  bool ListInFlight_ = false;
  TimePoint NextList_{};
  std::map<WorkerId, TimePoint> AbsentSince_; ///< Seen before, now absent.
  std::map<NodeId, Peer> Peers_;
  TimePoint NextHeartbeat_{};
  bool FullDue_ = true; ///< The next heartbeat must tell everything.
  std::map<std::string, NodeId> AssignedHolders_;
  std::map<std::string, NodeId> ProposedHolders_;
  /// This node's place among those that may try a rack; 0 when it is assigned,
  /// absent when it may not.
  std::map<std::string, int> OwnRank_;
  TimePoint ProposedAt_{};
  std::uint64_t VmsVersion_ = 0;
  std::string AssignmentKey_;
};

/// Result of reading the VM list; failed when \p Ok is false. A version older
/// than what is known is ignored.
void onVmList(State &S, TimePoint Now, bool Ok, VmList List);
void onHeartbeat(State &S, TimePoint Now, const Heartbeat &H);
/// Brings what a holder can offer up to date between its heartbeats.
void onRoomNotice(State &S, const NodeId &From, const RoomNotice &R);
/// Sends heartbeats and asks for the VM list when due.
void tick(State &S, TimePoint Now, const Heartbeat &Own, peering::Outbox &Out);
bool isHeartbeatDue(const State &S, TimePoint Now);
bool isLive(const State &S, TimePoint Now, const NodeId &Node);
/// Live nodes that are not leaving, this one included.
std::vector<Candidate> candidates(const State &S, TimePoint Now);
/// Live peers, this node not included.
std::vector<NodeId> livePeers(const State &S, TimePoint Now);
/// True when this node should append a take-over of \p Dead now: neither this
/// node nor a live peer has heard it for long enough.
bool shouldTakeOver(const State &S, TimePoint Now, const NodeId &Dead);
/// Recomputes the rack assignment when membership changed; held racks follow
/// with hysteresis.
void updateAssignment(State &S, TimePoint Now);

} // namespace pollenvale::membership
