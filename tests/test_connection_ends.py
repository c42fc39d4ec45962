"""Reason codes for the end of client connections and outcomes of dials, tested without real connections."""

import errno
import socket
from types import SimpleNamespace
from typing import Any, cast

import pytest

from query_gateway.http.end_reasons import (
    reason_after_last_response,
    reason_after_rejection,
    reason_of_drained_connection,
    reason_of_unused_connection,
)
from query_gateway.http.request_handler import RequestHandler
from query_gateway.net.dial import NO_ERROR, dial_result
from query_gateway.net.stream import Reason


@pytest.mark.parametrize(
    ("closing", "has_sent_request", "reason"),
    [
        (True, True, Reason.STOPPING),
        (True, False, Reason.STOPPING),
        (False, True, Reason.IDLE),
        (False, False, Reason.UNRESPONSIVE),
    ],
)
def test_unused_connection_ends_by_the_stop_or_its_own_silence(
    closing: bool, has_sent_request: bool, reason: Reason
) -> None:
    assert reason_of_unused_connection(closing, has_sent_request) is reason


def test_drained_connection_that_never_sent_a_request_ends_as_unresponsive() -> None:
    assert reason_of_drained_connection(has_sent_request=True) is Reason.DRAINED
    assert reason_of_drained_connection(has_sent_request=False) is Reason.UNRESPONSIVE


@pytest.mark.parametrize(("status", "reason"), [(408, Reason.SLOW_REQUEST), (400, Reason.BAD_REQUEST)])
def test_rejected_request_ends_its_connection_by_its_status(status: int, reason: Reason) -> None:
    assert reason_after_rejection(status) is reason


@pytest.mark.parametrize(
    ("is_over_connection_limit", "discarded_bytes", "closing", "draining", "reason"),
    [
        (True, 1, True, True, Reason.TOO_MANY),
        (False, 1, True, True, Reason.BAD_REQUEST),
        (False, 0, True, True, Reason.STOPPING),
        (False, 0, False, True, Reason.DRAINED),
        (False, 0, False, False, Reason.DONE),
    ],
)
def test_last_response_ends_its_connection_by_the_first_cause_that_holds(
    is_over_connection_limit: bool, discarded_bytes: int, closing: bool, draining: bool, reason: Reason
) -> None:
    handler = SimpleNamespace(
        is_over_connection_limit=is_over_connection_limit, discarded_bytes=discarded_bytes
    )
    assert reason_after_last_response(cast(RequestHandler, handler), closing, draining) is reason


class DialledSocket:
    """A stand-in for a dialled socket with local port 1; without `peer_port` it is not connected yet."""

    def __init__(self, error: int = NO_ERROR, peer_port: int | None = None) -> None:
        self.error, self.peer_port = error, peer_port

    def getsockopt(self, level: int, option: int) -> int:
        return self.error

    def getsockname(self) -> tuple[str, int]:
        return "127.0.0.1", 1

    def getpeername(self) -> tuple[str, int]:
        if self.peer_port is None:
            raise OSError(errno.ENOTCONN, "not connected yet")
        return "127.0.0.1", self.peer_port


@pytest.mark.parametrize(
    ("dialled", "result"),
    [
        (DialledSocket(peer_port=2), NO_ERROR),
        (DialledSocket(error=errno.EHOSTUNREACH), errno.EHOSTUNREACH),
        (DialledSocket(), None),
        (DialledSocket(peer_port=1), errno.ECONNREFUSED),
    ],
    ids=["connected", "failed", "under-way", "connected-to-itself"],
)
def test_outcome_of_a_dial(dialled: Any, result: int | None) -> None:
    assert dial_result(cast(socket.socket, dialled)) == result
