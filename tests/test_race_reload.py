"""Race conditions of configuration reloads with a second reload, other signals and the start."""

import copy
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import closing, contextmanager
from pathlib import Path
from typing import Any
from uuid import uuid4

import pytest

from query_gateway.composition import GatewayOptions
from query_gateway.configuration.operator_file import OperatorSettings
from query_gateway.flight.messages import FlightMethod, encode_update
from query_gateway.gateway import Gateway
from query_gateway.lifecycle.reload import ConfigurationSources
from query_gateway.lifecycle.request_classes import GRACE_PERIOD_SECONDS
from query_gateway.model.settings import Idempotency
from query_gateway.net.loop import Loop
from tests.flight_client import FlightTestClient, call_headers
from tests.stand_ins import SETTINGS, Engine, config, ended_on_exit, host, running_gateway
from tests.test_flight import FlightEngine
from tests.test_flight import gateway as flight_gateway
from tests.test_local import until

pytestmark = pytest.mark.usefixtures("reset_log_rate_limit")


def test_second_reload_keeps_each_retired_class_for_its_own_grace_period() -> None:
    """A second reload happens during the grace period of the first one.

    If the timer of the first reload also ended the grace period of classes that the second one has retired,
    late requests for them would be rejected too early. Each retired class has its own grace period.
    """
    names = iter(("audit", "third"))

    def read_next() -> Any:
        raw = copy.deepcopy(SETTINGS)
        raw["services"][1] |= {"name": next(names)}  # type: ignore[index]
        return config([], settings=raw)

    options = GatewayOptions(sources=ConfigurationSources(read_configuration=read_next))
    gateway = Gateway(config([]), OperatorSettings(), signals=False, options=options)
    start = gateway.loop.now()
    retained_classes = []
    for elapsed, reload_now in ((0.0, True), (1.0, True), (1.2, False), (1.6, False), (2.6, False)):
        gateway.loop.now = lambda elapsed=elapsed: start + elapsed  # type: ignore
        if reload_now:
            gateway.reload()
        while gateway.loop.timers and gateway.loop.timers[0][0] <= start + elapsed:
            gateway.loop.turn()
        retained_classes.append(set(gateway.http_server.classes) - {"lookup", "load"})
    assert GRACE_PERIOD_SECONDS == 1.5
    assert retained_classes == [
        {"report", "audit"},
        {"report", "audit", "third"},
        {"report", "audit", "third"},
        {"audit", "third"},
        {"third"},
    ]
    gateway.loop.close()


def test_callback_that_raises_does_not_delay_the_callbacks_behind_it() -> None:
    """A callback raises while another one is queued behind it.

    If the exception ended the run of the queue, a SIGTERM queued behind a reload that raised would not be
    handled until the next signal wakes the loop. The loop counts the fault and runs the remaining callbacks
    in the same turn.
    """
    loop, ran = Loop(), list[str]()
    loop.call_soon(lambda: 1 / 0)
    loop.call_soon(lambda: ran.append("stop"))
    loop.turn()
    assert ran == ["stop"] and loop.faults == 1
    loop.close()


def test_sighup_during_the_start_is_applied_and_ends_no_gateway(tmp_path: Path) -> None:
    """SIGHUP arrives while the gateway is still starting.

    Without a handler, the default action of the signal would end the process. The handler is installed before
    the configuration is read, and the configuration is read again once the gateway runs.
    """
    known = {"pos": 7, "entries": []}
    platform = {"listen": "127.0.0.1:0", "journal": "127.0.0.1:1", "known": known, "settings": SETTINGS}
    config_file = tmp_path / "config.json"
    os.mkfifo(config_file)  # the start blocks where it reads its configuration
    command = [sys.executable, "-m", "query_gateway"]
    environ = os.environ | {"ROUTER_CONFIG": str(config_file)}
    with ended_on_exit(subprocess.Popen(command, env=environ, stderr=subprocess.PIPE, text=True)) as process:
        with config_file.open("w") as config_writer:  # opens once the process reads
            process.send_signal(signal.SIGHUP)
            (tmp_path / "next.json").write_text(json.dumps(platform | {"journal": "127.0.0.1:2"}))
            os.replace(tmp_path / "next.json", config_file)
            config_writer.write(json.dumps(platform))
        assert process.stderr
        log_output = ""
        while "reload journal 127.0.0.1:2" not in log_output:
            line = process.stderr.readline()
            assert line, log_output
            log_output += line
        process.terminate()
        assert process.wait(10) == 0


LOAD = "INSERT INTO lending_7.loans VALUES (1)"
LOAD_CLASS = 2  # its number in `SETTINGS`


def settings_with_unsafe_loads() -> dict[str, Any]:
    """The settings of the stand-ins, but a load must never run twice, and so needs no idempotency key."""
    settings = copy.deepcopy(SETTINGS)
    settings["services"][LOAD_CLASS]["repeat"] = "at_most_once"  # type: ignore[index]
    return settings


def settings_without_loads() -> dict[str, Any]:
    settings = copy.deepcopy(SETTINGS)
    settings["services"][LOAD_CLASS]["name"] = "audit"  # type: ignore[index]
    return settings


def reload_with(gate: Gateway, settings: dict[str, Any]) -> None:
    """Replace the settings of a running gateway, and wait until the new ones are in force."""
    gate.configuration_reload.sources.read_configuration = lambda: config([], settings=settings)
    applied = gate.forwarder.counters.reloads_applied
    gate.loop.call_soon(gate.reload)
    until(lambda: gate.forwarder.counters.reloads_applied > applied)


def load_without_key(statement: str = LOAD, row: str = "7f3a9c21e0b4d655") -> bytes:
    """A load as clients send it to a class that needs no idempotency key."""
    head = f"POST /svc/load HTTP/1.1\r\nHost: x\r\nX-Txn: {uuid4().hex[:16]}\r\nX-Ttl-Ms: 8000\r\n"
    return f"{head}X-Row: {row}\r\nContent-Length: {len(statement)}\r\n\r\n{statement}".encode()


@contextmanager
def gateway_with_unsafe_loads(*engines: Engine) -> Iterator[tuple[Gateway, socket.socket]]:
    """A gateway under `settings_with_unsafe_loads`, and a connection of a client to it."""
    hosts = [host(engine, f"e{number}") for number, engine in enumerate(engines)]
    configuration = config(hosts, settings=settings_with_unsafe_loads())
    with (
        running_gateway(configuration) as gate,
        socket.create_connection(gate.http_server.listener.address, timeout=15) as client,
    ):
        yield gate, client
    for engine in engines:
        engine.close()


def next_status(client: socket.socket) -> int:
    """Read one response; a further one may be waiting behind it."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        head += client.recv(1)
    body_size = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    client.recv(body_size, socket.MSG_WAITALL)
    return int(head.split(b" ", 2)[1])


def wait_for_bytes_from(gate: Gateway, client: socket.socket, size: int) -> None:
    """Wait until the gateway has received `size` bytes on the client's connection."""
    peer = "{}:{}".format(*client.getsockname())
    connections = [connection for connection in gate.http_server.connections if connection.peer == peer]
    until(lambda: connections[0].stream.arrivals.received >= size)


@pytest.mark.parametrize("sent_before", [1, 60, -20], ids=["one byte", "half the head", "half the body"])
def test_load_that_is_received_while_its_class_changes_keeps_its_settings(sent_before: int) -> None:
    """Guards against a second run of an unsafe load that is decoded under other settings than it is run by.

    Its class becomes deduplicated while the rest of the load is on its way. It has no key by which an engine
    could know a repeat, so it is neither refused for that nor repeated after its connection was reset.
    """
    script = {LOAD: ["reset"]}
    engines = Engine(script=script), Engine(script=script)
    with gateway_with_unsafe_loads(*engines) as (gate, client):
        request = load_without_key()
        first, rest = request[:sent_before], request[sent_before:]
        client.sendall(first)
        until(lambda: gate.http_server.connections)
        wait_for_bytes_from(gate, client, len(first))
        reload_with(gate, SETTINGS)
        client.sendall(rest)
        assert next_status(client) == 500
    assert [statement for engine in engines for statement in engine.statements] == [LOAD]


def test_load_that_waits_behind_an_open_request_while_its_class_changes_keeps_its_settings() -> None:
    """Guards against repeating a load whose bytes came before a configuration and are decoded after it."""
    first, second = LOAD, LOAD.replace("1", "2")
    script = {second: ["reset"]}
    engines = Engine(script=script), Engine(script=script)
    for engine in engines:
        engine.script[first] = ["mute"]
    with gateway_with_unsafe_loads(*engines) as (gate, client):
        requests = load_without_key(first, row="0" * 16), load_without_key(second)
        client.sendall(b"".join(requests))
        until(lambda: any(engine.statements for engine in engines))
        reload_with(gate, SETTINGS)
        for engine in engines:
            engine.hang_up()
        statuses = [next_status(client), next_status(client)]
    assert statuses == [500, 500]
    assert [statement for engine in engines for statement in engine.statements] == [first, second]


def test_load_on_an_idle_connection_is_decoded_under_the_new_settings() -> None:
    """Guards against keeping old settings for longer than for the requests that began under them."""
    engine = Engine()
    with gateway_with_unsafe_loads(engine) as (gate, client):
        client.sendall(load_without_key())
        assert next_status(client) == 200
        reload_with(gate, SETTINGS)
        client.sendall(load_without_key())
        assert next_status(client) == 400
    assert engine.statements == [LOAD]


def test_load_that_is_received_when_its_dropped_class_expires_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against 404 for a load that began while its class was accepted, and a reuse of its number."""
    monkeypatch.setattr("query_gateway.lifecycle.request_classes.GRACE_PERIOD_SECONDS", 0.05)
    engine = Engine()
    with gateway_with_unsafe_loads(engine) as (gate, client):
        request = load_without_key()
        client.sendall(request[:-20])
        until(lambda: gate.http_server.connections)
        wait_for_bytes_from(gate, client, len(request) - 20)
        reload_with(gate, settings_without_loads())
        until(lambda: "load" not in gate.http_server.classes)
        reload_with(gate, settings_with_unsafe_loads())
        assert gate.http_server.classes["load"].index not in {LOAD_CLASS, 3}
        client.sendall(request[-20:])
        assert next_status(client) == 200
    assert engine.statements == [LOAD]


@pytest.mark.parametrize("parts", ["headers", "headers and half the message"])
def test_flight_call_that_is_received_while_its_class_changes_keeps_its_settings(parts: str) -> None:
    """Guards against a Flight load that begins under one configuration and is run by the rules of another."""
    engine = FlightEngine()
    with flight_gateway(engine, settings=settings_with_unsafe_loads()) as gate:
        assert gate.flight_server
        message = encode_update(LOAD)
        with closing(FlightTestClient(gate.flight_server.listener.address)) as client:
            client.send_headers(call_headers(FlightMethod.DO_PUT, x_class="load", x_row="7f3a9c21e0b4d655"))
            size = 0 if parts == "headers" else len(message) // 2
            client.send_part(message, 0, size)
            server = gate.flight_server
            until(lambda: any(connection.calls for connection in server.connections))
            reload_with(gate, SETTINGS)
            kept: list[Idempotency] = []
            accept = gate.forwarder.accept

            def record(request: Any, *arguments: Any) -> Any:
                kept.append(request.class_settings.idempotency)
                return accept(request, *arguments)

            gate.forwarder.accept = record  # type: ignore
            client.send_part(message, size)
            deadline = time.monotonic() + 10
            while not (status := client.read()) and time.monotonic() < deadline:
                pass
    engine.shutdown()
    assert status == "0" and kept == [Idempotency.NON_IDEMPOTENT]
