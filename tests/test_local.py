"""The IPC of planners and forwarders: split and corrupted messages, a planner that ends, real processes."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.loopback_ports import free_port
from query_gateway.configuration.operator_file import OperatorSettings
from query_gateway.forwarder.trace import TraceStep
from query_gateway.gateway import Gateway
from query_gateway.model.actions import Cancel, Fail, Forward, Reject, SetTerms
from query_gateway.model.endpoints import EndpointInfo, EndpointState, EndpointUpdateKind
from query_gateway.model.events import (
    AttemptOutcome,
    EndpointUpdate,
    OutcomeCode,
    ProgressKind,
    ProgressNote,
    Request,
    RequestAbandoned,
    TimerFired,
)
from query_gateway.planner import ipc_codec as codec
from query_gateway.planner.process import PlannerProcess
from query_gateway.planner.process_part import PROCESS_PART_VARIABLE, SUPERVISOR_PID_VARIABLE
from tests.stand_ins import SETTINGS, Engine, config, ended_on_exit, host, post
from tests.test_web import LOAD, ROWS, SQL

derandomized = settings(derandomize=True, deadline=None, max_examples=150)
MESSAGE_TYPES: dict[str, Any] = {**codec.EVENT_TYPES, **codec.ACTION_TYPES}
MESSAGES = (
    Request(2**40, 2, 10**18, 0, 7.0, "7f3a9c21e0b4d655", None, 96.5, True),
    AttemptOutcome(1, False, OutcomeCode.ERROR, 5, 0, "s-1", None, None, ()),
    ProgressNote(1, 0, "s-1", ProgressKind.SPILLING, 0.5),
    RequestAbandoned(1),
    EndpointUpdate(
        EndpointUpdateKind.SNAPSHOT, (EndpointInfo("s-1", EndpointState.UP, 1, 0, 2, 10**18, 4.0),)
    ),
    codec.ArrivalReply(1), codec.ArrivalQuery(1, 10**18),
    Forward(1, "s-1", 0), Reject(1, 500), Fail(1), Cancel(1, 0), SetTerms(1, 96.0, 3),
)  # fmt: skip


@derandomized
@given(st.lists(st.sampled_from(MESSAGES), max_size=8), st.lists(st.integers(1, 40), max_size=40))
def test_messages_cut_anywhere_are_decoded_as_they_were_encoded(messages: list[Any], cuts: list[int]) -> None:
    data = b"".join(codec.encode(message) for message in messages)
    decoder, decoded = codec.Decoder(MESSAGE_TYPES), []
    for cut in [*cuts, len(data)]:
        decoded += decoder.feed(data[:cut])
        data = data[cut:]
    assert decoded == messages


@derandomized
@given(st.binary(max_size=80), st.sampled_from(MESSAGES), st.integers(0, 60))
def test_garbage_is_rejected(noise: bytes, message: Any, position: int) -> None:
    data = codec.encode(message)
    position %= len(data) - 1
    garbage = b"\0" + noise.replace(b"\n", b"")
    with pytest.raises(codec.IpcMessageError):
        codec.Decoder(MESSAGE_TYPES).feed(data[:position] + garbage + data[position:])


def test_the_build_does_not_compile_the_message_types() -> None:
    """Guards against a compiled build that rejects messages with optional fields and ends the connection.

    Compiled classes lose the types of their fields, by which the codec decodes. So the build compiles the
    scheduler but not the message types.
    """
    build = subprocess.run(
        ["make", "-nB", "query_gateway/.compiled"], capture_output=True, text=True, check=True
    )
    assert (
        "query_gateway/policy/scheduler.py" in build.stdout
        and "query_gateway/model/events.py" not in build.stdout
    )


@contextmanager
def planner(port: int = 0) -> Iterator[PlannerProcess]:
    process = PlannerProcess(config([]).settings, 7, ("127.0.0.1", port))
    thread = threading.Thread(target=process.loop.run, daemon=True)
    thread.start()
    try:
        yield process
    finally:
        process.loop.stop()
        thread.join(10)
        process.loop.close()


def until(condition: Callable[[], object]) -> None:
    deadline = time.monotonic() + 10
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.01)


def connected_planners(gateway: Gateway) -> list[bool]:
    return [planner.connected for planner in gateway.forwarder.planners]


def test_a_lost_planner_s_requests_are_settled_and_the_next_planner_takes_over() -> None:
    engine = Engine(script={SQL: ["mute"]})
    with planner() as first:
        address = first.listener.address
        gateway = Gateway(
            config([host(engine)]), OperatorSettings(planner_addresses=(address,)), signals=False
        )
        thread = threading.Thread(target=gateway.loop.run, daemon=True)
        thread.start()
        until(lambda: connected_planners(gateway) == [True])
        assert post(gateway, "load", LOAD)[1] == {"rows": ROWS}
        until(lambda: not first.sessions_by_request)  # answered requests are removed
        answers: list[int] = []
        waiting = threading.Thread(target=lambda: answers.append(post(gateway, "lookup", SQL)[0]))
        waiting.start()
        assert engine.wait("REQ", 2)
    waiting.join(10)
    assert answers == [429]
    until(lambda: connected_planners(gateway) == [False])
    status, _, headers = post(gateway, "load", LOAD)
    assert status == 429 and int(headers["x-throttle-ms"]) > 0
    with planner(address[1]):
        until(lambda: connected_planners(gateway) == [True])
        assert post(gateway, "load", LOAD)[0] == 200
        assert post(gateway, "lookup", SQL)[0] == 200
    gateway.loop.stop()
    thread.join(10)
    assert gateway.loop.faults == 0
    gateway.loop.close()
    engine.close()


def test_a_planner_forgets_all_requests_of_a_forwarder_that_ends() -> None:
    engine = Engine(script={SQL: ["mute"]})
    with planner() as process:
        gateway = Gateway(
            config([host(engine)]),
            OperatorSettings(planner_addresses=(process.listener.address,)),
            signals=False,
        )
        thread = threading.Thread(target=gateway.loop.run, daemon=True)
        thread.start()
        until(lambda: connected_planners(gateway) == [True])
        with socket.create_connection(gateway.http_server.listener.address) as sock:
            head = f"POST /svc/lookup HTTP/1.1\r\nHost: x\r\nX-Txn: {'a' * 16}\r\nX-Ttl-Ms: 5000\r\n"
            sock.sendall(f"{head}Content-Length: {len(SQL)}\r\n\r\n{SQL}".encode())
            assert engine.wait("REQ") and process.sessions_by_request
            gateway.loop.stop()
            thread.join(10)
            gateway.loop.close()
        until(lambda: not process.sessions)
        state = process.planner.scheduler.state
        until(lambda: not process.sessions_by_request and not state.queries)
        assert not any(e.in_flight for e in state.fleet.engines.values())
    engine.close()


def test_a_decision_module_that_breaks_ends_its_planner_process() -> None:
    process = PlannerProcess(config([]).settings, 7, ("127.0.0.1", 0))

    class FailingScheduler:
        def handle(self, now: int, events: list[Any]) -> list[Any]:
            raise RuntimeError("broken on purpose")

    process.planner.scheduler = FailingScheduler()  # type: ignore[assignment]
    process.planner.notify(TimerFired(0))
    with pytest.raises(SystemExit):
        process.run_planner()
    process.loop.close()


def answers_by_process(trace: Path) -> Counter[str]:
    """The number of answered requests by process id, from the request trace."""
    if not trace.exists():
        return Counter()
    steps = [line.split() for line in trace.read_text().splitlines()]
    return Counter(step[1] for step in steps if step[4] == TraceStep.ANSWERED.value)


def environment_of_processes(folder: Path, engine: Engine, port: int) -> dict[str, str]:
    """Write the files of a gateway with two planners and two forwarders; return its environment."""
    known = {"pos": 1, "entries": [{"pos": 1, "hosts": {"seq": 1, "whole": True, "hosts": [host(engine)]}}]}
    raw = {"listen": f"127.0.0.1:{port}", "journal": "127.0.0.1:1", "known": known, "settings": SETTINGS}
    (folder / "config.json").write_text(json.dumps(raw))
    planners = [f"127.0.0.1:{free_port()}" for _ in range(2)]
    (folder / "operator.toml").write_text(f"[processes]\nplanners = {planners}\nforwarders = 2\n")
    return os.environ | {
        "ROUTER_CONFIG": str(folder / "config.json"),
        "QUERY_GATEWAY_OPERATOR_FILE": str(folder / "operator.toml"),
        "QUERY_GATEWAY_TRACE": str(folder / "trace"),
    }


@pytest.mark.parametrize("part", ["planner 0", "forwarder 0"])
def test_worker_whose_supervisor_ended_while_it_loaded_stops(part: str, tmp_path: Path) -> None:
    """Guards against a worker of a killed gateway that serves beside the next gateway on the same address.

    Its supervisor ends before the worker has loaded.
    """
    with contextlib.closing(Engine()) as engine:
        environ = environment_of_processes(tmp_path, engine, free_port())
        supervisor = subprocess.Popen([sys.executable, "-c", ""])
        supervisor.wait()
        environ |= {PROCESS_PART_VARIABLE: part, SUPERVISOR_PID_VARIABLE: str(supervisor.pid)}
        command = [sys.executable, "-m", "query_gateway"]
        with ended_on_exit(subprocess.Popen(command, env=environ, stderr=subprocess.DEVNULL)) as worker:
            assert worker.wait(20) == 0


def test_planners_and_forwarders_run_as_processes(tmp_path: Path) -> None:
    engine, listen = Engine(), ("127.0.0.1", free_port())
    environ = environment_of_processes(tmp_path, engine, listen[1])
    gateway = SimpleNamespace(http_server=SimpleNamespace(listener=SimpleNamespace(address=listen)))
    command = [sys.executable, "-m", "query_gateway"]
    with ended_on_exit(subprocess.Popen(command, env=environ, stderr=subprocess.DEVNULL)) as process:

        def both_forwarders_serve() -> bool:
            """Post requests; return whether each forwarder answered two, and so has used both planners."""
            answers_before = answers_by_process(tmp_path / "trace")
            try:
                if not all(post(gateway, "lookup", SQL)[0] == 200 for _ in range(8)):
                    return False
            except OSError:
                return False
            answers = answers_by_process(tmp_path / "trace") - answers_before
            return len(answers) == 2 and min(answers.values()) >= 2

        until(both_forwarders_serve)
        rows = [f"{n:016x}" for n in range(6)]
        assert [post(gateway, "load", LOAD, row=row)[0] for row in rows] == [200] * 6
        process.send_signal(signal.SIGTERM)
        assert process.wait(20) == 0
    engine.close()
