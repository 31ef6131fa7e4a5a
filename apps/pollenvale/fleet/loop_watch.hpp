/// \file
/// How late the event loop runs, and what its HTTP client was doing.
#pragma once

#include "base/base.hpp"
#include "http/http.hpp"
#include "observe/observe.hpp"

namespace pollenvale::fleet {

class LoopWatch {
public:
  /// \p Interval: time between two ticks of a loop that keeps up. \p Http must
  /// outlive the watch.
  LoopWatch(Milliseconds Interval, const http::Client &Http)
      : Interval_(Interval), Http_(Http) {}

  /// Call at the beginning of each tick. Writes a line at most once a second
  /// while the loop is late.
  void onTick(TimePoint Now);
  void addCounters(Counters &All) const;
  std::string expose() const;

private:
  void report(Milliseconds Lag, TimePoint Now);

  Milliseconds Interval_;
  const http::Client &Http_;
  observe::Histogram Lag_;
  std::optional<TimePoint> LastTick_;
  TimePoint ReportedAt_{};
  Milliseconds Worst_{0};    ///< Since the last line.
  unsigned LateTicks_ = 0;   ///< Since the last line.
  http::ClientStats Before_; ///< As of the last line.
};

} // namespace pollenvale::fleet
