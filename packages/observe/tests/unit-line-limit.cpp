/// How many lines of one event are written a second.
#include "observe/observe.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;

namespace {

constexpr TimePoint Begin{std::chrono::seconds(1'000)};

} // namespace

Test(line_limit, lines_beyond_the_limit_are_counted_with_the_next_one) {
  observe::LineLimit L(3);
  for (int I = 0; I < 3; ++I)
    cr_assert_eq(L.admit("e", Begin).value(), 0u);
  for (int I = 0; I < 5; ++I)
    cr_assert_not(L.admit("e", Begin + Milliseconds(999)));
  cr_assert_eq(L.admit("e", Begin + Milliseconds(1'000)).value(), 5u);
  cr_assert_eq(L.admit("e", Begin + Milliseconds(1'000)).value(), 0u);
}

Test(line_limit, one_event_does_not_silence_another) {
  observe::LineLimit L(1);
  cr_assert(L.admit("e", Begin).has_value());
  cr_assert_not(L.admit("e", Begin).has_value());
  cr_assert(L.admit("f", Begin).has_value());
}
