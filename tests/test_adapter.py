"""The simulator adapter: the command of the deploy file, malformed input, and the listed policy modules."""

import io
import subprocess
import tomllib
from pathlib import Path

import pytest

from query_gateway.simulator_adapter import run

ROOT = Path(__file__).parent.parent
SETTINGS = (
    "instances=1 me=0 limits.max-attempts=3 limits.cancelling=true services.count=1 "
    "services.0.aim=1000000000 services.0.give-up=5000000000 services.0.repeat=idempotent "
    "services.0.worth=1.0 rules.cold=1000 rules.start-capacity=0.3 "
    "family-info.cpu-of-kind=8 family-info.memory-by-kind-mb=16384.0 novel.key=x"
)
ENDPOINT_LIST = "table 0 1\nentry 1 U 0 - 0 engine.a 0\ntargets 0 restored 1 0\n"
CONFIGURE_BATCH = f"sync 1000\nconfigure 0 7 {SETTINGS}\n{ENDPOINT_LIST}end\n"
ARRIVAL_BATCH = "sync 2000\narrival 0 42 - - 3 0 0 5000002000 0 0\nend\n"
COMPLETION_BATCH = "sync 3000\ncompleted 0 42 1 pass 900 0 engine.a 0 -\nend\n"


def test_the_deployed_command_holds_a_dialogue() -> None:
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    process = subprocess.run(
        ["/bin/sh", "-c", deploy["sim"]],
        input=CONFIGURE_BATCH + ARRIVAL_BATCH + COMPLETION_BATCH,
        capture_output=True,
        text=True,
        cwd=ROOT,
    )
    assert (process.returncode, process.stderr) == (0, "")
    assert process.stdout == "ok\nplace 0 42 0 engine.a\ntimer 0 100000000 0\nok\nok\n"


def run_adapter(text: str) -> tuple[int, str, str]:
    out, err = io.StringIO(), io.StringIO()
    return run(io.StringIO(text), out, err), out.getvalue(), err.getvalue()


def test_end_of_input_is_a_clean_exit() -> None:
    assert run_adapter("") == (0, "", "")


@pytest.mark.parametrize(
    "malformed_line",
    [
        "hello 0 1",
        "arrival 0 x - - 3 0 0 5000002000 0 0",
        "arrival 0 42",
        "arrival 9 42 - - 3 0 0 5000002000 0 0",
        "completed 0 42 1 nonsense 900 0 engine.a 0 -",
        "targets 0 restored 1 5",
        "targets 0 guessed 1 0",
        "configure 1 7 instances",
        "configure 1 7 instances=0",
    ],
)
def test_a_malformed_line_is_named_on_standard_error(malformed_line: str) -> None:
    code, out, err = run_adapter(CONFIGURE_BATCH + f"sync 2000\n{malformed_line}\nend\n")
    assert code != 0 and out == "ok\n"
    assert err.startswith("line 8: ") and malformed_line in err and err.count("\n") == 1


def test_contradicting_settings_are_named() -> None:
    code, _, err = run_adapter(CONFIGURE_BATCH.replace("instances=1", "instances=0"))
    assert code != 0 and "instances" in err


def test_every_decision_module_is_listed_and_says_what_it_decides() -> None:
    listed = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
    assert sorted(listed) == sorted(
        str(path.relative_to(ROOT)) for path in (ROOT / "query_gateway/policy").rglob("*.py")
    )
    for name in listed:
        assert (ROOT / name).read_text().startswith('"""'), name
    for path in [*(ROOT / "query_gateway").rglob("*.py"), *(ROOT / "tests").glob("*.py")]:
        assert all(len(line) <= 110 for line in path.read_text().splitlines()), path
    assert "query_gateway/model" in (ROOT / "query_gateway/policy/scheduler.py").read_text().split('"""')[1]
