/// What an owner may conclude from calls that were not answered. An owner that
/// is late, paused or cut off, or that waited for too short a time, has learnt
/// nothing about the worker.
#include "scheduler/detail/tasks.hpp"

#include <algorithm>

namespace pollenvale::scheduler::detail {

namespace {

/// Half of the limit of the calls that count: an owner whose turns are further
/// apart may have sent one too late.
constexpr Milliseconds LongestPause{500};
/// An owner whose turns are further apart reads answers late.
constexpr Milliseconds LateTurn{60};
constexpr Milliseconds LateTime{1'000};
/// How long a worker that the registry names must leave calls unanswered, after
/// its leases are over, until its tasks start elsewhere.
constexpr Milliseconds SilenceLimit{3'000};
/// How long a worker must be missing from the registry until it counts as gone
/// whatever its calls show: entries come back by then if it lives.
constexpr Milliseconds GoneAfter{2'000};
/// A single answer may get lost.
constexpr unsigned SilentCallsNeeded = 2;
/// Limit of a renewal once one got no answer: a slow answer is worth more than
/// an early repetition.
constexpr Milliseconds SilentTimeout{1'000};
/// Limit of the renewals after that.
constexpr Milliseconds LastTimeout{2'000};
constexpr Milliseconds SpanningTimeout{350};

/// When the last lease on the worker is over, whoever gave it.
TimePoint leasesEnd(const State &S, const Worker &W) {
  return S.Unaccounted_.count(W.Info_.Id_)
             ? std::max(W.LeaseEndsAt_, S.Options_.InheritedLeasesEndAt_)
             : W.LeaseEndsAt_;
}

} // namespace

void noteTurn(State &S, TimePoint Now) {
  Milliseconds Gap =
      S.LastTick_ == TimePoint{} ? Milliseconds(0) : elapsed(S.LastTick_, Now);
  S.LastTick_ = Now;
  if (Gap > LateTurn) {
    S.LateUntil_ = Now + LateTime;
    count(S.Counters_, "turn-late");
  }
  if (Gap > LongestPause)
    S.PausedAt_ = Now;
}

bool isLate(const State &S, TimePoint Now) {
  return Now < S.LateUntil_ || Now - S.LastTick_ > LateTurn;
}

bool wasAttentive(const State &S, TimePoint Since, TimePoint Now) {
  return S.PausedAt_ < Since && Now - S.LastTick_ <= LongestPause;
}

void noteUnanswered(State &S, Worker &W, TimePoint SentAt, TimePoint Now) {
  ++W.Misses_;
  bool Conclusive = SentAt >= leasesEnd(S, W) && wasAttentive(S, SentAt, Now);
  if (!Conclusive || S.PausedAt_ >= W.SilentSince_)
    W.SilentCalls_ = 0;
  if (!Conclusive)
    return;
  if (W.SilentCalls_++ == 0)
    W.SilentSince_ = SentAt;
}

void noteAnswered(Worker &W) {
  W.Misses_ = 0;
  W.SilentCalls_ = 0;
}

Milliseconds retryTimeout(const State &S, const Worker &W, TimePoint Now) {
  Milliseconds Left = elapsed(Now, leasesEnd(S, W));
  // A call that spans the end of the leases shows nothing.
  bool SpansEnd = Left.count() > 0 && Left < SilentTimeout;
  if (SpansEnd)
    return SpanningTimeout;
  return W.SilentCalls_ > 0 ? LastTimeout : SilentTimeout;
}

bool mostAnswer(State &S, TimePoint Now) {
  std::size_t Listed = 0, Answering = 0;
  for (const auto &[Id, W] : S.Workers_) {
    Listed += W.Listed_;
    Answering += W.Listed_ && W.Known_ && W.Misses_ == 0;
  }
  bool Most = Answering * 2 >= Listed;
  // What was missed meanwhile shows nothing about a single worker either.
  if (!Most)
    S.PausedAt_ = Now;
  return Most;
}

bool isSilent(const State &S, const Worker &W, bool OthersAnswer,
              TimePoint Now) {
  bool Gone = !W.Listed_ && Now - W.UnlistedAt_ >= GoneAfter;
  if (Gone && W.Misses_ > 0)
    return true;
  if (W.SilentCalls_ == 0 || !wasAttentive(S, W.SilentSince_, Now))
    return false;
  return !W.Listed_ || (OthersAnswer && W.SilentCalls_ >= SilentCallsNeeded &&
                        Now - W.SilentSince_ >= SilenceLimit);
}

} // namespace pollenvale::scheduler::detail
