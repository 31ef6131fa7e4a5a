/// Workers that restart under their id: nothing of the former incarnation, its
/// clock and its registry entry included, applies to the next one.
#include "fleet/fleet_cell.hpp"
#include "scheduler/detail/tasks.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::fleettest;
using workflow::JobState;

namespace {

/// Longest validity of a lease that an owner grants knowingly.
constexpr Milliseconds LongestLease{5'000};

/// A cell with the idle worker "a", which has answered its owner for a while.
struct IdleCell : FleetCell {
  IdleCell() : FleetCell({"a"}) {
    takeOver();
    run(Milliseconds(5'000));
  }

  /// Time that is left of the leases on "a".
  Milliseconds leaseLeft() { return elapsed(Now_, worker("a").LeaseEndsAt_); }
};

} // namespace

// Guards against TWICE: a worker restarts unnoticed between two renewals and is
// then cut off. The deadline of the next renewal, on its former clock, had
// given it the longest lease that it grants, and its task ran on by that lease
// while the owner started it elsewhere.
Test(restarts, a_lease_by_the_former_clock_is_waited_for) {
  IdleCell C;
  C.setRunTime(Milliseconds(12'000));
  C.restartWorker("a", Milliseconds(2'000));
  C.run(Milliseconds(2'500));
  C.submit("j1", plainJob({plainStep(1)}));
  cr_assert(C.runUntil([&] { return C.Starts_.size() == 1; }));
  C.addWorker("b");
  C.run(Milliseconds(300));
  C.worker("a").Cut_ = true;
  C.run(Milliseconds(4'000));
  scheduler::onWorkerGone(C.owner().State_, "a", C.Now_);
  C.run(Milliseconds(20'000));
  cr_assert(C.Broken_.empty(), "%s", C.Broken_.front().c_str());
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
}

// The registry often shows the restart before the next renewal is due.
Test(restarts, no_lease_is_granted_before_the_new_clock_is_known) {
  IdleCell C;
  C.restartWorker("a", Milliseconds(50));
  C.run(Milliseconds(3'000));
  cr_assert_gt(C.leaseLeft().count(), 0);
  cr_assert_leq(C.leaseLeft().count(), LongestLease.count());
}

// A start that is sent again carries a deadline, too.
Test(restarts, a_start_is_not_repeated_with_a_deadline_on_the_former_clock) {
  IdleCell C;
  C.setRunTime(Milliseconds(60'000));
  C.worker("a").Cut_ = true;
  C.submit("j1", plainJob({plainStep(1)}));
  C.run(Milliseconds(200));
  cr_assert_not(C.owner().State_.Workers_.at("a").Tasks_.empty(),
                "a start is unanswered");
  C.restartWorker("a", Milliseconds(0));
  C.run(Milliseconds(50));
  C.worker("a").Cut_ = false;
  C.run(Milliseconds(400));
  cr_assert_leq(C.leaseLeft().count(), LongestLease.count());
  cr_assert(C.runUntil(
      [&] {
        return !C.whereIs({{"j1", 0, 0}, 0}).empty();
      },
      Milliseconds(5'000)));
}

// Guards against LIMIT and ROUTE: the registry still shows the capacity, the
// labels and the service of the former incarnation.
Test(restarts, no_task_starts_by_the_entry_of_the_former_incarnation) {
  IdleCell C;
  C.worker("a").Info_.Capacity_.Cpu_ = 2'000;
  C.restartWorker("a", Milliseconds(4'000));
  C.run(Milliseconds(2'000));
  C.submit("j1", plainJob({plainStep(6)}));
  C.run(Milliseconds(1'000));
  cr_assert(C.Starts_.empty());
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
  cr_assert(C.Broken_.empty(), "%s", C.Broken_.front().c_str());
}

// Guards against TWICE: an end of the former incarnation arrived between two
// sendings of a start. The task was started elsewhere while the present
// incarnation, which had got the second sending, ran it.
Test(restarts, an_end_between_two_sendings_of_a_start_frees_no_task) {
  IdleCell C;
  C.worker("a").Cut_ = true;
  C.submit("j1", plainJob({plainStep(1)}));
  scheduler::State &State = C.owner().State_;
  TaskId Task{{"j1", 0, 0}, 0};
  auto RunOf = [&]() -> scheduler::Run * {
    scheduler::Task *T = scheduler::detail::findTask(State, Task);
    return T && T->Run_ ? &*T->Run_ : nullptr;
  };
  cr_assert(C.runUntil([&] { return RunOf() && RunOf()->Sends_ == 2; }));
  // A late owner does not send an unanswered start again at once.
  State.LateUntil_ = C.Now_ + Milliseconds(1'000);
  scheduler::Outbox Out;
  scheduler::StartCall Start;
  Start.Target_ = {"a", "a:1", C.owner().Token_};
  Start.Task_ = Task;
  Start.Run_ = RunOf()->Number_;
  scheduler::onStartReply(State, Start, {}, C.Now_, Out);
  scheduler::RenewReply Reply;
  Reply.Status_ = scheduler::CallStatus::Done;
  Reply.StartedUnixMs_ = C.worker("a").Info_.StartedUnixMs_;
  Reply.Clock_ = clockOf(C.worker("a"), C.Now_);
  Reply.Ended_ = {{1, Task, Start.Run_, EndKind::Failed, ""}};
  scheduler::RenewCall Renewal{Start.Target_};
  scheduler::onRenewReply(State, Renewal, Reply, C.Now_, C.Now_, Out);
  cr_assert(RunOf() != nullptr);
}

namespace {

/// A cell whose worker "a" answers so late that its first start is repeated.
/// Its run fails at once, "a" restarts with a list of that end on the way, and
/// the repeated start begins the run again.
struct RepeatedStartCell : IdleCell {
  RepeatedStartCell() {
    FateOf_ = [this](const TaskId &, std::uint32_t) {
      return Starts_.empty() ? Fate{Milliseconds(20), EndKind::Failed}
                             : Fate{Milliseconds(10'000)};
    };
    worker("a").AnswerDelay_ = Milliseconds(600);
    cr_assert(
        runUntil([&] { return a().Misses_ == 1 && !a().RenewInFlight_; }));
    submit("j1", plainJob({plainStep(1)}));
    cr_assert(runUntil([&] { return a().RenewInFlight_; }));
    run(Milliseconds(20));
    cr_assert_eq(worker("a").Ends_.size(), 1u);
    restartWorker("a", Milliseconds(300));
    cr_assert(runUntil([&] { return !whereIs({{"j1", 0, 0}, 0}).empty(); }));
    cr_assert_eq(Starts_.size(), 2u);
    addWorker("b");
  }

  /// What the owner knows of "a".
  scheduler::Worker &a() { return owner().State_.Workers_.at("a"); }

  void assertRulesKept() {
    cr_assert(Broken_.empty(), "%s", Broken_.front().c_str());
    cr_assert(runUntil([&] { return state("j1") == JobState::Completed; }));
  }
};

} // namespace

// Guards against TWICE: the list of the former incarnation is read between two
// sendings of the start, so the task starts elsewhere beside its run.
Test(restarts, a_late_list_does_not_end_a_run_begun_again_without_an_answer) {
  RepeatedStartCell C;
  C.run(Milliseconds(5'000));
  C.assertRulesKept();
}

// Guards against TWICE: the same if the restarted worker has accepted the start
// by then.
Test(restarts, a_late_list_does_not_end_a_run_that_was_accepted_again) {
  RepeatedStartCell C;
  C.worker("a").AnswerDelay_ = Milliseconds(0);
  const scheduler::Task &T =
      *scheduler::detail::findTask(C.owner().State_, {{"j1", 0, 0}, 0});
  cr_assert(C.runUntil(
      [&] { return T.Run_ && T.Run_->Phase_ == scheduler::RunPhase::Running; },
      Milliseconds(200)));
  cr_assert(C.a().RenewInFlight_, "the list is on the way");
  C.run(Milliseconds(5'000));
  C.assertRulesKept();
}

namespace {

/// A cell whose worker "a" has reported ends that are stored and acknowledged.
/// It restarts, which its owner has not noticed when "j2" is submitted.
struct AcknowledgedCell : IdleCell {
  explicit AcknowledgedCell(Milliseconds RunTime) {
    submit("j1", plainJob({plainStep(8)}));
    cr_assert(runUntil([&] { return state("j1") == JobState::Completed; }));
    run(Milliseconds(3'000));
    cr_assert(worker("a").Ends_.empty(), "all ends are acknowledged");
    Starts_.clear();
    setRunTime(RunTime);
    restartWorker("a", Milliseconds(5'000));
  }
};

} // namespace

// Guards against TWICE: the owner acknowledged the ends of the former
// incarnation to the next one, which dropped its own ends by it before it had
// listed them. Their tasks started again.
Test(restarts,
     ends_of_the_former_incarnation_are_not_acknowledged_to_the_next) {
  AcknowledgedCell C(Milliseconds(1));
  C.submit("j2", plainJob({plainStep(2)}));
  cr_assert(C.runUntil([&] { return C.state("j2") == JobState::Completed; }));
  cr_assert_eq(C.Starts_.size(), 2u);
  cr_assert(C.Broken_.empty(), "%s", C.Broken_.front().c_str());
}

// The same if the start gets no answer at first, as the worker is down.
Test(restarts, a_repeated_start_is_followed_by_no_former_acknowledgement) {
  AcknowledgedCell C(Milliseconds(1));
  C.worker("a").Cut_ = true;
  C.submit("j2", plainJob({plainStep(2)}));
  C.run(Milliseconds(300));
  C.worker("a").Cut_ = false;
  cr_assert(C.runUntil([&] { return C.state("j2") == JobState::Completed; }));
  cr_assert_eq(C.Starts_.size(), 2u);
  cr_assert(C.Broken_.empty(), "%s", C.Broken_.front().c_str());
}

// Acknowledgements wait for a list only where an incarnation is in doubt.
Test(restarts, a_start_that_the_clock_confirms_delays_no_acknowledgement) {
  IdleCell C;
  C.setRunTime(Milliseconds(60'000));
  C.submit("j1", plainJob({plainStep(2)}));
  cr_assert(C.runUntil([&] { return C.Starts_.size() == 2; }));
  C.run(Milliseconds(60));
  const scheduler::Worker &W = C.owner().State_.Workers_.at("a");
  cr_assert(scheduler::detail::mayAcknowledge(W));
}

namespace {

/// A task of 12 s begins on the restarted worker "a", whose owner does not know
/// of the restart; another worker is free.
struct MisreadLeaseCell : IdleCell {
  explicit MisreadLeaseCell(Milliseconds RegistryDelay) {
    setRunTime(Milliseconds(12'000));
    restartWorker("a", RegistryDelay);
    submit("j1", plainJob({plainStep(1)}));
    cr_assert(runUntil([&] { return Starts_.size() == 1; }));
    addWorker("b");
  }

  void cut() {
    worker("a").Cut_ = true;
    at(Milliseconds(4'500), [this] {
      for (auto &O : Owners_)
        scheduler::onWorkerGone(O->State_, "a", Now_);
    });
  }
  /// Runs for \p Time and then \p Event.
  void at(Milliseconds Time, const std::function<void()> &Event) {
    run(Time);
    Event();
  }
  void assertRulesKept() {
    run(Milliseconds(20'000));
    cr_assert(Broken_.empty(), "%s", Broken_.front().c_str());
    cr_assert(runUntil([&] { return state("j1") == JobState::Completed; }));
  }
};

} // namespace

// Guards against TWICE (issue 48): the worker took a start by its former clock
// for the longest lease that it grants, its owner died before it had learnt of
// the restart, and the next owner waited for ordinary leases only.
Test(restarts, a_later_owner_waits_for_a_lease_by_the_former_clock) {
  MisreadLeaseCell C(Milliseconds(50));
  C.killOwner();
  C.run(Milliseconds(700));
  C.takeOver(ownership::Predecessor::Ended);
  C.cut();
  C.assertRulesKept();
}

// The same if the former owner had learnt of the restart.
Test(restarts, a_later_owner_is_told_of_a_lease_by_the_former_clock) {
  MisreadLeaseCell C(Milliseconds(50));
  C.run(Milliseconds(400));
  C.killOwner();
  C.run(Milliseconds(100));
  C.takeOver(ownership::Predecessor::Ended);
  C.cut();
  C.assertRulesKept();
}

// The same if the owner in between has not reached the worker.
Test(restarts, owners_pass_on_a_lease_by_the_former_clock) {
  MisreadLeaseCell C(Milliseconds(50));
  C.killOwner();
  C.worker("a").Cut_ = true;
  C.run(Milliseconds(300));
  C.takeOver(ownership::Predecessor::Ended);
  C.run(Milliseconds(300));
  C.killOwner();
  C.run(Milliseconds(300));
  C.takeOver(ownership::Predecessor::Ended);
  C.assertRulesKept();
}

// Guards against TWICE: the same once the registry has dropped the worker. What
// it had shown was known to the owner in between only.
Test(restarts, owners_pass_on_a_restart_that_the_registry_shows_no_longer) {
  MisreadLeaseCell C(Milliseconds(50));
  C.killOwner();
  C.cutOff("a", Milliseconds(500));
  C.run(Milliseconds(300));
  C.takeOver(ownership::Predecessor::Ended);
  C.run(Milliseconds(300));
  C.killOwner();
  C.run(Milliseconds(300));
  C.takeOver(ownership::Predecessor::Ended);
  C.assertRulesKept();
}

// Guards against LOST: each owner that does not reach the worker counted the
// longest lease anew from its own claim.
Test(restarts, later_owners_count_a_passed_on_lease_from_when_it_was_given) {
  MisreadLeaseCell C(Milliseconds(50));
  C.killOwner();
  C.cutOff("a", Milliseconds(500));
  C.run(Milliseconds(300));
  C.takeOver(ownership::Predecessor::Ended);
  TimePoint First =
      scheduler::detail::inheritedLeasesEnd(C.owner().State_, "a");
  for (int I = 0; I < 4; ++I) {
    C.run(Milliseconds(600));
    C.killOwner();
    C.run(Milliseconds(1'900));
    C.takeOver();
  }
  constexpr Milliseconds ForDrift{500};
  const scheduler::State &S = C.owner().State_;
  TimePoint Ordinary = S.Options_.InheritedLeasesEndAt_;
  TimePoint Last = scheduler::detail::inheritedLeasesEnd(S, "a");
  cr_assert_leq(Last, std::max(Ordinary, First + ForDrift));
  C.assertRulesKept();
}

// Guards against TWICE (issue 52): the worker answers the next owner before it
// is cut off. An answer tells nothing of how long a lease lasts that was given
// before it.
Test(restarts, an_answer_does_not_end_a_lease_by_the_former_clock) {
  MisreadLeaseCell C(Milliseconds(50));
  C.killOwner();
  C.run(Milliseconds(300));
  C.takeOver(ownership::Predecessor::Ended);
  C.run(Milliseconds(300));
  cr_assert(C.owner().State_.UnconfirmedWorkers_.empty(), "it has answered");
  C.cut();
  C.assertRulesKept();
}

// The same for the owner after the next, which takes over from one that has
// heard the worker.
Test(restarts, the_owner_after_the_next_is_told_of_a_lease_by_a_former_clock) {
  MisreadLeaseCell C(Milliseconds(50));
  C.killOwner();
  C.run(Milliseconds(300));
  C.takeOver(ownership::Predecessor::Ended);
  C.run(Milliseconds(300));
  C.killOwner();
  C.cut();
  C.takeOver(ownership::Predecessor::Ended);
  C.assertRulesKept();
}

// Guards against TWICE: a worker restarts after it has answered the next owner.
// Its new incarnation has not seen that owner's token, so a call of the former
// owner, which is only cut off from the store, has an effect.
Test(restarts, a_restart_after_the_take_over_may_let_a_former_owner_in) {
  IdleCell C;
  C.owner().CutFromStore_ = true;
  C.run(Milliseconds(2'000));
  C.takeOver();
  C.run(Milliseconds(1'000));
  scheduler::Worker &W = C.owner().State_.Workers_.at("a");
  cr_assert(W.RunsKnown_);
  C.restartWorker("a", Milliseconds(0));
  C.run(Milliseconds(50));
  cr_assert_geq(elapsed(C.Now_, W.LeaseEndsAt_).count(),
                C.owner().State_.Options_.MaxLease_.count());
}

// The same for tasks that the next owner may start: one that the former owner
// starts on the new incarnation is unknown to it.
Test(restarts, a_restart_after_the_take_over_leaves_inherited_tasks_unclear) {
  IdleCell C;
  for (const char *Id : {"b", "c", "d"})
    C.addWorker(Id);
  C.run(Milliseconds(1'000));
  C.worker("b").Cut_ = true;
  C.owner().CutFromStore_ = true;
  C.run(Milliseconds(2'000));
  C.takeOver();
  C.run(Milliseconds(300));
  const scheduler::State &S = C.owner().State_;
  cr_assert(S.UnconfirmedWorkers_ == std::set<WorkerId>{"b"});
  C.worker("a").Cut_ = true;
  C.restartWorker("a", Milliseconds(0));
  TimePoint RestartedAt = C.Now_;
  cr_assert(C.runUntil([&] { return !S.InheritancePending_; }));
  cr_assert_geq(C.Now_, RestartedAt + S.Options_.MaxLease_);
}

// Guards against TWICE: a call that was in flight when the restart became known
// may have been executed until it is given up.
Test(restarts, a_call_in_flight_at_the_restart_prolongs_the_lease) {
  IdleCell C;
  scheduler::Worker &W = C.owner().State_.Workers_.at("a");
  cr_assert(C.runUntil([&] { return W.RenewInFlight_ && W.LeaseInFlight_; }));
  C.worker("a").Cut_ = true;
  C.restartWorker("a", Milliseconds(0));
  C.run(Milliseconds(1));
  TimePoint First = W.MisreadLeaseEndsAt_;
  cr_assert(C.runUntil([&] { return W.Misses_ == 1; }));
  cr_assert_gt(W.MisreadLeaseEndsAt_, First);
}

// Guards against TWICE: only the registry shows the restart, as the worker is
// cut off before its next list.
Test(restarts, a_restart_in_the_registry_prolongs_the_lease) {
  MisreadLeaseCell C(Milliseconds(100));
  C.worker("a").Cut_ = true;
  C.run(Milliseconds(3'500));
  scheduler::onWorkerGone(C.owner().State_, "a", C.Now_);
  C.assertRulesKept();
}

// Guards against LOST: a worker that has not restarted holds up nobody longer
// than ordinary leases last.
Test(restarts, a_later_owner_does_not_wait_for_workers_that_did_not_restart) {
  IdleCell C;
  C.addWorker("b");
  C.setRunTime(Milliseconds(12'000));
  C.run(Milliseconds(100));
  C.submit("j1", plainJob({plainStep(10)}));
  cr_assert(C.runUntil([&] { return C.Starts_.size() == 10; }));
  C.killOwner();
  C.crash("a", Milliseconds(300));
  C.run(Milliseconds(100));
  C.takeOver(ownership::Predecessor::Ended);
  cr_assert(C.runUntil([&] { return C.Starts_.size() > 10; },
                       LongestLease + Milliseconds(500)));
}
