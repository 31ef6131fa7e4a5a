#include "eventlog/eventlog.hpp"

namespace pollenvale::eventlog {

void append(State &S, Record R, bool Persistent) {
  std::string Key = recordKey(R);
  S.Queue_.push_back({std::move(R), std::move(Key), Persistent, false});
}

std::optional<AppendCall> nextAppend(State &S, TimePoint Now) {
  if (S.Queue_.empty() || !S.InFlight_.empty() || Now < S.NextAppend_)
    return std::nullopt;
  AppendCall Call{++S.LastCall_, {}};
  std::vector<Waiting> &Sent = S.InFlight_[Call.Call_];
  while (!S.Queue_.empty() && Sent.size() < MaxBatch) {
    Call.Records_.push_back(S.Queue_.front().Record_);
    Sent.push_back(std::move(S.Queue_.front()));
    S.Queue_.pop_front();
  }
  return Call;
}

std::optional<ReadCall> nextRead(State &S, TimePoint Now) {
  if (S.Reading_ || Now < S.NextRead_)
    return std::nullopt;
  S.Reading_ = ++S.LastCall_;
  S.ReadIssued_ = Now;
  return ReadCall{*S.Reading_, S.Next_,
                  S.CaughtUp_ ? ReadWait : Milliseconds(0)};
}

std::vector<Record> onAppend(State &S, TimePoint Now, CallId Call,
                             AppendStatus Status) {
  std::vector<Record> GivenUp;
  auto It = S.InFlight_.find(Call);
  if (It == S.InFlight_.end())
    return GivenUp;
  std::vector<Waiting> Sent = std::move(It->second);
  S.InFlight_.erase(It);
  if (Status == AppendStatus::Appended)
    return GivenUp;
  S.NextAppend_ = Now + AppendRetry;
  for (auto W = Sent.rbegin(); W != Sent.rend(); ++W) {
    W->InDoubt_ |= Status == AppendStatus::Lost;
    if (W->InDoubt_ || W->Persistent_)
      S.Queue_.push_front(std::move(*W));
    else
      GivenUp.push_back(std::move(W->Record_));
  }
  return GivenUp;
}

namespace {

/// A record that came back needs no further append. Records in doubt stand at
/// the front of the queue.
void confirm(State &S, const std::string &Key) {
  for (auto It = S.Queue_.begin(); It != S.Queue_.end() && It->InDoubt_; ++It)
    if (It->Key_ == Key) {
      S.Queue_.erase(It);
      return;
    }
}

} // namespace

ReadResult onRead(State &S, TimePoint Now, CallId Call, ReadReply Reply) {
  ReadResult Result;
  if (!S.Reading_ || *S.Reading_ != Call)
    return Result;
  S.Reading_.reset();
  S.Unreachable_ = !Reply.Ok_;
  if (!Reply.Ok_) {
    S.NextRead_ = Now + ReadRetry;
    return Result;
  }
  Result.Gap_ = Reply.Earliest_ > S.Next_ && S.Next_ != 0;
  S.Earliest_ = Reply.Earliest_;
  for (StoredRecord &Entry : Reply.Records_) {
    if (Entry.Offset_ < S.Next_)
      continue;
    if (!S.Queue_.empty() && S.Queue_.front().InDoubt_)
      confirm(S, recordKey(Entry.Record_));
    Result.New_.push_back(std::move(Entry));
  }
  S.Next_ = std::max(S.Next_, Reply.Next_);
  if (Reply.Next_ >= Reply.End_) {
    S.CaughtUp_ = true;
    S.FreshAsOf_ = S.ReadIssued_;
  }
  return Result;
}

} // namespace pollenvale::eventlog
