/// Queues whose tasks need permits of the placement policy.
#include "fleet/fleet_cell.hpp"
#include "scheduler/detail/placing.hpp"
#include "scheduler/detail/tasks.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::fleettest;
using workflow::JobState;

namespace {

/// A cell whose queue needs permits.
struct AskingCell : FleetCell {
  AskingCell() : FleetCell(std::vector<WorkerId>{"a", "b", "c", "d"}) {
    Catalog_.Queues_[0].Advice_ = workflow::AdvicePolicy{20, 1, 2'000};
    takeOver();
  }
};

} // namespace

Test(permits, tasks_start_only_where_the_policy_allows) {
  AskingCell C;
  C.Allows_ = [](const WorkerId &W) { return W == "b" || W == "d"; };
  C.submit("j1", plainJob({plainStep(12)}));
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
  for (const std::string &Start : C.Starts_)
    cr_assert(Start.ends_with("@b") || Start.ends_with("@d"));
}

Test(permits, one_call_serves_all_tasks_of_a_step) {
  AskingCell C;
  C.submit("j1", plainJob({plainStep(8)}));
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
  cr_assert_eq(C.AdviceCalls_, 1u);
}

Test(permits, an_expired_permit_is_requested_again) {
  AskingCell C;
  C.setRunTime(Milliseconds(3'000));
  C.submit("j1", plainJob({plainStep(40)}));
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
  cr_assert_geq(C.AdviceCalls_, 2u);
}

Test(permits, no_call_is_made_about_a_full_fleet) {
  AskingCell C;
  C.setRunTime(Milliseconds(20'000));
  C.submit("j1", plainJob({plainStep(32)}));
  C.run(Milliseconds(1'000));
  std::uint64_t Before = C.AdviceCalls_;
  C.submit("j2", plainJob({plainStep(4)}));
  C.run(Milliseconds(3'000));
  cr_assert_eq(C.AdviceCalls_, Before);
}

Test(permits, a_call_names_workers_without_room_as_well) {
  // One more worker adds little to the duration of a call, and the permit is
  // still valid when the worker has room.
  AskingCell C;
  C.Allows_ = [](const WorkerId &W) { return W == "d"; };
  C.setRunTime(Milliseconds(1'000));
  C.submit("j1", plainJob({plainStep(8)}));
  C.run(Milliseconds(300));
  std::uint64_t Before = C.AdviceCalls_;
  C.submit("j2", plainJob({plainStep(1)}));
  C.run(Milliseconds(600));
  const scheduler::Step &P =
      C.owner().State_.Jobs_.at("j2").Open_.at(0).Steps_[0];
  cr_assert_eq(P.Permits_.count("d"), 1u,
               "it was full at the time of the call");
  cr_assert(C.runUntil([&] { return C.state("j2") == JobState::Completed; }));
  cr_assert_eq(C.AdviceCalls_, Before + 1);
}

Test(permits, a_step_denied_everywhere_is_asked_about_again) {
  AskingCell C;
  C.Allows_ = [](const WorkerId &) { return false; };
  C.submit("j1", plainJob({plainStep(2)}));
  C.run(Milliseconds(3'000));
  cr_assert_eq(C.AdviceCalls_, 1u);
  C.Allows_ = [](const WorkerId &W) { return W == "c"; };
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; },
                       Milliseconds(6'000)));
}

namespace {

/// How long after the last failure a job may still have nothing running.
constexpr Milliseconds FinishTime{14'000};

/// A cell whose queue needs permits, with an owner at address "self".
struct PoolCell : AskingCell {
  explicit PoolCell(double DecisionMs) {
    Catalog_.Queues_[0].Advice_ = workflow::AdvicePolicy{DecisionMs, 1, 2'000};
    scheduler::onCatalog(owner().State_, Catalog_);
    Policy_ = advice::makePool("self");
  }

  /// Adds peers of which none answers.
  void addSilentPeers(const std::vector<std::string> &Addresses) {
    advice::setPeers(*Policy_, Addresses);
    SilentEntries_ = {Addresses.begin(), Addresses.end()};
  }

  bool startsWithin(const JobId &Job, Milliseconds Limit) {
    return runUntil([&] { return state(Job) != JobState::Queued; }, Limit);
  }
};

} // namespace

// Guards against LOST: by the time the last of several silent peers had been
// tried the first was no longer avoided, so the owner never made the call
// itself.
Test(permits, a_step_gets_advice_although_no_peer_answers) {
  PoolCell C(20);
  C.addSilentPeers({"a", "b", "c", "d", "e"});
  C.submit("j1", plainJob({plainStep(1)}));
  cr_assert(C.startsWithin("j1", FinishTime));
}

// Guards against LOST: an owner that is reserved for short calls gave every
// long call to peers, even if none of them answered.
Test(permits, a_long_call_is_made_by_a_reserved_owner_if_no_peer_answers) {
  PoolCell C(400);
  C.addSilentPeers({"t", "u"});
  C.submit("j1", plainJob({plainStep(1)}));
  cr_assert(C.startsWithin("j1", FinishTime));
}

// Guards against LOST: a denial outlived the incarnation of the worker that it
// was about, so the policy was not asked about the present one.
Test(permits, a_worker_that_has_restarted_is_asked_about_again) {
  AskingCell C;
  C.Allows_ = [](const WorkerId &W) { return W == "a"; };
  C.setRunTime(Milliseconds(60'000));
  C.submit("j1", plainJob({plainStep(9)}));
  C.run(Milliseconds(6'000));
  cr_assert_eq(C.whereIs({{"j1", 0, 0}, 8}).size(), 0u);
  C.Allows_ = [](const WorkerId &W) { return W == "a" || W == "b"; };
  C.restartWorker("b");
  cr_assert(C.runUntil(
      [&] {
        return !C.whereIs({{"j1", 0, 0}, 8}).empty();
      },
      FinishTime));
}

// Guards against LOST: a denial outlived a worker that left and came back under
// its id, so the policy was not asked about the present incarnation.
Test(permits, a_worker_that_left_and_came_back_is_asked_about_again) {
  AskingCell C;
  C.Allows_ = [](const WorkerId &W) { return W == "a"; };
  C.setRunTime(Milliseconds(90'000));
  C.submit("j1", plainJob({plainStep(9)}));
  C.run(Milliseconds(6'000));
  cr_assert_eq(C.whereIs({{"j1", 0, 0}, 8}).size(), 0u);
  C.crash("b", Milliseconds(3'000));
  cr_assert(
      C.runUntil([&] { return C.owner().State_.Workers_.count("b") == 0; }));
  C.Allows_ = [](const WorkerId &W) { return W == "a" || W == "b"; };
  C.worker("b").Alive_ = C.worker("b").Listed_ = true;
  C.restartWorker("b");
  cr_assert(C.runUntil(
      [&] {
        return !C.whereIs({{"j1", 0, 0}, 8}).empty();
      },
      FinishTime));
}

// Guards against LOST: a start with the permit of a former incarnation was
// refused, which made the worker count as permitted again; the policy was asked
// about it alone and each denial was ignored.
Test(permits, a_refused_old_permit_keeps_no_step_from_other_workers) {
  AskingCell C;
  C.Catalog_.Queues_[0].Advice_ = workflow::AdvicePolicy{20, 10, 2'000};
  scheduler::onCatalog(C.owner().State_, C.Catalog_);
  C.Allows_ = [](const WorkerId &W) { return W == "a"; };
  C.run(Milliseconds(1'000));
  C.setRunTime(Milliseconds(90'000));
  C.submit("j1", plainJob({plainStep(1)}));
  scheduler::State &State = C.owner().State_;
  TaskId Task{{"j1", 0, 0}, 0};
  auto RunOf = [&] {
    scheduler::Task *T = scheduler::detail::findTask(State, Task);
    return T && T->Run_ ? &*T->Run_ : nullptr;
  };
  cr_assert(C.runUntil([&] { return RunOf() != nullptr; }));
  WorkerId First = RunOf()->Worker_;
  cr_assert_eq(First, "a");
  C.Allows_ = [](const WorkerId &W) { return W == "d"; };
  C.restartWorker(First, Milliseconds(0));
  scheduler::RenewCall Renewal{{First, First + ":1", C.owner().Token_}};
  scheduler::RenewReply Known;
  Known.Status_ = scheduler::CallStatus::Done;
  Known.StartedUnixMs_ = C.worker(First).Info_.StartedUnixMs_;
  Known.Clock_ = clockOf(C.worker(First), C.Now_);
  scheduler::Outbox Out;
  scheduler::onRenewReply(State, Renewal, Known, C.Now_, C.Now_, Out);
  cr_assert(RunOf() != nullptr && RunOf()->InFlight_);
  scheduler::StartCall Start;
  Start.Target_ = Renewal.Target_;
  Start.Task_ = Task;
  Start.Run_ = RunOf()->Number_;
  scheduler::onStartReply(State, Start, {scheduler::CallStatus::NoPermit, {}},
                          C.Now_, Out);
  auto RunsElsewhere = [&] {
    std::vector<WorkerId> Where = C.whereIs(Task);
    return Where.size() == 1 && Where.front() != First;
  };
  cr_assert(C.runUntil(RunsElsewhere, FinishTime));
}
