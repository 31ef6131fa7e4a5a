#include "jobs/jobs.hpp"

namespace pollenvale::jobs {

using namespace eventlog;

namespace {

/// Marks a job as closed, and drops the oldest closed job above MaxClosedJobs.
void markClosed(Table &Table, Job &Job, const std::string &State,
                const std::string &Reason) {
  Job.Closed_ = true;
  Job.State_ = State;
  Job.Reason_ = Reason;
  Table.OpenByHome_[Job.Home_].erase(Job.Id_);
  auto Key = Table.OpenByKey_.find(Job.Spec_.Key_);
  if (Key != Table.OpenByKey_.end() && Key->second == Job.Id_)
    Table.OpenByKey_.erase(Key);
  Table.ClosedOrder_.push_back(Job.Id_);
  if (Table.ClosedOrder_.size() > MaxClosedJobs) {
    Table.Jobs_.erase(Table.ClosedOrder_.front());
    Table.ClosedOrder_.pop_front();
  }
}

void addAttached(Job &First, const JobId &Id) {
  First.Attached_.push_back(Id);
  if (First.Attached_.size() > MaxAttachedJobs)
    First.Attached_.erase(First.Attached_.begin());
}

/// Adds attached jobs again whose own records retention has removed.
void restoreAttached(Table &Table, Job &First, const std::vector<JobId> &Ids) {
  for (const JobId &Id : Ids) {
    auto [It, New] = Table.Jobs_.try_emplace(Id);
    if (!New)
      continue;
    Job &Job = It->second;
    Job.Id_ = Id;
    Job.Spec_ = First.Spec_;
    Job.Home_ = First.Home_;
    Job.AttachedTo_ = First.Id_;
    addAttached(First, Id);
    markClosed(Table, Job, "attached", First.Id_);
  }
}

/// Applies each kind of record to the table.
struct ApplyRecord {
  Table &Table_;
  Offset RecordOffset_;

  Change operator()(const AcceptRecord &Record) const {
    auto [It, New] = Table_.Jobs_.try_emplace(Record.Job_);
    Job &Job = It->second;
    if (!New) {
      restoreAttached(Table_, Job, Record.Attached_);
      return {Change::Kind::Repeated, {Record.Job_}, "", Job.Home_};
    }
    Job.Id_ = Record.Job_;
    Job.Spec_ = Record.Spec_;
    Job.Home_ = currentHome(Table_, Record.Home_);
    Job.Cancelled_ = Record.Cancelled_;
    Job.AcceptedAt_ = RecordOffset_;
    if (!Job.Spec_.Key_.empty()) {
      auto [Key, IsFirst] = Table_.OpenByKey_.emplace(Job.Spec_.Key_, Job.Id_);
      if (!IsFirst) {
        Job.AttachedTo_ = Key->second;
        addAttached(Table_.Jobs_.at(Key->second), Job.Id_);
        Job.State_ = "attached";
        Table_.OpenByHome_[Job.Home_].insert(Job.Id_);
        return {Change::Kind::Attached, {Job.Id_}, "", Job.Home_};
      }
    }
    Table_.OpenByHome_[Job.Home_].insert(Job.Id_);
    restoreAttached(Table_, Job, Record.Attached_);
    return {Change::Kind::Accepted, {Job.Id_}, "", Job.Home_};
  }

  Change operator()(const CancelRecord &Record) const {
    auto It = Table_.Jobs_.find(Record.Job_);
    if (It == Table_.Jobs_.end() || It->second.Closed_)
      return {};
    It->second.Cancelled_ = true;
    return {Change::Kind::Cancelled, {Record.Job_}, "", It->second.Home_};
  }

  Change operator()(const OutcomeRecord &Record) const {
    auto It = Table_.Jobs_.find(Record.Job_);
    if (It == Table_.Jobs_.end() || It->second.Closed_)
      return {};
    if (Record.State_ == "attached")
      It->second.AttachedTo_ = Record.Reason_;
    markClosed(Table_, It->second, Record.State_, Record.Reason_);
    return {Change::Kind::Closed, {Record.Job_}, "", ""};
  }

  Change operator()(const TakeoverRecord &Record) const {
    // A take-over by a node whose own jobs were taken over is ignored, so no
    // chain of take-overs has a cycle.
    if (Table_.Takeovers_.count(Record.NewHome_) ||
        Record.Dead_ == Record.NewHome_ ||
        !Table_.Takeovers_.emplace(Record.Dead_, Record.NewHome_).second)
      return {};
    Change Result{Change::Kind::Moved,
                  {},
                  Record.Dead_,
                  currentHome(Table_, Record.NewHome_)};
    auto Jobs = std::move(Table_.OpenByHome_[Record.Dead_]);
    Table_.OpenByHome_.erase(Record.Dead_);
    for (const JobId &Id : Jobs) {
      Table_.Jobs_.at(Id).Home_ = Result.Home_;
      Result.Jobs_.push_back(Id);
    }
    Table_.OpenByHome_[Result.Home_].merge(Jobs);
    auto Uses = std::move(Table_.Uses_[Record.Dead_]);
    Table_.Uses_.erase(Record.Dead_);
    Table_.Uses_[Result.Home_].merge(Uses);
    return Result;
  }

  Change operator()(const UsesRecord &Record) const {
    NodeId Node = currentHome(Table_, Record.Node_);
    Table_.Uses_[Node].insert(Record.Workers_.begin(), Record.Workers_.end());
    return {};
  }

  Change operator()(const ConfigRecord &) const { return {}; }
  Change operator()(const ConfigSnapshot &) const { return {}; }
};

} // namespace

Change apply(Table &Table, Offset RecordOffset, const Record &Record) {
  return std::visit(ApplyRecord{Table, RecordOffset}, Record);
}

NodeId currentHome(const Table &Table, NodeId Home) {
  for (auto It = Table.Takeovers_.find(Home); It != Table.Takeovers_.end();
       It = Table.Takeovers_.find(Home))
    Home = It->second;
  return Home;
}

const Job *findJob(const Table &Table, const JobId &Id) {
  auto It = Table.Jobs_.find(Id);
  return It == Table.Jobs_.end() ? nullptr : &It->second;
}

const Job *findResultJob(const Table &Table, const JobId &Id) {
  const Job *Job = findJob(Table, Id);
  while (Job && !Job->AttachedTo_.empty()) {
    const jobs::Job *Next = findJob(Table, Job->AttachedTo_);
    if (!Next)
      return Job;
    Job = Next;
  }
  return Job;
}

} // namespace pollenvale::jobs
