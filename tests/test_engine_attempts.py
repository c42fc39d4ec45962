"""The attempts on one engine connection, and the time by which its next byte is due; without sockets."""

import pytest

from query_gateway.engine_protocol.attempt_table import AttemptTable
from query_gateway.engine_protocol.liveness import STALL_TIMEOUT_SECONDS, ConnectionLiveness
from query_gateway.forwarder.messages import AttemptHandle, ClientRequest
from tests.test_exchange import ForwarderHarness

ATTEMPT_ID, OTHER_ATTEMPT_ID = "a" * 16, "b" * 16
PROGRESS_WAIT_S = 10.0


def attempt_with_id(client_request_id: str) -> AttemptHandle:
    harness = ForwarderHarness()
    request = ClientRequest(
        client_request_id,
        0,
        "lookup",
        b"x",
        5_000_000_000,
        False,
        None,
        None,
        None,
        0.0,
        None,
        harness.class_settings(0),
    )
    exchange = harness.forwarder.accept(request, harness.client, "web")
    return exchange.engine_side.next_attempt(exchange, "a")


def table_with_written_attempts(*client_request_ids: str) -> AttemptTable:
    attempts = AttemptTable()
    for client_request_id in client_request_ids:
        attempts.add(attempt_with_id(client_request_id), now=1.0)
        attempts.take_unwritten()
    return attempts


def test_next_byte_is_due_soon_while_pages_are_due_and_else_with_the_next_progress_report() -> None:
    attempts, liveness = table_with_written_attempts(ATTEMPT_ID, OTHER_ATTEMPT_ID), ConnectionLiveness(2.0)
    assert liveness.deadline(attempts, within_frame=False, progress_wait=PROGRESS_WAIT_S) == 12.0
    attempts.note_response(attempts.open[OTHER_ATTEMPT_ID], 3.0)
    assert liveness.deadline(attempts, False, PROGRESS_WAIT_S) == 3.0 + STALL_TIMEOUT_SECONDS
    attempts.remove(OTHER_ATTEMPT_ID, may_respond=False)
    assert liveness.deadline(attempts, False, PROGRESS_WAIT_S) == 12.0
    attempts.remove(ATTEMPT_ID, may_respond=False)
    assert liveness.deadline(attempts, False, PROGRESS_WAIT_S) is None


@pytest.mark.parametrize("end", ["cancelled", "failed", "connection closed"])
def test_pages_of_an_attempt_that_has_ended_are_not_due(end: str) -> None:
    attempts, liveness = table_with_written_attempts(ATTEMPT_ID), ConnectionLiveness(2.0)
    attempts.note_response(attempts.open[ATTEMPT_ID], 3.0)
    if end == "cancelled":
        assert attempts.cancel(ATTEMPT_ID)
    elif end == "failed":
        attempts.remove(ATTEMPT_ID, may_respond=True)
    else:
        assert [entry.client_request_id for entry in attempts.clear()] == [ATTEMPT_ID]
    assert liveness.deadline(attempts, False, PROGRESS_WAIT_S) is None


def test_id_is_used_again_only_if_no_late_response_to_it_can_come() -> None:
    attempts = AttemptTable()
    attempts.add(attempt_with_id(ATTEMPT_ID), now=1.0)
    assert not attempts.is_unused(ATTEMPT_ID)
    assert attempts.withdraw(ATTEMPT_ID) and attempts.is_unused(ATTEMPT_ID)
    attempts.add(attempt_with_id(ATTEMPT_ID), now=2.0)
    # The engine has not received an unwritten attempt: it needs no STOP frame and sends no response
    assert not attempts.cancel(ATTEMPT_ID) and attempts.is_unused(ATTEMPT_ID)
    attempts = table_with_written_attempts(ATTEMPT_ID)
    assert not attempts.withdraw(ATTEMPT_ID)
    assert attempts.cancel(ATTEMPT_ID) and not attempts.is_unused(ATTEMPT_ID)
