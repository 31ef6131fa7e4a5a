#include "node/node.hpp"

namespace pollenvale::node {

Counters allCounters(const Node &Node) {
  Counters Out = Node.Counters_;
  for (const Counters *Source :
       {&Node.Workers_.Counters_, &Node.Jobs_.Counters_, &Node.Slots_.Counters_,
        &Node.Requests_.Counters_})
    for (const auto &[Name, Value] : *Source)
      Out[Name] += Value;
  return Out;
}

nlohmann::json statusOf(const Node &Node, TimePoint Now) {
  using nlohmann::json;
  std::size_t Held = 0, Running = 0;
  for (const auto &[Name, Worker] : Node.Workers_.Workers_) {
    if (!workers::isHeld(Worker, Now))
      continue;
    ++Held;
    for (const auto &[Id, Attempt] : Worker.Attempts_)
      Running += Attempt.Phase_ == workers::Phase::Running;
  }
  json Peers = json::array();
  for (const auto &[Id, Peer] : Node.Members_.Peers_)
    if (membership::isLive(Node.Members_, Now, Id))
      Peers.push_back(
          {{"node", Id},
           {"dc", Peer.LastHeartbeat_.Dc_},
           {"config_version", Peer.LastHeartbeat_.ConfigVersion_},
           {"log_next", Peer.LastHeartbeat_.LogNext_},
           {"leaving", Peer.LastHeartbeat_.Leaving_},
           {"heard_ms_ago", elapsed(Peer.LastHeartbeatAt_, Now).count()}});
  auto Home = Node.Table_.OpenByHome_.find(Node.Self_);
  return {{"node", Node.Self_},
          {"dc", Node.Members_.Dc_},
          {"leaving", Node.Members_.Leaving_},
          {"config_version", Node.Config_.Version_},
          {"log_next", Node.Log_.Next_},
          {"log_down", Node.Log_.Unreachable_},
          {"workers_listed", Node.Workers_.Workers_.size()},
          {"workers_held", Held},
          {"tasks_running", Running},
          {"jobs_homed",
           Home == Node.Table_.OpenByHome_.end() ? 0 : Home->second.size()},
          {"recoveries", Node.Jobs_.Recoveries_.size()},
          {"requests_open", Node.Requests_.Requests_.size()},
          {"peers", Peers}};
}

} // namespace pollenvale::node
