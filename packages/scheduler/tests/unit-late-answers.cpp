/// Answers of workers that the owner reads too late, or never.
#include "fleet/fleet_cell.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::fleettest;
using workflow::JobState;

namespace {

/// Longer than any call may take.
constexpr Milliseconds LongLag{1'500};

/// Job "j1" of 8 tasks of 2 s has begun; its ends come while \p Hinder is on.
void beginAndHinder(FleetCell &C, const std::function<void(bool)> &Hinder) {
  C.beginBusy(8, Milliseconds(2'000), Milliseconds(500));
  Hinder(true);
  C.run(Milliseconds(9'000));
  Hinder(false);
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
}

void assertRulesKept(const FleetCell &C) {
  cr_assert(C.Broken_.empty(), "%s", C.Broken_.front().c_str());
}

void assertRanOnce(const FleetCell &C) {
  assertRulesKept(C);
  cr_assert_eq(C.Starts_.size(), 8u);
}

} // namespace

// Guards against TWICE: an overloaded owner reads no answer within its limit,
// takes the leases for over and starts tasks that workers reported as done.
Test(late_answers, a_slow_owner_does_not_start_done_tasks_again) {
  FleetCell C({"a", "b", "c"});
  beginAndHinder(
      C, [&](bool On) { C.owner().Lag_ = On ? LongLag : Milliseconds(0); });
  assertRanOnce(C);
}

// Guards against TWICE: the same for an owner that stands still for a while.
Test(late_answers, a_paused_owner_does_not_start_done_tasks_again) {
  FleetCell C({"a", "b", "c"});
  beginAndHinder(C, [&](bool On) {
    if (On)
      C.owner().FrozenUntil_ = C.Now_ + Milliseconds(8'500);
  });
  assertRanOnce(C);
}

// Guards against TWICE: answers of one worker are longer on their way than the
// usual limit, while the owner itself is on time.
Test(late_answers, a_slow_link_does_not_start_done_tasks_again) {
  FleetCell C({"a", "b", "c"});
  beginAndHinder(C, [&](bool On) {
    C.worker("a").AnswerDelay_ = Milliseconds(On ? 1'800 : 0);
  });
  assertRanOnce(C);
}

// Guards against TWICE: a new owner takes the end of inherited leases for the
// word of a worker whose answers it has not read.
Test(late_answers, a_new_owner_does_not_start_done_tasks_again) {
  FleetCell C({"a", "b", "c"});
  C.beginBusy(8, Milliseconds(2'000), Milliseconds(1'500));
  C.worker("a").AnswerDelay_ = Milliseconds(1'800);
  C.run(Milliseconds(1'500));
  C.killOwner();
  C.takeOver();
  C.run(Milliseconds(14'000));
  C.worker("a").AnswerDelay_ = Milliseconds(0);
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
  assertRanOnce(C);
}

// Guards against SHORT: an owner that was late for a moment shortens the limits
// of its calls below its own delay and never hears an answer again.
Test(late_answers, an_owner_that_was_late_for_a_moment_recovers) {
  FleetCell C({"a", "b", "c"});
  C.takeOver();
  C.run(Milliseconds(500));
  C.owner().Lag_ = Milliseconds(500);
  C.submit("j1", plainJob({plainStep(12)}));
  C.run(Milliseconds(3'000));
  C.owner().Lag_ = Milliseconds(150);
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; },
                       Milliseconds(5'000)));
  cr_assert(C.owner().State_.LossyUntil_ == TimePoint{},
            "answers that it read late are not lost");
  assertRulesKept(C);
}

// Guards against LOST: tasks wait for ever for the word of a worker that is
// named as alive and can't be reached.
Test(late_answers, tasks_of_a_silent_worker_start_elsewhere_in_time) {
  FleetCell C({"a", "b", "c"});
  C.beginBusy(6, Milliseconds(60'000), Milliseconds(500));
  std::string Where = C.Starts_.front().substr(C.Starts_.front().size() - 1);
  C.worker(Where).Cut_ = true;
  cr_assert(
      C.runUntil([&] { return C.Starts_.size() > 6; }, Milliseconds(7'500)));
  cr_assert(C.Broken_.empty());
}

// Guards against TWICE: a row that can't be read passes for a task that has
// ended without a result.
Test(late_answers, a_task_whose_row_is_unreadable_goes_on) {
  FleetCell C({"a", "b", "c"});
  C.beginBusy(6, Milliseconds(3'000), Milliseconds(500));
  for (auto &[Id, W] : C.Workers_)
    W.HidesRuns_ = true;
  C.run(Milliseconds(1'500));
  for (auto &[Id, W] : C.Workers_)
    W.HidesRuns_ = false;
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
  cr_assert_eq(C.Starts_.size(), 6u);
}

namespace {

/// The first task's worker ends for good, and the registry drops it.
void loseFirstWorker(FleetCell &C) {
  std::string Where = C.Starts_.front().substr(C.Starts_.front().size() - 1);
  C.leave(Where);
}

} // namespace

// Guards against LOST: an owner that is always late never gives the tasks of a
// dead worker up.
Test(late_answers, a_late_owner_gives_up_a_worker_that_is_gone) {
  FleetCell C({"a", "b", "c"});
  C.beginBusy(6, Milliseconds(2'000), Milliseconds(500));
  C.owner().Lag_ = Milliseconds(700);
  loseFirstWorker(C);
  cr_assert(
      C.runUntil([&] { return C.Starts_.size() > 6; }, Milliseconds(12'000)));
  assertRulesKept(C);
}

// Guards against LOST: the same for tasks that a late owner has inherited.
Test(late_answers, a_late_new_owner_gives_up_a_worker_that_is_gone) {
  FleetCell C({"a", "b", "c"});
  C.beginBusy(6, Milliseconds(30'000), Milliseconds(500));
  C.killOwner();
  C.takeOver();
  C.owner().Lag_ = Milliseconds(700);
  C.run(Milliseconds(200));
  loseFirstWorker(C);
  cr_assert(
      C.runUntil([&] { return C.Starts_.size() > 6; }, Milliseconds(20'000)));
  assertRulesKept(C);
}

// Guards against TWICE: the owner's link was choked; workers that answer first
// make it believe in the silence of the others.
Test(late_answers, silence_of_most_workers_shows_nothing_about_one) {
  std::vector<WorkerId> Names{"a", "b", "c", "d", "e"};
  FleetCell C(Names);
  C.beginBusy(8, Milliseconds(2'000), Milliseconds(500));
  for (const WorkerId &W : Names)
    C.worker(W).AnswerDelay_ = Milliseconds(3'000);
  C.run(Milliseconds(8'000));
  for (const WorkerId &W : Names) {
    C.worker(W).AnswerDelay_ = Milliseconds(0);
    C.run(Milliseconds(200));
  }
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
  assertRanOnce(C);
}

// Guards against TWICE: a late answer from the address that a worker had before
// passes for the end of the worker.
Test(late_answers, an_answer_from_an_earlier_address_ends_nothing) {
  FleetCell C({"a"});
  C.beginBusy(4, Milliseconds(2'000), Milliseconds(500));
  scheduler::RenewCall Call;
  Call.To_ = {"a", "elsewhere:1", C.owner().Token_};
  scheduler::RenewReply Reply;
  Reply.Status_ = scheduler::CallStatus::Elsewhere;
  scheduler::Outbox Out;
  scheduler::onRenewed(C.owner().State_, Call, Reply, C.Now_, C.Now_, Out);
  cr_assert_eq(C.owner().State_.Workers_.at("a").Tasks_.size(), 4u);
}
