/// Times of a graceful stop.
#include "fleet/graceful_stop.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::fleet;

// Guards against calls that are cut off by SIGKILL where the platform gives a
// process less time than the entry wanted to linger.
Test(graceful_stop, the_entry_ends_before_it_is_killed) {
  for (int GraceMs = 0; GraceMs <= 20'000; GraceMs += 100) {
    Milliseconds Grace(GraceMs);
    StopTimes T = stopTimes(Grace);
    cr_assert_leq(T.Linger_.count(), T.Limit_.count());
    cr_assert(T.Limit_ < Grace || GraceMs == 0);
  }
}

Test(graceful_stop, the_entry_lingers_until_the_balancer_has_noticed) {
  cr_assert_eq(stopTimes(Milliseconds(6'000)).Linger_.count(), 3'500);
  cr_assert_eq(stopTimes(Milliseconds(6'000)).Limit_.count(), 5'300);
}

// Guards against LOST: calls that wait when the entry ends were cut off.
Test(graceful_stop, calls_are_answered_before_the_entry_may_end) {
  for (int GraceMs = 0; GraceMs <= 20'000; GraceMs += 100) {
    StopTimes T = stopTimes(Milliseconds(GraceMs));
    cr_assert(T.Refusal_ < T.Limit_ || T.Limit_ == Milliseconds(0));
    cr_assert_leq(T.Limit_.count(), T.End_.count());
    cr_assert(T.End_ < Milliseconds(GraceMs) || GraceMs == 0);
  }
}

Test(graceful_stop, the_entry_ends_once_all_is_answered_and_given_up) {
  StopTimes T = stopTimes(Milliseconds(6'000));
  cr_assert(!mayEnd(T, T.Linger_ - Milliseconds(1), {true, true, false}));
  cr_assert(mayEnd(T, T.Linger_, {true, true, false}));
  cr_assert(!mayEnd(T, T.Linger_, {false, true, false}));
  cr_assert(!mayEnd(T, T.Limit_, {true, false, false}));
}

// Guards against LOST: the limit passes while a late loop has not read what has
// arrived; and against a wait for callers that neither send nor read.
Test(graceful_stop, past_the_limit_only_calls_that_can_be_answered_count) {
  StopTimes T = stopTimes(Milliseconds(6'000));
  Milliseconds Late = T.Limit_ + Milliseconds(1);
  cr_assert(mayEnd(T, Late, {false, false, false}));
  cr_assert(!mayEnd(T, Late, {false, true, true}));
  cr_assert(mayEnd(T, T.End_, {false, false, true}));
}
