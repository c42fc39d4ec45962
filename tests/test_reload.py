"""Configuration reloads: a file is checked whole and applied at once; open requests keep their settings."""

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
from tests.test_web import LOAD, SQL, derandomized, running

RAW_CONFIGURATION: dict[str, Any] = {
    "name": "n1", "listen": "127.0.0.1:0", "journal": "127.0.0.1:1", "seed": "7",
    "known": {"pos": 1, "entries": []}, "settings": SETTINGS,
}  # fmt: skip


def changed_configuration(change: Callable[[dict[str, Any]], object]) -> dict[str, Any]:
    raw = copy.deepcopy(RAW_CONFIGURATION)
    change(raw)
    return raw


def remove_key(*path: Any) -> Callable[[dict[str, Any]], object]:
    def change(raw: dict[str, Any]) -> None:
        parent: Any = raw
        for step in path[:-1]:
            parent = parent[step]
        del parent[path[-1]]

    return change


def set_value(value: Any, *path: Any) -> Callable[[dict[str, Any]], object]:
    def change(raw: dict[str, Any]) -> None:
        parent: Any = raw
        for step in path[:-1]:
            parent = parent[step]
        parent[path[-1]] = value

    return change


TIMEOUT_PATH = ("settings", "services", 1, "give-up")
MAX_ATTEMPTS_PATH = ("settings", "limits", "max-attempts")


@pytest.mark.parametrize(
    "change",
    [remove_key("known"), remove_key("seed"), remove_key("settings", "rules"),
     remove_key("settings", "rules", "cold"),
     remove_key(*TIMEOUT_PATH), remove_key("settings", "services", 2, "worth"),
     remove_key(*MAX_ATTEMPTS_PATH), remove_key("settings", "family-info", "parallelism"),
     remove_key("settings", "services", 0),
     *(set_value(bad, *path) for path in (TIMEOUT_PATH, MAX_ATTEMPTS_PATH)
       for bad in (0, -5, True, "7", None, float("nan"), float("inf"), [1])),
     set_value(2.5, *MAX_ATTEMPTS_PATH), set_value("report", "settings", "services", 0, "name"),
     set_value([], "settings", "services")],
)  # fmt: skip
def test_a_file_with_a_fault_is_rejected(change: Any) -> None:
    """A file lacks a key of the active configuration, or has an invalid value.

    Lenient decoding would silently replace an active setting by a default, and take true or "7" for a number.
    The file is rejected as a whole.
    """
    with pytest.raises(ConfigurationError):
        check_no_key_dropped(
            parse_configuration(RAW_CONFIGURATION, {}), parse_configuration(changed_configuration(change), {})
        )


@pytest.mark.parametrize(
    "text", ["", "[]", "{", "[" * 100_000, '{"settings": NaN}', json.dumps(RAW_CONFIGURATION)[:-20]]
)
def test_a_file_that_is_cut_off_is_rejected(text: str, tmp_path: Any) -> None:
    """A reload reports only a ConfigurationError as a rejected file; other exceptions count as faults."""
    (tmp_path / "c.json").write_text(text)
    with pytest.raises(ConfigurationError):
        read_configuration({"ROUTER_CONFIG": str(tmp_path / "c.json")})


NAMES = st.lists(st.sampled_from("abcdef"), unique=True, max_size=6)


@derandomized
@given(NAMES, NAMES, st.sets(st.integers(0, 8)))
def test_a_number_stands_for_one_class_and_is_not_reused_while_in_use(
    old: list[str], new: list[str], in_use: set[int]
) -> None:
    """A reused number would apply the settings of one class to open requests of another."""
    before = assign_class_numbers(old, {}, ())
    after = assign_class_numbers(new, before, in_use)
    assert len(set(after.values())) == len(new)
    assert all(after[name] == before[name] for name in new if name in before)
    assert not {after[name] for name in new if name not in before} & in_use


def settings_with_audit(attempts: int = 1) -> dict[str, Any]:
    """Settings with a non-idempotent class `audit` in place of `report`, and this limit of attempts."""
    raw = copy.deepcopy(SETTINGS)
    services: Any = raw["services"]
    services[1] = services[1] | {"name": "audit", "repeat": "at_most_once"}
    limits: Any = raw["limits"]
    limits["max-attempts"] = attempts
    return raw


def reload_configuration(gateway: Gateway, new: Configuration) -> None:
    gateway.configuration_reload.sources.read_configuration = lambda: new
    done = gateway.forwarder.counters.reloads_applied + gateway.forwarder.counters.reloads_rejected
    gateway.loop.call_soon(gateway.reload)
    until(
        lambda: (
            gateway.forwarder.counters.reloads_applied + gateway.forwarder.counters.reloads_rejected > done
        )
    )


def test_classes_change_under_load_and_open_requests_keep_their_settings(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A reload retires the class of an open request and lowers the limit of attempts.

    Under the new settings the open request would not be retried. It keeps those under which it was accepted.
    """
    monkeypatch.setattr("query_gateway.lifecycle.request_classes.GRACE_PERIOD_SECONDS", 0.2)
    old, once = "SELECT old FROM lending_7.loans", "SELECT once FROM lending_7.loans"
    engine = Engine(script={old: ["mute", "ok"], once: ["error", "ok"]})
    with running(engine, ops="127.0.0.1:0") as gateway, ThreadPoolExecutor() as executor:
        waiting = executor.submit(post, gateway, "report", old, ttl=20_000)
        assert engine.wait("REQ")
        new = config([host(engine, "e0")], ops="127.0.0.1:0", settings=settings_with_audit())
        reload_configuration(gateway, new)
        assert post(gateway, "audit", once)[0] == 500  # it may have run, so it is not retried
        assert post(gateway, "lookup", SQL)[0] == 200
        until(lambda: "report" not in gateway.http_server.classes)
        assert post(gateway, "report", SQL)[0] == 404
        assert waiting.result()[0] == 200  # it keeps its class and its limit of attempts
        assert engine.statements.count(old) == 2 and engine.statements.count(once) == 1
        now = figures(gateway)
        assert now['svc_succeeded_total{service="report"}'] == 1
        assert now['svc_aborted_total{service="audit"}'] == 1 and now["svc_sighup_applied_total"] == 1
        reload_configuration(gateway, replace(new, setting_paths=frozenset()))
        assert figures(gateway)["svc_sighup_rejected_total"] == 1
        reload_configuration(gateway, config([host(engine, "e0")], ops="127.0.0.1:0"))
        assert post(gateway, "report", SQL)[0] == 200 and post(gateway, "load", LOAD)[0] == 200


def test_the_scheduler_keeps_what_it_learned_and_open_requests_their_settings() -> None:
    """A settings update arrives while one request has been answered and another is open.

    A scheduler that rebuilt its classes would lose the mean work learned from the answer, and the open
    request's timeout and limit of attempts would change.
    """
    configuration = config([host(Engine())])
    scheduler = Scheduler(configuration.settings, 1)
    gateway = Gateway(configuration, OperatorSettings(), signals=False)
    scheduler.handle(1, list(gateway.planner.pending_events))
    gateway.loop.close()
    sec = 10**9
    requests: list[Event] = [
        Request(request_id, 1, 60 * sec, 0, None, None, 10**9, 0.0, False) for request_id in (1, 2)
    ]
    forwards = [action for action in scheduler.handle(sec, requests) if isinstance(action, Forward)]
    assert len(forwards) == 2
    scheduler.handle(2 * sec, [AttemptOutcome(1, True, OutcomeCode.OK, sec, 0, "e0", None, None, ())])
    learned = scheduler.state.classes[1].work
    shorter = tuple(
        replace(settings, timeout=settings.timeout // 2) for settings in configuration.settings.classes
    )
    scheduler.handle(
        2 * sec, [SettingsUpdate(replace(configuration.settings, classes=shorter, max_attempts=1), (0,))]
    )
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
    """A setting that the IPC encoding omitted would keep its old value at the planner process."""
    update = SettingsUpdate(config([]).settings, (1,))
    assert ipc_codec.Decoder({**ipc_codec.EVENT_TYPES}).feed(ipc_codec.encode(update)) == [update]


def test_limits_that_change_alone_are_applied() -> None:
    """A reload changes only limits that the forwarder and the engine clients keep themselves.

    If a reload updated only the scheduler's settings, it would be logged as applied although these limits
    stay unchanged until a restart. So it also sets the limits of the forwarder and the engine clients.
    """
    raw: dict[str, Any] = copy.deepcopy(SETTINGS)
    raw["limits"] |= {"most-held": 1, "dial-timeout": 600_000_000, "streams-per-conn": 5}
    operator = OperatorSettings(flight_address=("127.0.0.1", 0))
    sources = ConfigurationSources(read_configuration=lambda: config([], settings=raw))
    gateway = Gateway(config([]), operator, signals=False, options=GatewayOptions(sources=sources))
    gateway.reload()
    pools: list[Any] = list(gateway.forwarder.engine_clients.values())
    assert [pool.dial_timeout for pool in pools] == [0.6, 0.6]
    assert (
        gateway.engine_pool.streams_per_connection,
        gateway.forwarder.max_exchanges,
        gateway.forwarder.counters.reloads_applied,
    ) == (5, 1, 1)
    gateway.loop.close()
