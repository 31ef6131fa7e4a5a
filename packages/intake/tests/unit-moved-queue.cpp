/// A queue moves to another service while callers submit jobs: each job is
/// accepted once, whichever configuration the entries have read.
#include "intake/intake.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::intake;
using ledger::KeyedRecord;

namespace {

constexpr std::uint32_t Partitions = 32;

/// The partitions of the job topic. Appends are executed at once.
class Log : public ledger::Store {
public:
  void append(ledger::AppendCall Call,
              ledger::ReplyHandler<ledger::AppendReply> Done) override {
    auto &Records = Records_[Call.Partition_.Number_];
    for (KeyedRecord R : Call.Records_) {
      R.Offset_ = Records.size();
      Records.push_back(std::move(R));
    }
    Done({ledger::StoreStatus::Done});
  }
  void read(ledger::ReadCall,
            ledger::ReplyHandler<ledger::ReadReply>) override {}
  void readNewest(ledger::NewestCall,
                  ledger::ReplyHandler<ledger::NewestReply>) override {}

  std::map<std::uint32_t, std::vector<KeyedRecord>> Records_;
};

/// The configuration \p Version, in which the queue "q" belongs to \p Service.
workflow::Catalog catalog(std::uint64_t Version, const ServiceName &Service) {
  workflow::Catalog C;
  C.Version_ = Version;
  workflow::Queue Q;
  Q.Name_ = "q";
  Q.Service_ = Service;
  C.Queues_ = {Q};
  return C;
}

/// One entry. Reads the log only when a test says so.
struct Entry {
  explicit Entry(Log &Log) : Log_(Log) {
    Intake_.Store_ = &Log;
    Intake_.TopicPartitions_ = Partitions;
    Intake_.Clock_ = [this] { return Now_; };
    for (const char *Service : {"alpha", "beta"})
      Intake_.Partitions_[partitionOf(Service, Partitions)];
  }

  void configure(const workflow::Catalog &C) {
    onCatalog(Intake_, Catalog_, C);
    Catalog_ = C;
  }
  /// Reads all records of the service's partition that are new.
  void read(const ServiceName &Service) {
    std::uint32_t Number = partitionOf(Service, Partitions);
    auto &Records = Log_.Records_[Number];
    PartitionCopy &Copy = Intake_.Partitions_.at(Number);
    Now_ += Milliseconds(2);
    for (; Copy.Tail_.Next_ < Records.size(); ++Copy.Tail_.Next_)
      ledger::apply(Copy.Replica_, Records[Copy.Tail_.Next_], {});
    Copy.Tail_.Reachable_ = true;
    Copy.Tail_.AnsweredAt_ = Copy.Tail_.CurrentAt_ = Now_;
    onCopyUpdated(Intake_, Now_);
  }
  void read() {
    read("alpha");
    read("beta");
  }
  void submit(const JobId &Job) {
    workflow::WorkflowSpec Spec;
    Spec.Steps_.resize(1);
    intake::submit(Intake_, Catalog_.Queues_.front(), Job, Spec,
                   {Now_, 0, Milliseconds(3'000)},
                   [this](const Answer &A) { Answers_.push_back(A); });
  }
  void ask(const JobId &Job, bool Cancel) {
    CallTimes T{Now_, 0, Milliseconds(3'000)};
    auto Done = [this](const Answer &A) { Answers_.push_back(A); };
    const workflow::Queue &Q = Catalog_.Queues_.front();
    if (Cancel)
      intake::cancel(Intake_, Q, Job, T, Done);
    else
      queryState(Intake_, Q, Job, T, Done);
  }
  /// Reads until the entry has nothing more to do.
  void settle() {
    for (int I = 0; I < 4; ++I)
      read();
  }

  Log &Log_;
  Intake Intake_;
  workflow::Catalog Catalog_;
  TimePoint Now_{std::chrono::seconds(50)};
  std::vector<Answer> Answers_;
};

/// Entries "Stale_" and "Present_", after a job of the queue has been accepted
/// for its first service "alpha".
struct MovingQueue {
  MovingQueue() {
    for (Entry *E : {&Stale_, &Present_}) {
      E->configure(catalog(1, "alpha"));
      E->read();
    }
    Stale_.submit("j0");
    for (Entry *E : {&Stale_, &Present_})
      E->settle();
    Stale_.Answers_.clear();
  }

  /// Services whose copy, as another entry would load it, contains the job.
  std::vector<ServiceName> services(const JobId &Job) {
    std::vector<ServiceName> Out;
    for (const char *Service : {"alpha", "beta"}) {
      ledger::Replica Copy;
      for (const KeyedRecord &R :
           Log_.Records_[partitionOf(Service, Partitions)])
        ledger::apply(Copy, R, {});
      if (Copy.Jobs_.count(Job))
        Out.push_back(Service);
    }
    return Out;
  }

  Log Log_;
  Entry Stale_{Log_}, Present_{Log_};
};

bool isAccepted(const Entry &E) {
  return E.Answers_.size() == 1 && E.Answers_[0].Outcome_ == Outcome::Stored;
}

} // namespace

// Guards against TWICE: an entry that stood still accepted a job for the former
// service of its queue, after another entry had accepted it for the present
// one.
Test(moved_queue, a_late_acceptance_by_the_former_configuration_is_void) {
  MovingQueue M;
  M.Present_.configure(catalog(2, "beta"));
  M.Present_.submit("j1");
  M.Present_.settle();
  cr_assert(isAccepted(M.Present_));
  M.Stale_.submit("j1");
  M.Stale_.settle();
  cr_assert_eq(M.services("j1"), std::vector<ServiceName>{"beta"});
  cr_assert_eq(M.Stale_.Answers_.size(), 1u);
  const Error &E = M.Stale_.Answers_[0].Error_;
  cr_assert(errorRow(E.Kind_).Run_ == RunState::Unknown, "callers try again");
}

// The same for an entry that has started after the queue moved.
Test(moved_queue, an_entry_that_did_not_see_the_move_closes_the_queue) {
  MovingQueue M;
  Entry Fresh(M.Log_);
  Fresh.configure(catalog(2, "beta"));
  Fresh.settle();
  Fresh.submit("j1");
  Fresh.settle();
  cr_assert(isAccepted(Fresh));
  M.Stale_.submit("j1");
  M.Stale_.settle();
  cr_assert_eq(M.services("j1"), std::vector<ServiceName>{"beta"});
}

// An acceptance just before the queue is closed stands.
Test(moved_queue, an_earlier_acceptance_by_the_former_configuration_stands) {
  MovingQueue M;
  M.Present_.configure(catalog(2, "beta"));
  M.Stale_.submit("j1");
  M.Present_.submit("j1");
  cr_assert(M.Present_.Answers_.empty(), "it is not known yet");
  M.Present_.settle();
  M.Stale_.settle();
  cr_assert(isAccepted(M.Present_));
  cr_assert(isAccepted(M.Stale_));
  cr_assert_eq(M.services("j1"), std::vector<ServiceName>{"alpha"});
}

// The queue may move back: what was closed by an older version is open again.
Test(moved_queue, a_queue_that_moves_back_accepts_jobs) {
  MovingQueue M;
  M.Present_.configure(catalog(2, "beta"));
  M.Present_.submit("j1");
  M.Present_.settle();
  M.Present_.configure(catalog(3, "alpha"));
  M.Present_.submit("j2");
  M.Present_.settle();
  cr_assert_eq(M.Present_.Answers_.size(), 2u);
  cr_assert(M.Present_.Answers_[1].Outcome_ == Outcome::Stored);
  cr_assert_eq(M.services("j2"), std::vector<ServiceName>{"alpha"});
}

// Guards against a queue that is closed where it is at home now.
Test(moved_queue, an_entry_behind_the_configuration_closes_nothing) {
  MovingQueue M;
  M.Present_.configure(catalog(2, "beta"));
  M.Present_.submit("j1");
  M.Present_.settle();
  M.Stale_.settle();
  M.Stale_.submit("j2");
  M.Stale_.settle();
  cr_assert(M.Stale_.Answers_.empty());
  M.Stale_.Now_ += Milliseconds(3'000);
  tick(M.Stale_.Intake_, M.Stale_.Now_);
  const Error &E = M.Stale_.Answers_.at(0).Error_;
  cr_assert(errorRow(E.Kind_).Run_ == RunState::NotRun);
  cr_assert(M.services("j2").empty());
  M.Stale_.configure(catalog(2, "beta"));
  M.Stale_.read();
  M.Stale_.submit("j3");
  M.Stale_.settle();
  cr_assert(M.Stale_.Answers_.at(1).Outcome_ == Outcome::Stored);
  cr_assert_eq(M.services("j3"), std::vector<ServiceName>{"beta"});
}

// A held job is sent to the service of the configuration that comes meanwhile.
Test(moved_queue, a_held_job_follows_its_queue) {
  MovingQueue M;
  M.Present_.configure(catalog(2, "beta"));
  M.Present_.submit("j1");
  M.Present_.configure(catalog(3, "alpha"));
  M.Present_.settle();
  cr_assert(isAccepted(M.Present_));
  cr_assert_eq(M.services("j1"), std::vector<ServiceName>{"alpha"});
}

// Guards against LOST: right after its queue had moved, a job was answered 410
// by an entry that had not read it yet, and its cancellation, too.
Test(moved_queue, a_job_of_a_moved_queue_is_waited_for_where_it_may_be) {
  for (bool Cancel : {false, true}) {
    MovingQueue M;
    M.Stale_.submit("j1");
    M.Present_.configure(catalog(2, "beta"));
    M.Present_.ask("j1", Cancel);
    M.Present_.read("beta");
    cr_assert(M.Present_.Answers_.empty(), "it may be in the other copy");
    M.Present_.read("alpha");
    M.Present_.settle();
    cr_assert_eq(M.Present_.Answers_.size(), 1u);
    cr_assert(M.Present_.Answers_[0].Outcome_ ==
              (Cancel ? Outcome::Stored : Outcome::State));
  }
}

Test(moved_queue, an_unknown_job_is_answered_once_both_copies_are_newer) {
  MovingQueue M;
  M.Present_.configure(catalog(2, "beta"));
  M.Present_.ask("j9", false);
  M.Present_.read("alpha");
  cr_assert(M.Present_.Answers_.empty());
  M.Present_.read("beta");
  cr_assert(M.Present_.Answers_.at(0).Outcome_ == Outcome::Unknown);
}
