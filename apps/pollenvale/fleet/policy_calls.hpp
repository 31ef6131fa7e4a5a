/// \file
/// Calls to the placement policy: from this entry, and by other entries for it.
#pragma once

#include "advice/advice.hpp"
#include "ownership/ownership.hpp"
#include "peernet/peernet.hpp"
#include "platform/adapter.hpp"

#include <asio/io_context.hpp>

namespace pollenvale::fleet {

using OnAdvice = std::function<void(const scheduler::AdviceCall &,
                                    const scheduler::AdviceReply &)>;

class PolicyCalls {
public:
  PolicyCalls(asio::io_context &Io, platform::Client &Client, Counters &Counts,
              OnAdvice Deliver)
      : Io_(Io), Client_(Client), Counters_(Counts),
        Deliver_(std::move(Deliver)) {}

  /// Listens for other entries on \p Address.
  void open(const std::string &Address);
  void ask(scheduler::AdviceCall Call);
  /// Sends what may be sent now to the entries that \p Claims names.
  void turn(const ownership::State &Claims);

private:
  void send(const advice::Dispatch &D);
  void askPolicy(const std::string &Step, const std::vector<WorkerId> &Workers,
                 std::function<void(scheduler::AdviceReply)> Done);
  void onReply(CallId Id, const scheduler::AdviceReply &Reply);
  void onPeer(const std::string &Bytes);
  void answerPeer(const advice::AskMessage &Ask);

  asio::io_context &Io_;
  platform::Client &Client_;
  Counters &Counters_;
  OnAdvice Deliver_;
  advice::Pool Pool_;
  std::unique_ptr<peernet::PeerSocket> Peers_;
};

} // namespace pollenvale::fleet
