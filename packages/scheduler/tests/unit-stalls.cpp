/// Tasks without progress on a worker that answers.
#include "fleet/fleet_cell.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::fleettest;

namespace {

/// One job on two workers that report no progress until a test sets it.
struct StalledCell : FleetCell {
  explicit StalledCell(const workflow::StepSpec &S)
      : FleetCell(std::vector<WorkerId>{"a", "b"}) {
    setRunTime(Milliseconds(60'000));
    for (auto &[Id, W] : Workers_)
      W.Percent_ = 0;
    takeOver();
    submit("j1", plainJob({S}));
    run(Milliseconds(300));
  }
};

} // namespace

Test(stalls, a_stalled_task_starts_elsewhere) {
  StalledCell C(plainStep(1));
  cr_assert_eq(C.Starts_.size(), 1u);
  C.run(Milliseconds(6'000));
  cr_assert_geq(C.Starts_.size(), 2u);
  cr_assert_neq(C.Starts_[0].back(), C.Starts_[1].back());
  cr_assert(C.Broken_.empty());
}

Test(stalls, a_task_with_progress_is_not_stopped) {
  StalledCell C(plainStep(1));
  for (unsigned Percent = 1; Percent < 10; ++Percent) {
    for (auto &[Id, W] : C.Workers_)
      W.Percent_ = Percent;
    C.run(Milliseconds(1'500));
  }
  cr_assert_eq(C.Starts_.size(), 1u);
}

Test(stalls, a_working_service_task_needs_no_progress) {
  workflow::StepSpec S = plainStep(1);
  S.LongRunning_ = true;
  StalledCell C(S);
  for (auto &[Id, W] : C.Workers_)
    W.Percent_ = 100;
  C.run(Milliseconds(20'000));
  cr_assert_eq(C.Starts_.size(), 1u);
}
