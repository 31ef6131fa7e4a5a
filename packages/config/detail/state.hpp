/// \file
/// The configuration in force and the verdicts on recent changes.
#pragma once

#include "config/detail/document.hpp"
#include "eventlog/eventlog.hpp"

#include <deque>
#include <optional>

namespace pollenvale::config {

/// Verdicts kept for the callers that published the changes.
inline constexpr std::size_t MaxVerdicts = 1'000;

/// Whether a change was accepted.
struct Verdict {
  bool Accepted_ = false;
  Offset Version_ = 0; ///< In force after the decision.
  std::string Reason_; ///< Why it was refused; empty if accepted.
};

/// Configuration as far as this node has read the log.
struct State {
  /// Offset of the accepted record in force; 0 before the first one.
  Offset Version_ = 0;
  /// False until the version in force was read from the log or a peer: the
  /// record that set it may be older than the first one read.
  bool VersionKnown_ = false;
  nlohmann::json Json_; ///< The document in force, as published.
  Document Doc_;
  /// Changes read while the version in force is unknown.
  std::vector<std::pair<Offset, eventlog::ConfigRecord>> UndecidedChanges_;
  std::map<std::string, Verdict> Verdicts_; ///< By id of the change.
  std::deque<std::string> VerdictOrder_;    ///< Ids, oldest first.
};

/// To be called if the log is read from its first record: no configuration is
/// in force yet.
void startFromEmpty(State &State);
/// Decides the change at offset \p At. The verdict depends on the state, the
/// offset and the record only, so that all nodes agree. Returns nothing if the
/// version in force is unknown, or newer than \p At.
std::optional<Verdict> apply(State &State, Offset At,
                             const eventlog::ConfigRecord &Change);
/// Adopts the snapshot's version if it is newer.
void apply(State &State, const eventlog::ConfigSnapshot &Snapshot);
/// Puts \p Version in force. Returns false if it is not newer than the known
/// one or \p Doc is invalid.
bool adopt(State &State, Offset Version, const nlohmann::json &Doc);

} // namespace pollenvale::config
