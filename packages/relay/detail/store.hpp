/// \file
/// Client of the store that calls it directly where that works, and through
/// another entry where it does not.
#pragma once

#include "relay/detail/messages.hpp"
#include "relay/detail/router.hpp"

#include <list>

namespace pollenvale::relay {

/// What a RelayStore needs of its entry.
struct RelayPorts {
  ledger::Store *DirectStore_ =
      nullptr;       ///< Client that calls the store itself.
  std::string Self_; ///< Peer address of this entry.
  std::function<TimePoint()> Clock_;
  /// Sends a frame to an entry. Returns false if the frame was dropped.
  std::function<bool(const std::string &Address, const std::string &Bytes)>
      Send_;
  /// Records appended to this topic are announced to the other entries.
  std::string AnnouncedTopic_;
  /// Receives stored records of that topic, from this entry or another.
  std::function<void(std::uint32_t Partition,
                     std::vector<ledger::KeyedRecord> Records)>
      OnStored_;
  /// Reports that the connections from and to a peer may be broken.
  std::function<void(const std::string &Address)> OnPeerSuspected_;
};

/// A call that the store refuses is made again through a peer. A call that the
/// store does not answer in time is made through a peer as well if it is
/// idempotent: reads, and appends of which the store or the readers recognise
/// repetitions.
class RelayStore : public ledger::Store {
public:
  explicit RelayStore(RelayPorts Ports) : Ports_(std::move(Ports)) {}

  void append(ledger::AppendCall Call,
              ledger::ReplyHandler<ledger::AppendReply> Done) override;
  void read(ledger::ReadCall Call,
            ledger::ReplyHandler<ledger::ReadReply> Done) override;
  void readNewest(ledger::NewestCall Call,
                  ledger::ReplyHandler<ledger::NewestReply> Done) override;

  /// Whether the fleet is small enough for stored records to be announced.
  bool announcesRecords() const;
  /// Handles a message from another entry.
  void onMessage(Message M);
  /// Ends calls that peers have not answered in time, and makes calls that the
  /// store has not answered through peers. To be called every few tens of
  /// milliseconds.
  void tick();

  Router Router_;
  Counters Counters_;

private:
  /// A call of this entry, in flight directly, through a peer or both.
  struct PendingCall;
  using CallPtr = std::shared_ptr<PendingCall>;

  void startCall(CallPtr Call);
  void callDirectly(const CallPtr &Call);
  /// Returns false if no peer is available.
  bool callThroughPeer(const CallPtr &Call);
  void onDirectReply(const CallPtr &Call, const ReplyMessage &Reply);
  void onPeerReply(const ReplyMessage &Reply);
  /// Passes the reply to the caller, unless the call has ended before.
  void endCall(const CallPtr &Call, const ReplyMessage &Reply);
  /// Announces the records of an append that the store has confirmed, so that
  /// the other entries need not read them.
  void announce(const CallPtr &Call, const ReplyMessage &Reply);
  /// Makes a call for another entry, or refuses it.
  void serve(RequestMessage Request);
  void reply(const RequestMessage &Request, ReplyMessage Reply);
  template <class Handler>
  void callStore(const RequestMessage &Request, Handler Done);

  RelayPorts Ports_;
  std::list<CallPtr> DirectCalls_;      ///< In flight to the store.
  std::map<CallId, CallPtr> PeerCalls_; ///< In flight to a peer.
  CallId NextId_ = firstCallId();
  std::size_t ServedCalls_ = 0; ///< Number of calls in flight for others.
};

} // namespace pollenvale::relay
