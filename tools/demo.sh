#!/usr/bin/env bash
# Builds and runs the main job on loopback: stand-ins of the platform, six
# entries, a few requests and one job of each class at a share of DCDV Verdes'
# sizes. Exits 0 only if every answer was right. KEEP=1 leaves the cell running
# until Enter. Usage: tools/demo.sh [SCALE] [BASE_PORT]
set -euo pipefail
cd "$(dirname "$0")/.."
scale=${1:-0.3}
base=${2:-9300}
build=${BUILD:-build}
cmake -S . -B "$build" -G Ninja >/dev/null
ninja -C "$build" pollenvale pollenvalectl standin_log standin_vm_list \
  standin_worker standin_instance | tail -1
. tools/cell.sh
trap cell_stop EXIT
cell_start "$scale" "$base"

echo "== publish"
ctl publish "$cell/config.json"
cell_wait_services

echo "== requests"
failures=0
check() { # check NAME EXPECTED ACTUAL
  if [[ "$3" == *"$2"* ]]; then echo "ok   $1"; else
    echo "FAIL $1: expected '$2' in '$3'"; failures=$((failures + 1)); fi
}
for i in 1 2 3 4 5 6; do
  entry=127.0.0.1:$((base + 19 + i))
  check "planning request $i" "\"id\":\"p$i\"" \
    "$("$build/apps/pollenvalectl" -j -e "$entry" request planning "{\"id\":\"p$i\",\"run_ms\":20}")"
  check "imagery request $i" "\"id\":\"m$i\"" \
    "$("$build/apps/pollenvalectl" -j -e "$entry" request imagery "{\"id\":\"m$i\",\"run_ms\":40}")"
done
check "unknown service" unknown-service "$(ctl request nosuch 2>&1 || true)"

echo "== jobs"
echo '{"name":"season","team":"mowing","tasks":6,"size":{"cpu":2000,"memory":1024},"run_ms":500}' >"$cell/batch.json"
echo '{"name":"render","kind":"gang","team":"mowing","tasks":3,"size":{"cpu":4000,"memory":4096,"accelerators":1},"run_ms":500}' >"$cell/gang.json"
echo '{"name":"huge","tasks":1,"size":{"cpu":9000000}}' >"$cell/huge.json"
for kind in batch gang; do
  id=$(ctl -j submit "$cell/$kind.json" | sed 's/.*"job":"\([^"]*\)".*/\1/')
  check "$kind job $id" '"state":"done"' "$(ctl -j -t 30000 wait "$id")"
done
check "job no worker can fit" no-worker-fits "$(ctl submit "$cell/huge.json" 2>&1 || true)"

echo "== what was placed where"
curl -s "http://127.0.0.1:$((base + 2))/stats" |
  python3 -c 'import json,sys
s=json.load(sys.stdin)
for worker, tasks in sorted(s["running"].items()): print(" ", worker, *tasks)
assert s["double_runs"] == 0 and s["overcommits"] == 0, s'
echo "== counters of the first entry"
curl -s "http://127.0.0.1:$((base + 20))/metrics" | grep events_total
ctl status
if [ "${KEEP:-0}" = 1 ]; then read -r -p "cell runs in $cell; Enter stops it"; fi
echo "demo: $failures failures"
[ "$failures" = 0 ]
