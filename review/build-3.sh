#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: kit_3.py and flight_kit_3.py are Python and need no compilation, so this
# checks that the environment of the deploy file's build has what they import.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$PWD:$PWD/review" .venv/bin/python -c "import kit_3, flight_kit_3"
