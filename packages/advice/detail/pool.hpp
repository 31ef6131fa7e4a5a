/// \file
/// Which entry asks the policy next, and what waits for one.
#pragma once

#include "advice/detail/messages.hpp"

#include <map>

namespace pollenvale::advice {

using scheduler::AdviceCall;

/// An entry that asks the policy for us.
struct EntryLoad {
  Milliseconds Backlog_{0}; ///< Expected time of its calls in flight.
  unsigned InFlight_ = 0;
  TimePoint AvoidedUntil_{};
};

struct PendingCall {
  AdviceCall Call_;
  TimePoint QueuedAt_{};
  std::string Entry_;
  TimePoint ExpiresAt_{};
};

struct Pool {
  std::string Self_; ///< Address of this entry, which is a helper too.
  std::map<std::string, EntryLoad> Entries_;
  std::map<CallId, PendingCall> InFlight_;
  std::vector<PendingCall> Queue_;
  CallId NextId_ = firstCallId();
};

/// A call to make now by the entry at Entry_.
struct Dispatch {
  CallId Id_ = 0;
  std::string Entry_;
  AdviceCall Call_;
};

Pool makePool(const std::string &Self);
/// Replaces the other entries that may be asked.
void setPeers(Pool &Calls, const std::vector<std::string> &Addresses);
void enqueue(Pool &Calls, AdviceCall Call, TimePoint Now);
/// Calls to make now, the most urgent first.
std::vector<Dispatch> dispatch(Pool &Calls, TimePoint Now);
/// The call that \p Id names; empty when it was given up already.
std::optional<AdviceCall> finish(Pool &Calls, CallId Id, bool Answered,
                                 TimePoint Now);
/// A call without an answer in time. Entry_ is empty if none was asked.
struct Expired {
  AdviceCall Call_;
  std::string Entry_;
};
std::vector<Expired> expire(Pool &Calls, TimePoint Now);

} // namespace pollenvale::advice
