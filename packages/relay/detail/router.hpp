/// \file
/// Decides whether the next call to the store is made directly or through
/// another entry, and through which one.
#pragma once

#include "ledger/ledger.hpp"

#include <map>

namespace pollenvale::relay {

struct RouterOptions {
  /// Time after a failed direct call in which no other one is made.
  Milliseconds DirectPause_{600};
  /// Time after a failed call through a peer in which the peer is not used.
  Milliseconds PeerPause_{1'000};
  /// The store counts as silent when a call is overdue by this time and no
  /// other call has been answered in it.
  Milliseconds SilenceLimit_{600};
  /// An entry makes calls for others if the store has answered it within this
  /// time. It exceeds the second within which each entry reads at least once.
  Milliseconds MaxAnswerAge_{1'300};
};

/// State of the routes to one partition: the store may serve some partitions
/// while it refuses others.
struct PartitionRoute {
  TimePoint DirectPausedUntil_{}; ///< No direct call before this time.
  TimePoint DirectAnswerAt_{};    ///< Last answer about this partition.
  /// By peer address: no call through the peer before this time.
  std::map<std::string, TimePoint> PeerPausedUntil_;
};

struct Router {
  RouterOptions Options_;
  std::vector<std::string> Peers_; ///< Addresses of the other entries.
  std::size_t NextPeer_ = 0;       ///< Index, modulo the number of peers.
  std::map<std::string, PartitionRoute> Partitions_; ///< By partitionName().
  TimePoint DirectAnswerAt_{}; ///< Last answer about any partition.
};

/// Replaces the addresses of the other entries.
void setPeers(Router &Router, std::vector<std::string> Addresses);
/// Topic and number, as in "topic/0".
std::string partitionName(const ledger::Partition &P);
/// Address of the next peer to call the partition through; empty if calls
/// through every peer have failed recently.
std::string choosePeer(Router &Router, const std::string &Partition,
                       TimePoint Now);
/// Whether the partition may be called directly.
bool mayCallDirectly(const Router &Router, const std::string &Partition,
                     TimePoint Now);
/// Whether this entry calls the partition for others: the store has answered it
/// recently, and has not just failed a direct call of this partition.
bool mayCallForOthers(const Router &Router, const std::string &Partition,
                      TimePoint Now);

/// Whether \p Status says that the store refused the call or did not answer it.
bool isFailure(ledger::StoreStatus Status);
/// Notes the outcome of a direct call.
void onDirectReply(Router &Router, const std::string &Partition,
                   ledger::StoreStatus Status, TimePoint Now);
/// Notes the outcome of a call through \p Peer.
void onPeerResult(Router &Router, const std::string &Partition,
                  const std::string &Peer, bool Succeeded, TimePoint Now);
/// Notes that a direct call, whose answer was due at \p Due, is still in
/// flight. Returns true and pauses direct calls if the partition counts as
/// silent.
bool noteUnanswered(Router &Router, const std::string &Partition, TimePoint Due,
                    TimePoint Now);

} // namespace pollenvale::relay
