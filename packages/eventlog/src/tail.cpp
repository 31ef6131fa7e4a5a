#include "eventlog/eventlog.hpp"

namespace pollenvale::eventlog {

void append(State &State, Record Record, bool Persistent) {
  std::string Key = recordKey(Record);
  State.Queue_.push_back(
      {std::move(Record), std::move(Key), Persistent, false});
}

std::optional<AppendCall> nextAppend(State &State, TimePoint Now) {
  if (State.Queue_.empty() || !State.InFlight_.empty() ||
      Now < State.NextAppend_)
    return std::nullopt;
  AppendCall Call{++State.LastCall_, {}};
  std::vector<PendingAppend> &Sent = State.InFlight_[Call.Call_];
  while (!State.Queue_.empty() && Sent.size() < MaxBatch) {
    Call.Records_.push_back(State.Queue_.front().Record_);
    Sent.push_back(std::move(State.Queue_.front()));
    State.Queue_.pop_front();
  }
  return Call;
}

std::optional<ReadCall> nextRead(State &State, TimePoint Now) {
  if (State.ReadInFlight_ || Now < State.NextRead_)
    return std::nullopt;
  State.ReadInFlight_ = ++State.LastCall_;
  State.ReadSentAt_ = Now;
  return ReadCall{*State.ReadInFlight_, State.Next_,
                  State.CaughtUp_ ? ReadWait : Milliseconds(0)};
}

std::vector<Record> onAppend(State &State, TimePoint Now, CallId Call,
                             AppendStatus Status) {
  std::vector<Record> Dropped;
  auto It = State.InFlight_.find(Call);
  if (It == State.InFlight_.end())
    return Dropped;
  std::vector<PendingAppend> Sent = std::move(It->second);
  State.InFlight_.erase(It);
  if (Status == AppendStatus::Appended)
    return Dropped;
  State.NextAppend_ = Now + AppendRetry;
  for (auto Append = Sent.rbegin(); Append != Sent.rend(); ++Append) {
    Append->InDoubt_ |= Status == AppendStatus::Lost;
    if (Append->InDoubt_ || Append->Persistent_)
      State.Queue_.push_front(std::move(*Append));
    else
      Dropped.push_back(std::move(Append->Record_));
  }
  return Dropped;
}

namespace {

/// Removes the record with \p Key, which was read back, from the queue. Records
/// in doubt are at the front.
void confirm(State &State, const std::string &Key) {
  for (auto It = State.Queue_.begin(); It != State.Queue_.end() && It->InDoubt_;
       ++It)
    if (It->Key_ == Key) {
      State.Queue_.erase(It);
      return;
    }
}

} // namespace

ReadResult onRead(State &State, TimePoint Now, CallId Call, ReadReply Reply) {
  ReadResult Result;
  if (!State.ReadInFlight_ || *State.ReadInFlight_ != Call)
    return Result;
  State.ReadInFlight_.reset();
  State.Unreachable_ = !Reply.Ok_;
  if (!Reply.Ok_) {
    State.NextRead_ = Now + ReadRetry;
    return Result;
  }
  Result.Gap_ = Reply.Earliest_ > State.Next_ && State.Next_ != 0;
  State.Earliest_ = Reply.Earliest_;
  for (StoredRecord &Record : Reply.Records_) {
    if (Record.Offset_ < State.Next_)
      continue;
    if (!State.Queue_.empty() && State.Queue_.front().InDoubt_)
      confirm(State, recordKey(Record.Record_));
    Result.NewRecords_.push_back(std::move(Record));
  }
  State.Next_ = std::max(State.Next_, Reply.Next_);
  if (Reply.Next_ >= Reply.End_) {
    State.CaughtUp_ = true;
    State.FreshAsOf_ = State.ReadSentAt_;
  }
  return Result;
}

} // namespace pollenvale::eventlog
