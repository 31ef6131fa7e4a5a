/// Validation of job specifications, task ids and selection of queues.
#include "workflow/workflow.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::workflow;

// Guards against steps that wait for each other forever.
Test(spec, a_step_may_only_depend_on_earlier_steps) {
  WorkflowSpec S;
  S.Steps_.resize(2);
  S.Steps_[0].DependsOn_ = {1};
  auto Result = validate(S);
  cr_assert_not(Result);
  cr_assert_eq(Result.error().Message_,
               "steps[0].after: 1 is not an earlier step");
  S.Steps_[0].DependsOn_ = {};
  S.Steps_[1].DependsOn_ = {0};
  cr_assert(bool(validate(S)));
}

Test(spec, counts_and_payloads_out_of_range_are_rejected) {
  WorkflowSpec S;
  cr_assert_not(validate(S));
  S.Steps_.resize(1);
  S.Steps_[0].Count_ = 0;
  cr_assert_not(validate(S));
  S.Steps_[0].Count_ = MaxTasksPerStep + 1;
  cr_assert_not(validate(S));
  S.Steps_[0].Count_ = MaxTasksPerStep;
  cr_assert(bool(validate(S)));
  S.Payload_.assign(MaxPayloadBytes + 1, 'x');
  cr_assert_not(validate(S));
}

namespace {

WorkflowSpec makeEvenSpec(std::size_t Steps, std::uint32_t Count) {
  WorkflowSpec S;
  S.Steps_.resize(Steps);
  for (StepSpec &Step : S.Steps_)
    Step.Count_ = Count;
  return S;
}

/// Progress of \p Spec with \p Failures failed attempts of every task. The
/// run numbers have their longest encoding.
Progress largestProgress(const WorkflowSpec &Spec, std::uint32_t Failures) {
  constexpr std::uint32_t LastRun = 0xffff'ffff;
  std::set<std::uint32_t> Runs;
  for (std::uint32_t I = 0; I < Failures; ++I)
    Runs.insert(LastRun - I);
  OccurrenceProgress O;
  O.Number_ = LastRun;
  for (const StepSpec &Step : Spec.Steps_) {
    StepProgress P;
    P.Done_.assign(Step.Count_, false);
    for (std::uint32_t I = 0; I < Step.Count_; ++I)
      P.Failures_.push_back({I, Runs});
    O.Steps_.push_back(std::move(P));
  }
  return {int(JobState::Running), {std::move(O)}, LastRun};
}

} // namespace

// Guards against an owner that retries a write forever because the store
// refuses the job's progress for its size.
Test(spec, the_number_of_tasks_is_limited_over_all_steps) {
  WorkflowSpec S = makeEvenSpec(2, 5'000);
  cr_assert(bool(validate(S)));
  S.Steps_[1].Count_ = 5'001;
  auto Result = validate(S);
  cr_assert_not(Result);
  cr_assert(Result.error().Kind_ == ErrorKind::BadSpec);
  cr_assert_eq(Result.error().Message_, "steps: 10001 tasks, at most 10000");
  cr_assert_not(validate(makeEvenSpec(MaxSteps, MaxTasksPerStep)));
}

Test(spec, progress_of_every_accepted_job_fits_into_a_record) {
  constexpr std::size_t RecordBytes = 262'144, KeyBytes = 1 + 255;
  constexpr std::uint32_t Failures = 4;
  for (auto [Steps, Count] : {std::pair(1, 10'000), {39, 256}, {256, 39}}) {
    WorkflowSpec S = makeEvenSpec(Steps, Count);
    cr_assert(bool(validate(S)), "%d of %d", Steps, Count);
    std::size_t Bytes = pack(largestProgress(S, Failures)).size();
    cr_assert_leq(KeyBytes + Bytes, RecordBytes, "%d of %d: %zu", Steps, Count,
                  Bytes);
  }
}

Test(spec, the_longest_chain_follows_the_dependencies) {
  WorkflowSpec S;
  S.Steps_.resize(3);
  S.Steps_[0].EstimateMs_ = 100;
  S.Steps_[1].EstimateMs_ = 700;
  S.Steps_[2].EstimateMs_ = 200;
  S.Steps_[2].DependsOn_ = {0};
  cr_assert_eq(longestChain(S).count(), 700);
  S.Steps_[2].DependsOn_ = {0, 1};
  cr_assert_eq(longestChain(S).count(), 900);
}

Test(spec, task_ids_survive_a_round_trip) {
  TaskId Id{{"5c0e7a21d94b36f8", 3, 1}, 17};
  cr_assert_eq(toString(Id), "5c0e7a21d94b36f8.3.1.17");
  cr_assert(parseTaskId(toString(Id)) == Id);
  for (const char *Bad : {"", "a", "a.1.2", "a.1.2.x", ".1.2.3", "a.1.2.-3"})
    cr_assert_not(parseTaskId(Bad), "%s", Bad);
}

Test(spec, the_longest_prefix_selects_the_queue) {
  Catalog C;
  for (const char *Prefix : {"/a/", "/a/b/"}) {
    Queue Q;
    Q.Name_ = Prefix;
    Q.Host_ = "h";
    Q.PathPrefix_ = Prefix;
    C.Queues_.push_back(Q);
  }
  cr_assert_eq(findQueue(C, "h", "/a/b/1")->Name_, "/a/b/");
  cr_assert_eq(findQueue(C, "h", "/a/1")->Name_, "/a/");
  cr_assert_null(findQueue(C, "other", "/a/1"));
  cr_assert_null(findQueue(C, "h", "/c"));
}
