#!/usr/bin/env bash
# Builds unit tests and the fleet's schedules with AddressSanitizer and
# UndefinedBehaviorSanitizer, and passes them: test_sanitized.sh [FIRST COUNT],
# the seeds of the schedules.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build-sanitized}
# Leaks are not looked for: that takes rights which some machines do not give.
export ASAN_OPTIONS=detect_leaks=0
cmake -S . -B "$build" -G Ninja -DPOLLENVALE_SANITIZE=ON \
  -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG="-O1 -g1" >/dev/null
units=(unit_scheduler unit_http)
ninja -C "$build" "${units[@]}" run_fleet_schedules | tail -1
for unit in "${units[@]}"; do
  tools/run_unit.sh "$build/$unit" | tail -1
done
"$build/run_fleet_schedules" "${1:-1}" "${2:-40}"
