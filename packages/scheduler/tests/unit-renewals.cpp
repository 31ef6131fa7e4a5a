/// How often an owner renews the leases on its workers.
#include "fleet/fleet_cell.hpp"
#include "scheduler/detail/tasks.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::scheduler;

namespace {

constexpr TimePoint T0{std::chrono::seconds(1'000)};

/// A slice of busy workers whose renewals are due.
State busySlice(int Workers) {
  State S;
  for (int I = 0; I < Workers; ++I) {
    WorkerInfo Info;
    Info.Id_ = "w" + std::to_string(I);
    onWorker(S, Info, T0);
    Worker &W = S.Workers_.at(Info.Id_);
    W.Rostered_ = W.RunsKnown_ = true;
    W.Tasks_.insert({{"j", 0, 0}, std::uint32_t(I)});
  }
  return S;
}

/// Renewals of \p S a second while nothing ends on its workers.
double renewalsPerSecond(State S) {
  Outbox Out;
  detail::planRenewals(S, T0, Out);
  double PerSecond = 0;
  for (const RenewCall &Call : Out.Renewals_)
    PerSecond += 1'000.0 / double(Call.Wait_.count());
  return PerSecond;
}

} // namespace

// Guards against an owner that spends its time on renewals of workers on which
// nothing happens, once it has hundreds of them.
Test(renewals, a_large_slice_renews_its_busy_workers_less_often) {
  cr_assert_lt(renewalsPerSecond(busySlice(350)), 700);
  cr_assert_lt(renewalsPerSecond(busySlice(800)), 700);
  cr_assert_eq(renewalsPerSecond(busySlice(48)), 48 * 2);
}

// Guards against services that are slowed down by other tasks for longer in a
// large slice: their latency is controlled by renewals.
Test(renewals,
     workers_with_a_latency_target_report_as_often_as_in_a_small_one) {
  State S = busySlice(800);
  for (auto &[Id, W] : S.Workers_)
    W.Known_.HasTailTarget_ = true;
  cr_assert_eq(renewalsPerSecond(std::move(S)), 800 * 2);
}

// Guards against leases that lapse since renewals of a large slice are further
// apart: two lost answers in a row must leave time for a third renewal.
Test(renewals, lost_answers_let_no_lease_of_a_large_slice_lapse) {
  using fleettest::FleetCell;
  constexpr int Workers = 800;
  constexpr std::uint32_t Tasks = 100;
  std::vector<WorkerId> Ids;
  for (int I = 0; I < Workers; ++I)
    Ids.push_back("w" + std::to_string(1'000 + I));
  FleetCell C(Ids);
  C.beginBusy(Tasks, Milliseconds(9'000), Milliseconds(1'000));
  C.Failures_.LostAnswer_ = 0.05;
  cr_assert(C.runUntil(
      [&] { return C.state("j1") == workflow::JobState::Completed; }));
  cr_assert_eq(C.Starts_.size(), std::size_t(Tasks));
  cr_assert(C.Broken_.empty(), "%s", C.Broken_.front().c_str());
}

// Guards against an owner that looks at all its workers in each turn: a turn
// takes only those from the queue whose renewal is due.
Test(renewals, each_worker_waits_once_in_the_queue) {
  State S = busySlice(800);
  for (auto &[Id, W] : S.Workers_)
    detail::scheduleRenewal(S, W, T0 + Milliseconds(1'000));
  detail::scheduleRenewal(S, S.Workers_.at("w7"), T0 + Milliseconds(10));
  cr_assert_eq(S.RenewalQueue_.size(), 800u);
  Outbox Out;
  detail::planRenewals(S, T0 + Milliseconds(20), Out);
  cr_assert_eq(Out.Renewals_.size(), 1u);
  cr_assert_eq(Out.Renewals_[0].Target_.Worker_, "w7");
  cr_assert_eq(S.RenewalQueue_.size(), 799u);
  detail::planRenewals(S, T0 + Milliseconds(1'000), Out);
  cr_assert_eq(Out.Renewals_.size(), 800u);
  cr_assert(S.RenewalQueue_.empty());
}

// Guards against a call for nothing but an acknowledgement after each task: the
// next start on the worker is followed by a renewal anyhow.
Test(renewals, ends_of_an_idle_worker_wait_for_its_next_start) {
  using fleettest::FleetCell;
  FleetCell C({"a"});
  C.takeOver();
  C.run(Milliseconds(500));
  C.submit("j1", fleettest::plainJob({fleettest::plainStep(1)}));
  auto IsStored = [&] {
    return C.state("j1") == workflow::JobState::Completed;
  };
  cr_assert(C.runUntil(IsStored));
  C.run(Milliseconds(100));
  cr_assert_eq(C.worker("a").Ends_.size(), 1u, "acknowledged too early");
  C.submit("j2", fleettest::plainJob({fleettest::plainStep(1)}));
  C.run(Milliseconds(100));
  cr_assert_eq(C.worker("a").Ends_.size(), 0u, "not with the start");
  C.run(Milliseconds(700));
  cr_assert_eq(C.worker("a").Ends_.size(), 0u, "without a further start");
}
