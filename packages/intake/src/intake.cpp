#include "intake/intake.hpp"
#include "intake/detail/submits.hpp"

#include <algorithm>

namespace pollenvale::intake {

using ledger::AppendReply;
using ledger::StoreStatus;
using namespace detail;

namespace detail {

Milliseconds answerTimeout(const CallTimes &T) {
  return std::max(Milliseconds(50), T.Deadline_ - AnswerMargin);
}

Answer rejected(ErrorKind Kind, std::string Message) {
  return {Outcome::Rejected, {}, makeError(Kind, std::move(Message))};
}

Answer rejectedByOutage(const Intake &State, const JobId &Job, TimePoint Now,
                        TimePoint ExpiresAt, std::string Message) {
  constexpr std::chrono::seconds MaxDelay{3};
  Answer A = rejected(ErrorKind::LogUnavailable, std::move(Message));
  auto OutageTime = std::chrono::duration_cast<std::chrono::seconds>(
      State.OutageSince_ ? Now - *State.OutageSince_ : TimePoint::duration{});
  A.RetryAfter_ = std::clamp(OutageTime, std::chrono::seconds(1), MaxDelay) +
                  std::chrono::seconds(stableHash(Job) % 2);
  auto Remaining =
      std::chrono::duration_cast<std::chrono::seconds>(ExpiresAt - Now);
  A.RetryAfter_ =
      std::max(std::chrono::seconds(1), std::min(A.RetryAfter_, Remaining));
  return A;
}

Answer rejectedByStop() {
  return rejected(ErrorKind::Stopping, "the entry stops; nothing was done");
}

const ledger::ReplicatedJob *
findJob(const Intake &State, std::uint32_t Partition, const JobId &Job) {
  auto It = State.Partitions_.find(Partition);
  if (It == State.Partitions_.end())
    return nullptr;
  auto Row = It->second.Replica_.Jobs_.find(Job);
  return Row == It->second.Replica_.Jobs_.end() ? nullptr : &Row->second;
}

StoredJob findJobOfQueue(const Intake &State, const workflow::Queue &Q,
                         const JobId &Job) {
  std::uint32_t Present = partitionOf(Q.Service_, State.TopicPartitions_);
  if (const ledger::ReplicatedJob *Row = findJob(State, Present, Job))
    return {Present, Row};
  for (const auto &[Number, Copy] : State.Partitions_) {
    const ledger::ReplicatedJob *Row = findJob(State, Number, Job);
    if (Row && Row->Accepted_.Queue_.Name_ == Q.Name_)
      return {Number, Row};
  }
  return {Present, nullptr};
}

} // namespace detail

namespace {

constexpr Milliseconds AppendTimeout{1'500};
/// Larger appends delay those that other entries make to the partition.
constexpr std::size_t MaxBatchBytes = 512 * 1'024;
/// New jobs are rejected once the store has not answered for this long.
constexpr Milliseconds MaxStoreSilence{2'600};

void answer(Intake &State, const std::shared_ptr<PendingWrite> &Write,
            Answer A) {
  if (Write->Answered_)
    return;
  Write->Answered_ = true;
  State.Writes_.remove(Write);
  Write->Reply_(std::move(A));
}

using Batch = std::vector<std::shared_ptr<PendingWrite>>;

void sendNextBatch(Intake &State, std::uint32_t Partition);

bool isInCopy(const Intake &State, const PendingWrite &Write) {
  const ledger::ReplicatedJob *Row =
      findJob(State, Write.Partition_, Write.Job_);
  return Row && (!Write.Cancel_ || Row->Cancelled_);
}

/// Confirms a stored record. A job counts as accepted once the copy contains
/// it: its queue may have been closed in the partition before.
void onStored(Intake &State, const std::shared_ptr<PendingWrite> &Write) {
  if (Write->Cancel_ || isInCopy(State, *Write))
    return answer(State, Write, {Outcome::Stored});
  Write->Stored_ = Write->MayBeStored_ = true;
  auto Copy = State.Partitions_.find(Write->Partition_);
  if (Copy != State.Partitions_.end())
    ledger::scheduleReadBy(Copy->second.Tail_, State.Clock_());
}

void onAppended(Intake &State, const std::shared_ptr<PendingWrite> &Write,
                StoreStatus Status) {
  Write->InFlight_ = false;
  if (Status == StoreStatus::Done)
    return onStored(State, Write);
  if (Status != StoreStatus::NotDone)
    Write->MayBeStored_ = true;
  // No append of this record can have been stored, so the caller may safely
  // retry at another entry.
  if (!Write->MayBeStored_)
    answer(State, Write,
           rejectedByOutage(State, Write->Job_, State.LastFailureAt_,
                            Write->ExpiresAt_, "the store refused the record"));
}

void onBatchAppended(Intake &State, std::uint32_t Partition, const Batch &Sent,
                     StoreStatus Status) {
  --State.InFlight_;
  State.PartitionQueues_[Partition].InFlight_ = false;
  if (Status != StoreStatus::Done) {
    State.LastFailureAt_ = State.Clock_();
    if (!State.OutageSince_)
      State.OutageSince_ = State.LastFailureAt_;
  }
  for (const std::shared_ptr<PendingWrite> &Write : Sent)
    onAppended(State, Write, Status);
  sendNextBatch(State, Partition);
}

/// Removes the writes of the next append from \p Queue: as many as fit into
/// \p MaxBytes, but at least one.
Batch takeBatch(PartitionQueue &Queue, std::size_t MaxBytes) {
  Batch Out;
  std::size_t Bytes = 0;
  while (!Queue.Unsent_.empty()) {
    std::shared_ptr<PendingWrite> Write = Queue.Unsent_.front();
    if (!Write->Answered_) {
      Bytes += ledger::callBytes(Write->Record_);
      if (Bytes > MaxBytes && !Out.empty())
        break;
      Out.push_back(std::move(Write));
    }
    Queue.Unsent_.pop_front();
  }
  return Out;
}

void sendNextBatch(Intake &State, std::uint32_t Partition) {
  PartitionQueue &Queue = State.PartitionQueues_[Partition];
  if (Queue.InFlight_)
    return;
  Batch Next =
      takeBatch(Queue, std::min(MaxBatchBytes, State.StoreLimits_.CallBytes_));
  if (Next.empty())
    return;
  ledger::AppendCall Call;
  Call.Partition_ = {JobTopic, Partition};
  for (const std::shared_ptr<PendingWrite> &Write : Next)
    Call.Records_.push_back(Write->Record_);
  Call.Timeout_ = AppendTimeout;
  ++State.InFlight_;
  Queue.InFlight_ = true;
  State.Store_->append(std::move(Call),
                       [&State, Partition, Next](const AppendReply &R) {
                         onBatchAppended(State, Partition, Next, R.Status_);
                       });
}

void enqueueWrite(Intake &State, const std::shared_ptr<PendingWrite> &Write) {
  Write->InFlight_ = true;
  State.PartitionQueues_[Write->Partition_].Unsent_.push_back(Write);
  sendNextBatch(State, Write->Partition_);
}

/// Whether the copy shows that the job came too late for its queue.
bool isVoid(const Intake &State, const PendingWrite &Write) {
  auto Copy = State.Partitions_.find(Write.Partition_);
  return !Write.Cancel_ && Copy != State.Partitions_.end() &&
         Copy->second.Replica_.VoidJobs_.count(Write.Job_);
}

/// Confirms writes that the copy contains, abandons those that have expired or
/// come too late, and sends the others again if none of theirs is in flight.
void retryWrites(Intake &State, TimePoint Now) {
  auto Writes = State.Writes_;
  for (const std::shared_ptr<PendingWrite> &Write : Writes) {
    if (isInCopy(State, *Write)) {
      answer(State, Write, {Outcome::Stored});
    } else if (isVoid(State, *Write)) {
      // It may have been accepted at the other service meanwhile.
      count(State.Counters_, "submit-void");
      answer(State, Write,
             rejected(ErrorKind::LogUnknown,
                      "the queue has moved; another entry may have the job"));
    } else if (Now >= Write->ExpiresAt_) {
      count(State.Counters_, "write-unanswered");
      answer(State, Write,
             rejected(ErrorKind::LogUnknown,
                      "no answer from the store; the record may be stored"));
    } else if (!Write->InFlight_ && !Write->Stored_ &&
               isStoreReachable(State, Now)) {
      count(State.Counters_, "write-resent");
      enqueueWrite(State, Write);
    }
  }
}

/// Whether no append has ever contained the record.
bool isUnsent(Intake &State, const std::shared_ptr<PendingWrite> &Write) {
  const auto &Unsent = State.PartitionQueues_[Write->Partition_].Unsent_;
  return !Write->MayBeStored_ &&
         std::find(Unsent.begin(), Unsent.end(), Write) != Unsent.end();
}

Answer finalAnswer(Intake &State, const std::shared_ptr<PendingWrite> &Write) {
  if (isInCopy(State, *Write))
    return {Outcome::Stored};
  if (isUnsent(State, Write))
    return rejectedByStop();
  return rejected(ErrorKind::LogUnknown,
                  "the entry stops; the record may be stored");
}

void storeCancellation(Intake &State, std::uint32_t Partition, const JobId &Job,
                       const ledger::ReplicatedJob &Row, const CallTimes &T,
                       Reply Done) {
  if (Row.Cancelled_ || workflow::isClosed(Row.Progress_.state())) {
    Done({Outcome::Stored});
    return;
  }
  count(State.Counters_, "cancel");
  addWrite(State, Partition, Job, true, ledger::makeCancel(Job), T,
           std::move(Done));
}

void answerKnownJob(Intake &State, const PendingCall &Call,
                    const StoredJob &Known, TimePoint Now) {
  if (!Call.Cancel_) {
    Call.Reply_({Outcome::State, ledger::effectiveState(*Known.Row_)});
    return;
  }
  CallTimes T{Now, 0, elapsed(Now, Call.ExpiresAt_) + AnswerMargin};
  storeCancellation(State, Known.Partition_, Call.Job_, *Known.Row_, T,
                    Call.Reply_);
}

/// Whether all copies that may hold jobs of the queue are newer than \p Since.
bool areCopiesNewer(const Intake &State, const workflow::Queue &Q,
                    TimePoint Since) {
  std::vector<std::uint32_t> Places = partitionsOf(State, Q);
  return std::all_of(Places.begin(), Places.end(), [&](std::uint32_t Place) {
    auto Copy = State.Partitions_.find(Place);
    return Copy != State.Partitions_.end() &&
           Copy->second.Tail_.CurrentAt_ > Since;
  });
}

void waitForCopies(Intake &State, const workflow::Queue &Q, const JobId &Job,
                   bool Cancel, const CallTimes &T, Reply Done) {
  if (State.Stopped_)
    return Done(rejectedByStop());
  State.PendingCalls_.push_back(
      {Q, Job, Cancel, T.Now_, T.Now_ + answerTimeout(T), std::move(Done)});
  for (std::uint32_t Place : partitionsOf(State, Q))
    if (auto Copy = State.Partitions_.find(Place);
        Copy != State.Partitions_.end())
      ledger::scheduleReadBy(Copy->second.Tail_, T.Now_);
}

/// Answers the calls that the copies can answer now.
void answerPendingCalls(Intake &State, TimePoint Now) {
  for (auto It = State.PendingCalls_.begin();
       It != State.PendingCalls_.end();) {
    StoredJob Known = findJobOfQueue(State, It->Queue_, It->Job_);
    if (!Known.Row_ && !areCopiesNewer(State, It->Queue_, It->ReceivedAt_)) {
      ++It;
      continue;
    }
    PendingCall Call = std::move(*It);
    It = State.PendingCalls_.erase(It);
    if (Known.Row_)
      answerKnownJob(State, Call, Known, Now);
    else
      Call.Reply_({Outcome::Unknown});
  }
}

} // namespace

namespace detail {

void addWrite(Intake &State, std::uint32_t Partition, const JobId &Job,
              bool Cancel, ledger::KeyedRecord Record, const CallTimes &T,
              Reply Done) {
  if (State.Stopped_)
    return Done(rejectedByStop());
  auto Write = std::make_shared<PendingWrite>();
  Write->Partition_ = Partition;
  Write->Job_ = Job;
  Write->Cancel_ = Cancel;
  Write->Record_ = std::move(Record);
  Write->ExpiresAt_ = T.Now_ + answerTimeout(T);
  Write->Reply_ = std::move(Done);
  State.Writes_.push_back(Write);
  enqueueWrite(State, Write);
}

} // namespace detail

std::uint32_t partitionOf(const ServiceName &Service,
                          std::uint32_t TopicPartitions) {
  return std::uint32_t(stableHash(Service) %
                       std::min(TopicPartitions, MaxJobPartitions));
}

bool isStoreReachable(const Intake &State, TimePoint Now) {
  return std::any_of(
      State.Partitions_.begin(), State.Partitions_.end(), [&](const auto &P) {
        const ledger::Tail &T = P.second.Tail_;
        return T.Reachable_ && T.AnsweredAt_ > State.LastFailureAt_ &&
               Now - T.AnsweredAt_ < MaxStoreSilence;
      });
}

void queryState(Intake &State, const workflow::Queue &Q, const JobId &Job,
                const CallTimes &T, Reply Done) {
  StoredJob Known = findJobOfQueue(State, Q, Job);
  if (Known.Row_) {
    Done({Outcome::State, ledger::effectiveState(*Known.Row_)});
    return;
  }
  waitForCopies(State, Q, Job, false, T, std::move(Done));
}

void cancel(Intake &State, const workflow::Queue &Q, const JobId &Job,
            const CallTimes &T, Reply Done) {
  StoredJob Known = findJobOfQueue(State, Q, Job);
  if (Known.Row_) {
    storeCancellation(State, Known.Partition_, Job, *Known.Row_, T,
                      std::move(Done));
    return;
  }
  waitForCopies(State, Q, Job, true, T, std::move(Done));
}

std::size_t countPendingJobs(const Intake &State, const workflow::Queue &Q) {
  // Jobs stay in the partition of the service that had the queue when they were
  // accepted.
  std::size_t Count = 0;
  for (const auto &[Number, Copy] : State.Partitions_)
    Count += ledger::pendingJobs(Copy.Replica_, Q.Name_);
  return Count;
}

void onCopyUpdated(Intake &State, TimePoint Now) {
  if (isStoreReachable(State, Now))
    State.OutageSince_.reset();
  retryWrites(State, Now);
  retrySubmits(State, Now);
  answerPendingCalls(State, Now);
}

void tick(Intake &State, TimePoint Now) {
  retryWrites(State, Now);
  retrySubmits(State, Now);
  for (auto It = State.PendingCalls_.begin();
       It != State.PendingCalls_.end();) {
    if (Now < It->ExpiresAt_) {
      ++It;
      continue;
    }
    PendingCall Call = std::move(*It);
    It = State.PendingCalls_.erase(It);
    count(State.Counters_, "ask-unanswered");
    Call.Reply_(rejected(ErrorKind::LogUnavailable,
                         "the copy of the jobs is not current"));
  }
}

void stop(Intake &State) {
  if (std::exchange(State.Stopped_, true))
    return;
  for (const PendingSubmit &Submit : std::exchange(State.PendingSubmits_, {})) {
    count(State.Counters_, "submit-stopped");
    Submit.Reply_(rejectedByStop());
  }
  auto Writes = State.Writes_;
  for (const std::shared_ptr<PendingWrite> &Write : Writes) {
    count(State.Counters_, "write-stopped");
    answer(State, Write, finalAnswer(State, Write));
  }
  for (const PendingCall &Call : std::exchange(State.PendingCalls_, {})) {
    count(State.Counters_, "ask-stopped");
    Call.Reply_(rejectedByStop());
  }
}

} // namespace pollenvale::intake
