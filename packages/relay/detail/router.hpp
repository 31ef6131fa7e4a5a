/// \file
/// Whether the next call to the store is made directly or through another
/// entry.
#pragma once

#include "ledger/ledger.hpp"

#include <map>

namespace pollenvale::relay {

struct RouterOptions {
  /// After a failure, the store is called directly again after this time.
  Milliseconds DirectPause_{600};
  /// A peer that could not help is left alone for this long.
  Milliseconds PeerPause_{1'000};
  /// The store seems silent to this entry when a call has waited this long, and
  /// nothing else was answered meanwhile.
  Milliseconds SilenceLimit_{600};
  /// An entry calls the store for others while its own last answer is not older
  /// than this. Entries read something at least once a second.
  Milliseconds ServeWithin_{1'300};
};

/// What is known of one partition: the store may serve some and not others.
struct PartitionRoute {
  TimePoint DirectPausedUntil_{};
  TimePoint DirectAnswerAt_{}; ///< Last answer of the store to this entry.
  std::map<std::string, TimePoint> PeerAvoidUntil_;
};

struct Router {
  RouterOptions Options_;
  std::vector<std::string> Peers_; ///< Addresses of the other entries.
  std::size_t NextPeer_ = 0;
  std::map<std::string, PartitionRoute> Partitions_; ///< By topic and number.
  TimePoint DirectAnswerAt_{}; ///< Last answer about any partition.
};

/// Replaces the other entries.
void setPeers(Router &R, std::vector<std::string> Addresses);
std::string nameOf(const ledger::Partition &P);
/// A peer that may help with the partition; empty when all were asked in vain a
/// moment ago.
std::string choosePeer(Router &R, const std::string &Partition, TimePoint Now);
/// Whether the store may be called directly about the partition.
bool isDirectOpen(const Router &R, const std::string &Partition, TimePoint Now);
/// Whether the partition may be called for others: the store has answered this
/// entry a moment ago, and did not refuse this partition.
bool mayServe(const Router &R, const std::string &Partition, TimePoint Now);

/// Whether \p Status says that the store refuses this entry or does not answer.
bool isFailure(ledger::StoreStatus Status);
void onDirect(Router &R, const std::string &Partition,
              ledger::StoreStatus Status, TimePoint Now);
void onPeer(Router &R, const std::string &Partition, const std::string &Peer,
            bool Helped, TimePoint Now);
/// A direct call that was due to be answered at \p Due still waits. True once
/// the partition seems silent to this entry.
bool noteWaiting(Router &R, const std::string &Partition, TimePoint Due,
                 TimePoint Now);

} // namespace pollenvale::relay
