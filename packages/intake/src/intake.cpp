#include "intake/intake.hpp"

#include <algorithm>

namespace pollenvale::intake {

using ledger::AppendReply;
using ledger::StoreStatus;

namespace {

/// Kept back from a caller's deadline for the way of the answer.
constexpr Milliseconds AnswerMargin{350};
constexpr Milliseconds MaxAppendTime{2'000};
/// A store silent for this long takes no new jobs.
constexpr Milliseconds SilenceLimit{2'600};

Milliseconds timeFor(const Times &T) {
  return std::max(Milliseconds(50), T.Deadline_ - AnswerMargin);
}

Answer rejected(ErrorKind Kind, std::string Message) {
  return {Outcome::Rejected, {}, makeError(Kind, std::move(Message))};
}

const ledger::JobRow *find(const Intake &I, std::uint32_t Partition,
                           const JobId &Job) {
  auto It = I.Partitions_.find(Partition);
  if (It == I.Partitions_.end())
    return nullptr;
  auto Row = It->second.Replica_.Jobs_.find(Job);
  return Row == It->second.Replica_.Jobs_.end() ? nullptr : &Row->second;
}

/// Answer to an append that carries one fact.
Answer toAnswer(const AppendReply &R) {
  if (R.Status_ == StoreStatus::Done)
    return {Outcome::Stored};
  if (R.Status_ == StoreStatus::NotDone)
    return rejected(ErrorKind::LogUnavailable, "the store refused the record");
  return rejected(ErrorKind::LogUnknown,
                  "no answer from the store; the record may be stored");
}

void append(Intake &I, std::uint32_t Partition, ledger::KeyedRecord Record,
            const Times &T, Reply Done) {
  ledger::AppendCall Call;
  Call.To_ = {JobTopic, Partition};
  Call.Records_.push_back(std::move(Record));
  Call.Timeout_ = std::min(MaxAppendTime, timeFor(T));
  ++I.InFlight_;
  I.Store_->append(std::move(Call), [&I, Done](const AppendReply &R) {
    --I.InFlight_;
    Done(toAnswer(R));
  });
}

void storeCancel(Intake &I, std::uint32_t Partition, const JobId &Job,
                 const ledger::JobRow &Row, const Times &T, Reply Done) {
  if (Row.Cancelled_ || workflow::isClosed(Row.Progress_.state())) {
    Done({Outcome::Stored});
    return;
  }
  count(I.Counters_, "cancel");
  append(I, Partition, ledger::makeCancel(Job), T, std::move(Done));
}

void answerKnown(Intake &I, const Waiter &W, const ledger::JobRow &Row,
                 TimePoint Now) {
  if (!W.Cancel_) {
    W.Reply_({Outcome::State, ledger::shownState(Row)});
    return;
  }
  Times T{Now, 0, elapsed(Now, W.GiveUpAt_) + AnswerMargin};
  storeCancel(I, W.Partition_, W.Job_, Row, T, W.Reply_);
}

void wait(Intake &I, std::uint32_t Partition, const JobId &Job, bool Cancel,
          const Times &T, Reply Done) {
  I.Waiters_.push_back(
      {Partition, Job, Cancel, T.Now_, T.Now_ + timeFor(T), std::move(Done)});
}

} // namespace

std::uint32_t partitionOf(const ServiceName &Service) {
  return std::uint32_t(stableHash(Service) % JobPartitions);
}

bool isStoreReachable(const Intake &I, TimePoint Now) {
  return std::any_of(I.Partitions_.begin(), I.Partitions_.end(),
                     [&](const auto &P) {
                       const ledger::Tail &T = P.second.Tail_;
                       return Now - T.AnsweredAt_ < SilenceLimit;
                     });
}

void submit(Intake &I, const workflow::Queue &Q, const JobId &Job,
            workflow::WorkflowSpec Spec, const Times &T, Reply Done) {
  std::uint32_t Partition = partitionOf(Q.Service_);
  if (find(I, Partition, Job)) {
    count(I.Counters_, "submit-known");
    Done({Outcome::Stored});
    return;
  }
  if (!isStoreReachable(I, T.Now_)) {
    count(I.Counters_, "submit-rejected-store");
    Done(rejected(ErrorKind::LogUnavailable, "the store does not answer"));
    return;
  }
  count(I.Counters_, "submit");
  ledger::AcceptedJob Record{Q, T.NowUnixMs_, std::move(Spec)};
  append(I, Partition, ledger::makeJob(Job, Record), T, std::move(Done));
}

void askState(Intake &I, const workflow::Queue &Q, const JobId &Job,
              const Times &T, Reply Done) {
  std::uint32_t Partition = partitionOf(Q.Service_);
  if (const ledger::JobRow *Row = find(I, Partition, Job)) {
    Done({Outcome::State, ledger::shownState(*Row)});
    return;
  }
  wait(I, Partition, Job, false, T, std::move(Done));
}

void cancel(Intake &I, const workflow::Queue &Q, const JobId &Job,
            const Times &T, Reply Done) {
  std::uint32_t Partition = partitionOf(Q.Service_);
  if (const ledger::JobRow *Row = find(I, Partition, Job)) {
    storeCancel(I, Partition, Job, *Row, T, std::move(Done));
    return;
  }
  wait(I, Partition, Job, true, T, std::move(Done));
}

std::size_t pending(const Intake &I, const workflow::Queue &Q) {
  auto It = I.Partitions_.find(partitionOf(Q.Service_));
  return It == I.Partitions_.end()
             ? 0
             : ledger::pendingJobs(It->second.Replica_, Q.Name_);
}

void onProgress(Intake &I, std::uint32_t Partition, TimePoint Now) {
  const PartitionCopy &Copy = I.Partitions_.at(Partition);
  for (auto It = I.Waiters_.begin(); It != I.Waiters_.end();) {
    const ledger::JobRow *Row =
        It->Partition_ == Partition ? find(I, Partition, It->Job_) : nullptr;
    bool Absent = It->Partition_ == Partition && !Row &&
                  Copy.Tail_.CurrentAt_ > It->AskedAt_;
    if (!Row && !Absent) {
      ++It;
      continue;
    }
    Waiter W = std::move(*It);
    It = I.Waiters_.erase(It);
    if (Row)
      answerKnown(I, W, *Row, Now);
    else
      W.Reply_({Outcome::Unknown});
  }
}

void tick(Intake &I, TimePoint Now) {
  for (auto It = I.Waiters_.begin(); It != I.Waiters_.end();) {
    if (Now < It->GiveUpAt_) {
      ++It;
      continue;
    }
    Waiter W = std::move(*It);
    It = I.Waiters_.erase(It);
    count(I.Counters_, "ask-unanswered");
    W.Reply_(rejected(ErrorKind::LogUnavailable,
                      "the copy of the jobs is not current"));
  }
}

} // namespace pollenvale::intake
