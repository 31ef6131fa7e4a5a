/// \file
/// Entry side: admits callers' requests, dispatches them to instances and
/// answers each exactly once.
#pragma once

#include "config/config.hpp"
#include "requests/detail/queue.hpp"
#include "requests/detail/slots.hpp"

namespace pollenvale::requests {

/// Time to the deadline of a request that names none.
inline constexpr Milliseconds DefaultDeadline{30'000};
inline constexpr Milliseconds MaxDeadline{600'000};
/// Time between two requests for the slots of a service.
inline constexpr Milliseconds SlotRequestInterval{200};
/// A request is refused if its estimated answer time exceeds this share of the
/// time to its deadline. The rest is a margin for estimates that are too low.
inline constexpr double MaxDeadlineShare = 0.75;
/// A newly queued request triggers a slot request immediately while at most
/// this many slots are needed; for a longer queue tick() does.
inline constexpr std::size_t MaxImmediateSlotRequest = 64;
/// A slot that is idle for this long is returned to its holder.
inline constexpr Milliseconds IdleSlotTimeout{200};

/// A slot granted to this entry.
struct HeldSlot {
  ServiceName Service_;
  std::string Instance_; ///< Attempt id of the service task.
  std::string Address_;
  std::string Dc_;
  WorkerId Worker_;
  NodeId Holder_; ///< Node that granted the slot.
  std::uint64_t Grant_ = 0;
  TimePoint ExpiresAt_{}; ///< No dispatch from then on.
  TimePoint IdleSince_{};
  bool Busy_ = false;   ///< A call is in flight on it.
  bool Scarce_ = false; ///< Returned as soon as it is idle.
};

/// A dispatched request whose reply is pending.
struct InFlightCall {
  std::uint64_t Sequence_ = 0; ///< Of the request.
  std::uint64_t SlotId_ = 0;
  std::string Echo_; ///< Expected in the reply.
  TimePoint SentAt_{};
  bool Long_ = false; ///< Counted in Queue::LongInFlight_.
};

/// Requests and slots of this entry.
struct State {
  std::map<std::uint64_t, Request> Requests_; ///< Unanswered, by sequence.
  std::map<ServiceName, Queue> Queues_;
  std::map<std::uint64_t, HeldSlot> Slots_; ///< By id, local to this entry.
  std::map<CallId, InFlightCall> CallsInFlight_;
  std::map<ServiceName, TimePoint> NextSlotRequest_;
  std::uint64_t LastSequence_ = 0;
  std::uint64_t LastSlot_ = 0;
  CallId LastCall_ = 0;
  Random Random_;
  Counters Counters_;
  /// Times from arrival to first dispatch, and to the answer, since the
  /// metrics were last updated.
  std::vector<Milliseconds> QueueWaits_;
  std::vector<Milliseconds> Latencies_;
};

/// Inputs and output of one event.
struct Context {
  const config::State &Config_;
  const membership::State &Members_;
  const SlotState &Slots_; ///< Of the workers that this node holds.
  NodeId Self_;
  TimePoint Now_;
  peering::Outbox &Out_;
};

/// Queues the request, or answers it with an error.
void onRequest(State &State, Context &Ctx, Request Request);
/// Adds the granted slot and dispatches a queued request on it.
void onGrant(State &State, Context &Ctx, const NodeId &From,
             const SlotGrant &Grant);
/// Answers the caller, or retries the request if the attempt failed.
void onAnswer(State &State, Context &Ctx, const peering::InstanceReply &Reply);
/// Fails queued requests whose deadline expired, requests slots and returns
/// idle ones. O(queued).
void tick(State &State, Context &Ctx);
/// Answers \p Connection with an error and increments the counter named after
/// its kind.
void answerError(Counters &Count, peering::Outbox &Out,
                 std::uint64_t Connection, ErrorKind Kind,
                 const std::string &Message);
/// True if no request is queued or in flight.
bool isIdle(const State &State);

} // namespace pollenvale::requests
