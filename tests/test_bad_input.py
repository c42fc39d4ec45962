"""Malformed values, one at a time, in a configuration and in an endpoint list event."""

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

from query_gateway.configuration.errors import ConfigurationError
from query_gateway.configuration.operator_file import OperatorSettings
from query_gateway.configuration.platform import Configuration, parse_configuration
from query_gateway.gateway import Gateway
from query_gateway.model.events import Request
from query_gateway.model.settings import Idempotency
from tests.stand_ins import SETTINGS, endpoint_list_answer

BAD_VALUES: tuple[Any, ...] = (
    None, True, -1, 0, 1.5, 1e400, -1e400, 10**30, float("nan"), 2**63, "", "x", "a b", "9" * 5000, "\ud800",
    "\ud800:1", "no.such.host:1", "1.2.3:80", "127.0.0.1:99999", [], {}, [[]], [None], {"a": 1},
)  # fmt: skip
HOST = {"host": "e0", "dial": "127.0.0.1:1", "site": "hall-a", "class": "std-16", "health": "up", "share": 1,
        "born_ms": 0}  # fmt: skip
RAW: dict[str, Any] = {
    "name": "n1", "listen": "127.0.0.1:0", "seed": "7", "journal": "127.0.0.1:1",
    "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "settings": SETTINGS,
    "known": endpoint_list_answer(1, [HOST], snapshot=True),
}  # fmt: skip
CHANGED_HOSTS = [
    HOST,
    HOST | {"host": "e1", "health": "draining"},
    HOST | {"host": "e2", "born_ms": int(time.time() * 1000)},
]
DELTA = endpoint_list_answer(2, CHANGED_HOSTS)


def paths(value: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    yield path
    for key in value if isinstance(value, dict) else range(len(value)) if isinstance(value, list) else ():
        yield from paths(value[key], (*path, key))


def each_malformed(raw: Any) -> Iterator[tuple[str, Any]]:
    for path in paths(raw):
        for bad in BAD_VALUES:
            malformed = copy.deepcopy({"": raw})
            parent: Any = malformed
            for step in ("", *path)[:-1]:
                parent = parent[step]
            parent[("", *path)[-1]] = bad
            yield f"{path} {bad!r:.20}", malformed[""]


def works(config: Configuration, *answers: Any) -> bool:
    """Whether a gateway with this configuration and these discovery answers schedules without a fault."""
    gateway = Gateway(config, OperatorSettings(), signals=False)
    for answer in answers:
        try:
            gateway.endpoint_feed.apply_answer(answer)
        except ValueError:  # an invalid answer; in a running gateway, EndpointWatchClient catches this
            assert list(gateway.forwarder.endpoints) == ["e0"]
    now = time.time_ns()
    for class_index in range(len(config.settings.classes)):
        key = "7f3a9c21e0b4d655" if config.settings.classes[class_index].ordered_by_key else None
        gateway.planner.notify(
            Request(class_index + 1, class_index, now + 7 * 10**9, 0, 7.0, key, 10**9, 96.0, False)
        )
    for _ in range(2):
        gateway.loop.call_at(gateway.loop.now(), lambda: None)
        gateway.loop.turn()
    gateway.loop.close()
    return gateway.planner.restart_count == 0 and gateway.loop.faults == 0


def test_a_malformed_configuration_is_rejected_or_works() -> None:
    """Guards against a malformed value that ends the start with a traceback or breaks every later decision.

    Without checks, a number that is too large would cause the traceback, and engines without cores would
    break the decisions. A value must either be rejected with one line when the configuration is read, or
    leave a gateway that schedules without a fault.
    """
    rejected, broken = 0, []
    for description, raw in each_malformed(RAW):
        try:
            config = parse_configuration(raw, {})
        except ConfigurationError as error:
            assert "\n" not in str(error)
            rejected += 1
            continue
        try:
            if not works(config):
                broken.append(description)
        except OSError:  # the listen address is not one of this machine's
            rejected += 1
    assert broken == [] and rejected > 500


@pytest.mark.parametrize(
    ("changes", "needs_key", "is_ordered"),
    [({"in-turn": "false"}, True, False), ({"in-turn": "0"}, True, False),
     ({"repeat": ["deduplicated"]}, True, True)],
)  # fmt: skip
def test_fronts_and_scheduler_decode_a_malformed_class_alike(
    changes: dict[str, Any], needs_key: bool, is_ordered: bool
) -> None:
    """Guards against a front that orders requests, or accepts them without a key, unlike the scheduler.

    With rules of its own, a front could take the string "false" for `in-turn` as true, or not recognize the
    list ["deduplicated"] for `repeat` as idempotent by key. Fronts and scheduler use the same decoded values.
    """
    raw = copy.deepcopy(RAW)
    raw["settings"]["services"][2] |= changes
    config = parse_configuration(raw, {})
    front_class, scheduler_class = config.classes["load"], config.settings.classes[2]
    assert (
        front_class.needs_idempotency_key is (scheduler_class.idempotency is Idempotency.KEYED) is needs_key
    )
    assert front_class.ordered_by_key is scheduler_class.ordered_by_key is is_ordered


def test_a_malformed_endpoint_list_event_leaves_a_gateway_that_works() -> None:
    """Guards against a malformed endpoint list event that breaks the planner and every restarted planner.

    An accepted engine name with a lone surrogate would do so. The endpoint feed rejects such an event as a
    whole, and the gateway keeps its endpoint list and goes on scheduling.
    """
    config = parse_configuration(RAW, {})
    assert [description for description, raw in each_malformed(DELTA) if not works(config, raw)] == []


@pytest.mark.parametrize("value", ["1e400", "true", '"x"', "-1"])
def test_an_invalid_number_ends_the_start_with_one_line(value: str, tmp_path: Path) -> None:
    """Guards against a traceback for an unusable number in the configuration file.

    A traceback does not tell the operator which value is wrong. The start ends with exit code 2 and one line
    on standard error.
    """
    file = tmp_path / "config.json"
    raw = RAW | {"limits": {"cores": 1.0, "memory_mb": 64, "sockets": "PLACEHOLDER"}}
    file.write_text(json.dumps(raw).replace('"PLACEHOLDER"', value))
    command = [sys.executable, "-m", "query_gateway"]
    process = subprocess.run(
        command, env=os.environ | {"ROUTER_CONFIG": str(file)}, capture_output=True, text=True
    )
    assert process.returncode == 2 and len(process.stderr.splitlines()) == 1, process.stderr
