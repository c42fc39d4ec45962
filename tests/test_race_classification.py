"""Race conditions of requests that wait for a parser: with the shutdown, and with their own deadlines."""

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
from tests.test_flight import FlightEngine
from tests.test_flight import gateway as running_flight_gateway
from tests.test_flight_statements import ON
from tests.test_local import until
from tests.test_race_flight import flight_gateway, turn_until
from tests.test_web import LOAD

pytestmark = pytest.mark.usefixtures("reset_log_rate_limit")

UNPARSED_SQL = "SELECT c FROM t WHERE a = 1"
# Time of the earliest SIGKILL, counted from `ANSWER_SECONDS` like that of the abort, `ABORT_MARGIN_SECONDS`
KILL_MARGIN_S = 0.7
DEADLINE_MS = 400
ANSWER_SLACK_S = 0.5  # an answer may come this long after the deadline of its request
REJECTED = str(GrpcStatus.RESOURCE_EXHAUSTED.value)


def post_query(gateway: Gateway) -> bool:
    """Send a lookup over HTTP and return whether it was rejected."""
    return bool(post(gateway, "lookup", UNPARSED_SQL, ttl=DEADLINE_MS)[0] == 429)


def run_flight_query(gateway: Gateway) -> bool:
    """Send a query over Flight SQL and return whether it was rejected."""
    assert gateway.flight_server
    with contextlib.closing(FlightTestClient(gateway.flight_server.listener.address)) as client:
        headers = call_headers(FlightMethod.DO_GET, grpc_timeout=f"{DEADLINE_MS}m")
        client.send_call(headers, encode_ticket(UNPARSED_SQL))
        until(client.read)
        return client.read() == REJECTED


RunClient = Callable[[Gateway], bool]
FRONTS = pytest.mark.parametrize("run_client", [post_query, run_flight_query])


@contextlib.contextmanager
def gateway_without_parser() -> Iterator[Gateway]:
    """A gateway whose statements are not parsed before the context is left; asserts that none has run."""
    flight_engine, engine = FlightEngine(), Engine()
    with running_flight_gateway(flight_engine, web=(engine,), statements=ON) as gateway:
        assert gateway.statements
        supervisor: Any = gateway.statements.supervisor
        assign, supervisor.pool.assign = supervisor.pool.assign, lambda now: []
        yield gateway
        supervisor.pool.assign = assign
        gateway.loop.call_soon(supervisor._dispatch)
        until(lambda: not supervisor.pool.pending or gateway.shutdown.state.name == "ABORTED")
        assert not gateway.forwarder.exchanges
    assert UNPARSED_SQL not in flight_engine.ran and not engine.statements
    flight_engine.shutdown()
    engine.close()


@FRONTS
def test_request_that_waits_for_a_parser_is_rejected_as_open_requests_are_aborted(
    run_client: RunClient,
) -> None:
    """The shutdown aborts open requests while a statement waits for a parser.

    Such a request has no exchange yet, so the abort could miss it: it would be forwarded after the abort, or
    stay without an answer until SIGKILL.
    """
    with gateway_without_parser() as gateway, ThreadPoolExecutor() as executor:
        answer = executor.submit(run_client, gateway)
        until(lambda: gateway.statements and gateway.statements.supervisor.pool.pending)
        aborted_at = time.monotonic()
        gateway.loop.call_soon(gateway.shutdown.abort_open_requests)
        assert answer.result(10)
        assert time.monotonic() < aborted_at + KILL_MARGIN_S - ABORT_MARGIN_SECONDS


def test_flight_call_with_an_unusable_id_is_refused_before_its_statement_waits_for_a_parser() -> None:
    """A Flight call carries a malformed request id (`x-txn`).

    If the id were checked only after the parse, the error would be raised in a callback of the loop, where
    nothing answers the call.
    """
    with gateway_without_parser() as gateway:
        assert gateway.flight_server
        with contextlib.closing(FlightTestClient(gateway.flight_server.listener.address)) as client:
            client.send_call(call_headers(FlightMethod.DO_GET, x_txn="unusable"), encode_ticket(UNPARSED_SQL))
            until(client.read)
            assert client.read() == str(GrpcStatus.INVALID_ARGUMENT.value)


def test_flight_call_whose_message_comes_after_the_abort_is_rejected() -> None:
    """The message of a Flight call arrives after the shutdown has aborted open requests.

    The call was open at the abort but had no request yet; a request started now would be lost with SIGKILL.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    gateway = flight_gateway(listener)
    server = gateway.flight_server
    assert server
    with contextlib.closing(FlightTestClient(server.listener.address)) as client:
        client.send_headers(update_headers())
        turn_until(gateway, lambda: any(connection.calls for connection in server.connections))
        gateway.shutdown.abort_open_requests()
        client.send_message(messages.encode_update(LOAD))
        turn_until(gateway, lambda: client.read() or gateway.forwarder.exchanges)
        assert not gateway.forwarder.exchanges and client.read() == REJECTED
    gateway.loop.close()
    listener.close()


@FRONTS
def test_request_that_waits_for_a_parser_is_answered_by_its_deadline(run_client: RunClient) -> None:
    """The deadline of a request passes while its statement waits for a parser.

    If deadlines were watched only from the end of the parse, the client would get no answer in time.
    """
    with gateway_without_parser() as gateway:
        began_at = time.monotonic()
        assert run_client(gateway)
        assert time.monotonic() < began_at + DEADLINE_MS / 1000 + ANSWER_SLACK_S
        counters = gateway.forwarder.counters
        assert counters.early_rejections[EarlyRejection.NO_PARSER] == 1
        assert counters.answers["lookup"][Verdict.REJECTED] == 1
