/// \file
/// Calls to the placement policy: from this entry, and by other entries for it.
#pragma once

#include "advice/advice.hpp"
#include "fleet/peer_channel.hpp"
#include "ownership/ownership.hpp"
#include "platform/adapter.hpp"

namespace pollenvale::fleet {

using OnAdvice = std::function<void(const scheduler::AdviceCall &,
                                    const scheduler::AdviceReply &)>;

class PolicyCalls {
public:
  PolicyCalls(PeerChannel &Peers, platform::Client &Client, Counters &Counts,
              OnAdvice Deliver)
      : Peers_(Peers), Client_(Client), Counters_(Counts),
        Deliver_(std::move(Deliver)) {}

  /// \p Self: peer address of this entry.
  void open(const std::string &Self);
  void ask(scheduler::AdviceCall Call);
  /// Sends what may be sent now to the entries that \p Claims names.
  void turn(const ownership::State &Claims);

private:
  void send(const advice::Dispatch &D);
  void askPolicy(const std::string &Step, const std::vector<WorkerId> &Workers,
                 std::function<void(scheduler::AdviceReply)> Done);
  void onReply(CallId Id, const scheduler::AdviceReply &Reply);
  void onPeer(const std::string &Bytes);
  void answerPeer(const advice::RequestMessage &Ask);

  PeerChannel &Peers_;
  platform::Client &Client_;
  Counters &Counters_;
  OnAdvice Deliver_;
  advice::Pool Pool_;
  TimePoint PeersDueAt_{};
};

} // namespace pollenvale::fleet
