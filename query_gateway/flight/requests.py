"""Decodes the statement and the headers of a Flight SQL call into a request for the forwarder."""

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING
from uuid import uuid4

from query_gateway.forwarder.messages import ClientRequest, RequestClass
from query_gateway.http.request_decoding import RequestError, hex_header, real_header
from query_gateway.model.units import MS

if TYPE_CHECKING:
    from query_gateway.parsing.service import Classification

# The part of the client's timeout, but at most half of it, that is reserved for transferring the call and the
# result on the client's Flight SQL connection
RETURN_TRIP_RESERVE_NS = 25 * MS
GRPC_TIMEOUT = re.compile(r"(\d{1,8})([HMSmun])")
GRPC_TIMEOUT_UNITS_NS = {"H": 3600 * 10**9, "M": 60 * 10**9, "S": 10**9, "m": 10**6, "u": 10**3, "n": 1}
MAX_TIMEOUT_NS = 3600 * 10**9
# Hexadecimal digits in the headers x-txn, x-row and x-txn-key
REQUEST_ID_DIGITS, KEY_DIGITS, IDEMPOTENCY_KEY_DIGITS = 16, 16, 32
MAX_WORK_HINT_MS = 1e8
MAX_MEMORY_HINT_MB = 1e7
MAX_NAME_IN_ERROR = 80  # characters of a client-supplied name that an error message repeats


@dataclass(slots=True, frozen=True)
class FlightStatement:
    """A statement as received from a client."""

    statement: bytes  # in UTF-8
    is_update: bool  # sent through DoPut, which the client uses for statements that modify data
    received_at_ns: int  # clock time, the lower bound of the arrival time
    order_at_ns: int = 0  # clock time, the upper bound of the arrival time, which defines the arrival order


def parse_grpc_timeout(text: str | None, default_ns: int) -> int:
    """Return the value of a `grpc-timeout` header in nanoseconds, capped at one hour, or the default.

    Raises RequestError if the header is not a number of at most eight digits followed by a unit.
    """
    if text is None:
        return default_ns
    match = GRPC_TIMEOUT.fullmatch(text)
    if not match:
        raise RequestError(400, "grpc-timeout is unusable")
    return min(int(match[1]) * GRPC_TIMEOUT_UNITS_NS[match[2]], MAX_TIMEOUT_NS)


def deadline_of(statement: FlightStatement, timeout_ns: int) -> int:
    """Return the clock time by which the answer must be sent to a client with this timeout."""
    return statement.received_at_ns + max(timeout_ns // 2, timeout_ns - RETURN_TRIP_RESERVE_NS)


def decode_request(
    statement: FlightStatement,
    class_name: str,
    request_class: RequestClass,
    headers: dict[str, str],
    classification: "Classification | None" = None,
) -> ClientRequest:
    """Build the request from a statement and its call's headers; raises RequestError if any is invalid.

    `classification` is the result of parsing the statement, if statement parsing is enabled. Without it the
    table group is not set, as scanning a long statement for it takes several turns of the loop.
    """
    timeout_ns = parse_grpc_timeout(headers.get("grpc-timeout"), request_class.settings.timeout)
    if not statement.statement:
        raise RequestError(400, "the statement is missing")
    if statement.is_update and request_class.is_idempotent:
        # Requests of an idempotent class may run twice (retry, hedged request), which would apply an update
        # twice. DoPut identifies the update, so it is rejected before it reaches an engine
        name = class_name[:MAX_NAME_IN_ERROR]
        raise RequestError(400, f"an update cannot run as {name}, whose queries may run twice")
    group = classification.table_group if classification else None
    work_hint_ms = real_header(headers, "x-cpu-hint", MAX_WORK_HINT_MS)
    key = _ordering_key(request_class, headers, classification)
    idempotency_key = _client_idempotency_key(request_class, headers, classification)
    needs_own_key = request_class.needs_idempotency_key and idempotency_key is None
    return ClientRequest(
        client_request_id=client_request_id_of(headers),
        class_index=request_class.index,
        class_name=class_name,
        statement=statement.statement,
        deadline=deadline_of(statement, timeout_ns),
        is_retry=headers.get("x-second-try") == "1",
        key=key if request_class.ordered_by_key else None,
        # Unique, as two identical inserts are two separate loads
        idempotency_key=uuid4().hex if needs_own_key else idempotency_key,
        client_has_key=not needs_own_key,
        estimated_work=_estimated_work_ns(work_hint_ms, classification),
        estimated_memory_mb=_memory_mb(headers, classification),
        table_group=None if group is None else float(group),
        class_settings=request_class.settings,
        received_at=statement.order_at_ns,
        is_update=statement.is_update,
        fingerprint=classification.fingerprint if classification else b"",
    )


def _ordering_key(
    request_class: RequestClass, headers: dict[str, str], classification: "Classification | None"
) -> str | None:
    """Return the key that classification found in the statement, else the one in the header x-row."""
    decision = classification.decision if classification else None
    if decision and decision.key:
        return decision.key
    return hex_header(headers, "x-row", KEY_DIGITS, request_class.ordered_by_key)


def _client_idempotency_key(
    request_class: RequestClass, headers: dict[str, str], classification: "Classification | None"
) -> str | None:
    """Return the client's key in the header x-txn-key, or None.

    Raises RequestError if the class needs a key and the statement is not classified. For a classified one the
    gateway makes up a key, by which engines know its own further attempts.
    """
    is_parsed = bool(classification and classification.decision)
    is_required = request_class.needs_idempotency_key and not is_parsed
    return hex_header(headers, "x-txn-key", IDEMPOTENCY_KEY_DIGITS, is_required)


def _estimated_work_ns(hint_ms: float | None, classification: "Classification | None") -> int | None:
    if hint_ms:
        return int(hint_ms * MS)
    return classification.estimated_work_ns if classification else None


def client_request_id_of(headers: dict[str, str]) -> str:
    """Return the request id from the header, or a random one; raises RequestError if it is malformed."""
    return hex_header(headers, "x-txn", REQUEST_ID_DIGITS, False) or uuid4().hex[:REQUEST_ID_DIGITS]


def _memory_mb(headers: dict[str, str], classification: "Classification | None") -> float:
    learned_mb = classification.memory_mb if classification else 0.0
    return real_header(headers, "x-memory", MAX_MEMORY_HINT_MB) or learned_mb
