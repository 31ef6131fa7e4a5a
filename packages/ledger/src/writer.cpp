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

/// Whether \p Reply accounts for as many records as the write has. The store
/// answers a number that it knows as it did before, whatever records came.
bool isAnswerTo(const Writer &W, const AppendReply &Reply) {
  return Reply.End_ == Reply.First_ + W.Records_.size();
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
  std::uint64_t &Number = W.Fence_.Sequence_;
  switch (Reply.Status_) {
  case StoreStatus::Done:
    ++Number;
    return isAnswerTo(W, Reply) ? WriteOutcome::Stored
                                : WriteOutcome::NotStored;
  case StoreStatus::Fenced:
    return WriteOutcome::Fenced;
  case StoreStatus::OutOfSequence:
    if (Reply.ExpectedSequence_ > Number) {
      // An earlier sending of this write was stored, if nothing followed it.
      bool Stored = Reply.ExpectedSequence_ == Number + 1;
      Number = Reply.ExpectedSequence_;
      return Stored ? WriteOutcome::Stored : WriteOutcome::NotStored;
    }
    break;
  default:
    break;
  }
  // A refusal says nothing of earlier sendings: until the store has settled a
  // number, only the same records may go out under it.
  W.RepeatAt_ = Now + RepeatInterval;
  return WriteOutcome::Open;
}

std::optional<AppendCall> repeatWrite(Writer &W, TimePoint Now) {
  if (!W.RepeatAt_ || Now < *W.RepeatAt_)
    return std::nullopt;
  W.RepeatAt_.reset();
  return makeCall(W);
}

} // namespace pollenvale::ledger
