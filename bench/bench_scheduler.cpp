/// \file
/// Processor time of an owner per task that it runs to its end, by the number
/// of its workers: the pure scheduler, with workers that answer at once and a
/// store that takes every write. Each worker starts two tasks a second. In the
/// second case, services that the policy allows on few workers wait meanwhile.
#include "fleet/fake_worker.hpp"

#include <benchmark/benchmark.h>

#include <ctime>
#include <queue>

using namespace pollenvale;
using scheduler::Outbox;
/// Processor time of this thread.
struct Clock {
  using duration = std::chrono::nanoseconds;
  static duration now() {
    timespec T{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &T);
    return std::chrono::seconds(T.tv_sec) + std::chrono::nanoseconds(T.tv_nsec);
  }
};

namespace {

constexpr std::uint32_t TasksPerStep = 5;
constexpr std::uint32_t TasksPerService = 60;
constexpr std::uint32_t TasksPerJob = 2 * TasksPerStep;
constexpr Milliseconds AnswerTime{2};
constexpr Milliseconds WriteTime{9};
constexpr Milliseconds AdviceTime{60};
constexpr Milliseconds ServiceAdviceTime{800};

workflow::Queue makeQueue(const std::string &Name, bool Advised) {
  workflow::Queue Q;
  Q.Name_ = Name;
  Q.Service_ = "s";
  Q.MaxAttempts_ = 3;
  Q.Stretch_ = 4;
  Q.SlackMs_ = 2'000;
  if (Advised)
    Q.Advice_ = workflow::AdvicePolicy{40, 1, 2'000};
  return Q;
}

/// An owner, its workers and a virtual clock of whole milliseconds.
class Cell {
public:
  explicit Cell(int Workers) : Workers_(Workers) {
    Catalog_.Queues_ = {makeQueue("plain", false), makeQueue("advised", true)};
    Services_ = makeQueue("services", true);
    Services_.Advice_->DecisionMs_ = 500;
    Catalog_.Queues_.push_back(Services_);
    scheduler::Options O;
    O.Slice_ = "s";
    O.Token_ = 1;
    State_ = scheduler::makeState(O, Catalog_, {});
    for (int I = 0; I < Workers; ++I) {
      fleettest::FakeWorker W;
      W.Info_.Id_ = "worker-" + std::to_string(1'000 + I);
      W.Info_.Address_ = "10.0.0.1:" + std::to_string(1'000 + I);
      W.Info_.Service_ = "s";
      W.Info_.Capacity_ = {3'000, 8'000, 0};
      W.Info_.StartedUnixMs_ = 1;
      scheduler::onWorker(State_, W.Info_, Now_);
      Fleet_.emplace(W.Info_.Id_, std::move(W));
    }
    advance(Milliseconds(500));
  }

  /// Lets \p Time pass with jobs for two tasks a second and worker.
  void run(Milliseconds Time) {
    TimePoint End = Now_ + Time;
    while (Now_ < End) {
      Owed_ += 2.0 * Workers_ / 1'000;
      for (; Owed_ >= TasksPerJob; Owed_ -= TasksPerJob)
        submit();
      advance(Milliseconds(1));
    }
  }

  /// Submits services that the policy allows on few workers.
  void submitServices(int Count) {
    workflow::WorkflowSpec Spec;
    workflow::StepSpec S;
    S.Count_ = TasksPerService;
    S.Size_ = {100, 100, 0};
    S.MaxPerWorker_ = 1;
    S.LongRunning_ = true;
    Spec.Steps_ = {S};
    for (int I = 0; I < Count; ++I) {
      ledger::ReplicatedJob Row;
      Row.Accepted_ = {Services_, 0, Spec};
      JobId Id = "service-" + std::to_string(I);
      scheduler::onJob(State_, Id, Row, false, Now_, 0);
    }
  }

  Clock::duration Spent_{}; ///< Processor time of the owner.
  Clock::duration SpentInTicks_{};
  std::uint64_t ended() const {
    auto It = State_.Counters_.find("end-done");
    return It == State_.Counters_.end() ? 0 : It->second;
  }
  std::size_t waiting() const { return State_.WaitingSteps_.size(); }

private:
  struct Event {
    TimePoint At_;
    std::uint64_t Order_;
    std::function<void()> Run_;
    bool operator<(const Event &O) const {
      return std::tie(At_, Order_) > std::tie(O.At_, O.Order_);
    }
  };

  void at(Milliseconds Delay, std::function<void()> Run) {
    Events_.push({Now_ + Delay, NextOrder_++, std::move(Run)});
  }

  /// Charges the owner for \p Call.
  template <class F> void charge(F Call) {
    auto Since = Clock::now();
    Call();
    Spent_ += Clock::now() - Since;
  }

  void submit() {
    JobId Id = "job-" + std::to_string(NextJob_++);
    workflow::WorkflowSpec Spec;
    Spec.Payload_ = std::string(200, 'p');
    for (std::uint32_t I = 0; I < 2; ++I) {
      workflow::StepSpec S;
      S.Count_ = TasksPerStep;
      S.Size_ = {1'000, 500, 0};
      S.EstimateMs_ = 600;
      if (I > 0)
        S.DependsOn_ = {I - 1};
      Spec.Steps_.push_back(std::move(S));
    }
    ledger::ReplicatedJob Row;
    Row.Accepted_ = {Catalog_.Queues_[std::size_t(NextJob_ % 2)], 0,
                     std::move(Spec)};
    charge([&] { scheduler::onJob(State_, Id, Row, false, Now_, 0); });
  }

  void advance(Milliseconds Time) {
    for (TimePoint End = Now_ + Time; Now_ < End; Now_ += Milliseconds(1)) {
      bool Any = NextJob_ != SeenJob_ || ++Idle_ >= 20;
      SeenJob_ = NextJob_;
      for (; !Events_.empty() && Events_.top().At_ <= Now_; Any = true) {
        auto Run = std::move(const_cast<Event &>(Events_.top()).Run_);
        Events_.pop();
        Run();
      }
      if (Any)
        tick();
    }
  }

  void tick() {
    Idle_ = 0;
    Outbox Out;
    auto Before = Spent_;
    charge([&] { scheduler::tick(State_, Now_, 0, Out); });
    SpentInTicks_ += Spent_ - Before;
    perform(Out);
  }

  void perform(Outbox &Out) {
    for (auto &C : Out.Starts_)
      at(AnswerTime, [this, C] { answer(C); });
    for (auto &C : Out.Renewals_)
      at(AnswerTime, [this, C, Since = Now_] { answer(C, Since); });
    for (auto &C : Out.Advice_)
      at(C.LongRunning_ ? ServiceAdviceTime : AdviceTime,
         [this, C] { answer(C); });
    for (auto &C : Out.Writes_)
      at(WriteTime, [this, Id = C.Id_] {
        charge([&] { scheduler::onWriteReply(State_, Id, true, Now_); });
      });
  }

  fleettest::TaskTraits nature() {
    return {[this](const workflow::TaskId &Id, std::uint32_t) {
              constexpr Milliseconds Lasting{1'000'000};
              if (Id.Step_.Job_.starts_with("service"))
                return fleettest::Fate{Lasting};
              return fleettest::Fate{
                  Milliseconds(200 + std::int64_t(Random_.below(800)))};
            },
            [](const workflow::TaskId &) { return Resources{}; },
            [](const workflow::TaskId &) { return false; }};
  }

  void answer(const scheduler::StartCall &C) {
    auto Reply =
        fleettest::start(Fleet_.at(C.Target_.Worker_), C, nature(), Now_);
    Outbox Out;
    charge([&] { scheduler::onStartReply(State_, C, Reply, Now_, Out); });
    perform(Out);
  }

  /// A worker keeps a renewal waiting for an end that it has not told yet.
  void answer(const scheduler::RenewCall &C, TimePoint Since) {
    fleettest::FakeWorker &W = Fleet_.at(C.Target_.Worker_);
    auto Reply = fleettest::renew(W, C, Now_);
    if (Reply.Ended_.empty() && Now_ - Since < C.Wait_)
      return at(AnswerTime, [this, C, Since] { answer(C, Since); });
    Outbox Out;
    charge(
        [&] { scheduler::onRenewReply(State_, C, Reply, Since, Now_, Out); });
    perform(Out);
  }

  void answer(const scheduler::AdviceCall &C) {
    scheduler::AdviceReply Reply{true, {}, Milliseconds(2'000)};
    for (const WorkerId &W : C.Workers_)
      if (Random_.below(4) != 0 && (!C.LongRunning_ || Random_.below(100) == 0))
        Reply.Rows_.push_back({W, "permit-" + W});
    charge([&] { scheduler::onAdviceReply(State_, C, Reply, Now_); });
  }

  int Workers_;
  workflow::Catalog Catalog_;
  workflow::Queue Services_;
  scheduler::State State_;
  std::map<WorkerId, fleettest::FakeWorker> Fleet_;
  TimePoint Now_{std::chrono::seconds(1'000)};
  std::priority_queue<Event> Events_;
  std::uint64_t NextOrder_ = 0;
  int NextJob_ = 0;
  int SeenJob_ = 0;
  int Idle_ = 0;
  double Owed_ = 0;
  Random Random_{7};
};

/// One iteration is a second of the cell's time.
void runTasks(benchmark::State &State) {
  Cell C(int(State.range(0)));
  C.submitServices(int(State.range(1)));
  C.run(Milliseconds(5'000));
  std::uint64_t Before = C.ended();
  auto InTicksBefore = C.SpentInTicks_;
  for (auto _ : State) {
    auto Since = C.Spent_;
    C.run(Milliseconds(1'000));
    State.SetIterationTime(
        std::chrono::duration<double>(C.Spent_ - Since).count());
  }
  double Tasks = double(C.ended() - Before);
  using Rate = benchmark::Counter;
  State.counters["us_per_task"] =
      Rate(Tasks / 1e6, Rate::kIsRate | Rate::kInvert);
  State.counters["ticks_us_per_task"] =
      std::chrono::duration<double, std::micro>(C.SpentInTicks_ - InTicksBefore)
          .count() /
      Tasks;
  State.counters["tasks"] = Tasks;
  State.counters["waiting"] = double(C.waiting());
}

} // namespace

BENCHMARK(runTasks)
    ->ArgNames({"workers", "services"})
    ->Args({35, 0})
    ->Args({63, 0})
    ->Args({252, 0})
    ->Args({792, 0})
    ->Args({792, 10})
    ->Iterations(10)
    ->UseManualTime()
    ->Unit(benchmark::kMillisecond);
BENCHMARK_MAIN();
