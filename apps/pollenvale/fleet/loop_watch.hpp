/// \file
/// Measures the lag of the event loop and logs it with the activity of the HTTP
/// client.
#pragma once

#include "base/base.hpp"
#include "http/http.hpp"
#include "observe/observe.hpp"

namespace pollenvale::fleet {

class LoopWatch {
public:
  /// \p Interval: time between two ticks without lag. \p Http must outlive the
  /// watch.
  LoopWatch(Milliseconds Interval, const http::Client &Http)
      : Interval_(Interval), Http_(Http) {}

  /// To be called at the beginning of each tick. Logs at most once a second
  /// while the loop lags.
  void onTick(TimePoint Now);
  /// Sets the counters of the HTTP client in \p All.
  void addCounters(Counters &All) const;
  /// The lag histogram in the metrics text format.
  std::string expose() const;

private:
  void report(Milliseconds Lag, TimePoint Now);

  Milliseconds Interval_;
  const http::Client &Http_;
  observe::Histogram Lag_;
  std::optional<TimePoint> LastTick_;
  TimePoint ReportedAt_{};
  Milliseconds WorstLag_{0};        ///< Since the last report.
  unsigned LateTicks_ = 0;          ///< Since the last report.
  http::ClientStats ReportedStats_; ///< At the last report.
};

} // namespace pollenvale::fleet
