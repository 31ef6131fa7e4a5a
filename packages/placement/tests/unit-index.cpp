#include "placement/placement.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::placement;

namespace {

IndexedWorker makeWorker(const char *Name, const char *Rack, Resources Total,
                         Resources Free) {
  IndexedWorker M;
  M.Name_ = Name;
  M.Rack_ = Rack;
  M.Dc_ = "dc";
  M.Labels_ = {{"pool", Total.Accelerators_ > 0 ? "imagery" : "planning"},
               {"vm", Name},
               {"rack", Rack},
               {"dc", "dc"}};
  M.Total_ = Total;
  M.Free_ = Free;
  return M;
}

/// Two workers without accelerators and one with four.
Index makeIndex() {
  Index I;
  upsert(I, makeWorker("a", "r1", {8'000, 8'000, 0}, {6'000, 8'000, 0}));
  upsert(I, makeWorker("b", "r2", {8'000, 8'000, 0}, {2'000, 3'000, 0}));
  upsert(I, makeWorker("g", "r3", {8'000, 8'000, 4}, {1'000, 1'000, 4}));
  return I;
}

} // namespace

Test(index, pack_takes_the_tightest_worker) {
  Query A;
  A.Size_ = {1'500, 1'000, 0};
  cr_assert(choose(makeIndex(), A).Worker_ == "b");
}

Test(index, tasks_without_accelerators_avoid_accelerated_workers) {
  Query A;
  A.Size_ = {500, 500, 0};
  cr_assert(choose(makeIndex(), A).Worker_ != "g");
  A.Size_.Accelerators_ = 1;
  cr_assert(choose(makeIndex(), A).Worker_ == "g");
}

Test(index, spread_takes_the_rack_with_the_fewest_tasks) {
  Query A;
  A.Size_ = {500, 500, 0};
  A.Spread_ = true;
  A.TasksByRack_ = {{"r1", 2}, {"r2", 1}, {"r3", 3}};
  cr_assert(choose(makeIndex(), A).Worker_ == "b");
}

Test(index, refusal_counts_each_worker_once) {
  Query A;
  A.Size_ = {7'000, 100, 0};
  A.Avoid_ = {"a"};
  Choice C = choose(makeIndex(), A);
  cr_assert(C.Worker_.empty());
  cr_assert(C.Reasons_["failed-here"] == 1 && C.Reasons_["cpu"] == 2);
}

Test(index, selectors_match_location_and_class_labels) {
  Query A;
  A.Size_ = {100, 100, 0};
  A.Selector_ = {{"vm", {"a"}}};
  cr_assert(choose(makeIndex(), A).Worker_ == "a");
  A.Selector_ = {{"pool", {"nosuch"}}};
  cr_assert(choose(makeIndex(), A).Reasons_["selector"] == 3);
}

Test(index, max_runnable_tasks_counts_empty_workers) {
  std::size_t Matching = 0;
  Index I = makeIndex();
  cr_assert(maxRunnableTasks(I, {}, {4'000, 1'000, 0}, 100, Matching) == 6);
  cr_assert(Matching == 3);
  cr_assert(maxRunnableTasks(I, {}, {9'000, 1, 0}, 100, Matching) == 0);
}
