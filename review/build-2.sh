#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python and need no more than the build of the deploy file
# has installed in .venv; this compiles them and those modules of the project that they use, without a network.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
.venv/bin/python -m compileall -q review/kit_2.py review/flight_kit_2.py review/kit_3.py review/6 review/7 review/8 \
    review/9 review/10 bench/loopback_ports.py query_gateway/flight/messages.py query_gateway/rpc/framing.py || exit 1
exec env PYTHONPATH=".:review" .venv/bin/python -c 'import flight_kit_2, kit_2, kit_3'
