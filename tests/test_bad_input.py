"""Each value of a configuration and of a list event spoilt in turn: refused whole, or it works."""

import copy
import json
import os
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from query_gateway.configuration.platform import (
    Configuration,
    ConfigurationError,
    OperatorSettings,
    config_of,
)
from query_gateway.gateway import Gateway
from query_gateway.model.events import Request
from tests.stand_ins import SETTINGS

SPOILT: tuple[Any, ...] = (
    None, True, -1, 0, 1.5, 1e400, -1e400, 10**30, float("nan"), 2**63, "", "x", "a b", "9" * 5000, "\ud800",
    "\ud800:1", "no.such.host:1", "1.2.3:80", "127.0.0.1:99999", [], {}, [[]], [None], {"a": 1},
)  # fmt: skip
HOST = {"host": "e0", "dial": "127.0.0.1:1", "site": "hall-a", "class": "std-16", "health": "up", "share": 1,
        "born_ms": 0}  # fmt: skip
RAW: dict[str, Any] = {
    "name": "n1", "listen": "127.0.0.1:0", "seed": "7", "journal": "127.0.0.1:1",
    "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "settings": SETTINGS,
    "known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"seq": 1, "whole": True, "hosts": [HOST]}}]},
}  # fmt: skip
HOSTS = [HOST, HOST | {"host": "e1", "health": "draining"},
         HOST | {"host": "e2", "born_ms": int(time.time() * 1000)}]  # fmt: skip
NEWS = {"pos": 2, "entries": [{"pos": 2, "hosts": {"seq": 2, "whole": False, "hosts": HOSTS}}]}


def paths(value: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    yield path
    for key in value if isinstance(value, dict) else range(len(value)) if isinstance(value, list) else ():
        yield from paths(value[key], (*path, key))


def each_spoilt(raw: Any) -> Iterator[tuple[str, Any]]:
    for path in paths(raw):
        for bad in SPOILT:
            spoilt = copy.deepcopy({"": raw})
            at: Any = spoilt
            for step in ("", *path)[:-1]:
                at = at[step]
            at[("", *path)[-1]] = bad
            yield f"{path} {bad!r:.20}", spoilt[""]


def works(config: Configuration, *lists: Any) -> bool:
    """Whether a gateway takes it, and decides on requests of each class, without a fault."""
    gate = Gateway(config, OperatorSettings(), signals=False)
    for news in lists:
        try:
            gate.endpoint_feed.take_answer(news)
        except ValueError:  # what the journal's client guards against
            assert list(gate.forwarder.endpoints) == ["e0"]
    now = time.time_ns()
    for cls in range(len(config.settings.classes)):
        key = "7f3a9c21e0b4d655" if config.settings.classes[cls].ordered_by_key else None
        gate.planner.notify(Request(cls + 1, cls, now + 7 * 10**9, 0, 7.0, key, 10**9, 96.0, False))
    for _ in range(2):
        gate.loop.call_at(gate.loop.now(), lambda: None)
        gate.loop.turn()
    gate.loop.close()
    return gate.planner.incarnation == 0 and gate.loop.faults == 0


def test_a_spoilt_configuration_is_refused_or_works() -> None:
    """Guards the start: one figure too large was a traceback, and engines of no cores broke each decision."""
    refused, broken = 0, []
    for what, raw in each_spoilt(RAW):
        try:
            config = config_of(raw, {})
        except ConfigurationError as bad:
            assert "\n" not in str(bad)
            refused += 1
            continue
        try:
            if not works(config):
                broken.append(what)
        except OSError:  # an address that is not ours
            refused += 1
    assert broken == [] and refused > 500


def test_a_spoilt_list_event_leaves_what_works() -> None:
    """Guards the list: a name that is no text broke the planner, and each that was begun anew."""
    config = config_of(RAW, {})
    assert [what for what, raw in each_spoilt(NEWS) if not works(config, raw)] == []


@pytest.mark.parametrize("told", ["1e400", "true", '"x"', "-1"])
def test_a_bad_figure_ends_the_start_with_one_line(told: str, tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    raw = RAW | {"limits": {"cores": 1.0, "memory_mb": 64, "sockets": "SPOILT"}}
    file.write_text(json.dumps(raw).replace('"SPOILT"', told))
    run = [sys.executable, "-m", "query_gateway"]
    done = subprocess.run(run, env=os.environ | {"ROUTER_CONFIG": str(file)}, capture_output=True, text=True)
    assert done.returncode == 2 and len(done.stderr.splitlines()) == 1, done.stderr
