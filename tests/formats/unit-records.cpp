/// Stored records. Guards against a build that can't read, or reads as
/// something else, what an earlier build stored.
#include "eventlog/eventlog.hpp"
#include "formats/golden.hpp"
#include "ownership/ownership.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using formats::Sample;

namespace {

workflow::Queue queue() {
  return {"q", "host", "/p/", "s", 2, 3, 2.5, 900, {{370.0, 5.5, 2'500}}};
}

workflow::StepSpec fullStep() {
  return {4,  {500, 256, 1}, 900,  {0},  "label", "r1-3", "image", 2, 30,
          1u, true,          true, true, true,    true,   true};
}

ledger::AcceptedJob acceptedJob() {
  return {queue(),
          1'700'000'000'123,
          {"payload", {workflow::StepSpec{}, fullStep()}, 3, 17, 50},
          7};
}

Sample sample(const std::string &Label, const ledger::KeyedRecord &R) {
  return {Label, R.Key_ + " = " + R.Value_};
}

} // namespace

Test(formats, records_of_the_job_topic) {
  using namespace ledger;
  std::vector<Sample> Out = {
      sample("job", makeJob("j1", acceptedJob())),
      sample("job without advice",
             makeJob("j1", {{"q", "h", "/", "s", 0, 1, 1, 0, {}}, 0, {}})),
      sample("cancel", makeCancel("j1")),
      sample("progress",
             makeProgress("j1", {int(workflow::JobState::Running),
                                 {{7, {{{true, false}, {{1, {2, 5}}}}}}},
                                 6})),
      sample("occurrence",
             makeOccurrence("j1", {7, {{{true, false}, {{1, {2, 5}}}}}})),
      sample("occurrence removal", makeOccurrenceRemoval("j1", 7)),
      sample("roster",
             makeRoster("s", {{"w1", "w2"}, 9, true, {11, 12}, {"w2"}, {7}})),
      sample("fence", makeFence("s", 300)),
      sample("closed queue", makeClosedQueue("q", 300)),
  };
  for (const KeyedRecord &R : makeRemoval("j1"))
    Out.push_back(sample("removal", R));
  formats::compareGolden("formats-job-records", Out);
}

Test(formats, records_of_the_claims_topic) {
  using namespace ownership;
  formats::compareGolden(
      "formats-claim-records",
      {sample("claim",
              makeClaim("s", {"e1.a1", 3, 0, "10.0.0.1:7380", 41, true})),
       sample("given up",
              makeClaim("s", {"e1.a1", 3, 42, "10.0.0.1:7380", 41})),
       sample("node",
              makeNode("e1", {"e1.a1", "10.0.0.1:7380", 41, 240, 5'000, 77})),
       sample("service name", makeServiceName("s"))});
}

Test(formats, records_of_the_log_service) {
  using namespace eventlog;
  JobSpec Spec{"n",
               JobKind::Gang,
               "team",
               "key",
               3,
               {500, 64, 1},
               {{"pool", {"a", "b"}}},
               Milliseconds(700),
               true,
               8};
  nlohmann::json Doc = {{"labels", {{"vm:w1", {{"a", "b"}}}}}};
  std::vector<Record> All = {
      ConfigRecord{"c-1", 4, Doc, "e1.1"},
      ConfigSnapshot{5, Doc},
      AcceptRecord{"j-1", Spec, "e1.1", true, {"j-2"}},
      AcceptRecord{"j-1", Spec, "e1.1", false, {}},
      CancelRecord{"j-1"},
      OutcomeRecord{"j-1", "done", "why"},
      TakeoverRecord{"e1.1", "e2.1"},
      UsesRecord{"e1.1", {"w1", "w2"}},
  };
  std::vector<Sample> Out;
  for (const Record &R : All)
    Out.emplace_back(std::to_string(R.index()), toJson(R).dump());
  formats::compareGolden("formats-log-records", Out);
}

// Values that records hold as numbers, and the names that callers see.
Test(formats, values_of_stored_states) {
  using workflow::JobState;
  std::vector<Sample> Out;
  for (JobState S : {JobState::Queued, JobState::Running, JobState::Completed,
                     JobState::Failed, JobState::Cancelled})
    Out.emplace_back(std::to_string(int(S)), workflow::toString(S));
  formats::compareGolden("formats-job-states", Out);
}
