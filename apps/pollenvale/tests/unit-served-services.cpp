/// Services that are served after they have left the configuration.
#include "fleet/served_services.hpp"

#include "fleet/job_copies.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using fleet::ServedServices;
using workflow::JobState;

namespace {

constexpr std::uint32_t TopicPartitions = 4;

ledger::KeyedRecord jobOf(const ServiceName &Service) {
  ledger::AcceptedJob Job;
  Job.Queue_.Name_ = "q";
  Job.Queue_.Service_ = Service;
  Job.Spec_.Steps_.resize(1);
  return ledger::makeJob("j1", Job);
}

ledger::KeyedRecord progressOf(JobState State) {
  workflow::Progress P;
  P.State_ = int(State);
  ledger::KeyedRecord R = ledger::makeProgress("j1", P);
  R.Offset_ = 1;
  return R;
}

/// What an entry has read.
struct Entry {
  workflow::Catalog Catalog_;
  ownership::State Claims_;
  intake::Intake Copies_;
  ServedServices Services_;

  Entry() { Copies_.TopicPartitions_ = TopicPartitions; }

  void configure(const std::vector<ServiceName> &Services) {
    Catalog_.Services_.clear();
    for (const ServiceName &Name : Services)
      Catalog_.Services_.push_back({Name});
  }
  void claim(const ServiceName &Service) {
    ownership::ClaimRecord R{"n1.1", 1, 0, "n1:1", 1};
    ownership::onRecord(Claims_, ownership::makeClaim(Service, R), {});
  }
  void removeClaim(const ServiceName &Service) {
    ledger::KeyedRecord R = ownership::makeClaimRemoval(Service);
    R.Offset_ = 1;
    ownership::onRecord(Claims_, R, {});
  }
  void apply(const ServiceName &Service, const ledger::KeyedRecord &R) {
    std::uint32_t Partition = intake::partitionOf(Service, TopicPartitions);
    ledger::apply(Copies_.Partitions_[Partition].Replica_, R, {});
  }
  bool serves(const ServiceName &Service) {
    Services_.update(Catalog_, Claims_, Copies_);
    bool Named = Services_.names().count(Service) > 0;
    std::uint32_t Partition = intake::partitionOf(Service, TopicPartitions);
    cr_assert(!Named ||
              Services_.partitions(TopicPartitions).count(Partition) > 0);
    return Named;
  }
};

} // namespace

// Guards against LOST: an entry that starts after a service has left the
// configuration reads neither its jobs nor claims its slice, and answers 410
// for them.
Test(served_services, a_claim_shows_a_service_that_is_not_configured) {
  Entry E;
  E.configure({"beta"});
  E.claim("alpha");
  cr_assert(E.serves("alpha"));
  cr_assert(E.serves("beta"));
  E.removeClaim("alpha");
  cr_assert_not(E.serves("alpha"));
  cr_assert(E.serves("beta"));
}

// Guards against LOST: an entry with an older configuration accepts a job after
// the claim of the service was removed.
Test(served_services, a_service_with_an_open_job_needs_no_claim) {
  Entry E;
  E.configure({"alpha"});
  cr_assert(E.serves("alpha"));
  E.apply("alpha", jobOf("alpha"));
  E.Services_.onJobAccepted("alpha");
  E.configure({"beta"});
  cr_assert(E.serves("alpha"));
  E.claim("alpha");
  E.removeClaim("alpha");
  cr_assert(E.serves("alpha"));
  E.apply("alpha", progressOf(JobState::Completed));
  cr_assert_not(E.serves("alpha"));
}

// Guards against LOST: a cancelled job whose tasks still run needs an owner
// that stops them.
Test(served_services, a_cancelled_job_is_open_until_its_owner_has_closed_it) {
  Entry E;
  E.configure({"beta"});
  E.apply("alpha", jobOf("alpha"));
  E.apply("alpha", ledger::makeCancel("j1"));
  E.Services_.onJobAccepted("alpha");
  cr_assert(E.serves("alpha"));
  E.apply("alpha", progressOf(JobState::Cancelled));
  cr_assert_not(E.serves("alpha"));
}

// Guards against LOST: jobs of a service that was never claimed, of which only
// its name is stored.
Test(served_services, a_name_shows_a_service_that_is_not_configured) {
  Entry E;
  E.configure({"beta"});
  ownership::onRecord(E.Claims_, ownership::makeServiceName("alpha"), {});
  cr_assert(E.serves("alpha"));
}

namespace {

/// Answers nothing.
struct SilentStore : ledger::Store {
  void append(ledger::AppendCall,
              ledger::ReplyHandler<ledger::AppendReply>) override {}
  void read(ledger::ReadCall,
            ledger::ReplyHandler<ledger::ReadReply>) override {}
  void readNewest(ledger::NewestCall Call,
                  ledger::ReplyHandler<ledger::NewestReply> Done) override {
    Loads_[Call.Partition_.Number_] = std::move(Done);
  }
  std::map<std::uint32_t, ledger::ReplyHandler<ledger::NewestReply>> Loads_;
};

} // namespace

// Guards against a copy of a retired service that is read for ever, and against
// an answer to its last read that is applied to a dropped copy.
Test(served_services, copies_of_other_partitions_are_dropped) {
  SilentStore Store;
  intake::Intake Intake;
  fleet::JobCopies Copies(Store, Intake,
                          {[](std::uint32_t, const ledger::Change &) {
                             cr_assert_fail("the copy was dropped");
                           },
                           [] {}});
  Copies.followOnly({1, 2});
  cr_assert_eq(Intake.Partitions_.size(), 2u);
  Copies.followOnly({2, 3});
  cr_assert_eq(Intake.Partitions_.count(1), 0u);
  cr_assert_eq(Intake.Partitions_.count(3), 1u);
  ledger::NewestReply Late{ledger::StoreStatus::Done, {jobOf("alpha")}};
  Store.Loads_.at(1)(Late);
  Copies.deliver(1, {jobOf("alpha")});
  cr_assert_eq(Intake.Partitions_.count(1), 0u);
}
