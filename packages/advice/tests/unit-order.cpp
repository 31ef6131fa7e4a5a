/// Order of calls under load: a burst of steps that need the policy, which
/// serves one call at a time.
#include "advice/advice.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::advice;

namespace {

constexpr TimePoint T0{std::chrono::seconds(10)};
constexpr Milliseconds CallTime{100};

/// Due times of 20 steps that arrive at once, in mixed order.
std::vector<TimePoint> objectives() {
  std::vector<TimePoint> Out;
  for (int I = 0; I < 20; ++I)
    Out.push_back(T0 + Milliseconds(200 + 100 * ((I * 7) % 20)));
  return Out;
}

/// Serves the burst with one entry; returns the number of calls answered in
/// time.
int servedInTime(bool KnowsObjectives) {
  Pool P = makePool("a");
  std::vector<TimePoint> Due = objectives();
  for (std::size_t I = 0; I < Due.size(); ++I) {
    AdviceCall C;
    C.Step_.Step_ = std::uint32_t(I);
    C.Expected_ = CallTime;
    C.DueAt_ = KnowsObjectives ? Due[I] : T0 + Milliseconds(60'000);
    C.WorthlessAt_ = T0 + Milliseconds(60'000);
    enqueue(P, C, T0);
  }
  int InTime = 0;
  for (TimePoint Now = T0; Now < T0 + 25 * CallTime; Now += CallTime)
    for (const Dispatch &D : dispatch(P, Now)) {
      InTime += Now + CallTime <= Due[D.Call_.Step_.Step_];
      finish(P, D.Id_, true, Now + CallTime);
    }
  return InTime;
}

} // namespace

Test(order, a_burst_is_served_by_objective) {
  // Without due times the order is first come, first served.
  int Baseline = servedInTime(false);
  int Ordered = servedInTime(true);
  cr_assert_eq(Ordered, 20);
  cr_assert_lt(Baseline, Ordered);
}

// Guards against late calls that make others late as well.
Test(order, late_calls_go_after_calls_that_can_be_in_time) {
  Pool P = makePool("a");
  auto Enqueue = [&](std::uint32_t Step, Milliseconds Due) {
    AdviceCall C;
    C.Step_.Step_ = Step;
    C.Expected_ = CallTime;
    C.DueAt_ = T0 + Due;
    C.WorthlessAt_ = T0 + Milliseconds(60'000);
    enqueue(P, C, T0);
  };
  Enqueue(0, Milliseconds(-50));
  Enqueue(1, Milliseconds(500));
  auto First = dispatch(P, T0);
  cr_assert_eq(First.at(0).Call_.Step_.Step_, 1u);
}

// Guards against a service that stays down: its calls were sorted last once its
// objective had passed, so a busy owner never made them.
Test(order, calls_for_a_service_that_is_down_go_first) {
  Pool P = makePool("a");
  auto Enqueue = [&](std::uint32_t Step, bool LongRunning, Milliseconds Due) {
    AdviceCall C;
    C.Step_.Step_ = Step;
    C.Priority_ = LongRunning ? 1 : 0;
    C.Expected_ = CallTime;
    C.DueAt_ = T0 + Due;
    C.WorthlessAt_ = C.DueAt_;
    C.LongRunning_ = LongRunning;
    enqueue(P, C, T0);
  };
  Enqueue(0, false, Milliseconds(500));
  Enqueue(1, true, Milliseconds(500));
  auto First = dispatch(P, T0);
  cr_assert_eq(First.at(0).Call_.Step_.Step_, 0u, "not down for long yet");
  finish(P, First.at(0).Id_, true, T0 + CallTime);
  Enqueue(2, false, Milliseconds(900));
  auto Next = dispatch(P, T0 + Milliseconds(600));
  cr_assert_eq(Next.at(0).Call_.Step_.Step_, 1u);
}
