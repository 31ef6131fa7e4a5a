#include "intake/intake.hpp"

#include <algorithm>

namespace pollenvale::intake {

using ledger::AppendReply;
using ledger::StoreStatus;

namespace {

/// Kept back from a caller's deadline for the way of the answer.
constexpr Milliseconds AnswerMargin{350};
constexpr Milliseconds MaxAppendTime{1'500};
/// A store silent for this long takes no new jobs.
constexpr Milliseconds SilenceLimit{2'600};

Milliseconds timeFor(const CallTimes &T) {
  return std::max(Milliseconds(50), T.Deadline_ - AnswerMargin);
}

Answer rejected(ErrorKind Kind, std::string Message) {
  return {Outcome::Rejected, {}, makeError(Kind, std::move(Message))};
}

/// Callers retry a few times only: the longer the store has been away, the
/// later they are asked back. Half of them come a second later than the rest.
/// \p GiveUpAt: end of the caller's time; coming back later is in vain.
Answer rejectedByOutage(const Intake &I, const JobId &Job, TimePoint Now,
                        TimePoint GiveUpAt, std::string Message) {
  constexpr std::chrono::seconds Longest{3};
  Answer A = rejected(ErrorKind::LogUnavailable, std::move(Message));
  auto Lasting = std::chrono::duration_cast<std::chrono::seconds>(
      I.OutageSince_ ? Now - *I.OutageSince_ : TimePoint::duration{});
  A.RetryAfter_ = std::clamp(Lasting, std::chrono::seconds(1), Longest) +
                  std::chrono::seconds(stableHash(Job) % 2);
  auto Left = std::chrono::duration_cast<std::chrono::seconds>(GiveUpAt - Now);
  A.RetryAfter_ =
      std::max(std::chrono::seconds(1), std::min(A.RetryAfter_, Left));
  return A;
}

const ledger::JobRow *find(const Intake &I, std::uint32_t Partition,
                           const JobId &Job) {
  auto It = I.Partitions_.find(Partition);
  if (It == I.Partitions_.end())
    return nullptr;
  auto Row = It->second.Replica_.Jobs_.find(Job);
  return Row == It->second.Replica_.Jobs_.end() ? nullptr : &Row->second;
}

void answer(Intake &I, const std::shared_ptr<PendingWrite> &W, Answer A) {
  if (W->Answered_)
    return;
  W->Answered_ = true;
  I.Writes_.remove(W);
  W->Reply_(std::move(A));
}

using Batch = std::vector<std::shared_ptr<PendingWrite>>;

void sendNext(Intake &I, std::uint32_t Partition);

void onAppended(Intake &I, const std::shared_ptr<PendingWrite> &W,
                StoreStatus Status) {
  W->InFlight_ = false;
  if (Status == StoreStatus::Done)
    return answer(I, W, {Outcome::Stored});
  if (Status != StoreStatus::NotDone)
    W->MayBeStored_ = true;
  // Nothing was stored and nothing can be: the caller may go elsewhere.
  if (!W->MayBeStored_)
    answer(I, W,
           rejectedByOutage(I, W->Job_, I.LastFailureAt_, W->GiveUpAt_,
                            "the store refused the record"));
}

void onBatch(Intake &I, std::uint32_t Partition, const Batch &Sent,
             StoreStatus Status) {
  --I.InFlight_;
  I.Lanes_[Partition].InFlight_ = false;
  if (Status != StoreStatus::Done) {
    I.LastFailureAt_ = I.Clock_();
    if (!I.OutageSince_)
      I.OutageSince_ = I.LastFailureAt_;
  }
  for (const std::shared_ptr<PendingWrite> &W : Sent)
    onAppended(I, W, Status);
  sendNext(I, Partition);
}

/// Takes what waits and fits into one append.
Batch takeBatch(Lane &L) {
  constexpr std::size_t MaxBatchBytes = 512 * 1024;
  Batch Out;
  std::size_t Bytes = 0;
  while (!L.Waiting_.empty() && Bytes < MaxBatchBytes) {
    std::shared_ptr<PendingWrite> W = L.Waiting_.front();
    L.Waiting_.pop_front();
    if (W->Answered_)
      continue;
    Bytes += W->Record_.Value_.size();
    Out.push_back(std::move(W));
  }
  return Out;
}

void sendNext(Intake &I, std::uint32_t Partition) {
  Lane &L = I.Lanes_[Partition];
  if (L.InFlight_)
    return;
  Batch Next = takeBatch(L);
  if (Next.empty())
    return;
  ledger::AppendCall Call;
  Call.To_ = {JobTopic, Partition};
  for (const std::shared_ptr<PendingWrite> &W : Next)
    Call.Records_.push_back(W->Record_);
  Call.Timeout_ = MaxAppendTime;
  ++I.InFlight_;
  L.InFlight_ = true;
  I.Store_->append(std::move(Call),
                   [&I, Partition, Next](const AppendReply &R) {
                     onBatch(I, Partition, Next, R.Status_);
                   });
}

void send(Intake &I, const std::shared_ptr<PendingWrite> &W) {
  W->InFlight_ = true;
  I.Lanes_[W->Partition_].Waiting_.push_back(W);
  sendNext(I, W->Partition_);
}

void append(Intake &I, std::uint32_t Partition, const JobId &Job, bool Cancel,
            ledger::KeyedRecord Record, const CallTimes &T, Reply Done) {
  auto W = std::make_shared<PendingWrite>();
  W->Partition_ = Partition;
  W->Job_ = Job;
  W->Cancel_ = Cancel;
  W->Record_ = std::move(Record);
  W->GiveUpAt_ = T.Now_ + timeFor(T);
  W->Reply_ = std::move(Done);
  I.Writes_.push_back(W);
  send(I, W);
}

bool isShown(const Intake &I, const PendingWrite &W) {
  const ledger::JobRow *Row = find(I, W.Partition_, W.Job_);
  return Row && (!W.Cancel_ || Row->Cancelled_);
}

/// Sends again what may or may not be stored, and gives up what is out of time.
void pushWrites(Intake &I, TimePoint Now) {
  auto Writes = I.Writes_;
  for (const std::shared_ptr<PendingWrite> &W : Writes) {
    if (isShown(I, *W)) {
      answer(I, W, {Outcome::Stored});
    } else if (Now >= W->GiveUpAt_) {
      count(I.Counters_, "write-unanswered");
      answer(I, W,
             rejected(ErrorKind::LogUnknown,
                      "no answer from the store; the record may be stored"));
    } else if (!W->InFlight_ && isStoreReachable(I, Now)) {
      count(I.Counters_, "write-resent");
      send(I, W);
    }
  }
}

void storeCancel(Intake &I, std::uint32_t Partition, const JobId &Job,
                 const ledger::JobRow &Row, const CallTimes &T, Reply Done) {
  if (Row.Cancelled_ || workflow::isClosed(Row.Progress_.state())) {
    Done({Outcome::Stored});
    return;
  }
  count(I.Counters_, "cancel");
  append(I, Partition, Job, true, ledger::makeCancel(Job), T, std::move(Done));
}

void answerKnown(Intake &I, const PendingCall &W, const ledger::JobRow &Row,
                 TimePoint Now) {
  if (!W.Cancel_) {
    W.Reply_({Outcome::State, ledger::shownState(Row)});
    return;
  }
  CallTimes T{Now, 0, elapsed(Now, W.GiveUpAt_) + AnswerMargin};
  storeCancel(I, W.Partition_, W.Job_, Row, T, W.Reply_);
}

void wait(Intake &I, std::uint32_t Partition, const JobId &Job, bool Cancel,
          const CallTimes &T, Reply Done) {
  I.PendingCalls_.push_back(
      {Partition, Job, Cancel, T.Now_, T.Now_ + timeFor(T), std::move(Done)});
  auto Copy = I.Partitions_.find(Partition);
  if (Copy != I.Partitions_.end())
    ledger::hurry(Copy->second.Tail_, T.Now_);
}

} // namespace

std::uint32_t partitionOf(const ServiceName &Service) {
  return std::uint32_t(stableHash(Service) % JobPartitions);
}

bool isStoreReachable(const Intake &I, TimePoint Now) {
  return std::any_of(
      I.Partitions_.begin(), I.Partitions_.end(), [&](const auto &P) {
        const ledger::Tail &T = P.second.Tail_;
        return T.Reachable_ && T.AnsweredAt_ > I.LastFailureAt_ &&
               Now - T.AnsweredAt_ < SilenceLimit;
      });
}

void submit(Intake &I, const workflow::Queue &Q, const JobId &Job,
            workflow::WorkflowSpec Spec, const CallTimes &T, Reply Done) {
  std::uint32_t Partition = partitionOf(Q.Service_);
  if (find(I, Partition, Job)) {
    count(I.Counters_, "submit-known");
    Done({Outcome::Stored});
    return;
  }
  if (!isStoreReachable(I, T.Now_)) {
    count(I.Counters_, "submit-rejected-store");
    if (!I.OutageSince_)
      I.OutageSince_ = T.Now_;
    Done(rejectedByOutage(I, Job, T.Now_, T.Now_ + timeFor(T),
                          "the store does not answer"));
    return;
  }
  count(I.Counters_, "submit");
  ledger::AcceptedJob Record{Q, T.NowUnixMs_, std::move(Spec)};
  append(I, Partition, Job, false, ledger::makeJob(Job, Record), T,
         std::move(Done));
}

void queryState(Intake &I, const workflow::Queue &Q, const JobId &Job,
                const CallTimes &T, Reply Done) {
  std::uint32_t Partition = partitionOf(Q.Service_);
  if (const ledger::JobRow *Row = find(I, Partition, Job)) {
    Done({Outcome::State, ledger::shownState(*Row)});
    return;
  }
  wait(I, Partition, Job, false, T, std::move(Done));
}

void cancel(Intake &I, const workflow::Queue &Q, const JobId &Job,
            const CallTimes &T, Reply Done) {
  std::uint32_t Partition = partitionOf(Q.Service_);
  if (const ledger::JobRow *Row = find(I, Partition, Job)) {
    storeCancel(I, Partition, Job, *Row, T, std::move(Done));
    return;
  }
  wait(I, Partition, Job, true, T, std::move(Done));
}

std::size_t countPendingJobs(const Intake &I, const workflow::Queue &Q) {
  auto It = I.Partitions_.find(partitionOf(Q.Service_));
  return It == I.Partitions_.end()
             ? 0
             : ledger::pendingJobs(It->second.Replica_, Q.Name_);
}

void onCopyUpdated(Intake &I, std::uint32_t Partition, TimePoint Now) {
  if (isStoreReachable(I, Now))
    I.OutageSince_.reset();
  pushWrites(I, Now);
  const PartitionCopy &Copy = I.Partitions_.at(Partition);
  for (auto It = I.PendingCalls_.begin(); It != I.PendingCalls_.end();) {
    const ledger::JobRow *Row =
        It->Partition_ == Partition ? find(I, Partition, It->Job_) : nullptr;
    bool Absent = It->Partition_ == Partition && !Row &&
                  Copy.Tail_.CurrentAt_ > It->AskedAt_;
    if (!Row && !Absent) {
      ++It;
      continue;
    }
    PendingCall W = std::move(*It);
    It = I.PendingCalls_.erase(It);
    if (Row)
      answerKnown(I, W, *Row, Now);
    else
      W.Reply_({Outcome::Unknown});
  }
}

void tick(Intake &I, TimePoint Now) {
  pushWrites(I, Now);
  for (auto It = I.PendingCalls_.begin(); It != I.PendingCalls_.end();) {
    if (Now < It->GiveUpAt_) {
      ++It;
      continue;
    }
    PendingCall W = std::move(*It);
    It = I.PendingCalls_.erase(It);
    count(I.Counters_, "ask-unanswered");
    W.Reply_(rejected(ErrorKind::LogUnavailable,
                      "the copy of the jobs is not current"));
  }
}

} // namespace pollenvale::intake
