/// Calls to workers, store and placement policy. Guards against a build that
/// the platform no longer understands.
#include "formats/golden.hpp"
#include "platform/adapter.hpp"
#include "standin_wire/standin_wire.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using formats::Sample;

namespace {

/// Keeps the calls and answers none.
class Recorder : public http::Client {
public:
  void submit(http::ClientCall Call, http::ClientDone) override {
    std::string Text = Call.Method_ + " " + Call.Url_;
    for (const std::string &Header : Call.Headers_)
      Text += " [" + Header + "]";
    Text += " " + std::to_string(Call.Timeout_.count()) + " ms";
    Samples_.emplace_back(Label_, Text + " " + Call.Body_);
  }

  std::string Label_;
  std::vector<Sample> Samples_;
};

const workflow::TaskId Task = *workflow::parseTaskId("j1.2.3.4");
const scheduler::Target Worker{"w1", "10.0.0.2:80", 9, Milliseconds(350)};

template <class T> auto ignore() {
  return [](const T &) {};
}

void callStore(platform::Client &C, Recorder &R) {
  R.Label_ = "append";
  C.append({{"keyed.jobs", 3}, {{"k", "value"}, {"gone", ""}}},
           ignore<ledger::AppendReply>());
  R.Label_ = "append at end";
  C.append({{"keyed.claims", 0}, {{"k", "v"}}, 840},
           ignore<ledger::AppendReply>());
  R.Label_ = "append fenced";
  C.append({{"keyed.jobs", 3}, {{"k", "v"}}, {}, ledger::Fence{"p/1", 7, 12}},
           ignore<ledger::AppendReply>());
  R.Label_ = "read";
  C.read({{"keyed.jobs", 3}, 840, Milliseconds(250)},
         ignore<ledger::ReadReply>());
  R.Label_ = "newest";
  C.readNewest({{"keyed.jobs", 3}, "after this"},
               ignore<ledger::NewestReply>());
}

void callWorker(platform::Client &C, Recorder &R) {
  R.Label_ = "renew";
  C.renew({Worker, 58, Milliseconds(9'000), Milliseconds(200)},
          ignore<scheduler::RenewReply>());
  R.Label_ = "renew without lease";
  C.renew({Worker, 0, {}, Milliseconds(0)}, ignore<scheduler::RenewReply>());
  R.Label_ = "start";
  C.start({Worker, Task, 5, "payload", "cp", "permit", Milliseconds(7'000)},
          ignore<scheduler::OrderReply>());
  R.Label_ = "start, least";
  C.start({Worker, Task, 5}, ignore<scheduler::OrderReply>());
  R.Label_ = "stop";
  C.stop({Worker, Task, 5}, ignore<scheduler::OrderReply>());
  R.Label_ = "throttle";
  C.throttle({Worker, Task, 5, 40}, ignore<scheduler::OrderReply>());
  R.Label_ = "advise";
  C.advise("j1.2.3", {"w1", "w2"}, Milliseconds(500),
           ignore<scheduler::AdviceReply>());
}

} // namespace

Test(formats, calls_to_the_platform) {
  platform::Boot B;
  B.StoreAddress_ = "10.0.0.9:90";
  B.PolicyAddress_ = "10.0.0.8:80";
  Recorder R;
  platform::Client C(B, R, Milliseconds(300));
  callStore(C, R);
  callWorker(C, R);
  formats::compareGolden("formats-platform-calls", R.Samples_);
}

Test(formats, calls_to_the_workers_of_the_cell) {
  using peering::WorkerOp;
  AttemptId Attempt{"j-1", 7, "e1.1", 2};
  std::vector<Sample> Out;
  for (WorkerOp Op :
       {WorkerOp::Acquire, WorkerOp::Renew, WorkerOp::Release, WorkerOp::Start,
        WorkerOp::Stop, WorkerOp::Checkpoint, WorkerOp::Throttle}) {
    peering::WorkerCall Call{300,
                             "w1",
                             "w1:80",
                             Op,
                             "e1.1",
                             9,
                             Milliseconds(6'000),
                             Attempt,
                             {1, "n", "t", {500, 64, 1}, 700, 8, true, true},
                             250,
                             11,
                             {Attempt}};
    Out.emplace_back(standin_wire::pathOf(Op),
                     standin_wire::toJson(Call).dump());
  }
  formats::compareGolden("formats-worker-calls", Out);
}
