/// Answers to callers and operators. Guards against a build that their
/// programs no longer understand.
#include "fleet/caller_service.hpp"
#include "formats/golden.hpp"
#include "harness/scenario.hpp"
#include "observe/observe.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using formats::Sample;

namespace {

std::string text(const http::ServerReply &R) {
  std::string Out = std::to_string(R.Code_) + " " + R.ContentType_;
  for (const auto &[Name, Value] : R.Headers_)
    Out += " [" + Name + ": " + Value + "]";
  return Out + " " + R.Body_;
}

/// Refuses every append.
class RefusingStore : public ledger::Store {
public:
  void append(ledger::AppendCall,
              ledger::ReplyHandler<ledger::AppendReply> Done) override {
    Done({ledger::StoreStatus::NotDone});
  }
  void read(ledger::ReadCall,
            ledger::ReplyHandler<ledger::ReadReply>) override {}
  void readNewest(ledger::NewestCall,
                  ledger::ReplyHandler<ledger::NewestReply>) override {}
};

/// The callers' side of an entry of the fleet with one stored job.
struct FleetEntry {
  RefusingStore Store_;
  intake::Intake Intake_;
  workflow::Catalog Catalog_;
  bool HasCatalog_ = true;
  Counters Counters_;
  fleet::CallerService Service_{Intake_, Catalog_, HasCatalog_, Counters_};
  std::vector<Sample> Samples_;

  FleetEntry() {
    Catalog_.MaxBodyBytes_ = 100;
    Catalog_.Queues_ = {{"q", "host", "/p/", "s", 0, 1, 1, 0, {}}};
    Intake_.Store_ = &Store_;
    Intake_.Clock_ = [] { return std::chrono::steady_clock::now(); };
    intake::PartitionCopy &Copy =
        Intake_.Partitions_[intake::partitionOf("s", Intake_.TopicPartitions_)];
    Copy.Tail_.Reachable_ = true;
    Copy.Tail_.AnsweredAt_ = std::chrono::steady_clock::now();
    ledger::apply(
        Copy.Replica_,
        ledger::makeJob("00000000000000a1",
                        {Catalog_.Queues_[0], 0, {"", {{}}, 0, 0, 0}}),
        {});
  }

  void call(const std::string &Method, const std::string &Path,
            const std::string &Body = "", bool Loaded = true) {
    http::ServerRequest R{Method, Path, {}, {{"host", "host:80"}}, Body};
    Service_.serve(
        R,
        [&](const http::ServerReply &Reply) {
          Samples_.emplace_back(Method + " " + Path + " " + Body, text(Reply));
        },
        Loaded);
  }
};

/// Plays one call in \p C and notes the answer.
void play(harness::Cell &C, std::vector<Sample> &Out, const std::string &Method,
          const std::string &Path, const std::string &Body = "",
          const std::string &Mode = "", const std::string &DeadlineMs = "") {
  std::uint64_t Connection = harness::call(
      C, "e1", {0, Method, Path, Body, Mode, "", DeadlineMs}, Path);
  harness::runUntil(C, C.Now_ + std::chrono::seconds(60),
                    [&] { return C.Calls_.at(Connection).Answered_; });
  const harness::Call &Done = C.Calls_.at(Connection);
  Out.emplace_back(Method + " " + Path + " " + Body,
                   std::to_string(Done.Code_) + " " + Done.Body_.dump());
}

} // namespace

Test(formats, answers_of_the_fleet) {
  FleetEntry E;
  E.call("GET", "/p/", "", false);
  E.call("GET", "/other/00000000000000a1");
  E.call("GET", "/p/");
  E.call("GET", "/p/00000000000000a1");
  E.call("POST", "/p/00000000000000a1", R"({"steps":[{"count":1}]})");
  E.call("POST", "/p/00000000000000a2", R"({"steps":[{"count":1}]})");
  E.call("POST", "/p/00000000000000a2", R"({"steps":3})");
  E.call("POST", "/p/00000000000000a2", std::string(101, ' '));
  E.call("POST", "/p/nothing", "{}");
  E.call("PUT", "/p/00000000000000a1");
  E.HasCatalog_ = false;
  E.call("GET", "/p/");
  using namespace platform;
  using workflow::JobState;
  for (JobState S : {JobState::Queued, JobState::Running, JobState::Completed,
                     JobState::Failed, JobState::Cancelled})
    E.Samples_.emplace_back("state", text(stateReply(S)));
  E.Samples_.emplace_back("pending", text(pendingReply(4)));
  E.Samples_.emplace_back("gone", text(goneReply()));
  formats::compareGolden("formats-fleet-answers", E.Samples_);
}

Test(formats, answers_of_the_cell) {
  auto C = harness::makeCell({});
  std::vector<Sample> Out;
  auto Play = [&](auto... Words) { play(*C, Out, Words...); };
  Play("GET", "/v1/config");
  Play("GET", "/ready");
  harness::runUntil(*C, C->Now_ + std::chrono::seconds(10));
  harness::publish(*C, "e1", harness::defaultConfig(1), "c1");
  harness::runUntil(*C, C->Now_ + std::chrono::seconds(10));
  for (const char *Path : {"/v1/config", "/v1/jobs", "/v1/status",
                           "/v1/workers", "/ready", "/nothing", "/v1/jobs/x"})
    Play("GET", Path);
  Play("PUT", "/v1/jobs");
  Play("POST", "/v1/config", "{}");
  Play("POST", "/v1/config", R"({"base":1,"doc":{"labels":3}})");
  Play("POST", "/v1/config", R"({"doc":{}})");
  Play("POST", "/v1/config", R"({"base":0,"doc":{}})");
  Play("POST", "/v1/config/validate", R"({"doc":{}})");
  Play("POST", "/v1/jobs", "[");
  Play("POST", "/v1/jobs", R"({"size":{}})");
  Play("POST", "/v1/jobs", R"({"name":"n","size":{"cpu":99000}})");
  Play("POST", "/v1/jobs",
       R"({"name":"n","size":{"cpu":1},"selector":{"pool":"none"}})");
  Play("POST", "/v1/jobs", R"({"name":"n","size":{"cpu":1},"run_ms":20000})");
  std::string Job =
      "/v1/jobs/" + C->Calls_.rbegin()->second.Body_.value("job", "");
  harness::runUntil(*C, C->Now_ + std::chrono::seconds(2));
  Play("GET", Job);
  Play("GET", Job + "/explain");
  Play("GET", std::string("/v1/workers"));
  Play("DELETE", Job);
  Play("POST", "/v1/services/planning", "{}", "sometimes");
  Play("POST", "/v1/services/planning", "{}", "", "0");
  Play("POST", "/v1/services/none", "{}");
  Play("POST", "/v1/services/planning", R"({"id":"r1","run_ms":5})");
  formats::compareGolden("formats-cell-answers", Out);
}

Test(formats, answers_of_each_error) {
  std::vector<Sample> Out;
  for (const ErrorRow &Row : ErrorTable) {
    Counters Counts;
    peering::Outbox Box;
    requests::answerError(Counts, Box, 1, Row.Kind_, "why");
    const peering::CallerReply &R = Box.Callers_.at(0);
    Out.emplace_back(Counts.begin()->first, std::to_string(R.Code_) + " " +
                                                R.ContentType_ + " " + R.Body_);
    Out.emplace_back("fleet",
                     text(platform::errorReply(makeError(Row.Kind_, "why"),
                                               std::chrono::seconds(3))));
  }
  formats::compareGolden("formats-errors", Out);
}

Test(formats, metrics_in_the_text_format) {
  observe::Histogram H;
  H.add(Milliseconds(7));
  formats::compareGolden("formats-metrics",
                         {{"counters", observe::expose({{"a-b", 3}})},
                          {"histogram", H.expose("pollenvale_x_seconds")}});
}
