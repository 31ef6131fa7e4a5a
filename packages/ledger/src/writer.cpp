#include "ledger/ledger.hpp"

namespace pollenvale::ledger {

namespace {

constexpr Milliseconds RepeatInterval{200};

AppendCall makeCall(const Writer &W) {
  AppendCall Call;
  Call.To_ = W.To_;
  Call.Records_ = W.Records_;
  Call.Fence_ = W.Fence_;
  return Call;
}

} // namespace

std::string_view toString(StoreStatus Status) {
  static constexpr std::string_view Names[] = {
      "done",   "not-done",        "unknown",  "moved",
      "fenced", "out-of-sequence", "forgotten"};
  return Names[std::size_t(Status)];
}

AppendCall beginWrite(Writer &W, std::vector<KeyedRecord> Records) {
  W.Records_ = std::move(Records);
  return makeCall(W);
}

WriteOutcome onAppended(Writer &W, const AppendReply &Reply, TimePoint Now) {
  switch (Reply.Status_) {
  case StoreStatus::Done:
    ++W.Fence_.Sequence_;
    return WriteOutcome::Stored;
  case StoreStatus::Fenced:
    return WriteOutcome::Fenced;
  case StoreStatus::OutOfSequence:
    // A higher number than sent means that the append was stored.
    W.Fence_.Sequence_ = Reply.ExpectedSequence_;
    return WriteOutcome::NotStored;
  case StoreStatus::NotDone:
    return WriteOutcome::NotStored;
  default:
    // It may be stored: only the same records under the same number may follow.
    W.RepeatAt_ = Now + RepeatInterval;
    return WriteOutcome::Open;
  }
}

std::optional<AppendCall> repeatWrite(Writer &W, TimePoint Now) {
  if (!W.RepeatAt_ || Now < *W.RepeatAt_)
    return std::nullopt;
  W.RepeatAt_.reset();
  return makeCall(W);
}

} // namespace pollenvale::ledger
