/// \file
/// Which starts an owner sends itself and which other entries send for it.
#pragma once

#include "scheduler/scheduler.hpp"

#include <map>

namespace pollenvale::delegation {

using scheduler::StartCall;

struct Options {
  /// Payload that an owner sends itself at a time: 65 ms at 2 Mbit/s.
  std::size_t MaxDirectBytes_ = 16 * 1024;
  /// How long a peer waits until its copy shows a job.
  Milliseconds CopyWait_{250};
  /// The way to the peer and back.
  Milliseconds AnswerMargin_{150};
  /// A peer without an answer is left alone for this long.
  Milliseconds AvoidTime_{2'000};
};

struct Pending {
  StartCall Call_;
  std::string Peer_;
  TimePoint GiveUpAt_{};
};

struct Pool {
  Options Options_;
  /// Entries that may be asked, and until when they are left alone.
  std::map<std::string, TimePoint> Peers_;
  std::map<CallId, Pending> InFlight_;
  std::size_t DirectBytes_ = 0; ///< Payload of own starts not yet answered.
  CallId NextId_ = firstCallId();
};

void setPeers(Pool &P, const std::vector<std::string> &Addresses);
/// The entry that shall send \p Call; empty when the owner shall. The starts on
/// one worker go to the same peer, which keeps its connection.
std::string choosePeer(const Pool &P, const StartCall &Call, TimePoint Now);
void beginDirect(Pool &P, const StartCall &Call);
void endDirect(Pool &P, const StartCall &Call);
/// Notes that \p Peer sends \p Call.
CallId add(Pool &P, StartCall Call, const std::string &Peer, TimePoint Now);
/// The call that \p Id names; empty when it was given up already.
std::optional<Pending> finish(Pool &P, CallId Id);
/// Calls whose peer did not answer in time: they may have been sent.
std::map<CallId, Pending> expire(Pool &P, TimePoint Now);

} // namespace pollenvale::delegation
