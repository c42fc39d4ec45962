"""The core knows no socket, clock or wire."""

import subprocess
import sys

FORBIDDEN = (
    "socket", "select", "time", "h11", "h2", "google", "mothknot.net", "mothknot.web", "mothknot.ops",
)  # fmt: skip
PARTS = ("classes", "counters", "exchange", "learned", "messages", "planner", "readiness", "sql")


def test_the_core_imports_no_wire() -> None:
    code = (
        "import sys; before = set(sys.modules)\n"
        f"import {', '.join(f'mothknot.core.{part}' for part in PARTS)}\n"
        "print(*(set(sys.modules) - before))"
    )
    done = subprocess.run([sys.executable, "-S", "-c", code], capture_output=True, text=True, check=True)
    loaded = set(done.stdout.split())
    assert "mothknot.core.exchange" in loaded
    assert not {name for name in loaded if any(name == f or name.startswith(f + ".") for f in FORBIDDEN)}
