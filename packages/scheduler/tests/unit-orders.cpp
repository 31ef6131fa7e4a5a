/// Unanswered and late starts and stops, and expired leases.
#include "fleet/fleet_cell.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::fleettest;
using workflow::JobState;

Test(orders, lost_answers_do_not_run_a_task_twice) {
  FleetCell C({"a", "b", "c"});
  C.Failures_.LostAnswer_ = 0.4;
  C.takeOver();
  for (int I = 0; I < 20; ++I)
    C.submit("j" + std::to_string(I), plainJob({plainStep(4)}));
  cr_assert(C.runUntil([&] { return C.allClosed(); }, Milliseconds(60'000)));
  cr_assert(C.Broken_.empty(), "%s", C.Broken_.front().c_str());
}

Test(orders, late_orders_do_not_run_a_task_twice) {
  FleetCell C({"a", "b", "c"});
  C.Failures_.LateOrder_ = 0.3;
  C.takeOver();
  for (int I = 0; I < 20; ++I)
    C.submit("j" + std::to_string(I), plainJob({plainStep(4)}));
  cr_assert(C.runUntil([&] { return C.allClosed(); }, Milliseconds(90'000)));
  C.run(Milliseconds(15'000));
  cr_assert(C.Broken_.empty(), "%s", C.Broken_.front().c_str());
}

Test(orders, tasks_of_a_worker_that_is_gone_start_elsewhere) {
  FleetCell C({"a", "b", "c"});
  C.beginBusy(4, Milliseconds(3'000), Milliseconds(500));
  std::string Where = C.Starts_.front().substr(C.Starts_.front().size() - 1);
  C.worker(Where).Alive_ = false;
  scheduler::onWorkerGone(C.owner().State_, Where, C.Now_);
  // The limit covers the lease, its margins and the run itself.
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; },
                       Milliseconds(10'000)));
  cr_assert(C.Broken_.empty());
}

Test(orders, a_worker_that_is_cut_off_runs_its_tasks_alone) {
  FleetCell C({"a", "b", "c"});
  C.beginBusy(4, Milliseconds(60'000), Milliseconds(500));
  std::string Where = C.Starts_.front().substr(C.Starts_.front().size() - 1);
  C.worker(Where).Cut_ = true;
  C.run(Milliseconds(12'000));
  cr_assert_gt(C.Starts_.size(), 4u);
  C.worker(Where).Cut_ = false;
  C.run(Milliseconds(5'000));
  cr_assert(C.Broken_.empty(), "%s", C.Broken_.front().c_str());
}

Test(orders, a_restarted_worker_has_lost_its_tasks) {
  FleetCell C({"a", "b", "c"});
  C.beginBusy(4, Milliseconds(2'000), Milliseconds(500));
  std::string Where = C.Starts_.front().substr(C.Starts_.front().size() - 1);
  C.restartWorker(Where);
  cr_assert(
      C.runUntil([&] { return C.Starts_.size() == 8; }, Milliseconds(3'500)));
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
  cr_assert(C.Broken_.empty());
}

Test(orders, no_end_is_acknowledged_before_it_is_stored) {
  FleetCell C({"a", "b", "c"});
  C.takeOver();
  C.submit("j1", plainJob({plainStep(4)}));
  C.run(Milliseconds(100));
  C.StoreDown_ = true;
  C.run(Milliseconds(3'000));
  std::size_t Listed = 0;
  for (const auto &[Id, W] : C.Workers_)
    Listed += W.Ends_.size();
  cr_assert_eq(Listed, 4u);
  C.StoreDown_ = false;
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
  C.run(Milliseconds(2'000));
  for (const auto &[Id, W] : C.Workers_)
    cr_assert(W.Ends_.empty());
}
