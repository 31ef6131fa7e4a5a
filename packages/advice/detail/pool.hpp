/// \file
/// Queue of calls to the placement policy and choice of the entry that makes
/// each call.
#pragma once

#include "advice/detail/messages.hpp"

#include <map>

namespace pollenvale::advice {

using scheduler::AdviceCall;

/// What the calls of an entry have shown about it.
enum class Contact {
  Unknown, ///< It has made no call yet.
  Answers, ///< Its last call was answered.
  Silent   ///< Its last call got no answer.
};

/// Load of an entry that calls the policy on behalf of this one.
struct EntryLoad {
  Milliseconds Backlog_{0};  ///< Expected duration of the calls in flight.
  unsigned InFlight_ = 0;    ///< Number of calls in flight.
  TimePoint AvoidedUntil_{}; ///< Gets no calls before this time.
  Contact Contact_ = Contact::Unknown;
};

/// A call that is queued or in flight.
struct PendingCall {
  AdviceCall Call_;
  TimePoint QueuedAt_{};
  std::string Entry_; ///< Address of the entry that makes the call; empty while
                      ///< it is queued.
  TimePoint ExpiresAt_{}; ///< Abandoned at this time; set when in flight.
};

/// State of all calls of this entry and of the entries that can make them.
struct Pool {
  std::string Self_; ///< Address of this entry, which makes calls too.
  std::map<std::string, EntryLoad> Entries_; ///< By address.
  std::map<CallId, PendingCall> InFlight_;
  std::vector<PendingCall> Queue_;
  CallId NextId_ = firstCallId();
};

/// A call that the entry at address Entry_ must make now.
struct Dispatch {
  CallId Id_ = 0;
  std::string Entry_;
  AdviceCall Call_;
};

/// \p Self: address of this entry.
Pool makePool(const std::string &Self);
/// Replaces the other entries that can make calls. An entry with calls in
/// flight is kept until a later update.
void setPeers(Pool &Calls, const std::vector<std::string> &Addresses);
void enqueue(Pool &Calls, AdviceCall Call, TimePoint Now);
/// Assigns queued calls to entries with capacity; the most urgent first.
std::vector<Dispatch> dispatch(Pool &Calls, TimePoint Now);
/// Ends a call in flight and returns it; empty if it has expired already.
/// \p Answered: whether the entry delivered an answer of the policy.
std::optional<AdviceCall> finish(Pool &Calls, CallId Id, bool Answered,
                                 TimePoint Now);
/// A call that timed out. Entry_ is empty if the call was still queued.
struct Expired {
  AdviceCall Call_;
  std::string Entry_;
};
/// Removes and returns the calls that have timed out, queued or in flight.
std::vector<Expired> expire(Pool &Calls, TimePoint Now);

} // namespace pollenvale::advice
