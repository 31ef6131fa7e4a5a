/// \file
/// Runs the same work for several requests.
#pragma once

#include "fleet/clock.hpp"

#include <algorithm>
#include <asio.hpp>
#include <functional>

namespace pollenvale::fleet {

/// How far apart the turns of an owner of \p Workers workers are: replies that
/// arrive meanwhile share a turn, which looks at many of the workers.
inline Milliseconds turnSpacing(std::size_t Workers) {
  constexpr Milliseconds Min{2};
  constexpr Milliseconds Max{5};
  constexpr std::chrono::microseconds PerWorker{6};
  auto ForWorkers = std::chrono::duration_cast<Milliseconds>(
      PerWorker * std::int64_t(Workers));
  return std::clamp(ForWorkers, Min, Max);
}

/// Requests that follow each other closely share one run on the event loop.
class TurnTimer {
public:
  /// \p Spacing: least time from the begin of a run to that of the next one.
  TurnTimer(asio::io_context &Io, Milliseconds Spacing,
            std::function<void()> Run)
      : Timer_(Io), Spacing_(Spacing), Run_(std::move(Run)) {}

  /// Applies from the next request on.
  void setSpacing(Milliseconds Spacing) { Spacing_ = Spacing; }
  /// Has the work run soon, but not within this call.
  void request() {
    if (Requested_)
      return;
    Requested_ = true;
    Milliseconds Wait = elapsed(now(), LastRunAt_ + Spacing_);
    Timer_.expires_after(std::max(Milliseconds(0), Wait));
    Timer_.async_wait([this](std::error_code Err) {
      if (Err)
        return;
      Requested_ = false;
      LastRunAt_ = now();
      Run_();
    });
  }

private:
  asio::steady_timer Timer_;
  Milliseconds Spacing_;
  std::function<void()> Run_;
  bool Requested_ = false;
  TimePoint LastRunAt_{};
};

} // namespace pollenvale::fleet
