/// \file
/// The store as an entry sees it: its own calls where they work, calls of
/// another entry where they don't.
#pragma once

#include "relay/detail/messages.hpp"
#include "relay/detail/router.hpp"

#include <list>

namespace pollenvale::relay {

struct RelayPorts {
  ledger::Store *Direct_ = nullptr;
  std::string Self_; ///< Peer address of this entry.
  std::function<TimePoint()> Clock_;
  /// False when the frame was dropped.
  std::function<bool(const std::string &Address, const std::string &Bytes)>
      Send_;
  /// Appends to this topic are announced to the other entries.
  std::string AnnouncedTopic_;
  /// Stored records of that topic, of this entry or another.
  std::function<void(std::uint32_t Partition,
                     std::vector<ledger::KeyedRecord> Records)>
      OnStored_;
  /// The connections from and to a peer may be dead.
  std::function<void(const std::string &Address)> Suspect_;
};

/// A call that the store has refused is made again by a peer. One that the
/// store keeps waiting is made again beside it where that is harmless: reads,
/// and appends that the store or the readers recognise as repeats.
class RelayStore : public ledger::Store {
public:
  explicit RelayStore(RelayPorts Ports) : Ports_(std::move(Ports)) {}

  void append(ledger::AppendCall Call,
              ledger::Done<ledger::AppendReply> Done) override;
  void read(ledger::ReadCall Call,
            ledger::Done<ledger::ReadReply> Done) override;
  void newest(ledger::NewestCall Call,
              ledger::Done<ledger::NewestReply> Done) override;

  /// Whether records are announced in a fleet of this size.
  bool announces() const;
  /// A frame of another entry.
  void onMessage(Message M);
  /// Gives up what peers don't answer and passes on what the store keeps
  /// waiting. To be called every few tens of milliseconds.
  void tick();

  Router Router_;
  Counters Counters_;

private:
  /// One call of this entry, on its way directly, through a peer or both.
  struct Call;
  using CallPtr = std::shared_ptr<Call>;

  void begin(CallPtr C);
  void goDirect(const CallPtr &C);
  /// False when no peer can be asked.
  bool askPeer(const CallPtr &C);
  void onDirect(const CallPtr &C, const ReplyMessage &Reply);
  void onReply(const ReplyMessage &M);
  void conclude(const CallPtr &C, const ReplyMessage &Reply);
  /// Passes on what an append has stored, so that the others need not read it.
  void announce(const CallPtr &C, const ReplyMessage &Reply);
  void serve(RequestMessage M);
  void reply(const RequestMessage &Asked, ReplyMessage M);
  template <class Handle> void callDirect(const RequestMessage &M, Handle Done);

  RelayPorts Ports_;
  std::list<CallPtr> Direct_;         ///< Waiting for the store's answer.
  std::map<CallId, CallPtr> AtPeers_; ///< Waiting for a peer's answer.
  CallId NextId_ = firstCallId();
  std::size_t Serving_ = 0; ///< Calls in flight for other entries.
};

} // namespace pollenvale::relay
