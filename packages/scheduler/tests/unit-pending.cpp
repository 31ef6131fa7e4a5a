/// Which jobs count as begun: callers ask how many wait.
#include "fleet/fleet_cell.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::fleettest;
using workflow::JobState;

namespace {

/// A cell with the worker "a", and a job of one task of 10 s.
struct OneJobCell : FleetCell {
  OneJobCell() : FleetCell({"a"}) {
    setRunTime(Milliseconds(10'000));
    takeOver();
    run(Milliseconds(3'000));
  }
  void begin() { submit("j1", plainJob({plainStep(1)})); }
};

} // namespace

// Guards against MIXED: a job whose starts had only gone to workers that did
// not answer was shown as running.
Test(pending, a_job_waits_until_a_start_is_answered) {
  OneJobCell C;
  C.worker("a").Cut_ = true;
  C.begin();
  C.run(Milliseconds(1'500));
  cr_assert_not(C.owner().State_.Workers_.at("a").Tasks_.empty(),
                "a start was sent");
  cr_assert(C.state("j1") == JobState::Queued);
  C.worker("a").Cut_ = false;
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Running; }));
}

Test(pending, a_job_has_begun_once_a_start_is_answered) {
  OneJobCell C;
  C.begin();
  C.run(Milliseconds(100));
  cr_assert(C.state("j1") == JobState::Running);
}

// The answer may get lost: a list shows the run as well.
Test(pending, a_job_has_begun_once_a_list_shows_its_run) {
  OneJobCell C;
  C.worker("a").AnswerDelay_ = Milliseconds(400);
  C.begin();
  C.run(Milliseconds(300));
  cr_assert(C.state("j1") == JobState::Queued);
  C.worker("a").AnswerDelay_ = Milliseconds(0);
  C.run(Milliseconds(1'500));
  cr_assert(C.state("j1") == JobState::Running);
}

// A new owner finds the run of a job that was stored as waiting.
Test(pending, a_job_whose_run_is_adopted_has_begun) {
  OneJobCell C;
  C.begin();
  cr_assert(C.runUntil([&] { return C.Starts_.size() == 1; }));
  C.killOwner();
  C.run(Milliseconds(300));
  C.takeOver();
  C.run(Milliseconds(500));
  cr_assert_eq(C.whereIs({{"j1", 0, 0}, 0}).size(), 1u);
  cr_assert(C.state("j1") == JobState::Running);
}
