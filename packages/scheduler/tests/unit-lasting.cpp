/// Service tasks: restarted however they end, and fillers paced beside them.
#include "fleet/fleet_cell.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::fleettest;
using workflow::JobState;

namespace {

FleetCell makeCell() {
  FleetCell C;
  C.addPlainQueue();
  for (const char *Id : {"a", "b"})
    C.addWorker(Id);
  C.takeOver();
  return C;
}

} // namespace

Test(lasting, a_service_task_is_restarted_however_often_it_fails) {
  FleetCell C = makeCell();
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

Test(lasting, a_filler_takes_no_processors) {
  FleetCell C = makeCell();
  C.FateOf_ = [](const TaskId &, std::uint32_t) {
    return Fate{Milliseconds(20'000)};
  };
  workflow::StepSpec S = plainStep(30);
  S.Filler_ = true;
  C.submit("j1", plainJob({S}));
  C.run(Milliseconds(500));
  cr_assert_eq(C.Starts_.size(), 30u);
}

namespace {

/// A service task with a target of 100 ms beside a filler on one worker.
std::vector<scheduler::PaceCall> tellTail(FleetCell &C, double TailMs) {
  scheduler::HoldReply Reply;
  Reply.Status_ = scheduler::CallStatus::Done;
  Reply.BornUnixMs_ = C.worker("a").Info_.BornUnixMs_;
  Reply.Clock_ = clockOf(C.worker("a"), C.Now_);
  Reply.Running_ = {{{{"serve", 0, 0}, 0}, 1, "", 100, TailMs},
                    {{{"fill", 0, 0}, 0}, 1, "", 10, 500}};
  scheduler::HoldCall Call{{"a", "a:1", C.owner().Token_}};
  Call.LeaseUntil_ = Milliseconds(0);
  scheduler::Outbox Out;
  scheduler::onHold(C.owner().State_, Call, Reply, C.Now_, C.Now_, Out);
  return Out.Paces_;
}

FleetCell makePaced() {
  FleetCell C;
  C.addPlainQueue();
  C.addWorker("a");
  C.takeOver();
  C.FateOf_ = [](const TaskId &, std::uint32_t) {
    return Fate{Milliseconds(60'000)};
  };
  workflow::StepSpec Serve = plainStep(1);
  Serve.LongRunning_ = true;
  Serve.TailTargetMs_ = 100;
  workflow::StepSpec Fill = plainStep(1);
  Fill.Filler_ = true;
  C.submit("serve", plainJob({Serve}));
  C.submit("fill", plainJob({Fill}));
  C.run(Milliseconds(500));
  return C;
}

} // namespace

Test(lasting, fillers_rest_while_a_service_misses_its_target) {
  FleetCell C = makePaced();
  cr_assert_eq(tellTail(C, 150).at(0).Percent_, 25u);
  cr_assert_eq(tellTail(C, 150).at(0).Percent_, 0u);
  cr_assert(tellTail(C, 150).empty());
}

Test(lasting, fillers_speed_up_again_step_by_step) {
  FleetCell C = makePaced();
  tellTail(C, 150);
  cr_assert_eq(tellTail(C, 30).at(0).Percent_, 40u);
  cr_assert(tellTail(C, 70).empty());
}

Test(lasting, a_service_task_is_not_starved_by_short_ones) {
  // Short work fills each gap at once; the policy takes longer than a gap.
  FleetCell C;
  C.addPlainQueue();
  C.addWorker("a");
  C.addWorker("b");
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
