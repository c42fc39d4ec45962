#!/bin/sh
# Builds every stand-in that a script starts. All of them are Python and run in the scripts' own processes, on the
# packages of requirements.txt, which the build of the deploy file installs. So nothing is made here: each file is
# compiled in memory, which shows that it can be.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -B -c '
import pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
'
