/// \file
/// Choice of the starts that an owner sends itself and of the peers that send
/// the others, and the delegated starts without a reply.
#pragma once

#include "scheduler/scheduler.hpp"

#include <map>

namespace pollenvale::delegation {

using scheduler::StartCall;

/// Limits and timeouts.
struct Options {
  /// Limit of the payload in bytes of unanswered direct starts. 16 KiB take 65
  /// ms at 2 Mbit/s.
  std::size_t MaxDirectBytes_ = 16 * 1024;
  /// How long a peer waits for a job to appear in its replica.
  Milliseconds ReplicaWait_{250};
  /// Allowance for the transfer of the request and the reply.
  Milliseconds AnswerMargin_{150};
  /// How long a peer that did not reply in time is not used.
  Milliseconds PeerAvoidTime_{2'000};
};

/// A delegated start without a reply.
struct Pending {
  StartCall Call_;
  std::string Peer_;      ///< Address of the peer.
  TimePoint ExpiresAt_{}; ///< Timeout of the reply.
};

/// A peer that may send starts.
struct Peer {
  std::uint64_t Hash_ = 0;   ///< Of its address.
  TimePoint AvoidedUntil_{}; ///< It is not used before.
};

/// State of the delegation of one owner.
struct Pool {
  Options Options_;
  std::map<std::string, Peer> Peers_; ///< By address.
  std::map<CallId, Pending> InFlight_;
  std::size_t DirectBytes_ = 0; ///< Payload of unanswered direct starts.
  /// Differs between processes, so that a late reply to a start of an earlier
  /// process matches no start.
  CallId NextId_ = firstCallId();
};

/// Replaces the list of peers. Those that stay keep their times of avoidance.
void setPeers(Pool &P, const std::vector<std::string> &Addresses);
/// Address of the peer that should send \p Call; empty if the owner should send
/// it directly. All starts on one worker go to the same peer, so that it can
/// reuse its connection.
std::string choosePeer(const Pool &P, const StartCall &Call, TimePoint Now);
/// Call when the owner sends \p Call itself.
void beginDirectStart(Pool &P, const StartCall &Call);
/// Call when a direct start is answered or times out.
void endDirectStart(Pool &P, const StartCall &Call);
/// Records that \p Call is delegated to \p Peer. Returns the id for its row.
CallId addPending(Pool &P, StartCall Call, const std::string &Peer,
                  TimePoint Now);
/// Removes and returns the start that a reply names; empty if it is unknown or
/// has expired.
std::optional<Pending> takePending(Pool &P, CallId Id);
/// Removes and returns the starts whose peer did not reply in time, and avoids
/// these peers for a while. Such a start may have been sent.
std::map<CallId, Pending> takeExpired(Pool &P, TimePoint Now);

} // namespace pollenvale::delegation
