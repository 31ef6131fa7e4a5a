/// Answers to the calls that wait when the process stops.
#include "intake/intake.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::intake;
using ledger::AppendReply;
using ledger::StoreStatus;

namespace {

/// Answers an append only when answer() is called.
class SilentStore : public ledger::Store {
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
    Done({Status});
  }

  std::vector<ledger::AppendCall> Appends_;
  std::vector<ledger::ReplyHandler<AppendReply>> Open_;
};

struct Fixture {
  SilentStore Store_;
  Intake Intake_;
  workflow::Queue Queue_;
  TimePoint Now_{std::chrono::seconds(50)};
  std::map<JobId, std::vector<Answer>> Answers_;

  Fixture() {
    Queue_.Name_ = "q";
    Queue_.Service_ = "s";
    Intake_.Store_ = &Store_;
    Intake_.Clock_ = [this] { return Now_; };
    read({});
  }

  /// Applies \p Records to the copy, which is then current.
  void read(const std::vector<ledger::KeyedRecord> &Records) {
    std::uint32_t Partition = partitionOf("s", Intake_.TopicPartitions_);
    PartitionCopy &Copy = Intake_.Partitions_[Partition];
    for (const ledger::KeyedRecord &R : Records)
      ledger::apply(Copy.Replica_, R, {});
    Now_ += Milliseconds(2);
    Copy.Tail_.Reachable_ = true;
    Copy.Tail_.AnsweredAt_ = Copy.Tail_.CurrentAt_ = Now_;
    onCopyUpdated(Intake_, Now_);
  }

  CallTimes times() const { return {Now_, 0, Milliseconds(30'000)}; }
  Reply replyFor(const JobId &Job) {
    return [this, Job](const Answer &A) { Answers_[Job].push_back(A); };
  }
  static workflow::WorkflowSpec spec() {
    workflow::WorkflowSpec S;
    S.Steps_.resize(1);
    return S;
  }
  void submit(const JobId &Job) {
    intake::submit(Intake_, Queue_, Job, spec(), times(), replyFor(Job));
  }
  void query(const JobId &Job) {
    queryState(Intake_, Queue_, Job, times(), replyFor(Job));
  }
  void cancel(const JobId &Job) {
    intake::cancel(Intake_, Queue_, Job, times(), replyFor(Job));
  }
  ledger::KeyedRecord record(const JobId &Job) const {
    return ledger::makeJob(Job, ledger::AcceptedJob{Queue_, 0, spec()});
  }

  const Answer &answerTo(const JobId &Job) {
    cr_assert_eq(Answers_[Job].size(), 1u, "%zu answers to %s",
                 Answers_[Job].size(), Job.c_str());
    return Answers_[Job].front();
  }
  bool isRejected(const JobId &Job, RunState Run) {
    const Answer &A = answerTo(Job);
    return A.Outcome_ == Outcome::Rejected &&
           errorRow(A.Error_.Kind_).Run_ == Run;
  }
};

} // namespace

// Guards against LOST: a write whose append has ended without a result waits
// unanswered until the process is gone.
Test(stop, a_write_that_may_be_stored_is_answered_as_unknown) {
  Fixture F;
  F.submit("in-flight");
  stop(F.Intake_);
  cr_assert(F.isRejected("in-flight", RunState::Unknown));

  Fixture G;
  G.submit("no-result");
  G.Store_.answer(StoreStatus::Unknown);
  stop(G.Intake_);
  cr_assert(G.isRejected("no-result", RunState::Unknown));
}

// Guards against "not run" for a job that runs, and against jobs given up as
// unknown that were certainly not stored.
Test(stop, a_write_that_was_never_sent_is_rejected_as_not_run) {
  Fixture F;
  F.submit("sent");
  F.submit("queued");
  stop(F.Intake_);
  cr_assert(F.isRejected("queued", RunState::NotRun));
  F.Store_.answer(StoreStatus::Done);
  cr_assert_eq(F.Store_.Appends_.size(), 1u, "stored after the rejection");
  cr_assert(F.isRejected("sent", RunState::Unknown));
}

// Guards against "not run" for a write that is queued for the second time.
Test(stop, a_write_that_is_to_be_sent_again_may_be_stored) {
  Fixture F;
  F.submit("again");
  F.submit("other");
  F.Store_.answer(StoreStatus::Unknown);
  F.read({});
  cr_assert_eq(F.Store_.Appends_.size(), 2u);
  stop(F.Intake_);
  cr_assert(F.isRejected("again", RunState::Unknown));
}

Test(stop, a_write_found_in_the_copy_is_confirmed) {
  Fixture F;
  F.submit("stored");
  F.Store_.answer(StoreStatus::Unknown);
  ledger::apply(F.Intake_.Partitions_.begin()->second.Replica_,
                F.record("stored"), {});
  stop(F.Intake_);
  cr_assert(F.answerTo("stored").Outcome_ == Outcome::Stored);
}

// Guards against LOST: calls that wait for a copy that doesn't get current.
Test(stop, calls_that_wait_for_the_copy_are_rejected_as_not_run) {
  Fixture F;
  F.query("asked");
  F.cancel("cancelled");
  stop(F.Intake_);
  cr_assert(F.isRejected("asked", RunState::NotRun));
  cr_assert(F.isRejected("cancelled", RunState::NotRun));
  F.read({F.record("cancelled")});
  cr_assert(F.Store_.Appends_.empty(), "cancelled after the rejection");
}

// Guards against calls that are begun when there is no time to end them.
Test(stop, later_calls_are_answered_at_once) {
  Fixture F;
  F.read({F.record("known")});
  stop(F.Intake_);
  F.submit("new");
  F.query("missing");
  F.cancel("known");
  cr_assert(F.isRejected("new", RunState::NotRun));
  cr_assert(F.isRejected("missing", RunState::NotRun));
  cr_assert(F.isRejected("known", RunState::NotRun));
  cr_assert(F.Store_.Appends_.empty());
  F.Answers_.clear();
  F.query("known");
  cr_assert(F.answerTo("known").Outcome_ == Outcome::State);
}
