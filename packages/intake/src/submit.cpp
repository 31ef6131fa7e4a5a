/// Jobs that callers submit. A job is unique within the partition of its
/// queue's service only. When a queue moves to another service, it is therefore
/// closed in the partitions that it has left before jobs are stored in the new
/// one: the order of the records there tells which of the earlier ones were
/// accepted.
#include "intake/detail/submits.hpp"
#include "intake/intake.hpp"

#include <algorithm>

namespace pollenvale::intake {

using namespace detail;

namespace {

/// Pause between two attempts to close a queue in a partition.
constexpr Milliseconds CloseRetryInterval{250};

/// True, or BadSpec if the store would refuse the record of the job, that of an
/// occurrence when all its tasks have failed several times, or that of the
/// progress when all occurrences are open.
Result<bool> checkSize(const ledger::KeyedRecord &Record,
                       const workflow::WorkflowSpec &Spec,
                       const ledger::StoreLimits &Limits) {
  if (ledger::recordBytes(Record) > Limits.RecordBytes_)
    return makeError(ErrorKind::BadSpec,
                     "job: " + std::to_string(ledger::recordBytes(Record)) +
                         " bytes as stored, at most " +
                         std::to_string(Limits.RecordBytes_));
  std::size_t MaxTasks =
      Limits.RecordBytes_ / workflow::MaxProgressBytesPerTask;
  if (workflow::taskCount(Spec) > MaxTasks)
    return makeError(ErrorKind::BadSpec,
                     "steps: " + std::to_string(workflow::taskCount(Spec)) +
                         " tasks, at most " + std::to_string(MaxTasks));
  std::size_t MaxRepeats =
      Limits.RecordBytes_ / workflow::MaxBytesPerOpenOccurrence;
  if (Spec.Repeats_ > MaxRepeats)
    return makeError(ErrorKind::BadSpec,
                     "repeats: " + std::to_string(Spec.Repeats_) +
                         ", at most " + std::to_string(MaxRepeats));
  return true;
}

/// The lowest version by which the queue must be closed in the partition; 0 if
/// no job of it can have been stored there.
std::uint64_t versionToClose(const Intake &State, const std::string &Queue,
                             std::uint32_t Partition) {
  std::uint64_t Version = 0;
  const ledger::Replica &Copy = State.Partitions_.at(Partition).Replica_;
  if (auto Used = Copy.QueueVersions_.find(Queue);
      Used != Copy.QueueVersions_.end())
    Version = Used->second + 1;
  if (auto Left = State.LeftPartitions_.find({Queue, Partition});
      Left != State.LeftPartitions_.end())
    Version = std::max(Version, Left->second);
  return Version;
}

bool isClosed(const ledger::Replica &Copy, const std::string &Queue,
              std::uint64_t Version) {
  auto Closed = Copy.ClosedQueues_.find(Queue);
  return Version == 0 || (Closed != Copy.ClosedQueues_.end() &&
                          Closed->second.Version_ >= Version);
}

/// Partitions in which jobs of the queue may still be accepted although it
/// belongs to another service now.
std::vector<std::uint32_t> openElsewhere(const Intake &State,
                                         const workflow::Queue &Q) {
  std::uint32_t Present = partitionOf(Q.Service_, State.TopicPartitions_);
  std::vector<std::uint32_t> Out;
  for (const auto &[Number, Copy] : State.Partitions_)
    if (Number != Present && !isClosed(Copy.Replica_, Q.Name_,
                                       versionToClose(State, Q.Name_, Number)))
      Out.push_back(Number);
  return Out;
}

/// Closes the queue in the partition, unless that is under way.
void closeQueue(Intake &State, const std::string &Queue,
                std::uint32_t Partition, TimePoint Now) {
  // A configuration that is older than a job of the queue says nothing.
  if (versionToClose(State, Queue, Partition) > State.ConfigVersion_)
    return;
  TimePoint &RetryAt = State.ClosingRetryAt_[{Queue, Partition}];
  if (Now < RetryAt)
    return;
  RetryAt = Now + CloseRetryInterval;
  count(State.Counters_, "queue-closed");
  ledger::AppendCall Call;
  Call.Partition_ = {JobTopic, Partition};
  Call.Records_ = {ledger::makeClosedQueue(Queue, State.ConfigVersion_)};
  State.Store_->append(
      std::move(Call), [&State, Partition](const ledger::AppendReply &) {
        auto Copy = State.Partitions_.find(Partition);
        if (Copy != State.Partitions_.end())
          ledger::scheduleReadBy(Copy->second.Tail_, State.Clock_());
      });
}

/// Rejects the job if that is certain. Otherwise stores it, or returns false if
/// it has to wait.
bool trySubmit(Intake &State, PendingSubmit &Submit, TimePoint Now) {
  StoredJob Known = findJobOfQueue(State, Submit.Queue_, Submit.Job_);
  if (Known.Row_) {
    count(State.Counters_, "submit-known");
    Submit.Reply_({Outcome::Stored});
    return true;
  }
  std::vector<std::uint32_t> Open = openElsewhere(State, Submit.Queue_);
  for (std::uint32_t Partition : Open)
    closeQueue(State, Submit.Queue_.Name_, Partition, Now);
  bool ServiceKnown =
      !State.EnsureKnown_ || State.EnsureKnown_(Submit.Queue_.Service_);
  if (!Open.empty() || !ServiceKnown)
    return false;
  ledger::AcceptedJob Accepted{Submit.Queue_, Submit.ReceivedUnixMs_,
                               std::move(Submit.Spec_), State.ConfigVersion_};
  ledger::KeyedRecord Record = ledger::makeJob(Submit.Job_, Accepted);
  if (auto Ok = checkSize(Record, Accepted.Spec_, State.StoreLimits_); !Ok) {
    count(State.Counters_, "submit-rejected-size");
    Submit.Reply_({Outcome::Rejected, {}, Ok.error()});
    return true;
  }
  count(State.Counters_, "submit");
  CallTimes T{Now, Submit.ReceivedUnixMs_,
              elapsed(Now, Submit.ExpiresAt_) + AnswerMargin};
  addWrite(State, Known.Partition_, Submit.Job_, false, std::move(Record), T,
           Submit.Reply_);
  return true;
}

} // namespace

namespace detail {

std::vector<std::uint32_t> partitionsOf(const Intake &State,
                                        const workflow::Queue &Q) {
  std::vector<std::uint32_t> Out{
      partitionOf(Q.Service_, State.TopicPartitions_)};
  for (const auto &[Number, Copy] : State.Partitions_)
    if (Number != Out.front() && versionToClose(State, Q.Name_, Number) > 0)
      Out.push_back(Number);
  return Out;
}

void retrySubmits(Intake &State, TimePoint Now) {
  for (auto It = State.PendingSubmits_.begin();
       It != State.PendingSubmits_.end();) {
    bool Expired = Now >= It->ExpiresAt_;
    if (!Expired && !trySubmit(State, *It, Now)) {
      ++It;
      continue;
    }
    PendingSubmit Submit = std::move(*It);
    It = State.PendingSubmits_.erase(It);
    if (!Expired)
      continue;
    count(State.Counters_, "submit-rejected-moving");
    Submit.Reply_(rejected(ErrorKind::LogUnavailable,
                           "the queue's service is not settled yet"));
  }
}

} // namespace detail

void submit(Intake &State, const workflow::Queue &Q, const JobId &Job,
            workflow::WorkflowSpec Spec, const CallTimes &T, Reply Done) {
  if (!findJobOfQueue(State, Q, Job).Row_ && !isStoreReachable(State, T.Now_)) {
    count(State.Counters_, "submit-rejected-store");
    if (!State.OutageSince_)
      State.OutageSince_ = T.Now_;
    Done(rejectedByOutage(State, Job, T.Now_, T.Now_ + answerTimeout(T),
                          "the store does not answer"));
    return;
  }
  PendingSubmit Submit{Q,
                       Job,
                       std::move(Spec),
                       T.NowUnixMs_,
                       T.Now_ + answerTimeout(T),
                       std::move(Done)};
  if (trySubmit(State, Submit, T.Now_))
    return;
  if (State.Stopped_)
    return Submit.Reply_(rejectedByStop());
  count(State.Counters_, "submit-held");
  State.PendingSubmits_.push_back(std::move(Submit));
}

void onCatalog(Intake &State, const workflow::Catalog &Old,
               const workflow::Catalog &New) {
  State.ConfigVersion_ = New.Version_;
  for (const workflow::Queue &Q : New.Queues_) {
    std::uint32_t Present = partitionOf(Q.Service_, State.TopicPartitions_);
    State.LeftPartitions_.erase({Q.Name_, Present});
    const workflow::Queue *Before = workflow::findQueue(Old, Q.Name_);
    if (!Before)
      continue;
    std::uint32_t Left = partitionOf(Before->Service_, State.TopicPartitions_);
    if (Left != Present)
      State.LeftPartitions_[{Q.Name_, Left}] = New.Version_;
  }
  for (PendingSubmit &Submit : State.PendingSubmits_)
    if (const workflow::Queue *Q =
            workflow::findQueue(New, Submit.Queue_.Name_))
      Submit.Queue_ = *Q;
}

} // namespace pollenvale::intake
