"""The fault soak: the oracle detects violations and accepts correct runs; short runs have no violation."""

import asyncio
import contextlib
import errno
import os
import random
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from bench.fault_soak.control import LAYOUT, CallFault, ShimControl, ShimState, build_shim
from bench.fault_soak.deployment import Deployment, DeploymentPaths, StandInEndedError
from bench.fault_soak.fault_schedule import draw_schedule
from bench.fault_soak.faults import FAULTS
from bench.fault_soak.gateway_process import Layout
from bench.fault_soak.key_spacing import KEYS, KeySpacing
from bench.fault_soak.oracle import Oracle
from bench.fault_soak.proxy import FrameObserver
from bench.fault_soak.records import (
    ClientRecord,
    DriverStall,
    Ending,
    EngineChange,
    EngineChangeKind,
    EngineEvent,
    EngineEventKind,
    IdleClientSpan,
    Observations,
    Outage,
    OutageKind,
    SuccessorStart,
    UnreadSpan,
)
from bench.fault_soak.run import Plan, run
from bench.fault_soak.settings import LOAD, LOOKUP, REPORT, Deadlines
from tests.test_local import until

ROOT = Path(__file__).parent.parent


def client_record(ending: Ending = Ending.SERVED, duration_s: float = 0.1, **fields: object) -> ClientRecord:
    client = ClientRecord("a" * 16, "g", LOOKUP, 1.0, sent_at=10.0, ended_at=10.0 + duration_s, ending=ending)
    for name, value in fields.items():
        setattr(client, name, value)
    return client


def engine_request(
    at: float, engine: str = "e", budget: float = 0.5, client_request_id: str = "a" * 16
) -> EngineEvent:
    return EngineEvent(at, EngineEventKind.REQUEST, engine, client_request_id, budget=budget, began_at=at)


def engine_end(
    at: float, outcome: str = "ok", engine: str = "e", kind: EngineEventKind = EngineEventKind.END
) -> EngineEvent:
    return EngineEvent(at, kind, engine, "a" * 16, outcome=outcome)


def broken_promises(
    clients: list[ClientRecord], events: list[EngineEvent] | None = None, **fields: object
) -> set[str]:
    observations = Observations(clients=clients, engine_events=events or [])
    for name, value in fields.items():
        setattr(observations, name, value)
    return {violation.promise for violation in Oracle(observations).violations()}


def test_a_request_that_was_served_once_in_time_violates_no_promise() -> None:
    assert not broken_promises([client_record()], [engine_request(10.01), engine_end(10.09)])


@pytest.mark.parametrize(
    "client",
    [
        client_record(Ending.SILENT, 1.6),
        client_record(Ending.CLOSED),
        client_record(Ending.SERVED, 1.7),
        client_record(Ending.CLOSED, reused_connection=True),
    ],
)
def test_a_request_without_an_answer_in_time_is_lost(client: ClientRecord) -> None:
    assert broken_promises([client]) == {"one final answer in time"}


def test_a_request_that_raced_with_an_idle_close_or_a_kill_is_not_lost() -> None:
    idle_client_spans = [IdleClientSpan("g", 9.0, 11.0)]
    for reused_connection in (False, True):
        raced = client_record(Ending.CLOSED, 0.02, reused_connection=reused_connection)
        assert not broken_promises([raced], idle_client_spans=idle_client_spans)
        assert bool(broken_promises([raced])) is not reused_connection
        was_read = {raced.client_request_id}
        assert broken_promises([raced], idle_client_spans=idle_client_spans, read_requests=was_read) == {
            "one final answer in time"
        }
    noticed_late = client_record(Ending.CLOSED, 0.09, reused_connection=True)
    assert broken_promises([noticed_late]) == {"one final answer in time"}
    assert not broken_promises([noticed_late], driver_delays=[DriverStall(10.02, 10.09)])
    killed = Outage("g", OutageKind.KILLED, 10.05, 10.05, 12.0)
    assert not broken_promises([client_record(Ending.CLOSED)], outages=[killed])


def test_a_request_that_is_unanswered_after_sigterm_is_lost() -> None:
    """The grace period after SIGTERM suffices to answer all accepted requests, so each must be answered."""
    stopped = Outage("g", OutageKind.STOPPED, 9.0, 10.3, 12.0)
    for reused_connection in (False, True):
        client = client_record(Ending.CLOSED, 0.3, reused_connection=reused_connection)
        assert broken_promises([client], outages=[stopped]) == {"one final answer in time"}


def load_record(name: str, sent_at: float, ended_at: float, **fields: object) -> ClientRecord:
    client = ClientRecord(name * 16, "g", LOAD, 1.0, "k", sent_at=sent_at, ended_at=ended_at)
    client.ending = Ending.SERVED
    for field_name, value in fields.items():
        setattr(client, field_name, value)
    return client


ORDER_AS_SENT = "loads of one key run in the order sent"


@pytest.mark.parametrize(
    ("first", "is_broken"),
    [
        (load_record("a", 10.0, 10.9), True),
        (load_record("a", 10.0, 10.3), False),  # answered before the later one started
        (load_record("a", 10.0, 10.8, ttl=0.3), False),  # its client has timed out
        (load_record("a", 10.0, 10.9, ending=Ending.LEFT, left_at=10.3), False),
        (load_record("a", 10.24, 10.9), False),  # only 0.01 s before the later one, less than SPACING_S
        (load_record("a", 0.0, 10.9, ending=Ending.NOT_ACCEPTED), False),
        (load_record("a", 10.0, 10.9, key="other"), False),
        (load_record("a", 10.0, 10.9, gateway="other"), False),
        (load_record("a", 10.0, 10.9, pipelined=True), False),
    ],
)
def test_a_load_that_overtakes_an_earlier_one_of_its_key_is_detected(
    first: ClientRecord, is_broken: bool
) -> None:
    """A load that starts at an engine while one sent earlier is unanswered has overtaken it.

    The earlier load need not have reached an engine for that.
    """
    later = load_record("b", 10.25, 10.8)
    events = [engine_request(10.4, client_request_id="b" * 16)]
    assert broken_promises([first, later], events) == ({ORDER_AS_SENT} if is_broken else set())


@pytest.mark.parametrize(("outcome", "is_broken"), [("ok", False), ("error", True)])
def test_a_load_whose_run_had_succeeded_was_not_overtaken(outcome: str, is_broken: bool) -> None:
    """A load that ended with `ok` at an engine no longer holds back the next one of its key.

    Its client may read the answer later. After an error the load may be retried, so a later load must wait
    until the client has the answer.
    """
    first, later = load_record("a", 10.0, 10.9), load_record("b", 10.25, 10.8)
    events = [
        engine_request(10.01),
        engine_end(10.39, outcome),
        engine_request(10.4, client_request_id="b" * 16),
    ]
    assert broken_promises([first, later], events) == ({ORDER_AS_SENT} if is_broken else set())


@pytest.mark.parametrize(
    ("unread_spans", "later_began_at", "promise"),
    [
        # Starts 0.4 s after the first client's answer at 10.5, so the key quarantine of 0.3 s is over
        ([UnreadSpan("e", 10.1, 11.5)], 10.9, None),
        ([UnreadSpan("e", 10.1, 11.5)], 10.6, "keys rest after a doubt"),
        ([UnreadSpan("e", 10.1, 11.5)], 10.4, "loads of one key run in turn"),
        ([UnreadSpan("other", 10.1, 11.5)], 10.9, "loads of one key run in turn"),
    ],
)
def test_an_unread_stop_counts_from_the_client_s_answer(
    unread_spans: list[UnreadSpan], later_began_at: float, promise: str | None
) -> None:
    """A key quarantine starts when the gateway sends the STOP, which is before it answers the client.

    In an unread span the engine may read the STOP much later, so the oracle counts from the answer instead.
    """
    first = load_record("a", 10.0, 10.5, ending=Ending.REJECTED)
    later = load_record("b", 10.3, 11.2)
    events = [
        engine_request(10.01),
        engine_request(later_began_at, "f", client_request_id="b" * 16),
        engine_end(11.5, "", kind=EngineEventKind.STOP),
    ]
    promises = broken_promises([first, later], events, unread_spans=unread_spans) - {ORDER_AS_SENT}
    assert promises == ({promise} if promise else set())


def test_keys_are_spaced_as_by_the_platform_s_clients() -> None:
    spacing, random_source = KeySpacing(), random.Random(1)
    keys = {spacing.reserve("g", random_source, 0.0) for _ in range(KEYS)}
    assert None not in keys and spacing.reserve("g", random_source, 0.0) is None
    key = str(next(iter(keys)))
    spacing.on_written("g", key, 1.0, on_new_connection=True)
    assert (
        spacing.reserve("g", random_source, 1.2) is None and spacing.reserve("g", random_source, 1.25) == key
    )
    spacing.on_written("g", key, 2.0, on_new_connection=False)
    assert (
        spacing.reserve("g", random_source, 2.05) is None and spacing.reserve("g", random_source, 2.07) == key
    )
    assert spacing.reserve("other", random_source, 0.0)


@pytest.mark.parametrize(("longest_s", "kill_after_s"), [(0.6, 1.3), (3.0, 3.7), (25.0, 3.7)])
def test_sigkill_follows_the_shortest_grace_period(longest_s: float, kill_after_s: float) -> None:
    assert Deadlines(longest_s).kill_after_s == pytest.approx(kill_after_s)


@pytest.mark.parametrize(
    ("request_class", "events", "promise"),
    [
        (LOOKUP, [engine_request(10.3)], "nothing begins for a client that left"),
        (LOOKUP, [engine_request(10.0, budget=1.3)], "the deadline passed on is the client's"),
        (LOOKUP, [engine_request(10.0), engine_request(10.1, "f"), engine_end(10.4)], "one attempt out"),
        (
            REPORT,
            [engine_request(10.0), engine_end(10.01, "error"), engine_request(10.05)],
            "no doubled effect",
        ),
        (
            LOAD,
            [engine_request(10.0), engine_end(10.01, "error"), engine_request(12.2, budget=0.0)],
            "no doubled effect",
        ),
    ],
)
def test_each_promise_about_attempts_is_checked(
    request_class: str, events: list[EngineEvent], promise: str
) -> None:
    left_at = 10.1 if "left" in promise else 0.0
    client = client_record(
        Ending.LEFT if left_at else Ending.SERVED, request_class=request_class, left_at=left_at
    )
    assert broken_promises([client], events) == {promise}


def test_an_attempt_that_never_ran_may_be_repeated() -> None:
    client = client_record(request_class=REPORT)
    assert not broken_promises(
        [client],
        [engine_request(10.0), engine_end(10.01, "refused"), engine_request(10.05), engine_end(10.09)],
    )


def test_drains_and_slow_starts_are_checked_from_the_notification_of_a_gateway() -> None:
    drained = EngineChange("e", EngineChangeKind.DRAINING, 9.0, {"g": 9.2})
    assert broken_promises(
        [client_record()], [engine_request(10.0), engine_end(10.1)], changes=[drained]
    ) == {"nothing to a draining engine"}
    assert not broken_promises(
        [client_record()],
        [engine_request(10.0), engine_end(10.1)],
        changes=[EngineChange("e", EngineChangeKind.DRAINING, 9.0, {"g": 9.8})],
    )
    ids = [f"{number:016x}" for number in range(100)]
    clients = [client_record(client_request_id=client_request_id) for client_request_id in ids]
    burst = [
        engine_request(10.0 + number / 200, client_request_id=client_request_id)
        for number, client_request_id in enumerate(ids)
    ]
    restarted = EngineChange("e", EngineChangeKind.RESTARTED, 9.5, {"g": 9.6})
    assert broken_promises(clients, burst, changes=[restarted]) == {"a cold engine gets what it can bear"}


@pytest.mark.parametrize(
    ("started_at", "notified_again_at", "is_broken"),
    [
        (9.3, [9.8], False),  # the request may be the successor's, notified 0.2 s before it
        (9.3, [9.4], True),
        (9.3, [], True),  # the only notification counts for the successor too
        (9.9, [9.8], True),  # the second notification precedes the successor's start
        (10.1, [10.2], True),  # the successor started after the request
    ],
)
def test_a_drain_is_checked_from_the_successor_s_own_notification(
    started_at: float, notified_again_at: list[float], is_broken: bool
) -> None:
    change = EngineChange("e", EngineChangeKind.DRAINING, 9.0, {"g": 9.2}, {"g": notified_again_at})
    starts = [SuccessorStart("g", started_at)]
    promises = broken_promises(
        [client_record()], [engine_request(10.0), engine_end(10.1)], changes=[change], successor_starts=starts
    )
    assert promises == ({"nothing to a draining engine"} if is_broken else set())


@pytest.mark.parametrize("command", ["STOP", "END"])
def test_a_command_whose_id_has_only_digits_has_no_body(command: str) -> None:
    """Guards against a proxy that parses the id as a body length and misses all later frames."""
    frames = list[list[str]]()
    observer = FrameObserver(lambda words, _: frames.append(words))
    observer.feed(f"{command} 6402819666044852\r\nREQ {'a' * 16} queue=load 3\r\nabc\r\n".encode())
    assert frames == [[command, "6402819666044852"], ["REQ", "a" * 16, "queue=load", "3"]]


def test_a_schedule_is_determined_by_its_seed() -> None:
    names = list(FAULTS)
    first, second = (draw_schedule(names, random.Random(7), 10, 14.0) for _ in range(2))
    assert first == second != draw_schedule(names, random.Random(8), 10, 14.0)


def test_control_block_has_the_layout_of_the_shim(tmp_path: Path) -> None:
    state = ShimState(clock_offset_ns=-5, read=CallFault(3, 110), close_interrupt_rate=9)
    values = LAYOUT.unpack(state.pack())
    assert values[0] == -5 and values[7:9] == (3, 110) and values[15] == 9
    assert build_shim(tmp_path).exists()


READ_SCRIPT = """
import socket, sys
inherited, port = socket.socket(fileno=int(sys.argv[1])), int(sys.argv[2])
dialled = socket.create_connection(("127.0.0.1", port))
for sock in (inherited, dialled):
    try:
        print(sock.recv(10).decode())
    except OSError as error:
        print(type(error).__name__)
"""


def test_connection_errors_are_injected_only_into_dialled_connections(
    tmp_path: Path,
) -> None:
    """The shim leaves client connections intact, whether accepted here or transferred by a predecessor."""
    control = ShimControl(tmp_path / "shim")
    control.state.read = CallFault(1_000, errno.ECONNRESET)
    control.apply()
    with socket.create_server(("127.0.0.1", 0)) as server:
        client = socket.create_connection(server.getsockname())
        inherited, _ = server.accept()
        client.send(b"request")
        script = subprocess.run(
            [sys.executable, "-c", READ_SCRIPT, str(inherited.fileno()), str(server.getsockname()[1])],
            env=os.environ | control.environment(build_shim(tmp_path)), pass_fds=[inherited.fileno()],
            capture_output=True, text=True, check=True,
        )  # fmt: skip
        for sock in (client, inherited):
            sock.close()
    assert script.stdout.split() == ["request", "ConnectionResetError"]


def test_a_run_whose_stand_in_has_ended_is_rejected(tmp_path: Path) -> None:
    """Guards against runs with fewer engines than planned, which test faults and promises only in part."""
    deployment = Deployment(DeploymentPaths(ROOT, tmp_path, tmp_path), Observations(), 1.5)
    with contextlib.closing(deployment):
        deployment.start_engines(1, seed=1)
        deployment.check_stand_ins()
        deployment.engines[0].proxies[0].kill()
        deployment.engines[0].proxies[0].wait()
        with pytest.raises(StandInEndedError, match="e0: .*proxy"):
            deployment.check_stand_ins()


def processes_of(folder: Path) -> list[str]:
    """The ids of the processes whose environment contains the folder's path."""
    pids = []
    for path in Path("/proc").glob("[0-9]*/environ"):
        with contextlib.suppress(OSError):
            if str(folder).encode() in path.read_bytes():
                pids.append(path.parent.name)
    return pids


@pytest.mark.parametrize("process_count", [4, 8])
def test_a_soak_that_is_terminated_leaves_no_process_behind(process_count: int, tmp_path: Path) -> None:
    """Guards against gateways of a terminated run that occupy ports and cores which the next run needs."""
    command = [sys.executable, "-m", "bench.fault_soak", "--keep", str(tmp_path), "--seconds", "60"]
    with subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL) as soak:
        until(lambda: len(processes_of(tmp_path)) >= process_count)
        soak.terminate()
        assert soak.wait(30) == 128 + signal.SIGTERM
    until(lambda: not processes_of(tmp_path))


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5, 6])
def test_a_short_run_with_overlapping_faults_violates_no_promise(seed: int, tmp_path: Path) -> None:
    """Guards against failures that occur only when faults overlap, although each fault alone is handled.

    Real processes serve clients on loopback, in all three layouts and with both fronts. The oracle checks
    every promise against what clients and engines observed.
    """
    layouts = (Layout.PLAIN, Layout.FLIGHT, Layout.PROCESSES)
    plan = Plan(seed, 6.0, layouts, engine_count=2, client_count=12, flight_client_count=3, fault_count=6)
    result = asyncio.run(run(plan, ROOT, tmp_path, build_shim(tmp_path)))
    assert len(result.observations.clients) > 100
    assert not result.violations, f"{result.schedule} {result.violations}"
