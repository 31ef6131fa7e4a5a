/// Replies of workers that the owner reads late, or never.
#include "fleet/fleet_cell.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::fleettest;
using workflow::JobState;

namespace {

/// Longer than a call may take.
constexpr Milliseconds LongLag{1'500};

/// Starts job "j1" of 8 tasks of 2 s, which end while \p Hinder is on, and
/// waits for its completion.
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

// Guards against TWICE: an overloaded owner reads no reply before its timeout,
// considers the leases expired and starts tasks that workers reported as done.
Test(late_answers, a_slow_owner_does_not_start_done_tasks_again) {
  FleetCell C({"a", "b", "c"});
  beginAndHinder(
      C, [&](bool On) { C.owner().Lag_ = On ? LongLag : Milliseconds(0); });
  assertRanOnce(C);
}

// Guards against TWICE: the same for an owner that is paused.
Test(late_answers, a_paused_owner_does_not_start_done_tasks_again) {
  FleetCell C({"a", "b", "c"});
  beginAndHinder(C, [&](bool On) {
    if (On)
      C.owner().FrozenUntil_ = C.Now_ + Milliseconds(8'500);
  });
  assertRanOnce(C);
}

// Guards against TWICE: replies of one worker take longer than the usual
// timeout, while the owner itself is on time.
Test(late_answers, a_slow_link_does_not_start_done_tasks_again) {
  FleetCell C({"a", "b", "c"});
  beginAndHinder(C, [&](bool On) {
    C.worker("a").AnswerDelay_ = Milliseconds(On ? 1'800 : 0);
  });
  assertRanOnce(C);
}

// Guards against TWICE: when inherited leases expire, a new owner restarts
// tasks of a worker whose replies it has not read yet.
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

// Guards against SHORT: an owner that was late for a moment shortens the
// timeouts of its calls below its own delay, so every later reply comes too
// late.
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
            "replies that it read late do not count as lost");
  assertRulesKept(C);
}

// Guards against LOST: tasks wait forever for a worker that is registered but
// unreachable.
Test(late_answers, tasks_of_a_silent_worker_start_elsewhere_in_time) {
  FleetCell C({"a", "b", "c"});
  C.beginBusy(6, Milliseconds(60'000), Milliseconds(500));
  std::string Where = C.Starts_.front().substr(C.Starts_.front().size() - 1);
  C.worker(Where).Cut_ = true;
  cr_assert(
      C.runUntil([&] { return C.Starts_.size() > 6; }, Milliseconds(7'500)));
  cr_assert(C.Broken_.empty());
}

// Guards against TWICE: a task counts as ended without a result because its row
// in the list is unreadable.
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

/// The worker of the first task ends, and the registry drops it.
void loseFirstWorker(FleetCell &C) {
  std::string Where = C.Starts_.front().substr(C.Starts_.front().size() - 1);
  C.leave(Where);
}

} // namespace

// Guards against LOST: an owner that is always late never abandons the tasks of
// a dead worker.
Test(late_answers, a_late_owner_restarts_tasks_of_a_dead_worker) {
  FleetCell C({"a", "b", "c"});
  C.beginBusy(6, Milliseconds(2'000), Milliseconds(500));
  C.owner().Lag_ = Milliseconds(700);
  loseFirstWorker(C);
  cr_assert(
      C.runUntil([&] { return C.Starts_.size() > 6; }, Milliseconds(12'000)));
  assertRulesKept(C);
}

// Guards against LOST: the same for inherited tasks of a late owner.
Test(late_answers, a_late_new_owner_restarts_tasks_of_a_dead_worker) {
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

// Guards against TWICE: the owner's link was congested. Once some workers
// answer again, the others count as silent although their replies are on the
// way.
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

// Guards against TWICE: a late reply from the previous address of a worker
// counts as the end of the worker.
Test(late_answers, an_answer_from_an_earlier_address_ends_nothing) {
  FleetCell C({"a"});
  C.beginBusy(4, Milliseconds(2'000), Milliseconds(500));
  scheduler::RenewCall Call;
  Call.Target_ = {"a", "elsewhere:1", C.owner().Token_};
  scheduler::RenewReply Reply;
  Reply.Status_ = scheduler::CallStatus::Elsewhere;
  scheduler::Outbox Out;
  scheduler::onRenewReply(C.owner().State_, Call, Reply, C.Now_, C.Now_, Out);
  cr_assert_eq(C.owner().State_.Workers_.at("a").Tasks_.size(), 4u);
}
