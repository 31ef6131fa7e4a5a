/// \file
/// Starts of tasks: sent by this entry, by other entries for it, and by it for
/// them.
#pragma once

#include "delegation/delegation.hpp"
#include "fleet/peer_channel.hpp"
#include "intake/intake.hpp"
#include "ownership/ownership.hpp"
#include "platform/adapter.hpp"

namespace pollenvale::fleet {

class StartCalls {
public:
  using Copies = std::map<std::uint32_t, intake::PartitionCopy>;
  using OnReply = std::function<void(scheduler::OrderReply)>;

  StartCalls(PeerChannel &Peers, platform::Client &Client, Copies &Jobs,
             Counters &Counts)
      : Peers_(Peers), Client_(Client), Copies_(Jobs), Counters_(Counts) {}

  /// \p Self: peer address of this entry.
  void open(const std::string &Self);
  /// Starts a task of a job in \p Partition.
  void start(const scheduler::StartCall &Call, std::uint32_t Partition,
             OnReply Done);
  /// Sends what was put together since the last turn, and gives up what was not
  /// answered.
  void turn(const ownership::State &Claims);

private:
  /// A start that another entry wants sent; its job has not been read yet.
  struct Waiting {
    std::string ReplyTo_;
    std::uint32_t Partition_ = 0;
    delegation::StartRow Row_;
    TimePoint GiveUpAt_{};
  };

  void startDirectly(const scheduler::StartCall &Call, OnReply Done);
  void onPeer(const std::string &Bytes);
  void onReply(const delegation::ReplyRow &Row);
  /// False when the copy of the partition lacks the job.
  bool serve(const Waiting &W);
  void serveWaiting();
  void answer(const std::string &To, const delegation::ReplyRow &Row);

  PeerChannel &Peers_;
  platform::Client &Client_;
  Copies &Copies_;
  Counters &Counters_;
  std::string Self_;
  delegation::Pool Pool_;
  std::map<CallId, OnReply> Done_;
  std::map<std::pair<std::string, std::uint32_t>, delegation::RequestMessage>
      Requests_; ///< By peer and partition.
  std::vector<Waiting> Waiting_;
};

} // namespace pollenvale::fleet
