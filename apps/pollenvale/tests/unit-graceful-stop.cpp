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
