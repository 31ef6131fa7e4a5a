#!/usr/bin/env bash
# Builds the scheduler and the fleet's schedules with AddressSanitizer and
# UndefinedBehaviorSanitizer, and passes their tests: test_sanitized.sh [FIRST
# COUNT], the seeds of the schedules.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build-sanitized}
# Leaks are not looked for: that takes rights which some machines do not give.
export ASAN_OPTIONS=detect_leaks=0
cmake -S . -B "$build" -G Ninja -DPOLLENVALE_SANITIZE=ON \
  -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG="-O1 -g1" >/dev/null
ninja -C "$build" unit_scheduler run_fleet_schedules | tail -1
tools/run_unit.sh "$build/unit_scheduler" | tail -1
"$build/run_fleet_schedules" "${1:-1}" "${2:-40}"
