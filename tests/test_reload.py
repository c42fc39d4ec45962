"""A configuration reload under load: checked whole, applied in one step; open requests keep their rules."""

import copy
import json
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from query_gateway.composition import GatewayOptions
from query_gateway.configuration.errors import ConfigurationError
from query_gateway.configuration.operator_file import OperatorSettings
from query_gateway.configuration.platform import (
    Configuration,
    check_no_key_dropped,
    parse_configuration,
    read_configuration,
)
from query_gateway.forwarder.class_numbers import assign_class_numbers
from query_gateway.gateway import Gateway
from query_gateway.lifecycle.reload import ConfigurationSources
from query_gateway.model.actions import Forward
from query_gateway.model.events import AttemptOutcome, Event, OutcomeCode, Request, SettingsUpdate
from query_gateway.planner import ipc_codec
from query_gateway.policy.scheduler import Scheduler
from tests.stand_ins import SETTINGS, Engine, config, host, post
from tests.test_local import until
from tests.test_ops import figures
from tests.test_web import LOAD, SQL, running, steady

RAW: dict[str, Any] = {"name": "n1", "listen": "127.0.0.1:0", "journal": "127.0.0.1:1", "seed": "7",
                       "known": {"pos": 1, "entries": []}, "settings": SETTINGS}  # fmt: skip


def changed(change: Callable[[dict[str, Any]], object]) -> dict[str, Any]:
    raw = copy.deepcopy(RAW)
    change(raw)
    return raw


def drop(*path: Any) -> Callable[[dict[str, Any]], object]:
    def change(raw: dict[str, Any]) -> None:
        parent: Any = raw
        for step in path[:-1]:
            parent = parent[step]
        del parent[path[-1]]

    return change


def put(value: Any, *path: Any) -> Callable[[dict[str, Any]], object]:
    def change(raw: dict[str, Any]) -> None:
        parent: Any = raw
        for step in path[:-1]:
            parent = parent[step]
        parent[path[-1]] = value

    return change


GIVE_UP = ("settings", "services", 1, "give-up")
ATTEMPTS = ("settings", "limits", "max-attempts")


@pytest.mark.parametrize(
    "change",
    [drop("known"), drop("seed"), drop("settings", "rules"), drop("settings", "rules", "cold"),
     drop(*GIVE_UP), drop("settings", "services", 2, "worth"), drop(*ATTEMPTS),
     drop("settings", "family-info", "parallelism"), drop("settings", "services", 0),
     *(put(bad, *path) for path in (GIVE_UP, ATTEMPTS)
       for bad in (0, -5, True, "7", None, float("nan"), float("inf"), [1])),
     put(2.5, *ATTEMPTS), put("report", "settings", "services", 0, "name"), put([], "settings", "services")],
)  # fmt: skip
def test_a_file_with_a_fault_is_rejected(change: Any) -> None:
    """A file lacks a key that the one in force has, or has a value that is no positive number in its place.

    Decoded leniently, a default would silently replace a setting in force, and true or "7" would count as a
    number. The file is rejected as a whole.
    """
    with pytest.raises(ConfigurationError):
        check_no_key_dropped(parse_configuration(RAW, {}), parse_configuration(changed(change), {}))


@pytest.mark.parametrize("text", ["", "[]", "{", "[" * 100_000, '{"settings": NaN}', json.dumps(RAW)[:-20]])
def test_a_file_that_is_cut_off_is_rejected(text: str, tmp_path: Any) -> None:
    (tmp_path / "c.json").write_text(text)
    with pytest.raises(ConfigurationError):
        read_configuration({"ROUTER_CONFIG": str(tmp_path / "c.json")})


NAMES = st.lists(st.sampled_from("abcdef"), unique=True, max_size=6)


@steady
@given(NAMES, NAMES, st.sets(st.integers(0, 8)))
def test_a_number_stands_for_one_class_and_is_not_reused_while_in_use(
    old: list[str], new: list[str], in_use: set[int]
) -> None:
    before = assign_class_numbers(old, {}, ())
    after = assign_class_numbers(new, before, in_use)
    assert len(set(after.values())) == len(new)
    assert all(after[name] == before[name] for name in new if name in before)
    assert not {after[name] for name in new if name not in before} & in_use


def settings_with_audit(attempts: int = 1) -> dict[str, Any]:
    """No `report` any longer, a class `audit` that may not be repeated, and fewer attempts."""
    raw = copy.deepcopy(SETTINGS)
    services: Any = raw["services"]
    services[1] = services[1] | {"name": "audit", "repeat": "at_most_once"}
    limits: Any = raw["limits"]
    limits["max-attempts"] = attempts
    return raw


def reload(gate: Gateway, new: Configuration) -> None:
    gate.configuration_reload.sources.read_configuration = lambda: new
    done = gate.forwarder.counters.reloads_applied + gate.forwarder.counters.reloads_rejected
    gate.loop.call_soon(gate.reload)
    until(lambda: gate.forwarder.counters.reloads_applied + gate.forwarder.counters.reloads_rejected > done)


def test_classes_change_under_load_and_open_requests_keep_their_settings(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("query_gateway.lifecycle.request_classes.GRACE_PERIOD_SECONDS", 0.2)
    old, once = "SELECT old FROM lending_7.loans", "SELECT once FROM lending_7.loans"
    engine = Engine(script={old: ["mute", "ok"], once: ["error", "ok"]})
    with running(engine, ops="127.0.0.1:0") as gate, ThreadPoolExecutor() as executor:
        waiting = executor.submit(post, gate, "report", old, ttl=20_000)
        assert engine.wait("REQ")
        new = config([host(engine, "e0")], ops="127.0.0.1:0", settings=settings_with_audit())
        reload(gate, new)
        assert post(gate, "audit", once)[0] == 500  # it may have run, and is not sent again
        assert post(gate, "lookup", SQL)[0] == 200
        until(lambda: "report" not in gate.http_server.classes)
        assert post(gate, "report", SQL)[0] == 404
        assert waiting.result()[0] == 200  # taken when a second attempt was allowed, and a class of its own
        assert engine.statements.count(old) == 2 and engine.statements.count(once) == 1
        now = figures(gate)
        assert now['svc_succeeded_total{service="report"}'] == 1
        assert now['svc_aborted_total{service="audit"}'] == 1 and now["svc_sighup_applied_total"] == 1
        reload(gate, replace(new, setting_paths=frozenset()))
        assert figures(gate)["svc_sighup_rejected_total"] == 1
        reload(gate, config([host(engine, "e0")], ops="127.0.0.1:0"))
        assert post(gate, "report", SQL)[0] == 200 and post(gate, "load", LOAD)[0] == 200


def test_the_scheduler_keeps_what_it_learned_and_open_requests_their_settings() -> None:
    site = config([host(Engine())])
    scheduler = Scheduler(site.settings, 1)
    gate = Gateway(site, OperatorSettings(), signals=False)
    scheduler.handle(1, list(gate.planner.pending_events))
    gate.loop.close()
    sec = 10**9
    requests: list[Event] = [
        Request(request_id, 1, 60 * sec, 0, None, None, 10**9, 0.0, False) for request_id in (1, 2)
    ]
    forwards = [action for action in scheduler.handle(sec, requests) if isinstance(action, Forward)]
    assert len(forwards) == 2
    scheduler.handle(2 * sec, [AttemptOutcome(1, True, OutcomeCode.OK, sec, 0, "e0", None, None, ())])
    learned = scheduler.state.classes[1].work
    shorter = tuple(replace(settings, timeout=settings.timeout // 2) for settings in site.settings.classes)
    scheduler.handle(2 * sec, [SettingsUpdate(replace(site.settings, classes=shorter, max_attempts=1), (0,))])
    assert scheduler.state.classes[1].work is learned and learned.count == 1
    assert (
        scheduler.state.queries[2].request_class.settings.timeout == 25 * sec
        and scheduler.state.queries[2].max_attempts == 3
    )
    assert (
        scheduler.state.classes[0].work.count == 0
        and scheduler.state.classes[1].settings.timeout == shorter[1].timeout
    )


def test_new_settings_pass_the_ipc_connection_complete() -> None:
    update = SettingsUpdate(config([]).settings, (1,))
    assert ipc_codec.Decoder({**ipc_codec.EVENT_TYPES}).feed(ipc_codec.encode(update)) == [update]


def test_limits_that_change_alone_are_applied() -> None:
    """A reload changes limits alone, which forwarder and engine clients keep beside the scheduler's settings.

    The reload was logged as applied, and these limits stayed as they were until a restart. A reload sets them
    as well.
    """
    raw: dict[str, Any] = copy.deepcopy(SETTINGS)
    raw["limits"] |= {"most-held": 1, "dial-timeout": 600_000_000, "streams-per-conn": 5}
    operator = OperatorSettings(flight_address=("127.0.0.1", 0))
    sources = ConfigurationSources(read_configuration=lambda: config([], settings=raw))
    gate = Gateway(config([]), operator, signals=False, options=GatewayOptions(sources=sources))
    gate.reload()
    pools: list[Any] = list(gate.forwarder.engine_clients.values())
    assert [pool.dial_timeout for pool in pools] == [0.6, 0.6]
    assert (
        gate.engine_pool.streams_per_connection,
        gate.forwarder.max_exchanges,
        gate.forwarder.counters.reloads_applied,
    ) == (5, 1, 1)
    gate.loop.close()
