"""Race conditions of configuration reloads: retired classes, signals and the start."""

import copy
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from query_gateway.composition import GatewayOptions
from query_gateway.configuration.operator_file import OperatorSettings
from query_gateway.gateway import Gateway
from query_gateway.lifecycle.reload import ConfigurationSources
from query_gateway.lifecycle.request_classes import GRACE_PERIOD_SECONDS
from query_gateway.net.loop import Loop
from tests.stand_ins import SETTINGS, config

pytestmark = pytest.mark.usefixtures("all_lines")


def test_a_second_reload_leaves_each_dropped_class_its_own_time() -> None:
    """Guards requests that cross: the first reload's timer ended the time of what the second dropped."""
    names = iter(("audit", "third"))

    def again() -> Any:
        raw = copy.deepcopy(SETTINGS)
        raw["services"][1] |= {"name": next(names)}  # type: ignore[index]
        return config([], settings=raw)

    options = GatewayOptions(sources=ConfigurationSources(read_configuration=again))
    gate = Gateway(config([]), OperatorSettings(), signals=False, options=options)
    start = gate.loop.now()
    seen = []
    for at, reloads in ((0.0, True), (1.0, True), (1.2, False), (1.6, False), (2.6, False)):
        gate.loop.now = lambda at=at: start + at  # type: ignore
        if reloads:
            gate.reload()
        while gate.loop.timers and gate.loop.timers[0][0] <= start + at:
            gate.loop.turn()
        seen.append(set(gate.http_server.classes) - {"lookup", "load"})
    assert GRACE_PERIOD_SECONDS == 1.5
    assert seen == [{"report", "audit"}, {"report", "audit", "third"}, {"report", "audit", "third"},
                    {"audit", "third"}, {"third"}]  # fmt: skip
    gate.loop.close()


def test_a_call_that_breaks_keeps_no_signal_behind_it_from_its_turn() -> None:
    """Guards the stop: a SIGTERM behind a reload that broke waited for the next signal."""
    loop, did = Loop(), list[str]()
    loop.call_soon(lambda: 1 / 0)
    loop.call_soon(lambda: did.append("stop"))
    loop.turn()
    assert did == ["stop"] and loop.faults == 1
    loop.close()


def test_a_sighup_while_it_starts_ends_no_gateway_and_is_heeded(tmp_path: Path) -> None:
    """Guards the start: until its end SIGHUP had its usual effect, the process's death."""
    known = {"pos": 7, "entries": []}
    raw = {"listen": "127.0.0.1:0", "journal": "127.0.0.1:1", "known": known, "settings": SETTINGS}
    file = tmp_path / "config.json"
    os.mkfifo(file)  # the start stands still where it reads its configuration
    run = [sys.executable, "-m", "query_gateway"]
    environ = os.environ | {"ROUTER_CONFIG": str(file)}
    with subprocess.Popen(run, env=environ, stderr=subprocess.PIPE, text=True) as process:
        with file.open("w") as first:  # it reads
            process.send_signal(signal.SIGHUP)
            (tmp_path / "next.json").write_text(json.dumps(raw | {"journal": "127.0.0.1:2"}))
            os.replace(tmp_path / "next.json", file)
            first.write(json.dumps(raw))
        assert process.stderr
        said = ""
        while "reload journal 127.0.0.1:2" not in said:
            line = process.stderr.readline()
            assert line, said
            said += line
        process.terminate()
        assert process.wait(10) == 0
