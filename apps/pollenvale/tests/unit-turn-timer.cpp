/// Work that is requested more often than it needs to run.
#include "fleet/turn_timer.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;

namespace {

constexpr Milliseconds Spacing{5};

} // namespace

// Guards against an owner that looks at all its workers after each reply.
Test(turn_timer, requests_within_the_spacing_share_a_run) {
  asio::io_context Io;
  int Runs = 0;
  fleet::TurnTimer Timer(Io, Spacing, [&] { ++Runs; });
  TimePoint Since = fleet::now();
  for (int I = 0; I < 1'000; ++I) {
    Timer.request();
    Io.poll();
    Io.restart();
  }
  auto Spacings = elapsed(Since, fleet::now()) / Spacing;
  cr_assert_leq(Runs, Spacings + 2);
  cr_assert_geq(Runs, 1);
}

Test(turn_timer, a_request_during_a_run_has_it_run_again) {
  asio::io_context Io;
  int Runs = 0;
  fleet::TurnTimer *Self = nullptr;
  fleet::TurnTimer Timer(Io, Spacing, [&] {
    if (++Runs < 3)
      Self->request();
  });
  Self = &Timer;
  Timer.request();
  cr_assert_eq(Runs, 0);
  Io.run();
  cr_assert_eq(Runs, 3);
}

// Guards against an owner of many workers whose turns follow each other as
// closely as those of a small one.
Test(turn_timer, a_longer_spacing_holds_from_the_next_request_on) {
  asio::io_context Io;
  fleet::TurnTimer Timer(Io, Spacing, [] {});
  Timer.request();
  Io.run();
  Timer.setSpacing(Spacing * 20);
  TimePoint Since = fleet::now();
  Timer.request();
  Io.restart();
  Io.run();
  cr_assert_geq(elapsed(Since, fleet::now()), Spacing * 15);
}
