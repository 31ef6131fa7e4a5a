/// \file
/// Logs as JSON lines and metrics in the text exposition format.
#pragma once

#include "base/base.hpp"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace pollenvale::observe {

enum class Level { Debug, Info, Warning, Error };

/// Sets up JSON lines on standard output. \p LevelName: debug, info, warning or
/// error.
void startLogging(const std::string &Node, const std::string &LevelName);
/// True when lines of this level are written.
bool isLogged(Level L);
/// One line with time, node, level, event and \p Fields. Thread-safe.
void log(Level L, const std::string &Event,
         const nlohmann::json &Fields = nlohmann::json::object());

/// Keeps lines of one event from flooding the log.
class LineLimit {
public:
  /// At most \p PerSecond lines of each event a second.
  explicit LineLimit(unsigned PerSecond) : PerSecond_(PerSecond) {}
  /// Empty when a line of \p Event is to be left out; otherwise how many were
  /// left out since the last one.
  std::optional<std::uint64_t> admit(const std::string &Event, TimePoint Now);

private:
  struct Window {
    TimePoint Since_{};
    unsigned Lines_ = 0;
    std::uint64_t LeftOut_ = 0;
  };
  unsigned PerSecond_;
  std::map<std::string, Window> Windows_;
};

/// Distribution of times, logarithmic from 0.1 ms to 1000 s.
class Histogram {
public:
  Histogram();
  ~Histogram();
  Histogram(const Histogram &) = delete;
  Histogram &operator=(const Histogram &) = delete;
  void add(Milliseconds Time);
  /// Upper edge of the bin that holds the quantile; 0 when empty.
  double quantileMs(double Q) const;
  std::string expose(const std::string &Name) const;

private:
  struct Data;
  std::unique_ptr<Data> Data_;
};

/// "pollenvale_events_total{event=...} n" lines.
std::string expose(const Counters &C);

} // namespace pollenvale::observe
