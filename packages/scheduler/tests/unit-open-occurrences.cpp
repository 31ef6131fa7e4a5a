/// What an owner holds in memory of jobs with many due occurrences.
#include "fleet/fleet_cell.hpp"
#include "scheduler/detail/tasks.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::fleettest;
using workflow::JobState;

namespace {

/// Tasks that an owner holds of one job at most.
constexpr std::size_t MostTasksHeld = 20'000;

/// A job of \p Repeats occurrences of \p Tasks tasks each, all due.
workflow::WorkflowSpec dueJob(std::uint32_t Repeats, std::uint32_t Tasks) {
  workflow::WorkflowSpec Spec = plainJob({plainStep(Tasks)});
  Spec.Repeats_ = Repeats;
  return Spec;
}

struct OwnedCell : FleetCell {
  OwnedCell() : FleetCell({"a"}) { takeOver(); }

  const scheduler::Job &job(const JobId &Id) {
    return owner().State_.Jobs_.at(Id);
  }
  /// Submits the job and lets its owner read it.
  void take(const JobId &Id, workflow::WorkflowSpec Spec) {
    submit(Id, std::move(Spec));
    run(Milliseconds(200));
  }
};

} // namespace

// Guards against Fault: all due occurrences of one job were opened at once, and
// took each owner of its service over its memory.
Test(open_occurrences, the_tasks_of_one_job_are_bounded) {
  OwnedCell C;
  C.take("j1", dueJob(1'440, 480));
  cr_assert_gt(C.job("j1").Open_.size(), 1u);
  cr_assert_leq(C.job("j1").Open_.size() * 480, MostTasksHeld);
}

// The next owner reads the same job.
Test(open_occurrences, the_tasks_of_an_inherited_job_are_bounded) {
  OwnedCell C;
  C.take("j1", dueJob(1'440, 480));
  C.killOwner();
  C.takeOver();
  C.run(Milliseconds(200));
  cr_assert_leq(C.job("j1").Open_.size() * 480, MostTasksHeld);
}

Test(open_occurrences, several_jobs_share_the_bound) {
  OwnedCell C;
  for (const char *Id : {"j1", "j2", "j3"})
    C.take(Id, dueJob(100, 1'000));
  std::size_t Tasks = 0;
  for (const char *Id : {"j1", "j2", "j3"}) {
    cr_assert_geq(C.job(Id).Open_.size(), 1u, "each job has an open one");
    Tasks += C.job(Id).Open_.size() * 1'000;
  }
  cr_assert_leq(Tasks, MostTasksHeld + 2 * 1'000);
}

Test(open_occurrences, one_that_is_done_makes_room_for_the_next) {
  OwnedCell C;
  C.take("j1", dueJob(3, 10'000));
  cr_assert_eq(C.job("j1").Open_.size(), 2u);
  scheduler::State &State = C.owner().State_;
  State.WaitingSteps_.erase({"j1", 1, 0});
  scheduler::detail::dropOccurrence(State, State.Jobs_.at("j1"), 1);
  C.run(Milliseconds(200));
  cr_assert(C.job("j1").Open_.count(2));
}

// A job that is worked off completes with every occurrence, each task once.
Test(open_occurrences, a_job_held_back_completes) {
  OwnedCell C;
  C.owner().State_.OpenTasks_ = MostTasksHeld;
  C.submit("j1", dueJob(12, 2));
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
  cr_assert_eq(C.Starts_.size(), 24u);
  cr_assert(C.Broken_.empty(), "%s", C.Broken_.front().c_str());
}

// Guards against LOST: occurrences that never end make no room.
Test(open_occurrences, tasks_that_last_do_not_hold_back_others) {
  OwnedCell C;
  C.owner().State_.OpenTasks_ = MostTasksHeld;
  workflow::WorkflowSpec Spec = dueJob(4, 2);
  Spec.Steps_[0].LongRunning_ = true;
  C.setRunTime(Milliseconds(600'000));
  C.take("j1", Spec);
  C.run(Milliseconds(2'000));
  cr_assert_eq(C.job("j1").Open_.size(), 4u);
  cr_assert_eq(C.Starts_.size(), 8u);
}

// Closed jobs are kept for callers that ask, for minutes.
Test(open_occurrences, closed_jobs_hold_no_tasks) {
  OwnedCell C;
  C.take("j1", dueJob(2, 4));
  C.take("j2", plainJob({plainStep(5'000)}));
  C.cancel("j2");
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
  C.run(Milliseconds(1'000));
  cr_assert_eq(C.owner().State_.Jobs_.size(), 2u);
  cr_assert_eq(C.owner().State_.OpenTasks_, 0u);
  for (const char *Id : {"j1", "j2"})
    cr_assert(C.job(Id).Open_.empty());
}
