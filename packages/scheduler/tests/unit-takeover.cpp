/// Adoption of running tasks by a new owner, and what it must wait for.
#include "fleet/fleet_cell.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::fleettest;
using workflow::JobState;

Test(takeover, running_tasks_are_adopted) {
  FleetCell C({"a", "b", "c"});
  C.beginBusy(12, Milliseconds(4'000), Milliseconds(1'000));
  C.killOwner();
  C.run(Milliseconds(2'000));
  C.takeOver();
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
  cr_assert_eq(C.Starts_.size(), 12u);
}

Test(takeover, the_former_owner_is_fenced) {
  FleetCell C({"a", "b", "c"});
  C.beginBusy(12, Milliseconds(4'000), Milliseconds(500));
  Owner &Old = C.owner();
  Old.CutFromStore_ = true;
  C.takeOver();
  C.run(Milliseconds(2'500));
  cr_assert(Old.State_.Fenced_);
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
  cr_assert(C.Broken_.empty());
}

Test(takeover, a_silent_worker_keeps_inherited_tasks_waiting) {
  // Its tasks may still run, so none of them starts elsewhere before all leases
  // of the former owner have expired.
  FleetCell C({"a", "b", "c"});
  C.beginBusy(12, Milliseconds(60'000), Milliseconds(500));
  C.killOwner();
  C.worker("a").Cut_ = true;
  C.takeOver();
  C.run(Milliseconds(4'000));
  cr_assert_eq(C.Starts_.size(), 12u);
  C.submit("j2", plainJob({plainStep(2)}));
  C.run(Milliseconds(500));
  cr_assert_gt(C.Starts_.size(), 12u, "new jobs do not wait");
  C.run(Milliseconds(20'000));
  cr_assert(C.Broken_.empty(), "%s", C.Broken_.front().c_str());
}

Test(takeover, an_empty_worker_that_has_left_is_not_waited_for) {
  // Occurs when workers are removed right before all entries restart.
  FleetCell C({"a", "b", "c"});
  C.takeOver();
  C.submit("j1", plainJob({plainStep(12)}));
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
  C.run(Milliseconds(200));
  C.drain("c");
  C.run(Milliseconds(300));
  C.leave("c");
  C.submit("j2", plainJob({plainStep(12)}));
  C.killOwner();
  C.run(Milliseconds(1'500));
  C.takeOver(ownership::Predecessor::Ended);
  cr_assert(C.runUntil([&] { return C.state("j2") == JobState::Completed; },
                       Milliseconds(2'000)));
}

Test(takeover, tasks_of_a_worker_that_left_wait_for_its_lease) {
  FleetCell C({"a", "b", "c"});
  C.beginBusy(24, Milliseconds(20'000), Milliseconds(1'000));
  C.drain("c");
  C.run(Milliseconds(300));
  C.leave("c");
  C.killOwner();
  C.run(Milliseconds(1'000));
  C.takeOver(ownership::Predecessor::Ended);
  C.run(Milliseconds(5'000));
  cr_assert_eq(C.Starts_.size(), 24u);
  C.setRunTime(Milliseconds(100));
  C.run(Milliseconds(21'000));
  cr_assert_gt(C.Starts_.size(), 24u);
  cr_assert(C.Broken_.empty());
}

Test(takeover, a_worker_that_stops_draining_takes_tasks_again) {
  FleetCell C({"a"});
  C.takeOver();
  C.run(Milliseconds(500));
  C.drain("a");
  C.run(Milliseconds(500));
  C.worker("a").Info_.Draining_ = false;
  scheduler::onWorker(C.owner().State_, C.worker("a").Info_, C.Now_);
  C.submit("j1", plainJob({plainStep(3)}));
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; },
                       Milliseconds(2'000)));
}

Test(takeover, a_cut_off_owner_and_its_worker_stay_apart_from_the_new_one) {
  // The former owner cannot reach the store, but still reaches the workers.
  FleetCell C({"a", "b", "c"});
  C.beginBusy(12, Milliseconds(60'000), Milliseconds(500));
  C.owner().CutFromStore_ = true;
  C.takeOver();
  C.run(Milliseconds(40'000));
  cr_assert(C.Broken_.empty());
}

Test(takeover, a_freed_slice_is_taken_over_without_a_long_wait) {
  FleetCell C({"a", "b", "c"});
  C.beginBusy(30, Milliseconds(500), Milliseconds(300));
  C.killOwner();
  C.takeOver(ownership::Predecessor::None);
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; },
                       Milliseconds(4'000)));
}

Test(takeover, runs_of_two_owners_have_different_numbers) {
  FleetCell C({"a", "b", "c"});
  C.beginBusy(1, Milliseconds(60'000), Milliseconds(300));
  C.killOwner();
  for (auto &[Id, W] : C.Workers_)
    C.restartWorker(Id);
  C.takeOver();
  C.run(Milliseconds(2'000));
  cr_assert_eq(C.Starts_.size(), 2u);
  cr_assert_neq(C.Starts_[0].substr(0, 12), C.Starts_[1].substr(0, 12));
}

Test(takeover, tasks_run_on_during_an_outage_of_the_store) {
  FleetCell C({"a", "b", "c"});
  C.beginBusy(60, Milliseconds(300), Milliseconds(200));
  C.StoreDown_ = true;
  C.run(Milliseconds(6'000));
  cr_assert_eq(C.Starts_.size(), 60u, "tasks start and run without the store");
  C.StoreDown_ = false;
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
}

// Guards against TWICE: a worker lists at most 500 ends at a time, and a new
// owner that takes such a list for the whole starts tasks again that have ended
// there as done.
Test(takeover, a_list_that_omits_ends_does_not_settle_inherited_tasks) {
  constexpr std::uint32_t Tasks = 1'800;
  FleetCell C;
  C.addPlainQueue();
  C.addWorker("a", {64'000, 64'000, 0});
  C.setRunTime(Milliseconds(2'500));
  C.takeOver();
  workflow::StepSpec Step = plainStep(Tasks);
  Step.Size_ = {25, 25, 0};
  C.submit("j1", plainJob({Step}));
  cr_assert(C.runUntil([&] { return C.Starts_.size() == Tasks; },
                       Milliseconds(2'000)));
  C.killOwner();
  C.run(Milliseconds(2'600));
  cr_assert_eq(C.worker("a").Ends_.size(), Tasks);
  C.takeOver();
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
  cr_assert_eq(C.Starts_.size(), Tasks);
  cr_assert(C.Broken_.empty(), "%s", C.Broken_.front().c_str());
}

// Guards against LOST: inherited tasks must not wait for ever for a list whose
// rows can't be read.
Test(takeover, a_list_with_unreadable_rows_delays_inherited_tasks_for_a_while) {
  FleetCell C({"a", "b"});
  C.beginBusy(4, Milliseconds(60'000), Milliseconds(300));
  C.killOwner();
  C.worker("a").HidesRuns_ = true;
  C.takeOver();
  C.run(Milliseconds(20'000));
  cr_assert_not(C.owner().State_.InheritancePending_);
}

// Guards against TWICE: a roster without a drained worker is stored before the
// ends that it has listed, and the owner dies between the two writes.
Test(takeover, a_drained_worker_stays_in_the_roster_until_its_ends_are_stored) {
  FleetCell C({"a", "b"});
  C.beginBusy(4, Milliseconds(400), Milliseconds(200));
  C.StoreDown_ = true;
  C.run(Milliseconds(600));
  C.drain("a");
  C.run(Milliseconds(300));
  const scheduler::Worker &W = C.owner().State_.Workers_.at("a");
  cr_assert_gt(W.Known_.SeenEnd_, W.Known_.StoredEnd_);
  cr_assert_not(W.Released_);
  C.StoreDown_ = false;
  C.run(Milliseconds(1'000));
  cr_assert(W.Released_);
}

// Guards against LOST: a queue comes back with another service, and its jobs,
// which stay at their slice, find no worker there any more.
Test(takeover, jobs_stay_with_the_service_that_accepted_them) {
  FleetCell C({"a"});
  C.takeOver();
  workflow::StepSpec Last = plainStep(2);
  Last.DependsOn_ = {0};
  C.submit("j1", plainJob({plainStep(2), Last}));
  C.run(Milliseconds(100));
  C.Catalog_.Queues_[0].Service_ = "other";
  scheduler::onCatalog(C.owner().State_, C.Catalog_);
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
  C.Catalog_.Queues_[0].Service_ = "s";
  C.submit("j2", plainJob({plainStep(2), Last}));
  C.Catalog_.Queues_[0].Service_ = "other";
  C.killOwner();
  C.takeOver(ownership::Predecessor::None);
  cr_assert(C.runUntil([&] { return C.state("j2") == JobState::Completed; }));
}

// Guards against LOST: the record of a job that waits is replaced by a void
// one, which later owners load. Its progress shows them that it was accepted.
Test(takeover, a_waiting_job_with_a_void_record_is_stored_as_accepted) {
  FleetCell C(std::vector<WorkerId>{});
  C.takeOver();
  C.submit("j1", plainJob({plainStep(1)}));
  C.run(Milliseconds(100));
  cr_assert_eq(C.stored().Jobs_.at("j1").ProgressOffset_, 0u);
  scheduler::onVoidJob(C.owner().State_, "j1");
  C.run(Milliseconds(100));
  cr_assert_gt(C.stored().Jobs_.at("j1").ProgressOffset_, 0u);
}

// A void record of a job that was never accepted goes.
Test(takeover, a_void_record_of_an_unknown_job_is_removed) {
  FleetCell C({"a"});
  C.takeOver();
  C.submit("j1", plainJob({plainStep(1)}));
  scheduler::onVoidJob(C.owner().State_, "j2");
  scheduler::Outbox Out;
  C.owner().State_.PendingWrite_.reset();
  scheduler::tick(C.owner().State_, C.Now_ + Milliseconds(100), 0, Out);
  std::set<std::string> Keys;
  for (const scheduler::WriteCall &W : Out.Writes_)
    for (const ledger::KeyedRecord &R : W.Records_)
      if (R.Value_.empty())
        Keys.insert(R.Key_);
  for (const ledger::KeyedRecord &R : ledger::makeRemoval("j2"))
    cr_assert(Keys.count(R.Key_));
}

// Guards against LOST: a job is accepted after a void record of it was read, as
// its queue has moved back.
Test(takeover, a_job_accepted_after_its_void_record_is_not_removed) {
  FleetCell C({"a"});
  C.takeOver();
  C.run(Milliseconds(100));
  scheduler::onVoidJob(C.owner().State_, "j2");
  C.submit("j2", plainJob({plainStep(1)}));
  cr_assert(C.runUntil([&] { return C.state("j2") == JobState::Completed; }));
  cr_assert_eq(C.stored().Jobs_.count("j2"), 1u);
}

// Guards against a void record that stays, as the write that was to remove it
// has been refused.
Test(takeover, the_removal_of_a_void_record_is_repeated) {
  FleetCell C({"a"});
  C.takeOver();
  C.run(Milliseconds(100));
  C.StoreDown_ = true;
  scheduler::onVoidJob(C.owner().State_, "j2");
  C.run(Milliseconds(100));
  cr_assert(C.owner().State_.PendingWrite_ ||
            C.owner().State_.ExpiredJobs_.count("j2"));
}

// Guards against LOST: later owners wait for the leases that an owner gives
// while it can't reach the store. They end soon after it has fenced itself.
Test(takeover, leases_in_an_outage_end_soon_after_the_owner_has_stopped) {
  FleetCell C({"a"});
  C.beginBusy(2, Milliseconds(60'000), Milliseconds(3'000));
  TimePoint FencedAt = C.owner().State_.OrdersEndAt_;
  C.StoreDown_ = true;
  C.run(Milliseconds(2'000));
  cr_assert_gt(elapsed(C.Now_, C.worker("a").LeaseEndsAt_).count(), 3'500,
               "tasks outlast the outage");
  C.run(Milliseconds(4'000));
  scheduler::Options O;
  cr_assert_leq(elapsed(FencedAt, C.worker("a").LeaseEndsAt_).count(),
                O.LeaseAfterFence_.count() + 20);
}
