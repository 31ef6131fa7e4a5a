/// Service tasks, which are restarted however they end, and best-effort tasks,
/// which are throttled in their favour.
#include "fleet/fleet_cell.hpp"
#include "scheduler/detail/placing.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::fleettest;
using workflow::JobState;

Test(services, a_service_task_is_restarted_however_often_it_fails) {
  FleetCell C({"a", "b"});
  C.takeOver();
  C.FateOf_ = [](const TaskId &, std::uint32_t) {
    return Fate{Milliseconds(200), EndKind::Failed};
  };
  workflow::StepSpec S = plainStep(1);
  S.LongRunning_ = true;
  C.submit("j1", plainJob({S}));
  C.run(Milliseconds(5'000));
  cr_assert_gt(C.Starts_.size(), 8u);
  cr_assert_eq(C.state("j1"), JobState::Running);
}

Test(services, a_best_effort_task_is_charged_no_cpu) {
  FleetCell C({"a", "b"});
  C.takeOver();
  C.FateOf_ = [](const TaskId &, std::uint32_t) {
    return Fate{Milliseconds(20'000)};
  };
  workflow::StepSpec S = plainStep(30);
  S.BestEffort_ = true;
  C.submit("j1", plainJob({S}));
  C.run(Milliseconds(500));
  cr_assert_eq(C.Starts_.size(), 30u);
}

namespace {

/// Reports a tail latency of the service task of a SharedWorker. Returns the
/// resulting throttle calls.
std::vector<scheduler::ThrottleCall> reportTail(FleetCell &C, double TailMs) {
  scheduler::RenewReply Reply;
  Reply.Status_ = scheduler::CallStatus::Done;
  Reply.StartedUnixMs_ = C.worker("a").Info_.StartedUnixMs_;
  Reply.Clock_ = clockOf(C.worker("a"), C.Now_);
  Reply.Running_ = {{{{"serve", 0, 0}, 0}, 1, "", 100, TailMs},
                    {{{"fill", 0, 0}, 0}, 1, "", 10, 500}};
  scheduler::RenewCall Call{{"a", "a:1", C.owner().Token_}};
  Call.LeaseUntil_ = Milliseconds(0);
  scheduler::Outbox Out;
  scheduler::onRenewReply(C.owner().State_, Call, Reply, C.Now_, C.Now_, Out);
  return Out.Throttles_;
}

/// A service task with a tail target of 100 ms and a best-effort task on one
/// worker.
struct SharedWorker : FleetCell {
  SharedWorker() : FleetCell(std::vector<WorkerId>{"a"}) {
    takeOver();
    setRunTime(Milliseconds(60'000));
    workflow::StepSpec Serve = plainStep(1);
    Serve.LongRunning_ = true;
    Serve.TailTargetMs_ = 100;
    workflow::StepSpec Fill = plainStep(1);
    Fill.BestEffort_ = true;
    submit("serve", plainJob({Serve}));
    submit("fill", plainJob({Fill}));
    run(Milliseconds(500));
  }
};

} // namespace

Test(services, best_effort_tasks_are_paused_while_a_service_misses_its_target) {
  SharedWorker C;
  cr_assert_eq(reportTail(C, 150).at(0).Percent_, 25u);
  cr_assert_eq(reportTail(C, 150).at(0).Percent_, 0u);
  cr_assert(reportTail(C, 150).empty());
}

Test(services, best_effort_tasks_speed_up_again_step_by_step) {
  SharedWorker C;
  reportTail(C, 150);
  cr_assert_eq(reportTail(C, 30).at(0).Percent_, 40u);
  cr_assert(reportTail(C, 70).empty());
}

Test(services, a_service_task_is_not_starved_by_short_ones) {
  // Short tasks fill free room at once, before the policy has answered.
  FleetCell C({"a", "b"});
  C.Catalog_.Queues_[0].SlackMs_ = 600'000;
  workflow::Queue Slow = C.Catalog_.Queues_[0];
  Slow.Name_ = "slow";
  Slow.Priority_ = 1;
  Slow.Advice_ = workflow::AdvicePolicy{20, 1, 2'000};
  C.addQueue(Slow);
  C.takeOver();
  C.FateOf_ = [](const TaskId &Id, std::uint32_t) {
    int Short = 150 + int(Id.Index_ * 37 % 16) * 40;
    return Fate{Milliseconds(Id.Step_.Job_ == "serve" ? 90'000 : Short)};
  };
  for (int I = 0; I < 60; ++I)
    C.submit("j" + std::to_string(I), plainJob({plainStep(16)}));
  C.run(Milliseconds(1'000));
  workflow::StepSpec Serve = plainStep(1);
  Serve.Size_.Cpu_ = 6'000;
  Serve.LongRunning_ = true;
  C.submitTo("slow", "serve", plainJob({Serve}));
  bool Runs = C.runUntil(
      [&] {
        return !C.whereIs({{"serve", 0, 0}, 0}).empty();
      },
      Milliseconds(3'000));
  cr_assert(Runs);
  cr_assert(C.Broken_.empty());
}

namespace {

/// A service whose first runs fail long after its job was accepted, while more
/// short jobs need permits than the policy can answer for.
struct BusyPolicy : FleetCell {
  BusyPolicy() : FleetCell({"a", "b", "c"}) {
    workflow::Queue Advised = Catalog_.Queues_[0];
    Advised.Advice_ = workflow::AdvicePolicy{200, 1, 2'000};
    Advised.Name_ = "short";
    addQueue(Advised);
    Advised.Name_ = "services";
    Advised.Priority_ = 1;
    addQueue(Advised);
    Policy_ = advice::makePool("entry");
    takeOver();
    FateOf_ = [](const TaskId &Id, std::uint32_t Run) {
      if (Id.Step_.Job_ == "serve" && Run == 1)
        return Fate{Milliseconds(15'000), EndKind::Failed};
      return Fate{Milliseconds(Id.Step_.Job_ == "serve" ? 90'000 : 100)};
    };
    workflow::StepSpec Serve = plainStep(2);
    Serve.LongRunning_ = true;
    submitTo("services", "serve", plainJob({Serve}));
  }

  /// Submits ten short jobs a second.
  void runBusy(Milliseconds Time) {
    constexpr Milliseconds Gap{100};
    for (Milliseconds Passed{0}; Passed < Time; Passed += Gap) {
      submitTo("short", "j" + std::to_string(++Short_),
               plainJob({plainStep(1)}));
      run(Gap);
    }
  }

  bool serves() const {
    return !whereIs({{"serve", 0, 0}, 0}).empty() &&
           !whereIs({{"serve", 0, 0}, 1}).empty();
  }

  int Short_ = 0;
};

} // namespace

// Guards against LOST: a service task was placed last once its job was three
// objectives old, and stayed down although workers were free.
Test(services, an_old_service_task_restarts_while_the_policy_is_busy) {
  BusyPolicy C;
  C.run(Milliseconds(10'000));
  cr_assert(C.serves());
  C.runBusy(Milliseconds(6'000));
  cr_assert_not(C.serves(), "both runs have failed");
  C.runBusy(Milliseconds(4'000));
  cr_assert(C.serves());
  cr_assert(C.Broken_.empty());
}

// Guards against LOST: a service task was behind all others for room on workers
// once its job was three objectives old.
Test(services, an_old_service_that_is_down_goes_before_new_jobs) {
  constexpr TimePoint T0{std::chrono::seconds(1'000)};
  using scheduler::detail::makeWaitKey;
  workflow::StepSpec Serve = plainStep(1);
  Serve.LongRunning_ = true;
  scheduler::Job Old;
  Old.AcceptedAt_ = T0 - Milliseconds(60'000);
  Old.Objective_ = Milliseconds(2'500);
  Old.Queue_.Priority_ = 1;
  scheduler::Step Down;
  Down.WaitingSince_ = T0;
  scheduler::Job New;
  New.AcceptedAt_ = T0;
  New.Objective_ = Milliseconds(9'000);
  scheduler::Occurrence Before, Fresh;
  Before.CameDueAt_ = Old.AcceptedAt_;
  Fresh.CameDueAt_ = New.AcceptedAt_;
  auto GoesFirst = [&](Milliseconds After) {
    TimePoint Now = T0 + After;
    return makeWaitKey(Old, Before, Serve, Down, Now) <
           makeWaitKey(New, Fresh, plainStep(1), {}, Now);
  };
  cr_assert_not(GoesFirst(Milliseconds(1'000)), "its priority is lower");
  cr_assert(GoesFirst(Milliseconds(3'000)));
}

namespace {

constexpr Resources WorkerSize{8'000, 8'000, 0};
/// How long after the last failure a job may still have nothing running.
constexpr Milliseconds FinishTime{14'000};

workflow::StepSpec labelledService(std::int64_t Cpu) {
  workflow::StepSpec S = plainStep(1);
  S.Size_.Cpu_ = Cpu;
  S.LongRunning_ = true;
  S.RequiredLabel_ = "kind";
  return S;
}

/// Three workers; only "a" has the label, and its first tasks fill it.
struct LabelledWorker : FleetCell {
  LabelledWorker() : FleetCell(std::vector<WorkerId>{"a", "b", "c"}) {
    worker("a").Info_.Labels_ = {"kind"};
    takeOver();
  }

  /// Fills the labelled worker for \p Time with tasks of \p Cpu in all.
  void fill(std::int64_t Cpu, Milliseconds Time) {
    FateOf_ = [Time](const TaskId &Id, std::uint32_t) {
      return Fate{Id.Step_.Job_ == "filler" ? Time : Milliseconds(90'000)};
    };
    workflow::StepSpec Filler = labelledService(Cpu);
    Filler.LongRunning_ = false;
    submit("filler", plainJob({Filler}));
    run(Milliseconds(500));
  }

  bool runs(const JobId &Job) const {
    return !whereIs({{Job, 0, 0}, 0}).empty();
  }
};

} // namespace

// Guards against LOST: two services that waited for the same worker reserved
// all of it each, so that neither started once it was free.
Test(services, two_that_wait_for_one_worker_both_start) {
  LabelledWorker C;
  C.fill(WorkerSize.Cpu_, Milliseconds(3'000));
  C.submit("s1", plainJob({labelledService(1'000)}));
  C.submit("s2", plainJob({labelledService(1'000)}));
  C.run(Milliseconds(3'000));
  cr_assert(
      C.runUntil([&] { return C.runs("s1") && C.runs("s2"); }, FinishTime));
  cr_assert(C.Broken_.empty());
}

// Guards against LOST: a service that could not fit on a worker beside the
// services there reserved it all the same, so that nothing else started there.
Test(services,
     one_without_room_beside_others_keeps_no_worker_from_smaller_tasks) {
  LabelledWorker C;
  C.setRunTime(Milliseconds(90'000));
  C.submit("s1", plainJob({labelledService(2'000)}));
  C.run(Milliseconds(500));
  C.submit("s2", plainJob({labelledService(7'000)}));
  C.run(Milliseconds(500));
  C.submit("s3", plainJob({labelledService(1'000)}));
  workflow::StepSpec Short = labelledService(1'000);
  Short.LongRunning_ = false;
  C.submit("j1", plainJob({Short}));
  cr_assert(
      C.runUntil([&] { return C.runs("s3") && C.runs("j1"); }, FinishTime));
  cr_assert_not(C.runs("s2"));
  cr_assert(C.Broken_.empty());
}

// Guards against LOST: failures of services, which may end at any time, set the
// only worker aside that could run them.
Test(services, failures_of_services_set_no_worker_aside) {
  LabelledWorker C;
  C.FateOf_ = [](const TaskId &Id, std::uint32_t Run) {
    constexpr Milliseconds Long{90'000};
    Milliseconds First(Id.Step_.Job_ == "s3" ? 1'500 : 1'000);
    return Run == 1 ? Fate{First, EndKind::Failed} : Fate{Long};
  };
  for (const char *Job : {"s1", "s2", "s3"})
    C.submit(Job, plainJob({labelledService(1'000)}));
  C.run(Milliseconds(1'400));
  cr_assert(C.runUntil([&] { return !C.runs("s3"); }));
  constexpr Milliseconds IdleLimit{3'000};
  cr_assert(C.runUntil([&] { return C.runs("s3"); }, IdleLimit));
}

// Guards against LOST: each of several services that wait for long tasks to end
// reserved another worker as a whole, until no small task could start anywhere
// although more than half of the room was free.
Test(services, several_without_room_leave_workers_to_smaller_tasks) {
  FleetCell C({"a", "b", "c", "d", "e", "f", "g", "h"});
  C.takeOver();
  C.setRunTime(Milliseconds(90'000));
  workflow::StepSpec Long = plainStep(8);
  Long.Size_.Cpu_ = 3'000;
  Long.MaxPerWorker_ = 1;
  C.submit("long", plainJob({Long}));
  C.run(Milliseconds(1'000));
  workflow::StepSpec Serve = plainStep(1);
  Serve.Size_.Cpu_ = 6'000;
  Serve.LongRunning_ = true;
  for (int I = 0; I < 8; ++I)
    C.submit("s" + std::to_string(I), plainJob({Serve}));
  C.run(Milliseconds(1'000));
  C.submit("small", plainJob({plainStep(1)}));
  constexpr Milliseconds IdleLimit{3'000};
  cr_assert(C.runUntil(
      [&] {
        return !C.whereIs({{"small", 0, 0}, 0}).empty();
      },
      IdleLimit));
}
