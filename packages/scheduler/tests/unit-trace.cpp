/// Log events that explain why a task ran again.
#include "fleet/fleet_cell.hpp"
#include "scheduler/detail/trace.hpp"

#include <algorithm>
#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::fleettest;
using scheduler::Note;

namespace {

std::vector<Note> notesOf(const FleetCell &C, const std::string &Event) {
  std::vector<Note> Out;
  std::copy_if(C.Notes_.begin(), C.Notes_.end(), std::back_inserter(Out),
               [&](const Note &N) { return N.Event_ == Event; });
  return Out;
}

/// Worker that got the first start.
WorkerId firstWorker(const FleetCell &C) {
  const std::string &Start = C.Starts_.front();
  return Start.substr(Start.find('@') + 1);
}

/// Cuts off the worker of the only task until the task runs elsewhere.
FleetCell &repeatElsewhere(FleetCell &C, Milliseconds RunTime) {
  C.beginBusy(1, RunTime, Milliseconds(500));
  C.worker(firstWorker(C)).Cut_ = true;
  cr_assert(C.runUntil([&] { return C.Starts_.size() == 2; }));
  return C;
}

} // namespace

Test(trace, an_abandoned_run_is_logged_with_the_misses_of_its_worker) {
  FleetCell C({"a", "b", "c"});
  repeatElsewhere(C, Milliseconds(60'000));
  std::vector<Note> GivenUp = notesOf(C, "run-given-up");
  cr_assert_eq(GivenUp.size(), 1u);
  const nlohmann::json &F = GivenUp.front().Fields_;
  cr_assert(F["task"] == "j1.0.0.0");
  cr_assert(F["run"] == 1);
  cr_assert(F["worker"] == firstWorker(C));
  cr_assert(F["cause"] == "silent");
  cr_assert_gt(F["misses"].get<unsigned>(), 2u);
  cr_assert_gt(F["first_miss_ms"].get<int>(), 2'000);
  cr_assert_geq(F["answered_ms"].get<int>(), F["first_miss_ms"].get<int>());
  cr_assert_eq(notesOf(C, "renewal-unanswered").size(), 1u,
               "one event for all consecutive misses");
  std::vector<Note> Repeated = notesOf(C, "run-repeated");
  cr_assert_eq(Repeated.size(), 1u);
  cr_assert(Repeated.front().Fields_["earlier_worker"] == firstWorker(C));
}

Test(trace, an_end_reported_after_the_run_was_abandoned_is_logged) {
  // The run ends within the lease, but is listed only once the task runs
  // elsewhere.
  FleetCell C({"a", "b", "c"});
  repeatElsewhere(C, Milliseconds(1'500));
  C.worker(firstWorker(C)).Cut_ = false;
  cr_assert(C.runUntil(
      [&] { return !notesOf(C, "ends-acknowledged-after-give-up").empty(); }));
  std::vector<Note> Late = notesOf(C, "end-after-give-up");
  cr_assert_eq(Late.size(), 1u);
  const nlohmann::json &F = Late.front().Fields_;
  cr_assert(F["end"] == "done");
  cr_assert(F["run"] == 1);
  cr_assert(F["new_run"] == 2);
  cr_assert_eq(C.owner().State_.Counters_.at("end-after-give-up-done"), 1u);
}

Test(trace, undisturbed_jobs_cause_no_rate_limited_events) {
  FleetCell C({"a", "b", "c"});
  C.takeOver();
  for (int I = 0; I < 10; ++I)
    C.submit("j" + std::to_string(I), plainJob({plainStep(4)}));
  cr_assert(C.runUntil([&] { return C.allClosed(); }));
  for (const Note &N : C.Notes_)
    cr_assert_not(N.RateLimited_, "%s", N.Event_.c_str());
}

Test(trace, unanswered_renewals_are_counted_by_timeout) {
  FleetCell C({"a", "b", "c"});
  repeatElsewhere(C, Milliseconds(60'000));
  const Counters &All = C.owner().State_.Counters_;
  cr_assert_gt(All.at("renewal-no-answer-350ms"), 0u);
  cr_assert_gt(All.at("renewal-no-answer-1000ms"), 0u);
  cr_assert_gt(All.at("renewal-no-answer-2000ms"), 0u);
  cr_assert_eq(All.at("renewal-no-answer"),
               All.at("renewal-no-answer-350ms") +
                   All.at("renewal-no-answer-1000ms") +
                   All.at("renewal-no-answer-2000ms"));
}

Test(trace, a_waiting_step_is_logged_with_its_unanswered_advice_calls) {
  FleetCell C({"a"});
  C.Catalog_.Queues_[0].Advice_ = workflow::AdvicePolicy{200, 1, 2'000};
  C.Policy_ = advice::makePool("entry");
  // The helper has a long backlog, so every call times out.
  C.Policy_->Entries_["entry"].Backlog_ = Milliseconds(60'000);
  C.takeOver();
  C.submit("j1", plainJob({plainStep(1)}));
  C.run(Milliseconds(10'000));
  std::vector<Note> Waits = notesOf(C, "step-waits");
  cr_assert_not(Waits.empty());
  const nlohmann::json &F = Waits.back().Fields_;
  cr_assert_geq(F["advice_unanswered"].get<int>(), 2);
  cr_assert_geq(F["advice_calls"].get<int>(),
                F["advice_unanswered"].get<int>());
  cr_assert_geq(F["waits_ms"].get<int>(), 4'000);
  cr_assert(F["workers_allowed"] == 0);
  cr_assert(F["workers_denied"] == 0);
}

Test(trace, the_longest_waits_are_logged) {
  FleetCell C({"a"});
  C.takeOver();
  // No worker is large enough. Names are submitted in descending order, so that
  // the order of names differs from that of the waits.
  workflow::StepSpec Huge = plainStep(1);
  Huge.Size_.Cpu_ = 90'000;
  for (char Name = 'j'; Name >= 'a'; --Name) {
    C.submit(std::string(1, Name), plainJob({Huge}));
    C.run(Milliseconds(500));
  }
  C.run(Milliseconds(8'000));
  std::vector<Note> Waits = notesOf(C, "step-waits");
  cr_assert_geq(Waits.size(), 4u);
  std::vector<std::string> Last;
  for (auto It = Waits.end() - 4; It != Waits.end(); ++It)
    Last.push_back(It->Fields_["step"]);
  cr_assert(Last ==
            std::vector<std::string>({"j.0.0", "i.0.0", "h.0.0", "g.0.0"}));
}

Test(trace, a_waiting_step_is_logged_with_the_workers_it_waits_for) {
  FleetCell C({"a", "b"});
  C.beginBusy(16, Milliseconds(60'000), Milliseconds(500));
  C.worker("b").Cut_ = true;
  C.takeOver();
  C.run(Milliseconds(8'500));
  std::vector<Note> Waits = notesOf(C, "step-waits");
  cr_assert_not(Waits.empty());
  const nlohmann::json &F = Waits.front().Fields_;
  cr_assert(F["inherited_unclear"] == true);
  cr_assert(F["unaccounted"] == 1);
  cr_assert(F["behind_store"] == false);
}

Test(trace, a_run_that_is_neither_started_nor_ended_is_logged) {
  FleetCell C({"a"});
  C.takeOver();
  C.run(Milliseconds(500));
  C.submit("j1", plainJob({plainStep(1)}));
  C.runUntil([&] { return !C.owner().State_.Workers_.at("a").Tasks_.empty(); });
  C.worker("a").Cut_ = true;
  C.run(Milliseconds(9'000));
  std::vector<Note> Runs = notesOf(C, "run-unsettled");
  cr_assert_not(Runs.empty());
  const nlohmann::json &F = Runs.front().Fields_;
  cr_assert(F["task"] == "j1.0.0.0");
  cr_assert(F["worker"] == "a");
  cr_assert_neq(F["phase"], "running");
  cr_assert_geq(F["age_ms"].get<int>(), 4'000);
}
