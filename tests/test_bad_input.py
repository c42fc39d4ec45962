"""Each value of a configuration and of a list event malformed in turn: it is rejected, or it works."""

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


def works(config: Configuration, *lists: Any) -> bool:
    """Whether a gateway takes it, and decides on requests of each class, without a fault."""
    gateway = Gateway(config, OperatorSettings(), signals=False)
    for answer in lists:
        try:
            gateway.endpoint_feed.apply_answer(answer)
        except ValueError:  # as the watch client expects
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
    """A value of the platform's configuration is malformed.

    A number too large ended the start with a traceback, and engines without cores broke every decision of a
    gateway that had started. Each value is checked when the configuration is read: it is rejected with one
    line, or a gateway that starts with it decides on requests without a fault.
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
        except OSError:  # an address that is not ours
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
    """A class states "false" as a string, or its idempotency as a list.

    The fronts decoded both keys a second time, by another rule: the string counted as true and the list as no
    idempotency with a key. So a front could take requests for ordered, or accept them without a key, where
    the scheduler did not. Both use the one decoded value.
    """
    raw = copy.deepcopy(RAW)
    raw["settings"]["services"][2] |= changes
    config = parse_configuration(raw, {})
    at_fronts, at_scheduler = config.classes["load"], config.settings.classes[2]
    assert at_fronts.needs_idempotency_key is (at_scheduler.idempotency is Idempotency.KEYED) is needs_key
    assert at_fronts.ordered_by_key is at_scheduler.ordered_by_key is is_ordered


def test_a_malformed_endpoint_list_event_leaves_a_gateway_that_works() -> None:
    """A value of an endpoint list event is malformed.

    An engine name with a lone surrogate broke the planner, and again each planner that was started after it.
    The watch client rejects such an event as a whole, so the gateway keeps the list that it has and goes on
    deciding.
    """
    config = parse_configuration(RAW, {})
    assert [description for description, raw in each_malformed(DELTA) if not works(config, raw)] == []


@pytest.mark.parametrize("value", ["1e400", "true", '"x"', "-1"])
def test_an_invalid_number_ends_the_start_with_one_line(value: str, tmp_path: Path) -> None:
    """The configuration file holds a number that cannot be used.

    A traceback would leave an operator to guess which value was meant. The start ends with exit code 2 and
    one line on standard error.
    """
    file = tmp_path / "config.json"
    raw = RAW | {"limits": {"cores": 1.0, "memory_mb": 64, "sockets": "PLACEHOLDER"}}
    file.write_text(json.dumps(raw).replace('"PLACEHOLDER"', value))
    command = [sys.executable, "-m", "query_gateway"]
    process = subprocess.run(
        command, env=os.environ | {"ROUTER_CONFIG": str(file)}, capture_output=True, text=True
    )
    assert process.returncode == 2 and len(process.stderr.splitlines()) == 1, process.stderr
