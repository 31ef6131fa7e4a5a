#include "scheduler/detail/tasks.hpp"
#include "scheduler/scheduler.hpp"

#include <algorithm>

namespace pollenvale::scheduler {

namespace detail {

namespace {

/// Pause between writes, so that several ends share one.
constexpr Milliseconds WriteInterval{15};
/// Pause between a refused write and the next one.
constexpr Milliseconds WriteRetryInterval{200};
constexpr std::size_t MaxRecordsPerWrite = 200;
/// Larger writes delay the appends that other entries make to the partition.
constexpr std::size_t MaxBytesPerWrite = 1'000'000;

/// Bytes of a write at which no further progress is added to it. Leaves room
/// for the largest record.
std::size_t fullWriteBytes(const ledger::StoreLimits &Limits) {
  std::size_t Room =
      Limits.CallBytes_ - std::min(Limits.CallBytes_, Limits.RecordBytes_);
  return std::min(MaxBytesPerWrite, Room);
}

/// Records that ends are stored, and renews at once if none is left to store.
void acknowledge(State &State, const PendingAck &Ack, TimePoint Now) {
  auto It = State.Workers_.find(Ack.Worker_);
  if (It == State.Workers_.end() || It->second.Incarnation_ != Ack.Incarnation_)
    return;
  Worker &W = It->second;
  W.StoredEnd_ = std::max(W.StoredEnd_, Ack.End_);
  if (W.SeenEnd_ == W.StoredEnd_ && W.Misses_ == 0)
    W.RenewDueAt_ = Now;
}

std::vector<PendingAck> collectAcks(const State &State) {
  std::vector<PendingAck> Out;
  for (const auto &[Id, W] : State.Workers_)
    if (W.SeenEnd_ > W.StoredEnd_)
      Out.push_back({Id, W.Incarnation_, W.SeenEnd_});
  return Out;
}

bool hasRuns(const Job &J) {
  for (const auto &[Number, O] : J.Open_)
    for (const Step &Step : O.Steps_)
      if (Step.RunCount_ > 0)
        return true;
  return false;
}

/// Adds the progress of changed jobs, as much as fits into the write.
void addProgress(State &State, WriteCall &Call) {
  std::size_t Bytes = 0;
  for (const ledger::KeyedRecord &R : Call.Records_)
    Bytes += ledger::callBytes(R);
  std::size_t Full = fullWriteBytes(State.Options_.StoreLimits_);
  while (!State.DirtyJobs_.empty() &&
         Call.Records_.size() < MaxRecordsPerWrite &&
         (Bytes < Full || Call.Records_.empty())) {
    JobId Id = *State.DirtyJobs_.begin();
    State.DirtyJobs_.erase(State.DirtyJobs_.begin());
    Job &J = State.Jobs_.at(Id);
    J.Dirty_ = false;
    Call.Records_.push_back(ledger::makeProgress(Id, makeProgress(J)));
    Bytes += ledger::callBytes(Call.Records_.back());
  }
}

/// Finds closed jobs that have been kept long enough.
void findExpiredJobs(State &State, TimePoint Now) {
  constexpr Milliseconds Interval{5'000};
  if (Now < State.NextExpiryCheckAt_)
    return;
  State.NextExpiryCheckAt_ = Now + Interval;
  for (const auto &[Id, J] : State.Jobs_)
    if (workflow::isClosed(J.State_) && !J.Dirty_ && !hasRuns(J) &&
        Now - J.ClosedAt_ > State.Options_.KeepClosed_)
      State.ExpiredJobs_.insert(Id);
}

void addRemovals(State &State, PendingWrite &Pending, WriteCall &Call) {
  while (!State.ExpiredJobs_.empty() &&
         Call.Records_.size() < MaxRecordsPerWrite) {
    JobId Id = *State.ExpiredJobs_.begin();
    State.ExpiredJobs_.erase(State.ExpiredJobs_.begin());
    for (ledger::KeyedRecord &R : ledger::makeRemoval(Id))
      Call.Records_.push_back(std::move(R));
    Pending.Removed_.push_back(Id);
  }
}

ledger::KeyedRecord makeRosterRecord(const State &State) {
  std::set<WorkerId> All = State.UnconfirmedWorkers_;
  for (const auto &[Id, W] : State.Workers_)
    if (!W.Released_)
      All.insert(Id);
  return ledger::makeRoster(State.Options_.Slice_,
                            {{All.begin(), All.end()},
                             State.Options_.Token_,
                             !State.InheritancePending_});
}

} // namespace

void planWrites(State &State, TimePoint Now, Outbox &Out) {
  if (State.PendingWrite_ || Now < State.NextWriteAt_)
    return;
  PendingWrite Pending{State.NextWriteId_};
  WriteCall Call{State.NextWriteId_};
  if (State.RosterDirty_) {
    State.RosterDirty_ = false;
    Call.Records_.push_back(makeRosterRecord(State));
    for (const auto &[Id, W] : State.Workers_)
      if (!W.Released_)
        Pending.Roster_.push_back(Id);
    Pending.HasRoster_ = true;
  }
  addProgress(State, Call);
  findExpiredJobs(State, Now);
  addRemovals(State, Pending, Call);
  // Ends count as stored once all progress that they changed is stored.
  if (State.AcksDirty_ && State.DirtyJobs_.empty()) {
    State.AcksDirty_ = false;
    Pending.Acks_ = collectAcks(State);
  }
  if (Call.Records_.empty()) {
    for (const PendingAck &Ack : Pending.Acks_)
      acknowledge(State, Ack, Now);
    return;
  }
  ++State.NextWriteId_;
  State.PendingWrite_ = std::move(Pending);
  Out.Writes_.push_back(std::move(Call));
}

} // namespace detail

void onWriteReply(State &State, std::uint64_t Id, bool Stored, TimePoint Now) {
  if (!State.PendingWrite_ || State.PendingWrite_->Id_ != Id)
    return;
  PendingWrite Pending = std::move(*State.PendingWrite_);
  State.PendingWrite_.reset();
  if (!Stored) {
    // Write all of it again, with the state at that time.
    count(State.Counters_, "write-refused");
    State.NextWriteAt_ = Now + detail::WriteRetryInterval;
    State.RosterDirty_ = State.RosterDirty_ || Pending.HasRoster_;
    State.AcksDirty_ = true;
    for (auto &[JobName, J] : State.Jobs_)
      if (!workflow::isClosed(J.State_) ||
          J.ClosedAt_ + Milliseconds(60'000) > Now)
        detail::markDirty(State, J);
    return;
  }
  State.NextWriteAt_ = Now + detail::WriteInterval;
  for (const JobId &Job : Pending.Removed_)
    State.Jobs_.erase(Job);
  for (const WorkerId &W : Pending.Roster_) {
    auto It = State.Workers_.find(W);
    if (It == State.Workers_.end() || It->second.Rostered_ ||
        It->second.Released_)
      continue;
    It->second.Rostered_ = true;
    It->second.RenewDueAt_ = Now;
  }
  for (const PendingAck &Ack : Pending.Acks_)
    detail::acknowledge(State, Ack, Now);
}

} // namespace pollenvale::scheduler
