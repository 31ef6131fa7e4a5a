/// The owner of a service that has left the configuration.
#include "fleet/fleet_cell.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::fleettest;
using workflow::JobState;

// Guards against renewals of the workers of a retired service for ever, and
// against ends of its last tasks that are never acknowledged.
Test(retired, released_workers_are_forgotten_once_they_are_empty) {
  FleetCell C({"a", "b"});
  C.beginBusy(2, Milliseconds(3'000), Milliseconds(1'000));
  scheduler::State &S = C.owner().State_;
  cr_assert(scheduler::hasOpenJobs(S));
  scheduler::releaseWorkers(S, C.Now_);
  C.run(Milliseconds(500));
  cr_assert_gt(S.Workers_.size(), 0u, "tasks are running");
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
  C.run(Milliseconds(1'000));
  cr_assert_not(scheduler::hasOpenJobs(S));
  cr_assert(S.Workers_.empty());
  cr_assert(C.stored().Rosters_.at("s").Roster_.Workers_.empty());
  cr_assert(C.Broken_.empty());
}

// Guards against LOST: the service comes back, and its workers get no tasks.
Test(retired, workers_are_taken_up_again) {
  FleetCell C({"a"});
  C.takeOver();
  C.run(Milliseconds(500));
  scheduler::State &S = C.owner().State_;
  scheduler::releaseWorkers(S, C.Now_);
  C.run(Milliseconds(500));
  cr_assert(S.Workers_.empty());
  scheduler::onWorker(S, C.worker("a").Info_, C.Now_);
  C.submit("j1", plainJob({plainStep(3)}));
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
}

// Guards against records of a job that stay in the store for ever: the slice is
// given up while the state of a closed job can still be asked for.
Test(retired, the_slice_is_empty_once_the_last_job_is_removed) {
  FleetCell C({"a"});
  C.takeOver();
  scheduler::State &S = C.owner().State_;
  S.Options_.KeepClosed_ = Milliseconds(10'000);
  C.run(Milliseconds(500));
  cr_assert(scheduler::isEmpty(S));
  C.submit("j1", plainJob({plainStep(1)}));
  C.run(Milliseconds(100));
  cr_assert_not(scheduler::isEmpty(S));
  C.run(Milliseconds(8'000));
  cr_assert(C.state("j1") == JobState::Completed);
  cr_assert_not(scheduler::isEmpty(S));
  cr_assert(C.runUntil([&] { return scheduler::isEmpty(S); }));
  cr_assert_eq(C.jobs(), 0u);
}
