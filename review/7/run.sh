#!/usr/bin/env bash
# Exits with 1 if a task ran twice, 0 if none did, 2 if the case could not run.
exec timeout -k 5 120 python3 "$(dirname "$0")/play.py"
