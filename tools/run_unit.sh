#!/usr/bin/env bash
# Runs a unit test program: run_unit.sh PROGRAM. Failures that KNOWN-RED.txt
# lists as "PROGRAM SUITE::TEST ..." are printed and passed over, no others; a
# listed test that passes must leave the list.
set -uo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
name=$(basename "$1")
out=$("$@" 2>&1)
code=$?
printf '%s\n' "$out"
failed=$(grep -oE '^\[FAIL\] [^ ]+::[^: ]+' <<<"$out" | awk '{print $2}' | sort -u)
known=$(awk -v n="$name" '$1 == n {print $2}' "$top/KNOWN-RED.txt" 2>/dev/null | sort -u)
passed=$(comm -13 <(printf '%s\n' "$failed") <(printf '%s\n' "$known") | sed '/^$/d')
[ -z "$passed" ] || { echo "listed in KNOWN-RED.txt, but passes: $passed"; exit 1; }
[ "$code" -eq 0 ] && exit 0
new=$(comm -23 <(printf '%s\n' "$failed") <(printf '%s\n' "$known") | sed '/^$/d')
[ -z "$new" ] && [ -n "$failed" ] || exit 1
printf 'known red: %s %s\n' "$name" $known
