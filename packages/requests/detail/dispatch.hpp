/// \file
/// Entry side: from a caller's request to its one answer.
#pragma once

#include "config/config.hpp"
#include "requests/detail/queue.hpp"
#include "requests/detail/slots.hpp"

namespace pollenvale::requests {

inline constexpr Milliseconds DefaultDeadline{30'000};
inline constexpr Milliseconds MaxDeadline{600'000};
inline constexpr Milliseconds AskInterval{200};
/// Part of the time to its deadline that a request may be expected to take;
/// the rest is for estimates that prove too low.
inline constexpr double AdmitShare = 0.75;
/// Up to this length of the queue an arrival asks for slots at once.
inline constexpr std::size_t AskAtOnce = 64;
/// An unused slot goes back after this time.
inline constexpr Milliseconds IdleSlotTime{200};

struct HeldSlot {
  ServiceName Service_;
  std::string Instance_;
  std::string Address_;
  std::string Dc_;
  WorkerId Worker_;
  NodeId Holder_;
  std::uint64_t Grant_ = 0;
  TimePoint Until_{};
  TimePoint IdleSince_{};
  bool Busy_ = false;
  bool Scarce_ = false;
};

struct InFlight {
  std::uint64_t Sequence_ = 0;
  std::uint64_t Slot_ = 0;
  std::string Echo_;
  TimePoint SentAt_{};
  bool Long_ = false;
};

struct State {
  std::map<std::uint64_t, Request> Requests_;
  std::map<ServiceName, Queue> Queues_;
  std::map<std::uint64_t, HeldSlot> Slots_;
  std::map<CallId, InFlight> InFlight_;
  std::map<ServiceName, TimePoint> NextAsk_;
  std::uint64_t LastSequence_ = 0;
  std::uint64_t LastSlot_ = 0;
  CallId LastCall_ = 0;
  Random Random_;
  Counters Counters_;
  /// Waits from arrival to first dispatch and times to the answer, drained by
  /// observe.
  std::vector<Milliseconds> QueueWaits_;
  std::vector<Milliseconds> Latencies_;
};

struct Context {
  const config::State &Config_;
  const membership::State &Members_;
  const SlotState &Slots_;
  NodeId Self_;
  TimePoint Now_;
  peering::Outbox &Out_;
};

/// Admits or refuses a request. Refusals are answered at once.
void onRequest(State &S, Context &C, Request R);
void onGrant(State &S, Context &C, const NodeId &From, const SlotGrant &G);
void onAnswer(State &S, Context &C, const peering::InstanceReply &R);
/// Ends requests whose deadline passed in the queue, asks for slots, gives
/// unused ones back. O(queued).
void tick(State &S, Context &C);
/// Answers \p Connection with an error; the counter has the kind's name.
void answerError(Counters &Count, peering::Outbox &Out,
                 std::uint64_t Connection, ErrorKind Kind,
                 const std::string &Message);
/// True when no request is queued or in flight.
bool isIdle(const State &S);

} // namespace pollenvale::requests
