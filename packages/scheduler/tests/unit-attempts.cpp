/// Failed runs, the limit of attempts, and their recovery by a new owner.
#include "fleet/fleet_cell.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::fleettest;
using workflow::JobState;

namespace {

void failAll(FleetCell &C) {
  C.FateOf_ = [](const TaskId &, std::uint32_t) {
    return Fate{Milliseconds(150), EndKind::Failed};
  };
}

} // namespace

Test(attempts, a_task_that_fails_too_often_fails_its_job) {
  FleetCell C({"a", "b", "c"});
  failAll(C);
  C.takeOver();
  C.submit("j1", plainJob({plainStep(1)}));
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Failed; }));
  cr_assert_eq(C.Starts_.size(), 3u);
  C.run(Milliseconds(2'000));
  cr_assert_eq(C.Starts_.size(), 3u);
}

Test(attempts, a_failed_task_tries_another_worker) {
  FleetCell C({"a", "b", "c"});
  failAll(C);
  C.takeOver();
  C.submit("j1", plainJob({plainStep(1)}));
  cr_assert(C.runUntil([&] { return C.Starts_.size() == 2; }));
  cr_assert_neq(C.Starts_[0].back(), C.Starts_[1].back());
}

Test(attempts, a_new_owner_counts_ends_in_any_order) {
  // The former owner could not store the last ends. The new one reads the ends
  // of two runs from two workers, that of the later run first.
  FleetCell C({"a", "b", "c"});
  failAll(C);
  C.takeOver();
  C.submit("j1", plainJob({plainStep(1)}));
  cr_assert(C.runUntil([&] { return C.Starts_.size() == 1; }));
  C.owner().CutFromStore_ = true;
  C.run(Milliseconds(1'500));
  std::size_t Before = C.Starts_.size();
  cr_assert_eq(Before, 3u);
  C.takeOver();
  C.run(Milliseconds(4'000));
  cr_assert_eq(C.Starts_.size(), Before);
  cr_assert_eq(C.state("j1"), JobState::Failed);
  cr_assert(C.Broken_.empty());
}

Test(attempts, an_end_that_is_listed_twice_counts_once) {
  FleetCell C({"a", "b", "c"});
  failAll(C);
  C.FateOf_ = [](const TaskId &, std::uint32_t Run) {
    return Fate{Milliseconds(150), Run == 1 ? EndKind::Failed : EndKind::Done};
  };
  C.takeOver();
  C.submit("j1", plainJob({plainStep(1)}));
  cr_assert(C.runUntil([&] { return C.Starts_.size() == 2; }));
  C.killOwner();
  C.takeOver();
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
}

Test(attempts, a_worker_that_fails_everything_is_set_aside) {
  FleetCell C({"a", "b", "c"});
  failAll(C);
  C.setRunTime(Milliseconds(50));
  C.takeOver();
  C.run(Milliseconds(200));
  scheduler::Outbox Out;
  scheduler::RenewCall Call{{"a", "a:1", C.owner().Token_}};
  scheduler::RenewReply Reply;
  Reply.Status_ = scheduler::CallStatus::Done;
  Reply.StartedUnixMs_ = C.worker("a").Info_.StartedUnixMs_;
  for (std::uint32_t I = 0; I < 3; ++I)
    Reply.Ended_.push_back(
        {I + 1, {{"o" + std::to_string(I), 0, 0}, 0}, 1, EndKind::Failed, ""});
  scheduler::onRenewReply(C.owner().State_, Call, Reply, C.Now_, C.Now_, Out);
  C.submit("j1", plainJob({plainStep(6)}));
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
  for (const std::string &Start : C.Starts_)
    cr_assert(!Start.ends_with("@a"));
}

// Guards against LOST: a service task was restarted over a thousand times under
// one owner, the next owner's numbers were lower, and the worker refused them
// one by one, each 0.5 s.
Test(attempts, numbers_that_a_worker_has_seen_are_skipped) {
  FleetCell C({"a"});
  C.takeOver();
  C.worker("a").HighestPastRuns_[{{"j1", 0, 0}, 0}] = 2'500;
  C.submit("j1", plainJob({plainStep(1)}));
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; },
                       Milliseconds(5'000)));
  cr_assert(C.Broken_.empty());
}

// Guards against LOST: a new owner numbers a run lower than one that has failed
// there and is stored, and the worker refuses it.
Test(attempts, runs_are_numbered_above_stored_failures) {
  ledger::ReplicatedJob Row;
  Row.Accepted_.Spec_ = plainJob({plainStep(1)});
  Row.Progress_.Open_ = {{0, {{{false}, {{0, {2'500}}}}}}};
  Row.Progress_.DoneBefore_ = 1;
  scheduler::State S = scheduler::makeState({}, {}, {});
  scheduler::onJob(S, "j1", Row, true, TimePoint{}, 0);
  cr_assert_eq(S.Jobs_.at("j1").Open_.at(0).Steps_[0].Tasks_[0].LastRun_,
               2'500u);
}
