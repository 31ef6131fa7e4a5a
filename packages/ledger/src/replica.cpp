#include "ledger/ledger.hpp"

namespace pollenvale::ledger {

using workflow::JobState;

namespace {

/// Whether a job that is stored at \p At comes too late for its queue.
bool isVoid(const Replica &Copy, const AcceptedJob &Job, Offset At) {
  auto Closed = Copy.ClosedQueues_.find(Job.Queue_.Name_);
  return Closed != Copy.ClosedQueues_.end() && Closed->second.Offset_ < At &&
         Closed->second.Version_ > Job.Version_;
}

/// Whether the job's owner has stored progress, so that it was accepted: its
/// first record has been replaced by a later one.
bool hasProgress(const Replica &Copy, const JobId &Id) {
  auto Early = Copy.EarlyJobs_.find(Id);
  return Early != Copy.EarlyJobs_.end() && Early->second.ProgressOffset_ > 0;
}

Change accept(Replica &Copy, const JobId &Id, AcceptedJob Accepted, Offset At) {
  ReplicatedJob Job;
  if (auto Early = Copy.EarlyJobs_.extract(Id))
    Job = std::move(Early.mapped());
  std::uint64_t &Version = Copy.QueueVersions_[Accepted.Queue_.Name_];
  Version = std::max(Version, Accepted.Version_);
  Job.Accepted_ = std::move(Accepted);
  Job.AcceptedOffset_ = At;
  Copy.Jobs_.emplace(Id, std::move(Job));
  Copy.VoidJobs_.erase(Id);
  return {Change::Kind::Accepted, Id};
}

Change applyJob(Replica &Copy, const JobId &Id, const KeyedRecord &R) {
  bool Known = Copy.Jobs_.count(Id) > 0;
  if (Known && Copy.ClosedQueues_.empty())
    return {};
  auto Accepted = parseJob(R.Value_);
  if (!Accepted) {
    Copy.UnreadableRecords_ += !Known;
    return {};
  }
  bool Void = isVoid(Copy, *Accepted, R.Offset_);
  if (Known)
    return Void ? Change{Change::Kind::Void, Id} : Change{};
  if (!Void || hasProgress(Copy, Id))
    return accept(Copy, Id, std::move(*Accepted), R.Offset_);
  Copy.VoidJobs_[Id] = std::move(*Accepted);
  return {Change::Kind::Void, Id};
}

void applyClosedQueue(Replica &Copy, const std::string &Queue,
                      const KeyedRecord &R) {
  ClosedQueue &Closed = Copy.ClosedQueues_[Queue];
  std::uint64_t Version = parseClosedQueue(R.Value_);
  if (Version > Closed.Version_)
    Closed = {Version, R.Offset_};
}

/// The accepted job, or else a new or existing one in EarlyJobs_.
ReplicatedJob &findOrAddJob(Replica &Copy, const JobId &Id) {
  auto It = Copy.Jobs_.find(Id);
  return It != Copy.Jobs_.end() ? It->second : Copy.EarlyJobs_[Id];
}

Change applyProgress(Replica &Copy, const JobId &Id, const KeyedRecord &R) {
  auto Progress = parseProgress(R.Value_);
  if (!Progress) {
    ++Copy.UnreadableRecords_;
    return {};
  }
  ReplicatedJob &Job = findOrAddJob(Copy, Id);
  // The reads that follow a load may return records older than the loaded one.
  if (R.Offset_ < Job.ProgressOffset_)
    return {};
  Job.Progress_ = std::move(*Progress);
  Job.ProgressOffset_ = R.Offset_;
  if (auto Void = Copy.VoidJobs_.extract(Id))
    return accept(Copy, Id, std::move(Void.mapped()), R.Offset_);
  return {Change::Kind::Progress, Id};
}

/// Callers see no difference between occurrences: there is no change to tell.
void applyOccurrence(Replica &Copy, const RecordName &Name,
                     const KeyedRecord &R) {
  StoredOccurrence &Stored =
      findOrAddJob(Copy, Name.Job_).Occurrences_[Name.Occurrence_];
  if (R.Offset_ >= Stored.Offset_)
    Stored = {R.Value_, R.Offset_};
}

void removeOccurrence(Replica &Copy, const RecordName &Name) {
  for (auto *Jobs : {&Copy.Jobs_, &Copy.EarlyJobs_})
    if (auto It = Jobs->find(Name.Job_); It != Jobs->end())
      It->second.Occurrences_.erase(Name.Occurrence_);
}

} // namespace

Change apply(Replica &Copy, const KeyedRecord &R, TimePoint Now) {
  RecordName Name = nameOf(R.Key_);
  if (R.Value_.empty() && Name.Kind_ == RecordKind::Occurrence) {
    removeOccurrence(Copy, Name);
    return {};
  }
  if (R.Value_.empty() && Name.Kind_ == RecordKind::Roster) {
    Copy.Rosters_.erase(Name.Slice_);
    return {};
  }
  if (R.Value_.empty()) {
    bool Known = Name.Kind_ == RecordKind::Job && Copy.Jobs_.erase(Name.Job_);
    Copy.EarlyJobs_.erase(Name.Job_);
    if (Name.Kind_ == RecordKind::Job)
      Copy.VoidJobs_.erase(Name.Job_);
    return Known ? Change{Change::Kind::Removed, Name.Job_} : Change{};
  }
  switch (Name.Kind_) {
  case RecordKind::Job:
    return applyJob(Copy, Name.Job_, R);
  case RecordKind::Cancel:
    findOrAddJob(Copy, Name.Job_).Cancelled_ = true;
    return {Change::Kind::Cancelled, Name.Job_};
  case RecordKind::Progress:
    return applyProgress(Copy, Name.Job_, R);
  case RecordKind::Occurrence:
    applyOccurrence(Copy, Name, R);
    return {};
  case RecordKind::Roster:
    if (auto Roster = parseRoster(R.Value_))
      Copy.Rosters_[Name.Slice_] = {std::move(*Roster), Now};
    else
      ++Copy.UnreadableRecords_;
    return {};
  case RecordKind::Fence:
    return {Change::Kind::Fenced, {}, Name.Slice_, parseFence(R.Value_)};
  case RecordKind::ClosedQueue:
    applyClosedQueue(Copy, Name.Queue_, R);
    return {};
  case RecordKind::Unknown:
    ++Copy.UnreadableRecords_;
    return {};
  }
  return {};
}

void beginLoad(Replica &Copy) {
  for (auto *Jobs : {&Copy.Jobs_, &Copy.EarlyJobs_})
    for (auto &[Id, Job] : *Jobs) {
      Job.ProgressOffset_ = 0;
      for (auto &[Number, Stored] : Job.Occurrences_)
        Stored.Offset_ = 0;
    }
}

JobState effectiveState(const ReplicatedJob &Job) {
  JobState State = Job.Progress_.state();
  if (!workflow::isClosed(State) && Job.Cancelled_)
    return JobState::Cancelled;
  return State;
}

std::size_t pendingJobs(const Replica &Copy, const std::string &Queue) {
  std::size_t Count = 0;
  for (const auto &[Id, Job] : Copy.Jobs_)
    if (effectiveState(Job) == JobState::Queued &&
        Job.Accepted_.Queue_.Name_ == Queue)
      ++Count;
  return Count;
}

} // namespace pollenvale::ledger
