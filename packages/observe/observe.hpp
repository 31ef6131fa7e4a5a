/// \file
/// Logging as JSON lines and metrics in the Prometheus text exposition format.
#pragma once

#include "base/base.hpp"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace pollenvale::observe {

/// Severity of a log line, in increasing order.
enum class Level { Debug, Info, Warning, Error };

/// Sets up logging to standard output. \p Node is written in every line.
/// \p LevelName is the lowest level written: debug, info, warning or error; the
/// level stays unchanged (initially info) for any other text. Crashes are
/// reported, too; see reportCrashes().
void startLogging(const std::string &Node, const std::string &LevelName);
/// Whether lines of this level are written.
bool isLogged(Level L);
/// Writes a line with time, node, level, event and \p Fields. A field with one
/// of these names replaces it. Thread-safe.
void log(Level L, const std::string &Event,
         const nlohmann::json &Fields = nlohmann::json::object());

/// Has a signal that ends the process (SIGSEGV, SIGBUS, SIGILL, SIGFPE or
/// SIGABRT) write one line to \p File first: event `crashed` with \p Node, the
/// signal, the address of the fault and the frames of the thread, innermost
/// first, relative to the start of the program. The process still ends by the
/// signal. A signal that has a handler already, as a sanitizer's, keeps it.
void reportCrashes(const std::string &Node, int File);

/// Limits the rate of log lines for each event.
class LineLimit {
public:
  /// Admits at most \p PerSecond lines per event and second.
  explicit LineLimit(unsigned PerSecond) : PerSecond_(PerSecond) {}
  /// Decides about a line of \p Event. Returns nothing if the line must be
  /// suppressed, otherwise the number of lines suppressed since the last
  /// admitted one.
  std::optional<std::uint64_t> admit(const std::string &Event, TimePoint Now);

private:
  /// Lines of one event in the current second.
  struct Window {
    TimePoint Begin_{};
    unsigned Lines_ = 0;
    std::uint64_t Suppressed_ = 0;
  };
  unsigned PerSecond_;
  std::map<std::string, Window> Windows_;
};

/// Histogram of durations with logarithmic bins from 0.1 ms to 1000 s. Shorter
/// durations count in the first bin.
class Histogram {
public:
  Histogram();
  ~Histogram();
  Histogram(const Histogram &) = delete;
  Histogram &operator=(const Histogram &) = delete;
  void add(Milliseconds Time);
  /// Upper edge, in milliseconds, of the bin that contains \p Quantile (0 to
  /// 1); 0 if the histogram is empty.
  double quantileMs(double Quantile) const;
  /// Text exposition as a histogram named \p Name, in seconds. Empty bins are
  /// omitted.
  std::string expose(const std::string &Name) const;

private:
  struct Data;
  std::unique_ptr<Data> Data_;
};

/// Text exposition of \p C: one line pollenvale_events_total{event="..."} for
/// each counter.
std::string expose(const Counters &C);

} // namespace pollenvale::observe
