"""Hot upgrades from the previous version and back to it.

This version reads the packets recorded from that version, and writes packets in the same form.
"""

import contextlib
import json
import os
import socket
import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from query_gateway.composition import GatewayOptions
from query_gateway.configuration.operator_file import OperatorSettings, StatementSettings
from query_gateway.gateway import Gateway
from query_gateway.lifecycle.inherited_state import InheritedState, request_inherited_state
from query_gateway.lifecycle.upgrade_messages import (
    MAX_DESCRIPTORS,
    MAX_PACKET_BYTES,
    ClientTransfer,
    Draining,
    Hello,
    Offer,
    Ready,
    decode_from_predecessor,
    decode_from_successor,
    decode_offer,
    decode_packet,
    encode,
)
from query_gateway.lifecycle.upgrade_socket import upgrade_socket_path
from query_gateway.parsing.parsers import SlotState
from query_gateway.statements.messages import Rules
from tests.stand_ins import Engine, config, host
from tests.test_local import until

FIXTURES = Path(__file__).parent / "fixtures" / "hot_upgrade"
OFFER = "predecessor-offer.json"
RECORDED_AT_ADDRESS = "127.0.0.1", 29_700
REQUEST = (
    b"POST /svc/lookup HTTP/1.1\r\nHost: x\r\nX-Txn: 0123456789abcdef\r\nX-Ttl-Ms: 5000\r\n"
    b"Content-Length: 50\r\n\r\nSELECT due FROM lending_7.loans WHERE member = 007"
)


def read_recorded(name: str) -> bytes:
    return (FIXTURES / name).read_bytes()


def has_same_form(written: Any, before: Any) -> bool:
    """Whether two JSON values are equal, also in the order of keys, except for rounding errors of numbers."""
    if isinstance(before, dict):
        same_keys = isinstance(written, dict) and list(written) == list(before)
        return same_keys and all(has_same_form(written[key], before[key]) for key in before)
    if isinstance(before, list):
        same_length = isinstance(written, list) and len(written) == len(before)
        return same_length and all(map(has_same_form, written, before))
    if type(before) in (int, float):
        return type(written) in (int, float) and written == pytest.approx(before, rel=1e-12)
    return type(written) is type(before) and bool(written == before)


@pytest.mark.parametrize(
    ("name", "message"),
    [("successor-hello.json", Hello()), ("successor-ready.json", Ready()),
     ("predecessor-leaving.json", Draining()),
     ("predecessor-client-after-requests.json", ClientTransfer("127.0.0.1:56458", True)),
     ("predecessor-client-silent.json", ClientTransfer("127.0.0.1:56470", False))],
)  # fmt: skip
def test_a_recorded_packet_is_read_and_written_byte_for_byte(
    name: str, message: Hello | Ready | Draining | ClientTransfer
) -> None:
    """A process of the previous version would not understand a packet in another form."""
    decode = decode_from_successor if name.startswith("successor") else decode_from_predecessor
    assert decode(decode_packet(read_recorded(name))) == message
    assert encode(message) == read_recorded(name)


def test_a_recorded_offer_is_read_and_written_byte_for_byte() -> None:
    """A process of the previous version would lose the learned state of an offer in another form."""
    offer = decode_offer(read_recorded(OFFER))
    raw = json.loads(read_recorded(OFFER))
    assert offer == Offer(("web", "flight"), raw["learned"], raw["statements"])
    assert encode(offer) == read_recorded(OFFER)


def test_an_offer_that_is_too_long_lacks_the_costs_first_and_then_what_the_scheduler_learned() -> None:
    """An offer that is too long for a packet could not be sent, and the upgrade would fail."""
    offer = decode_offer(read_recorded(OFFER))
    oversized = {"filler": "x" * MAX_PACKET_BYTES}
    assert list(json.loads(encode(replace(offer, statement_costs=oversized)))) == ["fronts", "learned"]
    assert list(json.loads(encode(replace(offer, scheduler_state=oversized)))) == ["fronts"]


def test_the_socket_has_the_name_that_the_version_before_looks_for(tmp_path: Path) -> None:
    """If the socket file had another name, processes of the two versions would not find each other."""
    path = upgrade_socket_path({"TMPDIR": str(tmp_path)}, RECORDED_AT_ADDRESS)
    assert path == str(tmp_path / read_recorded("socket-name.txt").decode())


@contextlib.contextmanager
def predecessor(folder: Path) -> Iterator[tuple[InheritedState, socket.socket]]:
    """Yield the state inherited from the recorded offer, and the predecessor's end of the connection."""
    path = str(folder / read_recorded("socket-name.txt").decode())
    fronts = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as listener, ThreadPoolExecutor() as executor:
        listener.bind(path)
        listener.listen()
        answer = executor.submit(request_inherited_state, path)
        connection = listener.accept()[0]
        connection.settimeout(10)
        assert connection.recv(MAX_PACKET_BYTES) == read_recorded("successor-hello.json")
        socket.send_fds(connection, [read_recorded(OFFER)], [front.fileno() for front in fronts])
        inherited = answer.result(10)
    assert inherited
    yield inherited, connection
    connection.close()
    for front in fronts:
        front.close()


@contextlib.contextmanager
def build_gateway(folder: Path, inherited: InheritedState | None = None) -> Iterator[Gateway]:
    """Yield a gateway with the same fronts and engine as the recorded one; its loop does not run."""
    engine = Engine()
    statements = StatementSettings(Rules(lookup="lookup", report="report", load="load"), covers_http=True)
    operator = OperatorSettings(flight_address=("127.0.0.1", 0), statements=statements)
    options = GatewayOptions(upgrade_path=str(folder / "successor"), inherited=inherited)
    configuration = config([host(engine, started_at_ms=1_700_000_000_000)])
    gateway = Gateway(configuration, operator, signals=False, options=options)
    yield gateway
    assert gateway.statements
    gateway.statements.stop()
    assert gateway.loop.faults == 0
    gateway.loop.close()
    engine.close()


@contextlib.contextmanager
def running_loop(gateway: Gateway) -> Iterator[None]:
    """Run the gateway's loop, and wait until a parser process is ready to classify statements."""
    thread = threading.Thread(target=gateway.loop.run, daemon=True)
    thread.start()
    until(lambda: has_ready_parser(gateway))
    yield
    gateway.loop.stop()
    thread.join(10)


def has_ready_parser(gateway: Gateway) -> bool:
    assert gateway.statements
    slots = gateway.statements.supervisor.pool.slots
    return any(slot.state is not SlotState.STARTING for slot in slots)


def test_a_successor_restores_what_the_version_before_learned(tmp_path: Path) -> None:
    """A value of the recorded offer would be lost if it were read under another key or in another form."""
    before = json.loads(read_recorded(OFFER))
    with predecessor(tmp_path) as (inherited, _), build_gateway(tmp_path, inherited) as gateway:
        scheduler = gateway.planner.scheduler
        for name, counts in (("lookup", 7), ("report", 6), ("load", 6)):
            request_class = scheduler.state.classes[gateway.config.classes[name].index]
            value, _, count = before["learned"]["classes"][name]["work"]
            assert request_class.work.value == value and request_class.work.count == count == counts
        assert scheduler.state.fleet.mean_threads_in_use == before["learned"]["usual"]
        assert scheduler.state.controller.lag_ratio == before["learned"]["lag"]
        assert scheduler.state.fleet.engines["e0"].warm_table_groups == [7.0]
        assert gateway.statements
        costs = gateway.statements.classifier.costs
        assert {digest.hex() for digest in costs.shapes} == set(before["statements"]["shapes"])
        fronts = [listener.address for listener in gateway.fronts.listeners]
        assert fronts == [listener.getsockname() for listener in inherited.listeners.values()]
        # This version offers the same state in the same form
        assert has_same_form(json.loads(encode(gateway.overlap.offer().message)), before)


def test_a_successor_obeys_the_messages_of_the_version_before_and_serves_its_connections(
    tmp_path: Path,
) -> None:
    """A successor that could not decode the recorded messages would lose the connections they transfer."""
    with (
        predecessor(tmp_path) as (inherited, connection),
        build_gateway(tmp_path, inherited) as gateway,
        running_loop(gateway),
    ):
        assert connection.recv(MAX_PACKET_BYTES) == read_recorded("successor-ready.json")
        connection.send(read_recorded("predecessor-leaving.json"))
        until(lambda: gateway.planner.settings.slow_start_share == 0.9)
        for name in ("predecessor-client-after-requests.json", "predecessor-client-silent.json"):
            with socket.create_server(("127.0.0.1", 0)) as server:
                client = socket.create_connection(server.getsockname())
                client.settimeout(10)
                served, _ = server.accept()
            socket.send_fds(connection, [read_recorded(name)], [served.fileno()])
            served.close()
            client.sendall(REQUEST)
            assert client.recv(65_536).startswith(b"HTTP/1.1 200")
            client.close()


def test_a_predecessor_answers_a_successor_of_the_version_before_in_its_form(tmp_path: Path) -> None:
    """In a hot upgrade back to the previous version, the successor is a process of that version.

    It could not read messages in a form other than its own.
    """
    with (
        build_gateway(tmp_path) as gateway,
        running_loop(gateway),
        socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as successor,
    ):
        address = gateway.http_server.listener.address
        client = socket.create_connection(address)
        client.settimeout(10)
        client.sendall(REQUEST)
        assert client.recv(65_536).startswith(b"HTTP/1.1 200")
        successor.settimeout(10)
        successor.connect(str(tmp_path / "successor"))
        successor.send(read_recorded("successor-hello.json"))
        data, descriptors, _, _ = socket.recv_fds(successor, MAX_PACKET_BYTES, MAX_DESCRIPTORS)
        before = json.loads(read_recorded(OFFER))
        offer = json.loads(data)
        assert list(offer) == list(before) and offer["fronts"] == before["fronts"] and len(descriptors) == 2
        assert list(offer["learned"]) == list(before["learned"])
        assert list(offer["learned"]["classes"]["lookup"]) == list(before["learned"]["classes"]["lookup"])
        assert list(offer["statements"]) == list(before["statements"])
        successor.send(read_recorded("successor-ready.json"))
        until(lambda: gateway.hot_upgrade is not None and gateway.hot_upgrade.successor_ready)
        gateway.loop.call_soon(gateway.begin_shutdown)
        assert successor.recv(MAX_PACKET_BYTES) == read_recorded("predecessor-leaving.json")
        data, transferred, _, _ = socket.recv_fds(successor, MAX_PACKET_BYTES, MAX_DESCRIPTORS)
        host_and_port = "{}:{}".format(*client.getsockname())
        written = read_recorded("predecessor-client-after-requests.json")
        assert data == written.replace(b"127.0.0.1:56458", host_and_port.encode()) and len(transferred) == 1
        for descriptor in (*descriptors, *transferred):
            os.close(descriptor)
        client.close()
