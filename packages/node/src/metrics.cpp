#include "node/node.hpp"

namespace pollenvale::node {

Counters allCounters(const Node &N) {
  Counters Out = N.Counters_;
  for (const Counters *C : {&N.Workers_.Counters_, &N.Jobs_.Counters_,
                            &N.Slots_.Counters_, &N.Requests_.Counters_})
    for (const auto &[Name, Value] : *C)
      Out[Name] += Value;
  return Out;
}

nlohmann::json statusOf(const Node &N, TimePoint Now) {
  using nlohmann::json;
  std::size_t Held = 0, Running = 0;
  for (const auto &[Name, W] : N.Workers_.Workers_) {
    if (!workers::isHeld(W, Now))
      continue;
    ++Held;
    for (const auto &[Id, A] : W.Attempts_)
      Running += A.Phase_ == workers::Phase::Running;
  }
  json Peers = json::array();
  for (const auto &[Id, P] : N.Members_.Peers_)
    if (membership::isLive(N.Members_, Now, Id))
      Peers.push_back(
          {{"node", Id},
           {"dc", P.LastHeartbeat_.Dc_},
           {"config_version", P.LastHeartbeat_.ConfigVersion_},
           {"log_next", P.LastHeartbeat_.LogNext_},
           {"leaving", P.LastHeartbeat_.Leaving_},
           {"heard_ms_ago", elapsed(P.LastHeartbeatAt_, Now).count()}});
  auto Home = N.Table_.OpenByHome_.find(N.Self_);
  return {{"node", N.Self_},
          {"dc", N.Members_.Dc_},
          {"leaving", N.Members_.Leaving_},
          {"config_version", N.Config_.Version_},
          {"log_next", N.Log_.Next_},
          {"log_down", N.Log_.Unreachable_},
          {"workers_listed", N.Workers_.Workers_.size()},
          {"workers_held", Held},
          {"tasks_running", Running},
          {"jobs_homed",
           Home == N.Table_.OpenByHome_.end() ? 0 : Home->second.size()},
          {"recoveries", N.Jobs_.Recoveries_.size()},
          {"requests_open", N.Requests_.Requests_.size()},
          {"peers", Peers}};
}

} // namespace pollenvale::node
