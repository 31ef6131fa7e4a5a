#include "ledger/ledger.hpp"

#include <algorithm>

namespace pollenvale::ledger {

namespace {

/// Pause after a failed call, and after an answer without progress.
constexpr Milliseconds RetryInterval{250};
/// Timeout of reads while the store is unreachable.
constexpr Milliseconds ProbeTimeout{600};
/// Limit of the silence of the store while it prepares a page, in the first
/// attempt.
constexpr Milliseconds FirstSilenceTimeout{1'000};
/// Delay before missing records are read: delivered records arrive slightly out
/// of order, so that most gaps are filled without a read.
constexpr Milliseconds GapReadDelay{30};
/// Further records are dropped and read later.
constexpr std::size_t MaxBufferedRecords = 2'000;
/// Time added to the longest wait of a read and the spacing of reads.
constexpr Milliseconds StaleMargin{500};

/// Begins a load from the first page on.
void restartLoad(Tail &Tail) {
  Tail.Loading_ = true;
  Tail.LoadEnd_.reset();
  Tail.PageAfterKey_.clear();
  Tail.BufferedRecords_.clear();
}

/// Whether \p Reply continues at the offset of the last read: its records are
/// in order and within its bounds, and the partition has not become shorter.
bool matchesRead(const Tail &Tail, const ReadReply &Reply) {
  Offset MinOffset = Tail.ReadOffset_;
  for (const KeyedRecord &R : Reply.Records_) {
    if (R.Offset_ < MinOffset || R.Offset_ >= Reply.Next_)
      return false;
    MinOffset = R.Offset_ + 1;
  }
  return Reply.Next_ >= Tail.ReadOffset_ && Reply.End_ >= Tail.ReadOffset_;
}

/// Drops the records that were delivered before the read was sent and lie
/// beyond the end of the partition that its answer gives: the store does not
/// hold them.
void dropUnstoredRecords(Tail &Tail, Offset End) {
  if (End >= Tail.KnownEnd_)
    return;
  ++Tail.Mismatches_;
  Tail.BufferedRecords_.erase(
      Tail.BufferedRecords_.lower_bound(End),
      Tail.BufferedRecords_.lower_bound(Tail.KnownEnd_));
}

} // namespace

TailStep nextStep(const Tail &Tail, TimePoint Now) {
  if (Tail.InFlight_ || Now < Tail.NextCallAt_)
    return TailStep::Idle;
  return Tail.Loading_ ? TailStep::Newest : TailStep::Read;
}

NewestCall nextPage(const Tail &Tail) {
  NewestCall Call{Tail.Options_.Partition_, Tail.PageAfterKey_};
  Call.SilenceTimeout_ = FirstSilenceTimeout;
  for (unsigned I = 0;
       I < Tail.FailedPages_ && Call.SilenceTimeout_ < Call.Timeout_; ++I)
    Call.SilenceTimeout_ *= 2;
  return Call;
}

ReadCall nextRead(const Tail &Tail) {
  ReadCall Call{Tail.Options_.Partition_, Tail.Next_, Tail.Options_.Wait_};
  if (!Tail.Reachable_) {
    Call.Wait_ = Milliseconds(0);
    Call.Timeout_ = ProbeTimeout;
  }
  return Call;
}

void onSent(Tail &Tail, TimePoint Now) {
  Tail.InFlight_ = true;
  Tail.SentAt_ = Now;
  Tail.ReadOffset_ = Tail.KnownEnd_ = Tail.Next_;
  if (!Tail.BufferedRecords_.empty())
    Tail.KnownEnd_ = Tail.BufferedRecords_.rbegin()->first + 1;
}

namespace {

/// Last key of the page; empty if the page gives none.
const std::string &lastKey(const NewestReply &Reply) {
  if (Reply.LastKey_.empty() && !Reply.Records_.empty())
    return Reply.Records_.back().Key_;
  return Reply.LastKey_;
}

} // namespace

bool onNewest(Tail &Tail, const NewestReply &Reply, TimePoint Now) {
  Tail.InFlight_ = false;
  // Without a new last key, the next call would return the same page again.
  bool CanContinue = !Reply.More_ || (!lastKey(Reply).empty() &&
                                      lastKey(Reply) != Tail.PageAfterKey_);
  Tail.Reachable_ = Reply.Status_ == StoreStatus::Done && CanContinue;
  Tail.FailedPages_ = Tail.Reachable_ ? 0 : Tail.FailedPages_ + 1;
  if (!Tail.Reachable_) {
    Tail.NextCallAt_ = Now + RetryInterval;
    return false;
  }
  Tail.AnsweredAt_ = Now;
  // Pages are read at different times and are no snapshot: reads continue from
  // the end of the partition as of the first page.
  if (!Tail.LoadEnd_)
    Tail.LoadEnd_ = Reply.End_;
  if (Reply.More_) {
    Tail.PageAfterKey_ = lastKey(Reply);
    return false;
  }
  Tail.Next_ = *Tail.LoadEnd_;
  Tail.LoadEnd_.reset();
  Tail.PageAfterKey_.clear();
  Tail.Loading_ = false;
  Tail.Loaded_ = true;
  return true;
}

void onRead(Tail &Tail, const ReadReply &Reply, TimePoint Now) {
  Tail.InFlight_ = false;
  Tail.Reachable_ = Reply.Status_ == StoreStatus::Done ||
                    Reply.Status_ == StoreStatus::Forgotten;
  if (Reply.Status_ == StoreStatus::Forgotten) {
    restartLoad(Tail);
    return;
  }
  if (Reply.Status_ != StoreStatus::Done) {
    Tail.NextCallAt_ = Now + RetryInterval;
    return;
  }
  Tail.AnsweredAt_ = Now;
  if (!matchesRead(Tail, Reply)) {
    ++Tail.Mismatches_;
    restartLoad(Tail);
    Tail.NextCallAt_ = Now + RetryInterval;
    return;
  }
  dropUnstoredRecords(Tail, Reply.End_);
  Tail.Next_ = std::max(Tail.Next_, Reply.Next_);
  if (Tail.Next_ >= Reply.End_) {
    Tail.CurrentAt_ = std::max(Tail.CurrentAt_, Tail.SentAt_);
    Tail.NextCallAt_ = Now + Tail.Options_.Spacing_;
  } else if (Reply.Next_ == Tail.ReadOffset_) {
    // The partition has more records, but the answer contains none.
    Tail.NextCallAt_ = Now + RetryInterval;
  }
}

std::vector<KeyedRecord> takeBufferedRecords(Tail &Tail) {
  std::vector<KeyedRecord> Out;
  Tail.BufferedRecords_.erase(Tail.BufferedRecords_.begin(),
                              Tail.BufferedRecords_.lower_bound(Tail.Next_));
  while (!Tail.BufferedRecords_.empty() &&
         Tail.BufferedRecords_.begin()->first == Tail.Next_) {
    Out.push_back(std::move(Tail.BufferedRecords_.begin()->second));
    Tail.BufferedRecords_.erase(Tail.BufferedRecords_.begin());
    ++Tail.Next_;
  }
  return Out;
}

std::vector<KeyedRecord> deliver(Tail &Tail, std::vector<KeyedRecord> Records,
                                 TimePoint Now) {
  if (Tail.Loading_)
    return {};
  for (KeyedRecord &R : Records)
    if (R.Offset_ >= Tail.Next_ &&
        Tail.BufferedRecords_.size() < MaxBufferedRecords)
      Tail.BufferedRecords_.emplace(R.Offset_, std::move(R));
  std::vector<KeyedRecord> Out = takeBufferedRecords(Tail);
  // The missing records may still be delivered, or have been lost.
  if (!Tail.BufferedRecords_.empty())
    scheduleReadBy(Tail, Now + GapReadDelay);
  return Out;
}

void scheduleReadBy(Tail &Tail, TimePoint At) {
  if (Tail.Reachable_)
    Tail.NextCallAt_ = std::min(Tail.NextCallAt_, At);
}

bool isStale(const Tail &Tail, TimePoint Now) {
  return Now - Tail.CurrentAt_ >
         Tail.Options_.Wait_ + Tail.Options_.Spacing_ + StaleMargin;
}

bool isBehind(const Tail &Tail, Milliseconds Limit, TimePoint Now) {
  return Now - Tail.CurrentAt_ > Limit && Now - Tail.AnsweredAt_ <= Limit;
}

} // namespace pollenvale::ledger
