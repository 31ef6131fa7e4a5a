/// Search for candidates of a step while the policy is being asked about it.
#include "scheduler/detail/placement_pass.hpp"
#include "scheduler/detail/tasks.hpp"
#include "scheduler/scheduler.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::scheduler;
using namespace pollenvale::scheduler::detail;

namespace {

constexpr TimePoint T0{std::chrono::seconds(1'000)};
constexpr int Workers = 60;

/// A slice whose workers, permits, denials and reservations are random.
struct RandomSlice {
  Random Random_;
  State State_;
  Job Job_;
  Step Step_;
  workflow::StepSpec Spec_;
  WaitingStep Waiting_;
  Outbox Out_;

  explicit RandomSlice(std::uint64_t Seed) : Random_{Seed} {
    Job_.Queue_.Service_ = "s";
    Job_.Queue_.Advice_ = workflow::AdvicePolicy{40, 1, 2'000};
    Spec_.Size_ = {2'000, 500, 0};
    Spec_.MaxPerWorker_ = std::uint32_t(Random_.below(3));
    Waiting_.Id_ = {"j", 0, 0};
    Waiting_.Job_ = &Job_;
    Waiting_.Step_ = &Step_;
    Waiting_.Spec_ = &Spec_;
    Waiting_.Size_ = Spec_.Size_;
    for (int I = 0; I < Workers; ++I)
      addWorker("w" + std::to_string(I));
  }

  void addWorker(const WorkerId &Id) {
    WorkerInfo Info;
    Info.Id_ = Id;
    Info.Service_ = Random_.below(10) == 0 ? "other" : "s";
    Info.Capacity_ = {8'000, 8'000, 0};
    onWorker(State_, Info, T0);
    Worker &W = State_.Workers_.at(Id);
    W.Rostered_ = W.RunsKnown_ = Random_.below(10) != 0;
    W.Used_ = {std::int64_t(Random_.below(9'000)), 0, 0};
    if (Random_.below(2) == 0)
      addPermit(Step_, Id,
                {"p", T0 + Milliseconds(std::int64_t(Random_.below(400)))});
    if (Random_.below(6) == 0)
      Step_.Denied_.insert(Id);
    if (Random_.below(4) == 0)
      reserve({"other", 0, 0}, Id);
    if (Random_.below(4) == 0)
      reserve(Waiting_.Id_, Id);
  }

  void reserve(const StepId &Step, const WorkerId &Id) {
    State_.Reservations_.push_back(
        {Step, Id, Spec_.Size_, T0 + Milliseconds(100)});
  }
};

} // namespace

// Guards against starts on other workers than those of the full search, which
// is left out while a call to the policy is in flight.
Test(placement_pass, the_permitted_candidates_are_those_of_the_full_search) {
  std::size_t Found = 0;
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    RandomSlice S(Seed);
    Pass P = makePass(S.State_, T0, S.Out_);
    std::vector<Candidate> Expected = findCandidates(P, S.Waiting_);
    cr_assert_eq(hasCandidate(P, S.Waiting_), !Expected.empty());
    std::erase_if(Expected, [](const Candidate &C) { return !C.Permitted_; });
    std::vector<Candidate> Permitted = findPermitted(P, S.Waiting_);
    cr_assert_eq(Permitted.size(), Expected.size());
    for (std::size_t I = 0; I < Expected.size(); ++I) {
      cr_assert_eq(Permitted[I].Worker_, Expected[I].Worker_);
      cr_assert(Permitted[I].Free_ == Expected[I].Free_);
      cr_assert_eq(Permitted[I].StepTasks_, Expected[I].StepTasks_);
      cr_assert(Permitted[I].Permitted_ && Permitted[I].Allowed_);
    }
    Found += Permitted.size();
  }
  cr_assert_gt(Found, 200u);
}

// Guards against room that stays reserved, or is given away twice, when
// reservations change during a pass.
Test(placement_pass, reservations_of_a_pass_add_up) {
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    RandomSlice S(Seed);
    Pass P = makePass(S.State_, T0, S.Out_);
    AdviceCall Call;
    Call.Step_ = S.Waiting_.Id_;
    Call.Workers_ = {"w1", "w5", "w9"};
    reserveAdvisedWorkers(P, Call, S.Spec_.Size_);
    reserveFreestWorker(P, S.Waiting_);
    dropReservations(P, {"other", 0, 0});
    Pass Again = makePass(S.State_, T0, S.Out_);
    cr_assert_eq(P.Open_.size(), Again.Open_.size());
    for (std::size_t I = 0; I < P.Open_.size(); ++I)
      cr_assert(P.Open_[I].Reserved_ == Again.Open_[I].Reserved_);
  }
}

// Guards against an owner that is busy with passes: each one looks at all
// workers and at all waiting steps.
Test(placement_pass, passes_of_a_large_slice_are_further_apart) {
  auto PauseOf = [](int Workers) {
    State S;
    for (int I = 0; I < Workers; ++I) {
      WorkerInfo Info;
      Info.Id_ = "w" + std::to_string(I);
      onWorker(S, Info, T0);
    }
    Outbox Out;
    placeTasks(S, T0, Out);
    return S.NextPlacementAt_ - T0;
  };
  cr_assert(PauseOf(48) <= Milliseconds(5));
  cr_assert(PauseOf(1'000) >= Milliseconds(10));
  cr_assert(PauseOf(100'000) <= Milliseconds(25));
}
