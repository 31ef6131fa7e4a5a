#include "config/config.hpp"

namespace pollenvale::config {

namespace {

void put(State &S, Offset Version, const nlohmann::json &Doc, Document Parsed) {
  S.Version_ = Version;
  S.Json_ = Doc;
  S.Doc_ = std::move(Parsed);
  S.VersionKnown_ = true;
}

void remember(State &S, const std::string &Id, const Verdict &V) {
  if (!S.Verdicts_.emplace(Id, V).second)
    return;
  S.VerdictOrder_.push_back(Id);
  if (S.VerdictOrder_.size() > KeptVerdicts) {
    S.Verdicts_.erase(S.VerdictOrder_.front());
    S.VerdictOrder_.pop_front();
  }
}

Verdict decide(State &S, Offset At, const eventlog::ConfigRecord &R) {
  if (R.Base_ != S.Version_)
    return {false, S.Version_,
            "base " + std::to_string(R.Base_) + " lost to version " +
                std::to_string(S.Version_)};
  auto Parsed = parseDocument(R.Doc_);
  if (!Parsed)
    return {false, S.Version_, Parsed.error().Message_};
  put(S, At, R.Doc_, std::move(Parsed.value()));
  return {true, At, ""};
}

/// Judges the changes that were read before their base was known.
void decidePending(State &S) {
  auto Pending = std::move(S.Undecided_);
  S.Undecided_.clear();
  for (const auto &[At, R] : Pending)
    if (At > S.Version_)
      remember(S, R.Id_, decide(S, At, R));
}

} // namespace

void startFromEmpty(State &S) { S.VersionKnown_ = true; }

std::optional<Verdict> apply(State &S, Offset At,
                             const eventlog::ConfigRecord &R) {
  if (!S.VersionKnown_) {
    S.Undecided_.emplace_back(At, R);
    return std::nullopt;
  }
  if (At < S.Version_)
    return std::nullopt; // A peer's version is ahead of this node's tail.
  if (At == S.Version_) {
    Verdict V{true, At, ""};
    remember(S, R.Id_, V);
    return V;
  }
  Verdict V = decide(S, At, R);
  remember(S, R.Id_, V);
  return V;
}

void apply(State &S, const eventlog::ConfigSnapshot &R) {
  adopt(S, R.Version_, R.Doc_);
}

bool adopt(State &S, Offset Version, const nlohmann::json &Doc) {
  if (S.VersionKnown_ && Version <= S.Version_)
    return false;
  auto Parsed = parseDocument(Doc);
  if (!Parsed)
    return false;
  put(S, Version, Doc, std::move(Parsed.value()));
  decidePending(S);
  return true;
}

} // namespace pollenvale::config
