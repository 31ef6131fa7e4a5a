#include "ledger/ledger.hpp"

namespace pollenvale::ledger {

namespace {

/// Pause before a write that is not settled is repeated.
constexpr Milliseconds RepeatInterval{200};

AppendCall makeCall(const Writer &Writer) {
  AppendCall Call;
  Call.Partition_ = Writer.Partition_;
  Call.Records_ = Writer.Records_;
  Call.Fence_ = Writer.Fence_;
  return Call;
}

/// Whether \p Reply accounts for as many records as the write has. The store
/// answers a repeated sequence number with its first answer, even if the
/// records differ.
bool isAnswerTo(const Writer &Writer, const AppendReply &Reply) {
  return Reply.End_ == Reply.First_ + Writer.Records_.size();
}

} // namespace

std::string_view toString(StoreStatus Status) {
  static constexpr std::string_view Names[] = {
      "done",   "not-done",        "unknown",  "moved",
      "fenced", "out-of-sequence", "forgotten"};
  return Names[std::size_t(Status)];
}

AppendCall beginWrite(Writer &Writer, std::vector<KeyedRecord> Records) {
  Writer.Records_ = std::move(Records);
  return makeCall(Writer);
}

WriteOutcome onAppended(Writer &Writer, const AppendReply &Reply,
                        TimePoint Now) {
  std::uint64_t &Number = Writer.Fence_.Sequence_;
  switch (Reply.Status_) {
  case StoreStatus::Done:
    ++Number;
    return isAnswerTo(Writer, Reply) ? WriteOutcome::Stored
                                     : WriteOutcome::NotStored;
  case StoreStatus::Fenced:
    return WriteOutcome::Fenced;
  case StoreStatus::OutOfSequence:
    if (Reply.ExpectedSequence_ > Number) {
      // If the store expects the next number, an earlier call of this write was
      // stored.
      bool Stored = Reply.ExpectedSequence_ == Number + 1;
      Number = Reply.ExpectedSequence_;
      return Stored ? WriteOutcome::Stored : WriteOutcome::NotStored;
    }
    break;
  default:
    break;
  }
  // A refusal does not say whether an earlier call of this write was stored:
  // until the store has settled a number, only the same records may be sent
  // under it.
  Writer.RepeatAt_ = Now + RepeatInterval;
  return WriteOutcome::Pending;
}

std::optional<AppendCall> repeatWrite(Writer &Writer, TimePoint Now) {
  if (!Writer.RepeatAt_ || Now < *Writer.RepeatAt_)
    return std::nullopt;
  Writer.RepeatAt_.reset();
  return makeCall(Writer);
}

} // namespace pollenvale::ledger
