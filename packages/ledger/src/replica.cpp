#include "ledger/ledger.hpp"

namespace pollenvale::ledger {

using workflow::JobState;

namespace {

Change applyJob(Replica &Copy, const JobId &Job, const KeyedRecord &R) {
  if (Copy.Jobs_.count(Job))
    return {};
  auto Accepted = parseJob(R.Value_);
  if (!Accepted) {
    ++Copy.Unreadable_;
    return {};
  }
  JobRow Row;
  if (auto Early = Copy.Early_.extract(Job))
    Row = std::move(Early.mapped());
  Row.Accepted_ = std::move(*Accepted);
  Row.AcceptedAt_ = R.Offset_;
  Copy.Jobs_.emplace(Job, std::move(Row));
  return {Change::Kind::Accepted, Job};
}

JobRow &rowOf(Replica &Copy, const JobId &Job) {
  auto It = Copy.Jobs_.find(Job);
  return It != Copy.Jobs_.end() ? It->second : Copy.Early_[Job];
}

Change applyProgress(Replica &Copy, const JobId &Job, const KeyedRecord &R) {
  auto Progress = parseProgress(R.Value_);
  if (!Progress) {
    ++Copy.Unreadable_;
    return {};
  }
  JobRow &Row = rowOf(Copy, Job);
  // A load and the reads after it may bring an older record once more.
  if (R.Offset_ < Row.ProgressAt_)
    return {};
  Row.Progress_ = std::move(*Progress);
  Row.ProgressAt_ = R.Offset_;
  return {Change::Kind::Progress, Job};
}

} // namespace

Change apply(Replica &Copy, const KeyedRecord &R) {
  RecordName Name = nameOf(R.Key_);
  if (R.Value_.empty()) {
    bool Known = Name.Kind_ == RecordKind::Job && Copy.Jobs_.erase(Name.Job_);
    Copy.Early_.erase(Name.Job_);
    return Known ? Change{Change::Kind::Removed, Name.Job_} : Change{};
  }
  switch (Name.Kind_) {
  case RecordKind::Job:
    return applyJob(Copy, Name.Job_, R);
  case RecordKind::Cancel:
    rowOf(Copy, Name.Job_).Cancelled_ = true;
    return {Change::Kind::Cancelled, Name.Job_};
  case RecordKind::Progress:
    return applyProgress(Copy, Name.Job_, R);
  case RecordKind::Roster:
    if (auto Roster = parseRoster(R.Value_))
      Copy.Rosters_[Name.Slice_] = std::move(*Roster);
    else
      ++Copy.Unreadable_;
    return {};
  case RecordKind::Fence:
    return {Change::Kind::Fenced, {}, Name.Slice_, parseFence(R.Value_)};
  case RecordKind::Unknown:
    ++Copy.Unreadable_;
    return {};
  }
  return {};
}

void beginLoad(Replica &Copy) {
  for (auto *Rows : {&Copy.Jobs_, &Copy.Early_})
    for (auto &[Job, Row] : *Rows)
      Row.ProgressAt_ = 0;
}

JobState shownState(const JobRow &Row) {
  JobState State = Row.Progress_.state();
  if (!workflow::isClosed(State) && Row.Cancelled_)
    return JobState::Cancelled;
  return State;
}

std::size_t pendingJobs(const Replica &Copy, const std::string &Queue) {
  std::size_t Count = 0;
  for (const auto &[Job, Row] : Copy.Jobs_)
    if (shownState(Row) == JobState::Queued &&
        Row.Accepted_.Queue_.Name_ == Queue)
      ++Count;
  return Count;
}

} // namespace pollenvale::ledger
