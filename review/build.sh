#!/bin/sh
# Builds every stand-in that a script starts. All of them are Python and run in the scripts' own processes, on the
# packages of requirements.txt, which the build of the deploy file installs; so they are only compiled here.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
