#!/usr/bin/env bash
# Control cost of six real entries at DCDV Verdes' full size without requests:
# processor, memory and bytes between entries over 30 s.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
. tools/cell.sh
trap cell_stop EXIT
cell_start 1.0 "${1:-9600}"
ctl publish "$cell/config.json" >/dev/null
cell_wait_services
sleep 10
sample() { # name: processor ticks, resident KB, bytes out
  for i in 1 2 3 4 5 6; do
    local pid=${pids[e$i]}
    local out
    out=$(curl -s "http://127.0.0.1:$((base + 19 + i))/metrics" | sed -n 's/.*direction="out"} //p')
    echo "e$i $(awk '{print $14 + $15}' "/proc/$pid/stat") $(awk '/VmRSS/{print $2}' "/proc/$pid/status") $out"
  done
}
sample >"$cell/before"
sleep 30
sample >"$cell/after"
paste "$cell/before" "$cell/after" | awk -v hz="$(getconf CLK_TCK)" '
  { printf "%s: %.2f%% of a core, %d MB resident, %.1f KB/s to peers\n", $1, ($6 - $2) / hz / 30 * 100, $7 / 1024, ($8 - $4) / 30 / 1024 }'
