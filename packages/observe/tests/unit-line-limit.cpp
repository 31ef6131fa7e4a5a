/// The rate limit of log lines.
#include "observe/observe.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;

namespace {

constexpr TimePoint Begin{std::chrono::seconds(1'000)};

} // namespace

// Guards against flooding of the log and against wrong counts of suppressed
// lines.
Test(line_limit, lines_beyond_the_limit_are_counted_with_the_next_one) {
  observe::LineLimit Limit(3);
  for (int I = 0; I < 3; ++I)
    cr_assert_eq(Limit.admit("e", Begin).value(), 0u);
  for (int I = 0; I < 5; ++I)
    cr_assert_not(Limit.admit("e", Begin + Milliseconds(999)));
  cr_assert_eq(Limit.admit("e", Begin + Milliseconds(1'000)).value(), 5u);
  cr_assert_eq(Limit.admit("e", Begin + Milliseconds(1'000)).value(), 0u);
}

// Guards against a limit that is shared by all events.
Test(line_limit, one_event_does_not_silence_another) {
  observe::LineLimit Limit(1);
  cr_assert(Limit.admit("e", Begin).has_value());
  cr_assert_not(Limit.admit("e", Begin).has_value());
  cr_assert(Limit.admit("f", Begin).has_value());
}
