#include "delegation/delegation.hpp"

#include <set>

namespace pollenvale::delegation {

void setPeers(Pool &P, const std::vector<std::string> &Addresses) {
  std::set<std::string_view> Listed(Addresses.begin(), Addresses.end());
  std::erase_if(P.Peers_,
                [&](const auto &Peer) { return !Listed.count(Peer.first); });
  for (const std::string &A : Addresses)
    P.Peers_.try_emplace(A, Peer{stableHash(A)});
}

std::string choosePeer(const Pool &P, const StartCall &Call, TimePoint Now) {
  if (P.DirectBytes_ + Call.Payload_.size() <= P.Options_.MaxDirectBytes_)
    return {};
  const std::string *Best = nullptr;
  std::uint64_t BestRank = 0;
  std::uint64_t WorkerHash = stableHash(Call.Target_.Worker_);
  for (const auto &[Address, Peer] : P.Peers_) {
    std::uint64_t Rank = Random{WorkerHash ^ Peer.Hash_}.next();
    if (Now < Peer.AvoidedUntil_ || (Best && Rank <= BestRank))
      continue;
    Best = &Address;
    BestRank = Rank;
  }
  return Best ? *Best : std::string();
}

void beginDirectStart(Pool &P, const StartCall &Call) {
  P.DirectBytes_ += Call.Payload_.size();
}

void endDirectStart(Pool &P, const StartCall &Call) {
  P.DirectBytes_ -= Call.Payload_.size();
}

CallId addPending(Pool &P, StartCall Call, const std::string &Peer,
                  TimePoint Now) {
  const Options &O = P.Options_;
  TimePoint ExpiresAt =
      Now + Call.Target_.Timeout_ + O.ReplicaWait_ + O.AnswerMargin_;
  CallId Id = P.NextId_++;
  P.InFlight_[Id] = {std::move(Call), Peer, ExpiresAt};
  return Id;
}

std::optional<Pending> takePending(Pool &P, CallId Id) {
  auto Node = P.InFlight_.extract(Id);
  if (!Node)
    return std::nullopt;
  return std::move(Node.mapped());
}

std::map<CallId, Pending> takeExpired(Pool &P, TimePoint Now) {
  std::map<CallId, Pending> Out;
  for (auto It = P.InFlight_.begin(); It != P.InFlight_.end();) {
    if (Now < It->second.ExpiresAt_) {
      ++It;
      continue;
    }
    auto Peer = P.Peers_.find(It->second.Peer_);
    if (Peer != P.Peers_.end())
      Peer->second.AvoidedUntil_ = Now + P.Options_.PeerAvoidTime_;
    Out.emplace(It->first, std::move(It->second));
    It = P.InFlight_.erase(It);
  }
  return Out;
}

} // namespace pollenvale::delegation
