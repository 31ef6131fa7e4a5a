/// Answers to callers and their timing.
#include "intake/intake.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::intake;
using ledger::AppendReply;
using ledger::StoreStatus;

namespace {

/// Records appends; a test answers them with answer().
class FakeStore : public ledger::Store {
public:
  void append(ledger::AppendCall Call,
              ledger::ReplyHandler<AppendReply> Done) override {
    Appends_.push_back(std::move(Call));
    Open_.push_back(std::move(Done));
  }
  void read(ledger::ReadCall,
            ledger::ReplyHandler<ledger::ReadReply>) override {}
  void readNewest(ledger::NewestCall,
                  ledger::ReplyHandler<ledger::NewestReply>) override {}

  void answer(StoreStatus Status) {
    auto Done = std::move(Open_.front());
    Open_.erase(Open_.begin());
    const ledger::AppendCall &Call = Appends_[Answered_++];
    if (Status == StoreStatus::Done && Delivers_)
      Delivers_(Call);
    Done({Status});
  }

  std::vector<ledger::AppendCall> Appends_;
  std::vector<ledger::ReplyHandler<AppendReply>> Open_;
  std::size_t Answered_ = 0; ///< Appends answered so far.
  /// Hands stored records to the copy before the answer, as the relay does.
  std::function<void(const ledger::AppendCall &)> Delivers_;
};

struct Fixture {
  FakeStore Store_;
  Intake Intake_;
  workflow::Queue Queue_;
  std::uint32_t Partition_ = 0;
  TimePoint Now_{std::chrono::seconds(50)};
  std::vector<Answer> Answers_;

  Fixture() {
    Queue_.Name_ = "q";
    Queue_.Service_ = "s";
    Partition_ = partitionOf("s", Intake_.TopicPartitions_);
    Intake_.Store_ = &Store_;
    Intake_.Clock_ = [this] { return Now_; };
    Store_.Delivers_ = [this](const ledger::AppendCall &Call) {
      auto &Copy = Intake_.Partitions_[Call.Partition_.Number_].Replica_;
      for (const ledger::KeyedRecord &R : Call.Records_)
        ledger::apply(Copy, R, {});
    };
    read();
  }

  /// Applies \p Records to the copy and marks it as current.
  void read(const std::vector<ledger::KeyedRecord> &Records = {}) {
    PartitionCopy &Copy = Intake_.Partitions_[Partition_];
    for (const ledger::KeyedRecord &R : Records)
      ledger::apply(Copy.Replica_, R, {});
    Now_ += Milliseconds(2);
    Copy.Tail_.Reachable_ = true;
    Copy.Tail_.AnsweredAt_ = Copy.Tail_.CurrentAt_ = Now_;
    onCopyUpdated(Intake_, Now_);
  }

  CallTimes times() const { return {Now_, 0, Milliseconds(3'000)}; }
  Reply reply() {
    return [this](const Answer &A) { Answers_.push_back(A); };
  }
  static workflow::WorkflowSpec spec() {
    workflow::WorkflowSpec S;
    S.Steps_.resize(1);
    return S;
  }
  void submit() {
    intake::submit(Intake_, Queue_, "j1", spec(), times(), reply());
  }
  ledger::KeyedRecord record() const {
    ledger::AcceptedJob J{Queue_, 0, spec()};
    return ledger::makeJob("j1", J);
  }
};

} // namespace

// Guards against confirming a job that is lost if the entry dies.
Test(intake, a_job_is_accepted_once_it_is_stored) {
  Fixture F;
  F.submit();
  cr_assert(F.Answers_.empty());
  F.Store_.answer(StoreStatus::Done);
  cr_assert(F.Answers_.at(0).Outcome_ == Outcome::Stored);
}

// A queue that has moved may have been closed in the partition just before.
Test(intake, a_stored_job_is_accepted_once_the_copy_contains_it) {
  Fixture F;
  F.Store_.Delivers_ = nullptr;
  F.submit();
  F.Store_.answer(StoreStatus::Done);
  F.read();
  cr_assert(F.Answers_.empty());
  cr_assert_eq(F.Store_.Appends_.size(), 1u, "it is not sent again");
  F.read({F.record()});
  cr_assert(F.Answers_.at(0).Outcome_ == Outcome::Stored);
}

// Guards against LOST: no entry that starts later finds the job of a service
// that nothing in the store names.
Test(intake, a_job_waits_until_its_service_is_known) {
  Fixture F;
  bool Known = false;
  F.Intake_.EnsureKnown_ = [&](const ServiceName &) { return Known; };
  F.submit();
  cr_assert(F.Store_.Appends_.empty());
  Known = true;
  tick(F.Intake_, F.Now_);
  cr_assert_eq(F.Store_.Appends_.size(), 1u);
  F.Store_.answer(StoreStatus::Done);
  cr_assert(F.Answers_.at(0).Outcome_ == Outcome::Stored);
}

Test(intake, a_job_whose_service_stays_unknown_is_rejected_as_not_run) {
  Fixture F;
  F.Intake_.EnsureKnown_ = [](const ServiceName &) { return false; };
  F.submit();
  F.Now_ += Milliseconds(3'000);
  tick(F.Intake_, F.Now_);
  cr_assert(errorRow(F.Answers_.at(0).Error_.Kind_).Run_ == RunState::NotRun);
  cr_assert(F.Store_.Appends_.empty());
}

Test(intake, a_known_job_is_not_stored_again) {
  Fixture F;
  F.read({F.record()});
  F.submit();
  cr_assert(F.Answers_.at(0).Outcome_ == Outcome::Stored);
  cr_assert(F.Store_.Appends_.empty());
}

Test(intake, a_refused_append_is_rejected_as_not_run) {
  Fixture F;
  F.submit();
  F.Store_.answer(StoreStatus::NotDone);
  const Error &E = F.Answers_.at(0).Error_;
  cr_assert(errorRow(E.Kind_).Run_ == RunState::NotRun);
}

Test(intake, an_append_without_an_answer_is_sent_again) {
  Fixture F;
  F.submit();
  F.Store_.answer(StoreStatus::Unknown);
  cr_assert(F.Answers_.empty());
  F.read();
  cr_assert_eq(F.Store_.Appends_.size(), 2u);
  F.Store_.answer(StoreStatus::Done);
  cr_assert(F.Answers_.at(0).Outcome_ == Outcome::Stored);
}

// Guards against a caller that submits elsewhere a job that is stored after
// all.
Test(intake, a_write_that_may_be_stored_is_not_rejected_as_not_run) {
  Fixture F;
  F.submit();
  F.Store_.answer(StoreStatus::Unknown);
  F.read();
  F.Store_.answer(StoreStatus::NotDone);
  cr_assert(F.Answers_.empty());
  F.Now_ += Milliseconds(3'000);
  tick(F.Intake_, F.Now_);
  cr_assert(errorRow(F.Answers_.at(0).Error_.Kind_).Run_ == RunState::Unknown);
}

Test(intake, a_write_found_in_the_copy_is_confirmed_once) {
  Fixture F;
  F.submit();
  F.read({F.record()});
  cr_assert(F.Answers_.at(0).Outcome_ == Outcome::Stored);
  F.Store_.answer(StoreStatus::Unknown);
  cr_assert_eq(F.Answers_.size(), 1u);
}

// Guards against callers that wait out their deadline during an outage.
Test(intake, jobs_are_rejected_at_once_while_the_store_fails) {
  Fixture F;
  F.submit();
  F.Store_.answer(StoreStatus::NotDone);
  F.Now_ += Milliseconds(2'500);
  F.submit();
  cr_assert_eq(F.Store_.Appends_.size(), 1u);
  cr_assert_eq(F.Answers_.size(), 2u);
  cr_assert_gt(F.Answers_[1].RetryAfter_.count(),
               F.Answers_[0].RetryAfter_.count());
  F.read();
  F.submit();
  cr_assert_eq(F.Store_.Appends_.size(), 2u);
}

// Guards against reporting a job as unknown that was accepted by another entry
// just before the query.
Test(intake, a_job_is_unknown_only_if_the_copy_is_newer_than_the_query) {
  Fixture F;
  queryState(F.Intake_, F.Queue_, "j1", F.times(), F.reply());
  cr_assert(F.Answers_.empty());
  F.read();
  cr_assert(F.Answers_.at(0).Outcome_ == Outcome::Unknown);
}

Test(intake, a_query_is_answered_when_the_copy_receives_the_job) {
  Fixture F;
  queryState(F.Intake_, F.Queue_, "j1", F.times(), F.reply());
  F.read({F.record()});
  cr_assert(F.Answers_.at(0).Outcome_ == Outcome::State);
}

Test(intake, a_query_without_a_current_copy_is_rejected) {
  Fixture F;
  queryState(F.Intake_, F.Queue_, "j1", F.times(), F.reply());
  F.Now_ += Milliseconds(3'000);
  tick(F.Intake_, F.Now_);
  cr_assert(F.Answers_.at(0).Outcome_ == Outcome::Rejected);
}

Test(intake, a_cancellation_is_stored_once) {
  Fixture F;
  F.read({F.record()});
  intake::cancel(F.Intake_, F.Queue_, "j1", F.times(), F.reply());
  cr_assert_eq(F.Store_.Appends_.size(), 1u);
  F.Store_.answer(StoreStatus::Done);
  F.read({ledger::makeCancel("j1")});
  intake::cancel(F.Intake_, F.Queue_, "j1", F.times(), F.reply());
  cr_assert_eq(F.Store_.Appends_.size(), 1u);
  cr_assert_eq(F.Answers_.size(), 2u);
}

Test(intake, pending_counts_jobs_of_the_queue) {
  Fixture F;
  cr_assert_eq(countPendingJobs(F.Intake_, F.Queue_), 0u);
  F.read({F.record()});
  cr_assert_eq(countPendingJobs(F.Intake_, F.Queue_), 1u);
}

// Guards against long waits at a slow store, which executes the appends to a
// partition one after another.
Test(intake, writes_during_an_append_share_the_next_one) {
  Fixture F;
  for (const char *Job : {"j1", "j2", "j3", "j4"})
    intake::submit(F.Intake_, F.Queue_, Job, Fixture::spec(), F.times(),
                   F.reply());
  cr_assert_eq(F.Store_.Appends_.size(), 1u);
  F.Store_.answer(StoreStatus::Done);
  cr_assert_eq(F.Store_.Appends_.size(), 2u);
  cr_assert_eq(F.Store_.Appends_[1].Records_.size(), 3u);
  F.Store_.answer(StoreStatus::Done);
  cr_assert_eq(F.Answers_.size(), 4u);
}

// Guards against an append that the store refuses each time, since its records
// together exceed the limit of one call.
Test(intake, records_of_one_append_fit_into_a_call) {
  Fixture F;
  constexpr std::size_t Jobs = 20, RecordsPerCall = 3;
  std::size_t RecordBytes = ledger::callBytes(F.record());
  F.Intake_.StoreLimits_.CallBytes_ = RecordBytes * RecordsPerCall + 50;
  for (std::size_t I = 0; I < Jobs; ++I)
    intake::submit(F.Intake_, F.Queue_, "j" + std::to_string(I), F.spec(),
                   F.times(), F.reply());
  while (!F.Store_.Open_.empty())
    F.Store_.answer(StoreStatus::Done);
  cr_assert_eq(F.Answers_.size(), Jobs);
  for (const ledger::AppendCall &Call : F.Store_.Appends_) {
    std::size_t Bytes = 0;
    for (const ledger::KeyedRecord &R : Call.Records_)
      Bytes += ledger::callBytes(R);
    cr_assert_leq(Bytes, F.Intake_.StoreLimits_.CallBytes_);
  }
}

// Guards against a caller that is told to try again with a job that the store
// refuses each time.
Test(intake, a_job_larger_than_a_record_is_rejected_at_once) {
  Fixture F;
  F.Intake_.StoreLimits_.RecordBytes_ = ledger::recordBytes(F.record()) - 1;
  F.submit();
  cr_assert(F.Store_.Appends_.empty());
  cr_assert(F.Answers_.at(0).Error_.Kind_ == ErrorKind::BadSpec);
}

// Guards against a job whose progress can't be stored once its tasks fail.
Test(intake, a_job_whose_progress_may_exceed_a_record_is_rejected) {
  Fixture F;
  F.Intake_.StoreLimits_.RecordBytes_ = 1'000;
  workflow::WorkflowSpec Spec = F.spec();
  Spec.Steps_[0].Count_ = 1'000 / workflow::MaxProgressBytesPerTask;
  intake::submit(F.Intake_, F.Queue_, "j1", Spec, F.times(), F.reply());
  cr_assert_eq(F.Store_.Appends_.size(), 1u);
  ++Spec.Steps_[0].Count_;
  intake::submit(F.Intake_, F.Queue_, "j2", Spec, F.times(), F.reply());
  cr_assert(F.Answers_.at(0).Error_.Kind_ == ErrorKind::BadSpec);
}

// Guards against LOST: a queue was removed and came back with another service,
// and jobs accepted before were looked for in the partition of the new one
// only.
Test(intake, a_job_is_found_after_its_queue_has_moved_to_another_service) {
  Fixture F;
  F.Intake_.TopicPartitions_ = 32;
  F.Queue_.Service_ = "alpha";
  F.Partition_ = partitionOf("alpha", 32);
  F.read({F.record()});
  std::uint32_t Former = F.Partition_;
  F.Queue_.Service_ = "beta";
  F.Partition_ = partitionOf("beta", 32);
  cr_assert_neq(F.Partition_, Former);
  F.read();
  cr_assert_eq(countPendingJobs(F.Intake_, F.Queue_), 1u);
  queryState(F.Intake_, F.Queue_, "j1", F.times(), F.reply());
  cr_assert_eq(F.Answers_.size(), 1u);
  cr_assert(F.Answers_[0].Outcome_ == Outcome::State);
  F.submit();
  cr_assert(F.Answers_.at(1).Outcome_ == Outcome::Stored);
  cr_assert(F.Store_.Appends_.empty(), "it remains one job");
  cancel(F.Intake_, F.Queue_, "j1", F.times(), F.reply());
  cr_assert_eq(F.Store_.Appends_.at(0).Partition_.Number_, Former);
}

// Another queue may have a job of the same id.
Test(intake, a_job_of_another_queue_is_not_taken_for_one_of_this) {
  Fixture F;
  F.Intake_.TopicPartitions_ = 32;
  F.Queue_.Service_ = "alpha";
  F.Partition_ = partitionOf("alpha", 32);
  F.read({F.record()});
  F.Queue_ = {"other", "", "", "beta"};
  F.Partition_ = partitionOf("beta", 32);
  F.read();
  F.submit();
  cr_assert_eq(F.Store_.Appends_.size(), 1u);
  cr_assert_eq(countPendingJobs(F.Intake_, F.Queue_), 0u);
}
