#include "relay/relay.hpp"

#include <algorithm>

namespace pollenvale::relay {

using ledger::StoreStatus;

namespace {

const PartitionRoute &routeOf(const Router &R, const std::string &Partition) {
  static const PartitionRoute Unknown;
  auto It = R.Partitions_.find(Partition);
  return It == R.Partitions_.end() ? Unknown : It->second;
}

} // namespace

void setPeers(Router &R, std::vector<std::string> Addresses) {
  if (R.Peers_ == Addresses)
    return;
  R.Peers_ = std::move(Addresses);
  for (auto &[Name, Route] : R.Partitions_)
    std::erase_if(Route.PeerAvoidUntil_, [&](const auto &Entry) {
      return std::find(R.Peers_.begin(), R.Peers_.end(), Entry.first) ==
             R.Peers_.end();
    });
}

std::string nameOf(const ledger::Partition &P) {
  return P.Topic_ + "/" + std::to_string(P.Number_);
}

bool isDirectOpen(const Router &R, const std::string &Partition,
                  TimePoint Now) {
  return Now >= routeOf(R, Partition).DirectPausedUntil_;
}

bool mayServe(const Router &R, const std::string &Partition, TimePoint Now) {
  return isDirectOpen(R, Partition, Now) &&
         Now - R.DirectAnswerAt_ <= R.Options_.ServeWithin_;
}

std::string choosePeer(Router &R, const std::string &Partition, TimePoint Now) {
  const PartitionRoute &Route = routeOf(R, Partition);
  for (std::size_t I = 0; I < R.Peers_.size(); ++I) {
    const std::string &Peer = R.Peers_[R.NextPeer_++ % R.Peers_.size()];
    auto Avoid = Route.PeerAvoidUntil_.find(Peer);
    if (Avoid == Route.PeerAvoidUntil_.end() || Now >= Avoid->second)
      return Peer;
  }
  return {};
}

bool isFailure(StoreStatus Status) {
  return Status == StoreStatus::NotDone || Status == StoreStatus::Unknown;
}

void onDirect(Router &R, const std::string &Partition, StoreStatus Status,
              TimePoint Now) {
  PartitionRoute &Route = R.Partitions_[Partition];
  if (isFailure(Status)) {
    Route.DirectPausedUntil_ = Now + R.Options_.DirectPause_;
    return;
  }
  R.DirectAnswerAt_ = Route.DirectAnswerAt_ = Now;
  Route.DirectPausedUntil_ = {};
}

void onPeer(Router &R, const std::string &Partition, const std::string &Peer,
            bool Helped, TimePoint Now) {
  PartitionRoute &Route = R.Partitions_[Partition];
  if (Helped)
    Route.PeerAvoidUntil_.erase(Peer);
  else
    Route.PeerAvoidUntil_[Peer] = Now + R.Options_.PeerPause_;
}

bool noteWaiting(Router &R, const std::string &Partition, TimePoint Due,
                 TimePoint Now) {
  PartitionRoute &Route = R.Partitions_[Partition];
  if (Now - std::max(Due, Route.DirectAnswerAt_) <= R.Options_.SilenceLimit_)
    return false;
  Route.DirectPausedUntil_ = Now + R.Options_.DirectPause_;
  return true;
}

} // namespace pollenvale::relay
