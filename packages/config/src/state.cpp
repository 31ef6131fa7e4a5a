#include "config/config.hpp"

namespace pollenvale::config {

namespace {

/// Makes the document the configuration in force.
void setInForce(State &State, Offset Version, const nlohmann::json &Doc,
                Document Parsed) {
  State.Version_ = Version;
  State.Json_ = Doc;
  State.Doc_ = std::move(Parsed);
  State.VersionKnown_ = true;
}

/// Keeps the first verdict on a change: a repeated append must not alter it.
void recordVerdict(State &State, const std::string &Id,
                   const Verdict &Verdict) {
  if (!State.Verdicts_.emplace(Id, Verdict).second)
    return;
  State.VerdictOrder_.push_back(Id);
  if (State.VerdictOrder_.size() > MaxVerdicts) {
    State.Verdicts_.erase(State.VerdictOrder_.front());
    State.VerdictOrder_.pop_front();
  }
}

/// Accepts the change if its base is the version in force and it is valid.
Verdict decide(State &State, Offset At, const eventlog::ConfigRecord &Change) {
  if (Change.Base_ != State.Version_)
    return {false, State.Version_,
            "base " + std::to_string(Change.Base_) + " lost to version " +
                std::to_string(State.Version_)};
  auto Parsed = parseDocument(Change.Doc_);
  if (!Parsed)
    return {false, State.Version_, Parsed.error().Message_};
  setInForce(State, At, Change.Doc_, std::move(Parsed.value()));
  return {true, At, ""};
}

/// Decides the changes that were read before the version in force was known.
void decidePendingChanges(State &State) {
  auto Pending = std::move(State.UndecidedChanges_);
  State.UndecidedChanges_.clear();
  for (const auto &[At, Change] : Pending)
    if (At > State.Version_)
      recordVerdict(State, Change.Id_, decide(State, At, Change));
}

} // namespace

void startFromEmpty(State &State) { State.VersionKnown_ = true; }

std::optional<Verdict> apply(State &State, Offset At,
                             const eventlog::ConfigRecord &Change) {
  if (!State.VersionKnown_) {
    State.UndecidedChanges_.emplace_back(At, Change);
    return std::nullopt;
  }
  // A version adopted from a peer may be newer than this record.
  if (At < State.Version_)
    return std::nullopt;
  if (At == State.Version_) {
    Verdict V{true, At, ""};
    recordVerdict(State, Change.Id_, V);
    return V;
  }
  Verdict V = decide(State, At, Change);
  recordVerdict(State, Change.Id_, V);
  return V;
}

void apply(State &State, const eventlog::ConfigSnapshot &Snapshot) {
  adopt(State, Snapshot.Version_, Snapshot.Doc_);
}

bool adopt(State &State, Offset Version, const nlohmann::json &Doc) {
  if (State.VersionKnown_ && Version <= State.Version_)
    return false;
  auto Parsed = parseDocument(Doc);
  if (!Parsed)
    return false;
  setInForce(State, Version, Doc, std::move(Parsed.value()));
  decidePendingChanges(State);
  return true;
}

} // namespace pollenvale::config
