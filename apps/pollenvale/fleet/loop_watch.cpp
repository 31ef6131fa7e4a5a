#include "fleet/loop_watch.hpp"

namespace pollenvale::fleet {

namespace {

/// Ticks with less lag are not reported.
constexpr Milliseconds ReportedLag{100};
constexpr Milliseconds ReportInterval{1'000};

} // namespace

void LoopWatch::onTick(TimePoint Now) {
  std::optional<TimePoint> Previous = std::exchange(LastTick_, Now);
  if (!Previous)
    return;
  Milliseconds Lag =
      std::max(Milliseconds(0), elapsed(*Previous, Now) - Interval_);
  Lag_.add(Lag);
  if (Lag < ReportedLag)
    return;
  WorstLag_ = std::max(WorstLag_, Lag);
  ++LateTicks_;
  if (Now - ReportedAt_ >= ReportInterval)
    report(Lag, Now);
}

void LoopWatch::report(Milliseconds Lag, TimePoint Now) {
  http::ClientStats Stats = Http_.stats();
  observe::log(
      observe::Level::Warning, "loop-late",
      {{"lag_ms", Lag.count()},
       {"worst_ms", WorstLag_.count()},
       {"late_ticks", LateTicks_},
       {"calls", Stats.InFlight_},
       {"not_sent", Stats.NotSent_ - ReportedStats_.NotSent_},
       {"timeouts", Stats.Timeouts_ - ReportedStats_.Timeouts_},
       {"connections", Stats.Connections_ - ReportedStats_.Connections_},
       {"answers_unread", Stats.Unread_ - ReportedStats_.Unread_}});
  ReportedAt_ = Now;
  WorstLag_ = Milliseconds(0);
  LateTicks_ = 0;
  ReportedStats_ = Stats;
}

void LoopWatch::addCounters(Counters &All) const {
  http::ClientStats Stats = Http_.stats();
  All["call-not-sent"] = Stats.NotSent_;
  All["answer-unread"] = Stats.Unread_;
}

std::string LoopWatch::expose() const {
  return Lag_.expose("pollenvale_loop_lag_seconds");
}

} // namespace pollenvale::fleet
