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
/// How long the ends of a worker without tasks stay unacknowledged: the renewal
/// after its next start acknowledges them, too.
constexpr Milliseconds IdleAckDelay{300};
/// Larger writes delay the appends that other entries make to the partition.
constexpr std::size_t MaxBytesPerWrite = 1'000'000;

/// Bytes of a write at which no further progress is added to it. Leaves room
/// for the largest record.
std::size_t fullWriteBytes(const ledger::StoreLimits &Limits) {
  std::size_t Room =
      Limits.CallBytes_ - std::min(Limits.CallBytes_, Limits.RecordBytes_);
  return std::min(MaxBytesPerWrite, Room);
}

/// Records that ends are stored. If none is left to store, has them
/// acknowledged by a renewal, at once if the worker has tasks that may end.
void acknowledge(State &State, const PendingAck &Ack, TimePoint Now) {
  auto It = State.Workers_.find(Ack.Worker_);
  if (It == State.Workers_.end() ||
      It->second.Known_.StartedUnixMs_ != Ack.Incarnation_)
    return;
  Worker &W = It->second;
  W.Known_.StoredEnd_ = std::max(W.Known_.StoredEnd_, Ack.End_);
  if (W.Known_.SeenEnd_ != W.Known_.StoredEnd_ || W.Misses_ > 0)
    return;
  scheduleRenewal(State, W, W.Tasks_.empty() ? Now + IdleAckDelay : Now);
}

std::vector<PendingAck> collectAcks(const State &State) {
  std::vector<PendingAck> Out;
  for (const auto &[Id, W] : State.Workers_)
    if (W.Known_.SeenEnd_ > W.Known_.StoredEnd_)
      Out.push_back({Id, W.Known_.StartedUnixMs_, W.Known_.SeenEnd_});
  return Out;
}

/// Begins a round with all changes since the last one, so that a job which
/// changes all the time delays no acknowledgement.
void beginRound(State &State) {
  State.Round_.Records_ = std::exchange(State.DirtyProgress_, {});
  if (!State.AcksDirty_)
    return;
  State.AcksDirty_ = false;
  State.Round_.Acks_ = collectAcks(State);
}

bool isDirty(const State &State, const JobId &Id) {
  auto HasRecord = [&](const std::set<ProgressId> &Records) {
    auto It = Records.lower_bound({Id, std::nullopt});
    return It != Records.end() && It->Job_ == Id;
  };
  return HasRecord(State.DirtyProgress_) || HasRecord(State.Round_.Records_);
}

/// Fails a job whose record the store would refuse at every repetition: the
/// progress of all other jobs of the slice would wait behind it for ever.
void failUnstorable(State &State, Job &J, std::size_t Bytes, TimePoint Now,
                    Outbox &Out) {
  count(State.Counters_, "progress-too-large");
  Out.Notes_.push_back(
      {"progress-too-large", {{"job", J.Id_}, {"bytes", Bytes}}});
  closeJob(State, J, workflow::JobState::Failed, Now);
  // Its ends are not stored by this round.
  State.Round_.Acks_.clear();
  State.AcksDirty_ = true;
}

/// Adds the record of one open occurrence, or fails its job.
void addOccurrence(State &State, Job &J, std::uint32_t Number, TimePoint Now,
                   WriteCall &Call, Outbox &Out) {
  ledger::KeyedRecord R =
      ledger::makeOccurrence(J.Id_, makeOccurrenceProgress(J, Number));
  std::size_t Bytes = ledger::recordBytes(R);
  if (Bytes > State.Options_.StoreLimits_.RecordBytes_)
    return failUnstorable(State, J, Bytes, Now, Out);
  J.StoredOccurrences_.insert(Number);
  Call.Records_.push_back(std::move(R));
}

/// Adds the record of the job itself, or fails the job.
void addJobProgress(State &State, Job &J, TimePoint Now, WriteCall &Call,
                    Outbox &Out) {
  ledger::KeyedRecord R = ledger::makeProgress(J.Id_, makeProgress(J));
  std::size_t Bytes = ledger::recordBytes(R);
  if (Bytes > State.Options_.StoreLimits_.RecordBytes_)
    return failUnstorable(State, J, Bytes, Now, Out);
  Call.Records_.push_back(std::move(R));
}

/// Adds the removal of an occurrence that is done. Without its record it would
/// count as not begun, so the job must stop listing it at the latest now.
void addOccurrenceRemoval(State &State, Job &J, std::uint32_t Number,
                          TimePoint Now, PendingWrite &Pending, WriteCall &Call,
                          Outbox &Out) {
  if (!J.StoredOccurrences_.count(Number))
    return;
  if (State.DirtyProgress_.erase({J.Id_, std::nullopt}))
    addJobProgress(State, J, Now, Call, Out);
  Call.Records_.push_back(ledger::makeOccurrenceRemoval(J.Id_, Number));
  Pending.RemovedOccurrences_.push_back({J.Id_, Number});
}

void addRecord(State &State, const ProgressId &Id, TimePoint Now,
               PendingWrite &Pending, WriteCall &Call, Outbox &Out) {
  Job *J = findJob(State, Id.Job_);
  if (!J)
    return;
  if (!Id.Occurrence_)
    return addJobProgress(State, *J, Now, Call, Out);
  bool Open = !workflow::isClosed(J->State_) && J->Open_.count(*Id.Occurrence_);
  if (Open)
    addOccurrence(State, *J, *Id.Occurrence_, Now, Call, Out);
  else
    addOccurrenceRemoval(State, *J, *Id.Occurrence_, Now, Pending, Call, Out);
}

/// Adds records of the round, as many as fit into the write.
void addProgress(State &State, TimePoint Now, PendingWrite &Pending,
                 WriteCall &Call, Outbox &Out) {
  std::size_t Bytes = 0, Counted = 0;
  std::size_t Full = fullWriteBytes(State.Options_.StoreLimits_);
  std::set<ProgressId> &Records = State.Round_.Records_;
  while (true) {
    for (; Counted < Call.Records_.size(); ++Counted)
      Bytes += ledger::callBytes(Call.Records_[Counted]);
    bool HasRoom = Call.Records_.size() < MaxRecordsPerWrite && Bytes < Full;
    if (Records.empty() || !(HasRoom || Call.Records_.empty()))
      return;
    ProgressId Id = *Records.begin();
    Records.erase(Records.begin());
    addRecord(State, Id, Now, Pending, Call, Out);
  }
}

/// Finds closed jobs that have been kept long enough.
void findExpiredJobs(State &State, TimePoint Now) {
  constexpr Milliseconds Interval{5'000};
  if (Now < State.NextExpiryCheckAt_)
    return;
  State.NextExpiryCheckAt_ = Now + Interval;
  for (const auto &[Id, J] : State.Jobs_)
    if (workflow::isClosed(J.State_) && !isDirty(State, Id) &&
        J.StoredOccurrences_.empty() && !hasRuns(J) &&
        Now - J.ClosedAt_ > State.Options_.KeepClosed_)
      State.ExpiredJobs_.insert(Id);
}

void addRemovals(State &State, PendingWrite &Pending, WriteCall &Call) {
  while (!State.ExpiredJobs_.empty() &&
         Call.Records_.size() < MaxRecordsPerWrite) {
    JobId Id = *State.ExpiredJobs_.begin();
    State.ExpiredJobs_.erase(State.ExpiredJobs_.begin());
    // A job whose void record was to be removed may have been accepted since.
    const Job *J = findJob(State, Id);
    if (J && !workflow::isClosed(J->State_))
      continue;
    for (ledger::KeyedRecord &R : ledger::makeRemoval(Id))
      Call.Records_.push_back(std::move(R));
    Pending.Removed_.push_back(Id);
  }
}

ledger::KeyedRecord makeRosterRecord(const State &State) {
  // Of a worker that has not answered, what the earlier owner knew stands.
  std::map<WorkerId, std::int64_t> All;
  std::map<WorkerId, TimePoint> MisreadUntil;
  for (const auto &[Id, W] : State.Workers_) {
    if (W.Released_)
      continue;
    All[Id] = rosterIncarnation(W);
    if (State.LastTick_ < W.MisreadLeaseEndsAt_)
      MisreadUntil[Id] = W.MisreadLeaseEndsAt_;
  }
  for (const WorkerId &Id : State.UnconfirmedWorkers_) {
    const InheritedWorker &Inherited = State.Inherited_.at(Id);
    if (Inherited.Incarnation_ != 0)
      All[Id] = Inherited.Incarnation_;
    else
      All.try_emplace(Id, 0);
    TimePoint Until = misreadLeaseEnd(State, Inherited);
    if (State.LastTick_ < Until)
      MisreadUntil[Id] = Until;
  }
  ledger::Roster Roster;
  Roster.Claim_ = State.Options_.Token_;
  Roster.Settled_ = !State.InheritancePending_;
  for (const auto &[Id, Incarnation] : All) {
    Roster.Workers_.push_back(Id);
    Roster.Incarnations_.push_back(Incarnation);
  }
  for (const auto &[Id, Until] : MisreadUntil) {
    Roster.MisreadLeases_.push_back(Id);
    Roster.MisreadLeftMs_.push_back(elapsed(State.LastTick_, Until).count());
  }
  return ledger::makeRoster(State.Options_.Slice_, Roster);
}

} // namespace

bool hasUnwrittenChanges(const State &State) {
  return !State.DirtyProgress_.empty() || !State.Round_.Records_.empty() ||
         State.AcksDirty_;
}

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
        Pending.Roster_[Id] = rosterIncarnation(W);
    Pending.HasRoster_ = true;
  }
  if (State.Round_.Records_.empty())
    beginRound(State);
  addProgress(State, Now, Pending, Call, Out);
  findExpiredJobs(State, Now);
  addRemovals(State, Pending, Call);
  // Ends count as stored once all progress that they changed is stored.
  if (State.Round_.Records_.empty())
    Pending.Acks_ = std::exchange(State.Round_.Acks_, {});
  if (Call.Records_.empty()) {
    for (const PendingAck &Ack : Pending.Acks_)
      acknowledge(State, Ack, Now);
    return;
  }
  ++State.NextWriteId_;
  State.PendingWrite_ = std::move(Pending);
  Out.Writes_.push_back(std::move(Call));
}

namespace {

/// Has everything written again, with the state at that time.
void markAllDirty(State &State, TimePoint Now) {
  constexpr Milliseconds ClosedRecently{60'000};
  State.DirtyProgress_.merge(State.Round_.Records_);
  State.Round_ = {};
  State.AcksDirty_ = true;
  for (auto &[Id, J] : State.Jobs_) {
    if (workflow::isClosed(J.State_) && J.ClosedAt_ + ClosedRecently <= Now)
      continue;
    markDirty(State, J);
    for (std::uint32_t Number : J.StoredOccurrences_)
      markDirty(State, J, Number);
  }
}

/// Forgets the records that a write has removed.
void forgetRemoved(State &State, const PendingWrite &Stored) {
  for (const JobId &Job : Stored.Removed_)
    eraseJob(State, Job);
  for (const ProgressId &Id : Stored.RemovedOccurrences_)
    if (Job *J = findJob(State, Id.Job_))
      J->StoredOccurrences_.erase(*Id.Occurrence_);
}

} // namespace

} // namespace detail

void onWriteReply(State &State, std::uint64_t Id, bool Stored, TimePoint Now) {
  if (!State.PendingWrite_ || State.PendingWrite_->Id_ != Id)
    return;
  PendingWrite Pending = std::move(*State.PendingWrite_);
  State.PendingWrite_.reset();
  if (!Stored) {
    count(State.Counters_, "write-refused");
    State.NextWriteAt_ = Now + detail::WriteRetryInterval;
    State.RosterDirty_ = State.RosterDirty_ || Pending.HasRoster_;
    State.ExpiredJobs_.insert(Pending.Removed_.begin(), Pending.Removed_.end());
    detail::markAllDirty(State, Now);
    return;
  }
  State.NextWriteAt_ = Now + detail::WriteInterval;
  detail::forgetRemoved(State, Pending);
  for (const auto &[W, Incarnation] : Pending.Roster_) {
    auto It = State.Workers_.find(W);
    if (It == State.Workers_.end() || It->second.Rostered_ ||
        It->second.Released_ ||
        detail::rosterIncarnation(It->second) != Incarnation)
      continue;
    It->second.Rostered_ = true;
    detail::scheduleRenewal(State, It->second, Now);
  }
  for (const PendingAck &Ack : Pending.Acks_)
    detail::acknowledge(State, Ack, Now);
}

} // namespace pollenvale::scheduler
