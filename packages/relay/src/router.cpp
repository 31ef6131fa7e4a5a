#include "relay/relay.hpp"

#include <algorithm>

namespace pollenvale::relay {

using ledger::StoreStatus;

namespace {

const PartitionWay &wayOf(const Router &R, const std::string &Partition) {
  static const PartitionWay Unknown;
  auto It = R.Partitions_.find(Partition);
  return It == R.Partitions_.end() ? Unknown : It->second;
}

} // namespace

void setPeers(Router &R, std::vector<std::string> Addresses) {
  if (R.Peers_ == Addresses)
    return;
  R.Peers_ = std::move(Addresses);
  for (auto &[Name, Way] : R.Partitions_)
    std::erase_if(Way.PeerAvoidUntil_, [&](const auto &Entry) {
      return std::find(R.Peers_.begin(), R.Peers_.end(), Entry.first) ==
             R.Peers_.end();
    });
}

std::string nameOf(const ledger::Partition &P) {
  return P.Topic_ + "/" + std::to_string(P.Number_);
}

bool isDirectOpen(const Router &R, const std::string &Partition,
                  TimePoint Now) {
  return Now >= wayOf(R, Partition).DirectPausedUntil_;
}

bool mayServe(const Router &R, const std::string &Partition, TimePoint Now) {
  return isDirectOpen(R, Partition, Now) &&
         Now - R.DirectAnswerAt_ <= R.Options_.ServeWithin_;
}

std::string choosePeer(Router &R, const std::string &Partition, TimePoint Now) {
  const PartitionWay &Way = wayOf(R, Partition);
  for (std::size_t I = 0; I < R.Peers_.size(); ++I) {
    const std::string &Peer = R.Peers_[R.NextPeer_++ % R.Peers_.size()];
    auto Avoid = Way.PeerAvoidUntil_.find(Peer);
    if (Avoid == Way.PeerAvoidUntil_.end() || Now >= Avoid->second)
      return Peer;
  }
  return {};
}

bool isFailure(StoreStatus Status) {
  return Status == StoreStatus::NotDone || Status == StoreStatus::Unknown;
}

void onDirect(Router &R, const std::string &Partition, StoreStatus Status,
              TimePoint Now) {
  PartitionWay &Way = R.Partitions_[Partition];
  if (isFailure(Status)) {
    Way.DirectPausedUntil_ = Now + R.Options_.DirectPause_;
    return;
  }
  R.DirectAnswerAt_ = Way.DirectAnswerAt_ = Now;
  Way.DirectPausedUntil_ = {};
}

void onPeer(Router &R, const std::string &Partition, const std::string &Peer,
            bool Helped, TimePoint Now) {
  PartitionWay &Way = R.Partitions_[Partition];
  if (Helped)
    Way.PeerAvoidUntil_.erase(Peer);
  else
    Way.PeerAvoidUntil_[Peer] = Now + R.Options_.PeerPause_;
}

bool noteWaiting(Router &R, const std::string &Partition, TimePoint Due,
                 TimePoint Now) {
  PartitionWay &Way = R.Partitions_[Partition];
  if (Now - std::max(Due, Way.DirectAnswerAt_) <= R.Options_.SilenceLimit_)
    return false;
  Way.DirectPausedUntil_ = Now + R.Options_.DirectPause_;
  return true;
}

} // namespace pollenvale::relay
