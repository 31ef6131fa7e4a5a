/// \file
/// The version in force and the verdicts on recent changes.
#pragma once

#include "config/detail/document.hpp"
#include "eventlog/eventlog.hpp"

#include <deque>
#include <optional>

namespace pollenvale::config {

inline constexpr std::size_t KeptVerdicts = 1'000;

struct Verdict {
  bool Accepted_ = false;
  Offset Version_ = 0; ///< Accepted: the new version. Refused: what it lost to.
  std::string Reason_;
};

struct State {
  /// Offset of the accepted record in force; 0 before the first one.
  Offset Version_ = 0;
  /// False while the part of the log that would tell is out of reach.
  bool VersionKnown_ = false;
  nlohmann::json Json_;
  Document Doc_;
  /// Changes read before the version they build on is known.
  std::vector<std::pair<Offset, eventlog::ConfigRecord>> Undecided_;
  std::map<std::string, Verdict> Verdicts_;
  std::deque<std::string> VerdictOrder_;
};

/// The log is read from its very first record, so nothing is in force yet.
void startFromEmpty(State &S);
/// Applies a change at its place. Pure in (state, offset, record).
/// Returns the verdict, or nothing while it can't be told yet.
std::optional<Verdict> apply(State &S, Offset At,
                             const eventlog::ConfigRecord &R);
void apply(State &S, const eventlog::ConfigSnapshot &R);
/// Takes a higher version from a peer; a lower one is ignored.
bool adopt(State &S, Offset Version, const nlohmann::json &Doc);

} // namespace pollenvale::config
