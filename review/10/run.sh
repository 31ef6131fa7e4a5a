#!/usr/bin/env bash
# Exits with 1 if processes end again and again, 0 if not, 2 if the case could not run.
exec timeout -k 5 120 python3 "$(dirname "$0")/play.py"
