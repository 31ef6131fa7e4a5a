# Functions that start and stop a loopback cell; sourced by scripts. Needs
# $build. Sets $cell (its folder) and $base (its first port).
cell_start() { # cell_start SCALE BASE_PORT
declare -gA pids
  base=$2
  cell=$(mktemp -d "${TMPDIR:-/tmp}/pollenvale-cell.XXXXXX")
  python3 tools/make_cell.py "$cell" "$1" "$base"

  "$build/tests/standin_log" "$base" >"$cell/log.out" 2>&1 & pids[log]=$!
  "$build/tests/standin_vm_list" $((base + 1)) "$cell/vms.json" >"$cell/vms.out" 2>&1 & pids[vms]=$!
  "$build/tests/standin_worker" $((base + 2)) "$cell/vms.json" "127.0.0.1:$((base + 3))/i" >"$cell/worker.out" 2>&1 & pids[worker]=$!
  "$build/tests/standin_instance" $((base + 3)) >"$cell/instance.out" 2>&1 & pids[instance]=$!
  for i in 1 2 3 4 5 6; do cell_entry "$i"; done
  entries=$(for i in 0 1 2 3 4 5; do printf '127.0.0.1:%s,' $((base + 20 + i)); done)
  cell_until "entries answer" 'ctl status 2>/dev/null | grep -c "in force" | grep -q 6'
}
cell_entry() { # starts entry NUMBER
  "$build/apps/pollenvale" -s "$cell/e$1.yaml" >>"$cell/e$1.out" 2>&1 & pids[e$1]=$!
}
ctl() { "$build/apps/pollenvalectl" -e "$entries" "$@"; }
# Waits for a condition; the bound only ends a run that hangs.
cell_until() { # cell_until WHAT COMMAND
  for _ in $(seq 600); do
    if eval "$2"; then return 0; fi
    sleep 0.1
  done
  echo "gave up waiting: $1" >&2
  return 1
}
cell_wait_services() {
  cell_until "planning serves" 'ctl -t 2000 request planning "{}" >/dev/null 2>&1'
  cell_until "imagery serves" 'ctl -t 2000 request imagery "{}" >/dev/null 2>&1'
}
cell_stop() {
  for name in "${!pids[@]}"; do
    kill -CONT "${pids[$name]}" 2>/dev/null || true
    kill -9 "${pids[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}
