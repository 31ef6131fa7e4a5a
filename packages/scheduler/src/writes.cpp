#include "scheduler/detail/tasks.hpp"
#include "scheduler/scheduler.hpp"

namespace pollenvale::scheduler {

namespace detail {

namespace {

/// Writes are spaced so that several ends share one.
constexpr Milliseconds WriteInterval{15};
/// A write that was refused is tried again after this time.
constexpr Milliseconds WriteRetryInterval{200};
constexpr std::size_t MaxRecordsPerWrite = 200;
/// Half of what the store takes in one call; one record may lie across it.
constexpr std::size_t MaxBytesPerWrite = 1'000'000;

std::size_t bytesOf(const ledger::KeyedRecord &R) {
  return R.Key_.size() + R.Value_.size();
}

void acknowledge(State &S, const PendingAck &Ack, TimePoint Now) {
  auto It = S.Workers_.find(Ack.Worker_);
  if (It == S.Workers_.end() || It->second.Incarnation_ != Ack.Incarnation_)
    return;
  Worker &W = It->second;
  W.StoredEnd_ = std::max(W.StoredEnd_, Ack.End_);
  if (W.SeenEnd_ == W.StoredEnd_ && W.Misses_ == 0)
    W.RenewDueAt_ = Now;
}

std::vector<PendingAck> collectAcks(const State &S) {
  std::vector<PendingAck> Out;
  for (const auto &[Id, W] : S.Workers_)
    if (W.SeenEnd_ > W.StoredEnd_)
      Out.push_back({Id, W.Incarnation_, W.SeenEnd_});
  return Out;
}

bool hasRuns(const Job &J) {
  for (const auto &[Number, O] : J.Open_)
    for (const Step &P : O.Steps_)
      if (P.RunCount_ > 0)
        return true;
  return false;
}

/// Progress of changed jobs, as much as one write takes.
void addProgress(State &S, WriteCall &Call) {
  std::size_t Bytes = 0;
  for (const ledger::KeyedRecord &R : Call.Records_)
    Bytes += bytesOf(R);
  while (!S.Dirty_.empty() && Call.Records_.size() < MaxRecordsPerWrite &&
         Bytes < MaxBytesPerWrite) {
    JobId Id = *S.Dirty_.begin();
    S.Dirty_.erase(S.Dirty_.begin());
    Job &J = S.Jobs_.at(Id);
    J.Dirty_ = false;
    Call.Records_.push_back(ledger::makeProgress(Id, makeProgress(J)));
    Bytes += bytesOf(Call.Records_.back());
  }
}

/// Closed jobs that callers need not be told about any longer.
void findExpired(State &S, TimePoint Now) {
  constexpr Milliseconds Interval{5'000};
  if (Now < S.ExpiryDueAt_)
    return;
  S.ExpiryDueAt_ = Now + Interval;
  for (const auto &[Id, J] : S.Jobs_)
    if (workflow::isClosed(J.State_) && !J.Dirty_ && !hasRuns(J) &&
        Now - J.ClosedAt_ > S.Options_.KeepClosed_)
      S.Expired_.insert(Id);
}

void addRemovals(State &S, PendingWrite &Pending, WriteCall &Call) {
  while (!S.Expired_.empty() && Call.Records_.size() < MaxRecordsPerWrite) {
    JobId Id = *S.Expired_.begin();
    S.Expired_.erase(S.Expired_.begin());
    for (ledger::KeyedRecord &R : ledger::makeRemoval(Id))
      Call.Records_.push_back(std::move(R));
    Pending.Removed_.push_back(Id);
  }
}

ledger::KeyedRecord rosterRecord(const State &S) {
  std::set<WorkerId> All = S.Unaccounted_;
  for (const auto &[Id, W] : S.Workers_)
    if (!W.Released_)
      All.insert(Id);
  return ledger::makeRoster(
      S.Options_.Slice_,
      {{All.begin(), All.end()}, S.Options_.Token_, !S.InheritanceOpen_});
}

} // namespace

void planWrites(State &S, TimePoint Now, Outbox &Out) {
  if (S.Writing_ || Now < S.WriteNotBefore_)
    return;
  PendingWrite Pending{S.NextWrite_};
  WriteCall Call{S.NextWrite_};
  if (S.RosterDirty_) {
    S.RosterDirty_ = false;
    Call.Records_.push_back(rosterRecord(S));
    for (const auto &[Id, W] : S.Workers_)
      if (!W.Released_)
        Pending.Roster_.push_back(Id);
    Pending.HasRoster_ = true;
  }
  addProgress(S, Call);
  findExpired(S, Now);
  addRemovals(S, Pending, Call);
  // Ends count as stored once everything that they changed is.
  if (S.AcksDirty_ && S.Dirty_.empty()) {
    S.AcksDirty_ = false;
    Pending.Acks_ = collectAcks(S);
  }
  if (Call.Records_.empty()) {
    for (const PendingAck &Ack : Pending.Acks_)
      acknowledge(S, Ack, Now);
    return;
  }
  ++S.NextWrite_;
  S.Writing_ = std::move(Pending);
  Out.Writes_.push_back(std::move(Call));
}

} // namespace detail

void onWrite(State &S, std::uint64_t Id, bool Stored, TimePoint Now) {
  if (!S.Writing_ || S.Writing_->Id_ != Id)
    return;
  PendingWrite Pending = std::move(*S.Writing_);
  S.Writing_.reset();
  if (!Stored) {
    // Everything is written anew, from the state as it is then.
    count(S.Counters_, "write-refused");
    S.WriteNotBefore_ = Now + detail::WriteRetryInterval;
    S.RosterDirty_ = S.RosterDirty_ || Pending.HasRoster_;
    S.AcksDirty_ = true;
    for (auto &[JobName, J] : S.Jobs_)
      if (!workflow::isClosed(J.State_) ||
          J.ClosedAt_ + Milliseconds(60'000) > Now)
        detail::markDirty(S, J);
    return;
  }
  S.WriteNotBefore_ = Now + detail::WriteInterval;
  for (const JobId &Job : Pending.Removed_)
    S.Jobs_.erase(Job);
  for (const WorkerId &W : Pending.Roster_) {
    auto It = S.Workers_.find(W);
    if (It == S.Workers_.end() || It->second.Rostered_ || It->second.Released_)
      continue;
    It->second.Rostered_ = true;
    It->second.RenewDueAt_ = Now;
  }
  for (const PendingAck &Ack : Pending.Acks_)
    detail::acknowledge(S, Ack, Now);
}

} // namespace pollenvale::scheduler
