"""Race conditions of requests whose statements wait for a parser: the shutdown and the client's deadline."""

import contextlib
import socket
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest

from query_gateway.flight import messages
from query_gateway.flight.messages import FlightMethod
from query_gateway.forwarder.messages import EarlyRejection, Verdict
from query_gateway.gateway import Gateway
from query_gateway.lifecycle.shutdown import ABORT_MARGIN_SECONDS
from query_gateway.rpc.status import GrpcStatus
from tests.flight_client import FlightTestClient, call_headers, encode_ticket, update_headers
from tests.stand_ins import Engine, post
from tests.test_flight import FlightEngine, gateway
from tests.test_flight_statements import ON
from tests.test_local import until
from tests.test_race_flight import flight_gateway, turn_until
from tests.test_web import LOAD

pytestmark = pytest.mark.usefixtures("reset_log_rate_limit")

UNPARSED_SQL = "SELECT c FROM t WHERE a = 1"
KILL_MARGIN_S = 0.7  # from the longest deadline to SIGKILL, at the earliest
DEADLINE_MS = 400
ANSWER_SLACK_S = 0.5  # by which an answer may come behind its deadline
REJECTED = str(GrpcStatus.RESOURCE_EXHAUSTED.value)


def post_query(gate: Gateway) -> bool:
    """A lookup over HTTP; whether it was rejected."""
    return bool(post(gate, "lookup", UNPARSED_SQL, ttl=DEADLINE_MS)[0] == 429)


def run_flight_query(gate: Gateway) -> bool:
    """A query over Flight SQL; whether it was rejected."""
    assert gate.flight_server
    with contextlib.closing(FlightTestClient(gate.flight_server.listener.address)) as client:
        headers = call_headers(FlightMethod.DO_GET, grpc_timeout=f"{DEADLINE_MS}m")
        client.send_call(headers, encode_ticket(UNPARSED_SQL))
        until(client.read)
        return client.read() == REJECTED


RunClient = Callable[[Gateway], bool]
FRONTS = pytest.mark.parametrize("run_client", [post_query, run_flight_query])


@contextlib.contextmanager
def gateway_without_parser() -> Iterator[Gateway]:
    """A gateway that classifies statements; none is parsed until the block is left, and then none has run."""
    flight_engine, engine = FlightEngine(), Engine()
    with gateway(flight_engine, web=(engine,), statements=ON) as gate:
        assert gate.statements
        supervisor: Any = gate.statements.supervisor
        assign, supervisor.pool.assign = supervisor.pool.assign, lambda now: []
        yield gate
        supervisor.pool.assign = assign
        gate.loop.call_soon(supervisor._dispatch)
        until(lambda: not supervisor.pool.pending or gate.shutdown.state.name == "ABORTED")
        assert not gate.forwarder.exchanges
    assert UNPARSED_SQL not in flight_engine.ran and not engine.statements
    flight_engine.shutdown()
    engine.close()


@FRONTS
def test_request_that_waits_for_a_parser_is_rejected_as_open_requests_are_aborted(
    run_client: RunClient,
) -> None:
    """Guards against a request that ran after the abort, or got no answer, and was lost with SIGKILL."""
    with gateway_without_parser() as gate, ThreadPoolExecutor() as executor:
        answer = executor.submit(run_client, gate)
        until(lambda: gate.statements and gate.statements.supervisor.pool.pending)
        aborted_at = time.monotonic()
        gate.loop.call_soon(gate.shutdown.abort_open_requests)
        assert answer.result(10)
        assert time.monotonic() < aborted_at + KILL_MARGIN_S - ABORT_MARGIN_SECONDS


def test_flight_call_with_an_unusable_id_is_refused_before_its_statement_waits_for_a_parser() -> None:
    """Guards against an error in a callback of the loop, where nobody would answer the call."""
    with gateway_without_parser() as gate:
        assert gate.flight_server
        with contextlib.closing(FlightTestClient(gate.flight_server.listener.address)) as client:
            client.send_call(call_headers(FlightMethod.DO_GET, x_txn="unusable"), encode_ticket(UNPARSED_SQL))
            until(client.read)
            assert client.read() == str(GrpcStatus.INVALID_ARGUMENT.value)


def test_flight_call_whose_message_comes_after_the_abort_is_rejected() -> None:
    """Guards against a request that was begun after the abort and lost with SIGKILL."""
    listener = socket.create_server(("127.0.0.1", 0))
    gate = flight_gateway(listener)
    server = gate.flight_server
    assert server
    with contextlib.closing(FlightTestClient(server.listener.address)) as client:
        client.send_headers(update_headers())
        turn_until(gate, lambda: any(connection.calls for connection in server.connections))
        gate.shutdown.abort_open_requests()
        client.send_message(messages.encode_update(LOAD))
        turn_until(gate, lambda: client.read() or gate.forwarder.exchanges)
        assert not gate.forwarder.exchanges and client.read() == REJECTED
    gate.loop.close()
    listener.close()


@FRONTS
def test_request_that_waits_for_a_parser_is_answered_by_its_deadline(run_client: RunClient) -> None:
    """Guards against a client that got no answer in time: nothing watched its deadline before the parse."""
    with gateway_without_parser() as gate:
        began_at = time.monotonic()
        assert run_client(gate)
        assert time.monotonic() < began_at + DEADLINE_MS / 1000 + ANSWER_SLACK_S
        counters = gate.forwarder.counters
        assert counters.early_rejections[EarlyRejection.NO_PARSER] == 1
        assert counters.answers["lookup"][Verdict.REJECTED] == 1
