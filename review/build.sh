#!/usr/bin/env bash
# The stand-ins of the review are in Python (review/common/standins.py, standard
# library only): nothing is compiled. Checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
exec env PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; sys.path.insert(0, "common"); import standins'
