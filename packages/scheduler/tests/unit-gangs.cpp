/// All members of a gang run together, or none.
#include "fleet/fleet_cell.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::fleettest;
using workflow::JobState;

namespace {

workflow::StepSpec gangOf(std::uint32_t Count) {
  workflow::StepSpec S = plainStep(Count);
  S.Gang_ = true;
  S.Size_ = {6'000, 100, 0};
  return S;
}

} // namespace

Test(gangs, all_members_start_together_with_one_run_number) {
  FleetCell C({"a", "b", "c"});
  C.takeOver();
  C.submit("j1", plainJob({gangOf(3)}));
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
  cr_assert_eq(C.Starts_.size(), 3u);
  for (const std::string &Start : C.Starts_)
    cr_assert_neq(Start.find("#1@"), std::string::npos);
}

Test(gangs, a_gang_without_room_for_all_starts_none) {
  FleetCell C({"a", "b", "c"});
  C.takeOver();
  C.submit("j1", plainJob({gangOf(4)}));
  C.run(Milliseconds(2'000));
  cr_assert(C.Starts_.empty());
  C.addWorker("d");
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
}

Test(gangs, the_rest_of_a_gang_stops_when_a_member_is_lost) {
  FleetCell C({"a", "b", "c"});
  C.takeOver();
  C.FateOf_ = [](const TaskId &, std::uint32_t Run) {
    return Fate{Milliseconds(Run == 1 ? 60'000 : 500)};
  };
  C.submit("j1", plainJob({gangOf(3)}));
  C.run(Milliseconds(400));
  C.restartWorker("b");
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; },
                       Milliseconds(6'000)));
  cr_assert_eq(C.Starts_.size(), 6u);
  cr_assert(C.Broken_.empty());
}

Test(gangs, a_gang_resumes_from_its_checkpoint) {
  FleetCell C({"a", "b", "c"});
  C.takeOver();
  C.FateOf_ = [](const TaskId &, std::uint32_t Run) {
    return Fate{Milliseconds(Run == 1 ? 60'000 : 500)};
  };
  C.submit("j1", plainJob({gangOf(2)}));
  C.run(Milliseconds(400));
  auto &Occurrences = C.owner().State_.Jobs_.at("j1").Open_;
  C.restartWorker(Occurrences.at(0).Steps_[0].Tasks_[0].Run_->Worker_);
  cr_assert(C.runUntil([&] { return C.Starts_.size() == 4; }));
  cr_assert_eq(Occurrences.at(0).Steps_[0].GangCheckpoint_, "saved");
  cr_assert(C.runUntil([&] { return C.state("j1") == JobState::Completed; }));
}
