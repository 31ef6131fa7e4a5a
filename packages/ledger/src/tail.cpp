#include "ledger/ledger.hpp"

#include <algorithm>

namespace pollenvale::ledger {

namespace {

constexpr Milliseconds RetryInterval{250};
constexpr Milliseconds ProbeTimeout{600};
/// Delivered records come a little out of order.
constexpr Milliseconds GapPause{30};
constexpr std::size_t MaxAhead = 2'000;
/// Beyond the time that a read may wait and the pause after it.
constexpr Milliseconds StaleMargin{500};

void startOver(Tail &T) {
  T.Loading_ = true;
  T.LoadEnd_.reset();
  T.PageAfter_.clear();
  T.Ahead_.clear();
}

/// Whether \p Reply is about records from the place that was asked for.
bool isFromThere(const Tail &T, const ReadReply &Reply) {
  Offset Least = T.ReadFrom_;
  for (const KeyedRecord &R : Reply.Records_) {
    if (R.Offset_ < Least || R.Offset_ >= Reply.Next_)
      return false;
    Least = R.Offset_ + 1;
  }
  return Reply.Next_ >= T.ReadFrom_ && Reply.End_ >= T.ReadFrom_;
}

/// A record that was delivered before the read was sent lies before its end.
void dropUnstored(Tail &T, Offset End) {
  if (End >= T.KnownEnd_)
    return;
  ++T.Mismatches_;
  T.Ahead_.erase(T.Ahead_.lower_bound(End), T.Ahead_.lower_bound(T.KnownEnd_));
}

} // namespace

TailStep nextStep(const Tail &T, TimePoint Now) {
  if (T.InFlight_ || Now < T.NotBefore_)
    return TailStep::Idle;
  return T.Loading_ ? TailStep::Newest : TailStep::Read;
}

ReadCall nextRead(const Tail &T) {
  ReadCall Call{T.Options_.From_, T.Next_, T.Options_.Wait_};
  if (!T.Reachable_) {
    Call.Wait_ = Milliseconds(0);
    Call.Timeout_ = ProbeTimeout;
  }
  return Call;
}

void onSent(Tail &T, TimePoint Now) {
  T.InFlight_ = true;
  T.SentAt_ = Now;
  T.ReadFrom_ = T.KnownEnd_ = T.Next_;
  if (!T.Ahead_.empty())
    T.KnownEnd_ = T.Ahead_.rbegin()->first + 1;
}

namespace {

/// Key after which the page that follows \p Reply begins.
const std::string &lastKey(const NewestReply &Reply) {
  if (Reply.LastKey_.empty() && !Reply.Records_.empty())
    return Reply.Records_.back().Key_;
  return Reply.LastKey_;
}

} // namespace

bool onNewest(Tail &T, const NewestReply &Reply, TimePoint Now) {
  T.InFlight_ = false;
  // A page that tells no other key to go on after leads nowhere.
  bool Leads = !Reply.More_ ||
               (!lastKey(Reply).empty() && lastKey(Reply) != T.PageAfter_);
  T.Reachable_ = Reply.Status_ == StoreStatus::Done && Leads;
  if (!T.Reachable_) {
    T.NotBefore_ = Now + RetryInterval;
    return false;
  }
  T.AnsweredAt_ = Now;
  // Pages are no snapshot: reading goes on from the end as of the first one.
  if (!T.LoadEnd_)
    T.LoadEnd_ = Reply.End_;
  if (Reply.More_) {
    T.PageAfter_ = lastKey(Reply);
    return false;
  }
  T.Next_ = *T.LoadEnd_;
  T.LoadEnd_.reset();
  T.PageAfter_.clear();
  T.Loading_ = false;
  T.Loaded_ = true;
  return true;
}

void onRead(Tail &T, const ReadReply &Reply, TimePoint Now) {
  T.InFlight_ = false;
  T.Reachable_ = Reply.Status_ == StoreStatus::Done ||
                 Reply.Status_ == StoreStatus::Forgotten;
  if (Reply.Status_ == StoreStatus::Forgotten) {
    startOver(T);
    return;
  }
  if (Reply.Status_ != StoreStatus::Done) {
    T.NotBefore_ = Now + RetryInterval;
    return;
  }
  T.AnsweredAt_ = Now;
  if (!isFromThere(T, Reply)) {
    ++T.Mismatches_;
    startOver(T);
    T.NotBefore_ = Now + RetryInterval;
    return;
  }
  dropUnstored(T, Reply.End_);
  T.Next_ = std::max(T.Next_, Reply.Next_);
  if (T.Next_ >= Reply.End_) {
    T.CurrentAt_ = std::max(T.CurrentAt_, T.SentAt_);
    T.NotBefore_ = Now + T.Options_.Spacing_;
  } else if (Reply.Next_ == T.ReadFrom_) {
    // The store brings nothing of what it tells of.
    T.NotBefore_ = Now + RetryInterval;
  }
}

std::vector<KeyedRecord> takeAhead(Tail &T) {
  std::vector<KeyedRecord> Out;
  T.Ahead_.erase(T.Ahead_.begin(), T.Ahead_.lower_bound(T.Next_));
  while (!T.Ahead_.empty() && T.Ahead_.begin()->first == T.Next_) {
    Out.push_back(std::move(T.Ahead_.begin()->second));
    T.Ahead_.erase(T.Ahead_.begin());
    ++T.Next_;
  }
  return Out;
}

std::vector<KeyedRecord> deliver(Tail &T, std::vector<KeyedRecord> Records,
                                 TimePoint Now) {
  if (T.Loading_)
    return {};
  for (KeyedRecord &R : Records)
    if (R.Offset_ >= T.Next_ && T.Ahead_.size() < MaxAhead)
      T.Ahead_.emplace(R.Offset_, std::move(R));
  std::vector<KeyedRecord> Out = takeAhead(T);
  // What is missing may be on its way, or lost.
  if (!T.Ahead_.empty())
    hurry(T, Now + GapPause);
  return Out;
}

void hurry(Tail &T, TimePoint Now) {
  if (T.Reachable_)
    T.NotBefore_ = std::min(T.NotBefore_, Now);
}

bool isStale(const Tail &T, TimePoint Now) {
  return Now - T.CurrentAt_ >
         T.Options_.Wait_ + T.Options_.Spacing_ + StaleMargin;
}

bool isBehind(const Tail &T, Milliseconds Limit, TimePoint Now) {
  return Now - T.CurrentAt_ > Limit && Now - T.AnsweredAt_ <= Limit;
}

} // namespace pollenvale::ledger
