/// \file
/// How an entry goes on serving after SIGTERM, and when it ends.
#pragma once

#include "http/http.hpp"
#include "intake/intake.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace pollenvale::fleet {

/// Times since SIGTERM.
struct StopTimes {
  /// The entry serves callers at least until then, so that the balancer notices
  /// that it is not ready.
  Milliseconds Linger_{0};
  /// Calls that still wait are answered then, and no others are begun.
  Milliseconds Refusal_{0};
  /// The entry ends then, unless calls have arrived that it can still answer.
  Milliseconds Limit_{0};
  /// The entry ends then, whatever is in flight, before it is killed.
  Milliseconds End_{0};
};

/// \p Grace: time from SIGTERM to SIGKILL.
inline StopTimes stopTimes(Milliseconds Grace) {
  /// Two missed probes, a second apart, and the time of an answer.
  constexpr Milliseconds BalancerDelay{3'500};
  constexpr Milliseconds KillMargin{700};
  /// A late loop writes its answers in a few turns.
  constexpr Milliseconds AnswerTime{400};
  /// A late loop notices the end, and logs are written.
  constexpr Milliseconds ExitTime{350};
  auto Before = [Grace](Milliseconds Time) {
    return std::max(Milliseconds(0), Grace - Time);
  };
  Milliseconds Limit = Before(KillMargin);
  return {std::min(BalancerDelay, Limit), Before(KillMargin + AnswerTime),
          Limit, Before(ExitTime)};
}

/// What keeps a stopping entry.
struct StopState {
  bool Drained_ = false;  ///< Every call that has arrived is answered.
  bool Released_ = false; ///< The claims are given up.
  /// Calls that a further turn of the loop reads or answers.
  bool Answerable_ = false;
};

/// Whether the entry ends \p Since SIGTERM.
inline bool mayEnd(const StopTimes &T, Milliseconds Since, const StopState &S) {
  if (Since < T.Linger_)
    return false;
  if (S.Drained_ && S.Released_)
    return true;
  return Since >= T.End_ || (Since > T.Limit_ && !S.Answerable_);
}

/// A stop in progress. All arguments must outlive it.
class GracefulStop {
public:
  /// Begins the stop, and logs that. \p Grace: time from SIGTERM to SIGKILL.
  GracefulStop(http::LoopServer &Callers, http::LoopServer &Readiness,
               intake::Intake &Intake, Milliseconds Grace, std::size_t Slices);

  /// Answers what still waits and closes what is idle, when their times have
  /// come. To be called at intervals.
  void proceed();
  /// Whether the process may end. \p Released: the claims are given up.
  bool mayEnd(bool Released) const;
  /// Log fields that tell how the stop went.
  nlohmann::json summary() const;

private:
  Milliseconds elapsedSince() const;

  http::LoopServer &Callers_;
  http::LoopServer &Readiness_;
  intake::Intake &Intake_;
  StopTimes Times_;
  TimePoint Since_{};
  std::uint64_t AnsweredBefore_ = 0; ///< Answers written before the stop.
};

} // namespace pollenvale::fleet
