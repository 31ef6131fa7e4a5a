#include "relay/relay.hpp"

#include <algorithm>

namespace pollenvale::relay {

using ledger::StoreStatus;

namespace {

/// The route of the partition; a default one if none is known.
const PartitionRoute &routeOf(const Router &Router,
                              const std::string &Partition) {
  static const PartitionRoute Default;
  auto It = Router.Partitions_.find(Partition);
  return It == Router.Partitions_.end() ? Default : It->second;
}

} // namespace

void setPeers(Router &Router, std::vector<std::string> Addresses) {
  if (Router.Peers_ == Addresses)
    return;
  Router.Peers_ = std::move(Addresses);
  for (auto &[Name, Route] : Router.Partitions_)
    std::erase_if(Route.PeerPausedUntil_, [&](const auto &Entry) {
      return std::find(Router.Peers_.begin(), Router.Peers_.end(),
                       Entry.first) == Router.Peers_.end();
    });
}

std::string partitionName(const ledger::Partition &P) {
  return P.Topic_ + "/" + std::to_string(P.Number_);
}

bool mayCallDirectly(const Router &Router, const std::string &Partition,
                     TimePoint Now) {
  return Now >= routeOf(Router, Partition).DirectPausedUntil_;
}

bool mayCallForOthers(const Router &Router, const std::string &Partition,
                      TimePoint Now) {
  return mayCallDirectly(Router, Partition, Now) &&
         Now - Router.DirectAnswerAt_ <= Router.Options_.MaxAnswerAge_;
}

std::string choosePeer(Router &Router, const std::string &Partition,
                       TimePoint Now) {
  const PartitionRoute &Route = routeOf(Router, Partition);
  for (std::size_t I = 0; I < Router.Peers_.size(); ++I) {
    const std::string &Peer =
        Router.Peers_[Router.NextPeer_++ % Router.Peers_.size()];
    auto Paused = Route.PeerPausedUntil_.find(Peer);
    if (Paused == Route.PeerPausedUntil_.end() || Now >= Paused->second)
      return Peer;
  }
  return {};
}

bool isFailure(StoreStatus Status) {
  return Status == StoreStatus::NotDone || Status == StoreStatus::Unknown;
}

void onDirectReply(Router &Router, const std::string &Partition,
                   StoreStatus Status, TimePoint Now) {
  PartitionRoute &Route = Router.Partitions_[Partition];
  if (isFailure(Status)) {
    Route.DirectPausedUntil_ = Now + Router.Options_.DirectPause_;
    return;
  }
  Router.DirectAnswerAt_ = Route.DirectAnswerAt_ = Now;
  Route.DirectPausedUntil_ = {};
}

void onPeerResult(Router &Router, const std::string &Partition,
                  const std::string &Peer, bool Succeeded, TimePoint Now) {
  PartitionRoute &Route = Router.Partitions_[Partition];
  if (Succeeded)
    Route.PeerPausedUntil_.erase(Peer);
  else
    Route.PeerPausedUntil_[Peer] = Now + Router.Options_.PeerPause_;
}

bool noteUnanswered(Router &Router, const std::string &Partition, TimePoint Due,
                    TimePoint Now) {
  PartitionRoute &Route = Router.Partitions_[Partition];
  if (Now - std::max(Due, Route.DirectAnswerAt_) <=
      Router.Options_.SilenceLimit_)
    return false;
  Route.DirectPausedUntil_ = Now + Router.Options_.DirectPause_;
  return true;
}

} // namespace pollenvale::relay
