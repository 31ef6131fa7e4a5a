/// \file
/// Starts of tasks on workers: sent directly, delegated to other entries, or
/// sent on behalf of other entries.
#pragma once

#include "delegation/delegation.hpp"
#include "fleet/peer_channel.hpp"
#include "intake/intake.hpp"
#include "platform/adapter.hpp"

namespace pollenvale::fleet {

class StartCalls {
public:
  using PartitionCopies = std::map<std::uint32_t, intake::PartitionCopy>;
  using OnReply = std::function<void(scheduler::OrderReply)>;

  /// \p Copies: copies of the job partitions, by partition.
  StartCalls(PeerChannel &Peers, platform::Client &Client,
             PartitionCopies &Copies, Counters &Counts)
      : Peers_(Peers), Client_(Client), Copies_(Copies), Counters_(Counts) {}

  /// \p Self: peer address of this entry.
  void open(const std::string &Self);
  /// Starts a task of a job in \p Partition, directly or through a peer.
  /// \p Done receives the worker's reply, or an empty one when there was no
  /// answer.
  void start(const scheduler::StartCall &Call, std::uint32_t Partition,
             OnReply Done);
  /// \p Idle: peers that may be asked to send starts.
  void setPeers(const std::vector<std::string> &Idle);
  /// Sends the requests to peers collected since the last call, expires those
  /// without an answer and sends pending starts of peers.
  void runDueWork();

private:
  /// A start delegated by another entry. It is pending until its job has been
  /// read here.
  struct PendingStart {
    std::string ReplyTo_; ///< Peer address of the other entry.
    std::uint32_t Partition_ = 0;
    delegation::StartRow Start_;
    TimePoint ExpiresAt_{};
  };

  void startDirectly(const scheduler::StartCall &Call, OnReply Done);
  void onPeer(const std::string &Bytes);
  void onReply(const delegation::ReplyRow &Row);
  /// Sends the start to its worker. False when the job is not in the copy of
  /// its partition.
  bool trySend(const PendingStart &Pending);
  void sendPending();
  void sendReply(const std::string &To, const delegation::ReplyRow &Row);

  PeerChannel &Peers_;
  platform::Client &Client_;
  PartitionCopies &Copies_;
  Counters &Counters_;
  std::string Self_; ///< Peer address of this entry.
  delegation::Pool Pool_;
  std::map<CallId, OnReply> ReplyHandlers_; ///< Of delegated starts.
  std::map<std::pair<std::string, std::uint32_t>, delegation::RequestMessage>
      Requests_; ///< Not sent yet, by peer and partition.
  std::vector<PendingStart> PendingStarts_;
};

} // namespace pollenvale::fleet
