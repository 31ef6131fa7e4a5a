/// \file
/// Processor time of one turn of the pool of policy calls while all entries are
/// busy, by entries and calls that wait.
#include "advice/advice.hpp"

#include <benchmark/benchmark.h>

using namespace pollenvale;

namespace {

void turn(benchmark::State &State) {
  advice::Pool P = advice::makePool("10.0.0.1:1000");
  std::vector<std::string> Peers;
  for (int I = 1; I < State.range(0); ++I)
    Peers.push_back("10.0.0.1:" + std::to_string(1'000 + I));
  TimePoint Now{std::chrono::seconds(1'000)};
  advice::setPeers(P, Peers);
  auto Waiting = State.range(1) + 2 * State.range(0);
  for (int I = 0; I < Waiting; ++I) {
    scheduler::AdviceCall Call;
    Call.Step_ = {"job-" + std::to_string(I), 0, 0};
    Call.Workers_.assign(20, "worker-1000");
    Call.DueAt_ = Now + Milliseconds(1'000 + I * 7 % 100);
    Call.WorthlessAt_ = Call.DueAt_ + Milliseconds(5'000);
    Call.Expected_ = Milliseconds(I % 3 == 0 ? 60 : 150);
    advice::enqueue(P, std::move(Call), Now);
  }
  advice::dispatch(P, Now);
  for (auto _ : State) {
    benchmark::DoNotOptimize(advice::expire(P, Now));
    benchmark::DoNotOptimize(advice::dispatch(P, Now));
  }
  State.counters["waiting"] = double(P.Queue_.size());
}

} // namespace

BENCHMARK(turn)->ArgsProduct({{6, 38}, {0, 20, 100}});
BENCHMARK_MAIN();
