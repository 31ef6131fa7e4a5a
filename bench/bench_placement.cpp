/// \file
/// Cost of one placement decision at 48 workers (today), 1,300 (letter 1),
/// 4,800 and 13,000.
#include "placement/placement.hpp"

#include <benchmark/benchmark.h>

using namespace pollenvale;
using namespace pollenvale::placement;

namespace {

constexpr int TasksPerWorker = 28;

/// A cell in which a worker in four has accelerators, two thirds full.
Index makeCell(int Workers) {
  Index I;
  Random R{7};
  for (int N = 0; N < Workers; ++N) {
    bool Accelerated = N % 4 == 0;
    IndexedWorker M;
    M.Name_ = "w" + std::to_string(N);
    M.Rack_ = "r" + std::to_string(N / 4);
    M.Dc_ = "dc" + std::to_string(N / 4 % 13);
    M.Labels_ = {{"pool", Accelerated ? "imagery" : "planning"},
                 {"vm", M.Name_},
                 {"rack", M.Rack_},
                 {"dc", M.Dc_}};
    M.Total_ = Accelerated ? Resources{64'000, 262'144, 8}
                           : Resources{16'000, 32'768, 0};
    M.Free_ = M.Total_;
    for (int T = 0; T < TasksPerWorker; ++T) {
      Resources Size{std::int64_t(R.below(M.Total_.Cpu_ / 20)),
                     std::int64_t(R.below(M.Total_.Memory_ / 20)),
                     Accelerated && T % 6 == 0 ? 1 : 0};
      if (fits(Size, M.Free_))
        M.Free_ -= Size;
    }
    upsert(I, std::move(M));
  }
  return I;
}

/// One decision and the update of the index that a start brings.
void place(benchmark::State &State, const Query &A) {
  Index I = makeCell(int(State.range(0)));
  for (auto _ : State) {
    Choice C = choose(I, A);
    benchmark::DoNotOptimize(C);
    if (!C.Worker_.empty())
      upsert(I, I.Workers_.at(C.Worker_));
  }
}

void packed(benchmark::State &State) {
  Query A;
  A.Size_ = {1'500, 2'048, 0};
  A.Selector_ = {{"pool", {"planning"}}};
  place(State, A);
}

void accelerated(benchmark::State &State) {
  Query A;
  A.Size_ = {4'000, 8'192, 2};
  place(State, A);
}

void spread(benchmark::State &State) {
  Query A;
  A.Size_ = {1'500, 2'048, 0};
  A.Spread_ = true;
  place(State, A);
}

void refused(benchmark::State &State) {
  Query A;
  A.Size_ = {60'000, 8'192, 8};
  place(State, A);
}

} // namespace

BENCHMARK(packed)->Arg(48)->Arg(1'300)->Arg(4'800)->Arg(13'000);
BENCHMARK(accelerated)->Arg(48)->Arg(1'300)->Arg(4'800)->Arg(13'000);
BENCHMARK(spread)->Arg(48)->Arg(1'300)->Arg(4'800)->Arg(13'000);
BENCHMARK(refused)->Arg(48)->Arg(1'300)->Arg(4'800)->Arg(13'000);
BENCHMARK_MAIN();
