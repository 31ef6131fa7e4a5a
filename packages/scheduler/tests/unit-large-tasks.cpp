/// Tasks that need a whole worker, under a stream of small accelerator tasks
/// that keeps every worker partly busy.
#include "fleet/fleet_cell.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::fleettest;

namespace {

constexpr std::int64_t Accelerators = 8; ///< Of one worker.
/// Small tasks run for half to all of this.
constexpr Milliseconds LongestRunTime{600};
constexpr int Workers = 6;

workflow::StepSpec acceleratorStep(std::uint32_t Count, std::int64_t Each) {
  workflow::StepSpec S = plainStep(Count);
  S.Size_ = {1'000, 100, Each};
  S.EstimateMs_ = std::uint32_t(LongestRunTime.count());
  return S;
}

/// A stream of tasks with one accelerator each, which use about 95% of all.
struct SmallTaskStream : FleetCell {
  int Sent_ = 0;

  SmallTaskStream() {
    workflow::Queue Q;
    Q.Name_ = "q";
    Q.Service_ = "s";
    Q.Stretch_ = 4;
    Q.SlackMs_ = 3'000;
    addQueue(Q);
    for (int I = 0; I < Workers; ++I)
      addWorker("w" + std::to_string(I), {64'000, 64'000, Accelerators});
    FateOf_ = [this](const TaskId &, std::uint32_t) {
      return Fate{LongestRunTime / 2 +
                  Milliseconds(std::int64_t(Random_.below(
                      std::uint64_t(LongestRunTime.count() / 2))))};
    };
    takeOver();
    stream(Milliseconds(2'000));
  }

  void stream(Milliseconds Time) {
    constexpr Milliseconds Gap{20};
    for (TimePoint End = Now_ + Time; Now_ < End;) {
      submit("s" + std::to_string(Sent_++), plainJob({acceleratorStep(2, 1)}));
      run(Gap);
    }
  }

  /// Streams until the job starts, and returns its wait; empty after \p Limit.
  std::optional<Milliseconds> startOf(const JobId &Job, Milliseconds Limit) {
    TimePoint Begin = Now_;
    while (Now_ - Begin < Limit) {
      stream(Milliseconds(50));
      if (!whereIs({{Job, 0, 0}, 0}).empty() ||
          state(Job) == workflow::JobState::Completed)
        return elapsed(Begin, Now_);
    }
    return std::nullopt;
  }
};

} // namespace

Test(large_tasks, one_starts_once_a_worker_could_empty) {
  SmallTaskStream C;
  C.submit("large", plainJob({acceleratorStep(1, Accelerators)}));
  auto Wait = C.startOf("large", Milliseconds(5'000));
  cr_assert(Wait.has_value());
  // All tasks on a worker end within the longest run time.
  cr_assert_lt(Wait->count(), 2 * LongestRunTime.count());
}

Test(large_tasks, one_waits_longer_without_a_reservation) {
  // Baseline: no worker is reserved for a job past its objective.
  SmallTaskStream C;
  C.Catalog_.Queues_[0].Stretch_ = 0;
  C.Catalog_.Queues_[0].SlackMs_ = 0;
  scheduler::onCatalog(C.owner().State_, C.Catalog_);
  C.submit("large", plainJob({acceleratorStep(1, Accelerators)}));
  auto Wait = C.startOf("large", Milliseconds(5'000));
  cr_assert(!Wait || Wait->count() > 2 * LongestRunTime.count());
}

Test(large_tasks, most_workers_stay_open_to_small_tasks) {
  SmallTaskStream C;
  for (int I = 0; I < 6; ++I)
    C.submit("large" + std::to_string(I),
             plainJob({acceleratorStep(1, Accelerators)}));
  C.stream(Milliseconds(400));
  std::set<WorkerId> Kept;
  for (const scheduler::Reservation &R : C.owner().State_.Reservations_)
    Kept.insert(R.Worker_);
  cr_assert_leq(Kept.size() * 4, std::size_t(Workers));
}
