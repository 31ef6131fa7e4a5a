/// Steps and their order, scheduled jobs, and cancellation.
#include "fleet/fleet_cell.hpp"
#include "scheduler/detail/placing.hpp"
#include "scheduler/detail/tasks.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::fleettest;
using workflow::JobState;

Test(steps, all_tasks_run_and_the_job_completes) {
  FleetCell C({"a", "b", "c"});
  C.takeOver();
  C.submit("j1", plainJob({plainStep(10)}));
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
  cr_assert_eq(C.Starts_.size(), 10u);
  cr_assert(C.Broken_.empty());
}

Test(steps, a_step_waits_for_all_tasks_of_its_predecessors) {
  FleetCell C({"a", "b", "c"});
  C.takeOver();
  workflow::StepSpec Second = plainStep(2);
  Second.DependsOn_ = {0};
  C.FateOf_ = [](const TaskId &Id, std::uint32_t) {
    return Fate{Milliseconds(Id.Index_ == 3 ? 2'000 : 100)};
  };
  C.submit("j1", plainJob({plainStep(4), Second}));
  C.run(Milliseconds(1'500));
  cr_assert_eq(C.Starts_.size(), 4u);
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
  cr_assert_eq(C.Starts_.size(), 6u);
}

Test(steps, tasks_of_a_step_on_one_worker_are_limited) {
  FleetCell C({"a", "b", "c"});
  C.takeOver();
  workflow::StepSpec S = plainStep(6);
  S.MaxPerWorker_ = 1;
  C.submit("j1", plainJob({S}));
  C.run(Milliseconds(150));
  cr_assert_eq(C.Starts_.size(), 3u);
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
}

Test(steps, a_required_label_restricts_the_workers) {
  FleetCell C({"a", "b", "c"});
  C.worker("b").Info_.Labels_ = {"special"};
  C.takeOver();
  workflow::StepSpec S = plainStep(3);
  S.RequiredLabel_ = "special";
  C.submit("j1", plainJob({S}));
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
  for (const std::string &Start : C.Starts_)
    cr_assert(Start.ends_with("@b"), "%s", Start.c_str());
}

Test(steps, a_cancelled_job_is_stopped_and_starts_nothing) {
  FleetCell C({"a", "b", "c"});
  C.beginBusy(30, Milliseconds(20'000), Milliseconds(500));
  cr_assert_eq(C.Starts_.size(), 24u);
  C.cancel("j1");
  C.run(Milliseconds(1'000));
  for (const auto &[Id, W] : C.Workers_)
    cr_assert(W.Runs_.empty());
  cr_assert_eq(C.Starts_.size(), 24u);
  cr_assert_eq(C.state("j1"), JobState::Cancelled);
}

Test(steps, a_draining_worker_gets_no_task) {
  FleetCell C({"a", "b", "c"});
  C.worker("a").Info_.Draining_ = true;
  C.takeOver();
  C.submit("j1", plainJob({plainStep(16)}));
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
  for (const std::string &Start : C.Starts_)
    cr_assert(!Start.ends_with("@a"));
}

Test(steps, a_job_closed_long_ago_is_removed) {
  FleetCell C({"a", "b", "c"});
  C.takeOver();
  C.submit("j1", plainJob({plainStep(2)}));
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
  C.run(Milliseconds(170'000));
  cr_assert_eq(C.state("j1"), JobState::Completed);
  C.run(Milliseconds(20'000));
  cr_assert_eq(C.jobs(), 0u);
  cr_assert(C.owner().State_.Jobs_.empty());
}

// Guards against UNASKED: see ledger::isBehind().
Test(steps, an_owner_that_is_behind_starts_nothing) {
  FleetCell C({"a", "b", "c"});
  C.takeOver();
  C.run(Milliseconds(200));
  C.owner().State_.BehindStore_ = true;
  C.submit("j1", plainJob({plainStep(4)}));
  C.run(Milliseconds(1'000));
  cr_assert(C.Starts_.empty());
  C.owner().State_.BehindStore_ = false;
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
}

// Guards against LOST and late results: a later occurrence of a scheduled job
// is ordered by an objective that starts at the acceptance of the job, counts
// as worthless when it comes due, and waits as long as other jobs arrive.
Test(steps, an_occurrence_that_is_due_is_not_starved_by_later_jobs) {
  constexpr std::int64_t FirstDueUnixMs = 1'000;
  FleetCell C({"a"});
  C.takeOver();
  workflow::WorkflowSpec Timed = plainJob({plainStep(1)});
  Timed.Repeats_ = 1;
  Timed.FirstDueUnixMs_ = FirstDueUnixMs;
  C.submit("timed", Timed);
  int Sent = 0;
  // Submits 1.5 times as many tasks as the worker can run.
  auto Stream = [&](Milliseconds Time) {
    constexpr Milliseconds Gap{50};
    for (Milliseconds Passed{0}; Passed < Time; Passed += Gap) {
      C.submit("s" + std::to_string(Sent++), plainJob({plainStep(3)}));
      C.run(Gap);
    }
  };
  Stream(Milliseconds(10'000));
  scheduler::State &S = C.owner().State_;
  scheduler::detail::openDueOccurrences(S, S.Jobs_.at("timed"), C.Now_,
                                        FirstDueUnixMs);
  C.submit("fresh", plainJob({plainStep(1)}));
  Stream(Milliseconds(5'000));
  cr_assert_eq(C.state("fresh"), JobState::Completed);
  cr_assert_eq(C.state("timed"), JobState::Completed);
  cr_assert(C.Broken_.empty());
}

// Guards against late results: one of several open occurrences, inherited ones
// included, is ordered by the objective of another.
Test(steps, overlapping_occurrences_have_separate_objectives) {
  constexpr TimePoint Now{std::chrono::seconds(1'000)};
  constexpr std::int64_t FirstDueUnixMs = 100'000;
  constexpr std::uint32_t IntervalMs = 30'000;
  constexpr std::int64_t NowUnixMs = FirstDueUnixMs + IntervalMs + 5'000;
  ledger::ReplicatedJob Row;
  Row.Accepted_.Spec_ = plainJob({plainStep(1)});
  Row.Accepted_.Spec_.Repeats_ = 3;
  Row.Accepted_.Spec_.FirstDueUnixMs_ = FirstDueUnixMs;
  Row.Accepted_.Spec_.IntervalMs_ = IntervalMs;
  Row.Progress_.Open_ = {{0, {}}};
  Row.Progress_.DoneBefore_ = 1;
  scheduler::State S;
  scheduler::onJob(S, "timed", Row, true, Now, NowUnixMs);
  const scheduler::Job &J = S.Jobs_.at("timed");
  cr_assert_eq(J.Open_.size(), 2u);
  auto DueAt = [&](std::uint32_t Number) {
    return scheduler::detail::dueAt(J, J.Open_.at(Number));
  };
  cr_assert(DueAt(0) == Now - Milliseconds(35'000) + J.Objective_);
  cr_assert(DueAt(1) == Now - Milliseconds(5'000) + J.Objective_);
}
