/// \file
/// Calls to the placement policy, made by this entry or by other entries on its
/// behalf.
#pragma once

#include "advice/advice.hpp"
#include "fleet/peer_channel.hpp"
#include "platform/adapter.hpp"

namespace pollenvale::fleet {

/// Receives the advice for a call. Answered_ is false in the reply if the
/// policy did not answer in time.
using OnAdvice = std::function<void(const scheduler::AdviceCall &,
                                    const scheduler::AdviceReply &)>;

class PolicyCalls {
public:
  PolicyCalls(PeerChannel &Peers, platform::Client &Client, Counters &Counts,
              OnAdvice Deliver)
      : Peers_(Peers), Client_(Client), Counters_(Counts),
        DeliverAdvice_(std::move(Deliver)) {}

  /// \p Self: peer address of this entry.
  void open(const std::string &Self);
  /// \p Peers: entries that may be asked to make calls.
  void setPeers(const std::vector<std::string> &Peers);
  /// Queues \p Call for the next runDueWork().
  void enqueue(scheduler::AdviceCall Call);
  /// Reports calls that have timed out and distributes those that may be sent
  /// now over this entry and its peers.
  void runDueWork();

private:
  void send(const advice::Dispatch &Dispatch);
  void callPolicy(const std::string &Step, const std::vector<WorkerId> &Workers,
                  std::function<void(scheduler::AdviceReply)> Done);
  void onReply(CallId Id, const scheduler::AdviceReply &Reply);
  void onPeer(const std::string &Bytes);
  void answerPeer(const advice::RequestMessage &Request);

  PeerChannel &Peers_;
  platform::Client &Client_;
  Counters &Counters_;
  OnAdvice DeliverAdvice_;
  advice::Pool Pool_;
};

} // namespace pollenvale::fleet
