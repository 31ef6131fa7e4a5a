#include "workers/detail/usage.hpp"
#include "workers/workers.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::workers;

namespace {

constexpr Resources Declared{1'000, 1'024, 0};
constexpr Resources Real{2'000, 3'072, 0};

Attempt makeAttempt(const std::string &Name) {
  Attempt A;
  A.Task_.Team_ = "roads";
  A.Task_.Name_ = Name;
  A.Task_.Size_ = Declared;
  A.Task_.Kind_ = std::uint8_t(JobKind::Batch);
  A.Phase_ = Phase::Running;
  return A;
}

} // namespace

Test(usage, commits_the_larger_of_size_and_use) {
  State S;
  Attempt A = makeAttempt("a");
  cr_assert(committedResources(A) == Declared);
  A.ExpectedUsage_ = Real;
  cr_assert(committedResources(A) == Real);
  recordUsage(S, A, Resources{500, 3'072, 0});
  cr_assert(committedResources(A) == (Resources{1'000, 3'072, 0}));
}

Test(usage, is_expected_of_later_tasks_of_the_name) {
  State S;
  Attempt A = makeAttempt("a");
  recordUsage(S, A, Real);
  cr_assert(expectedUsage(S, makeAttempt("a").Task_) == Real);
  cr_assert(expectedUsage(S, makeAttempt("b").Task_) == Declared);
}

Test(usage, estimate_decays_towards_smaller_usage) {
  State S;
  Attempt A = makeAttempt("a");
  recordUsage(S, A, Real);
  recordUsage(S, A, std::nullopt);
  // A quarter of the way from 2000 to 1000, and from 3072 to 1024.
  cr_assert(expectedUsage(S, A.Task_) == (Resources{1'750, 2'560, 0}));
}

Test(usage, of_a_throttled_task_does_not_change_the_estimate) {
  State S;
  Attempt A = makeAttempt("a");
  recordUsage(S, A, Real);
  A.Throttled_ = true;
  recordUsage(S, A, Declared);
  cr_assert(expectedUsage(S, A.Task_) == Real);
}

Test(usage, relief_throttles_processors_and_checkpoints_for_memory) {
  State S;
  Worker W;
  W.Capacity_ = {4'000, 4'096, 0};
  for (std::uint32_t I = 0; I < 3; ++I) {
    AttemptId Id;
    Id.Job_ = "j";
    Id.Index_ = I;
    W.Attempts_[Id] = makeAttempt("a");
    W.Attempts_[Id].Usage_ = Resources{2'000, 1'024, 0};
  }
  peering::Outbox Out;
  TimePoint Now{std::chrono::hours(1)};
  relieveOveruse(S, W, "e1.1", Now, Out);
  // 6000 of 4000 thousandths: two give back 1000 each; memory suffices.
  cr_assert(Out.Workers_.size() == 2);
  cr_assert(Out.Workers_[0].Op_ == peering::WorkerOp::Throttle);
  cr_assert(Out.Workers_[0].CpuLimit_ == Declared.Cpu_);
  cr_assert(S.Counters_.count("task-checkpointed-for-room") == 0);
  for (auto &[Id, A] : W.Attempts_)
    A.Usage_ = Resources{1'000, 2'048, 0};
  relieveOveruse(S, W, "e1.1", Now, Out);
  cr_assert(Out.Workers_.size() == 2);
  cr_assert(S.Counters_["task-checkpointed-for-room"] == 1);
}
