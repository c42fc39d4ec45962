"""Decodes the statement and the headers of a Flight SQL client's call into the forwarder's request."""

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING
from uuid import uuid4

from query_gateway.forwarder.messages import ClientRequest, RequestClasses
from query_gateway.forwarder.table_group import table_group
from query_gateway.http.request_decoding import RequestError, hex_header, real_header
from query_gateway.model.settings import Idempotency, Settings
from query_gateway.model.units import MS

if TYPE_CHECKING:
    from query_gateway.parsing.service import Classification

# Of the client's timeout, kept for the transfer of call and result on its Flight SQL connection
RETURN_TRIP_RESERVE_NS = 25 * MS
GRPC_TIMEOUT = re.compile(r"(\d{1,8})([HMSmun])")
GRPC_TIMEOUT_UNITS_NS = {"H": 3600 * 10**9, "M": 60 * 10**9, "S": 10**9, "m": 10**6, "u": 10**3, "n": 1}
MAX_TIMEOUT_NS = 3600 * 10**9
REQUEST_ID_DIGITS, KEY_DIGITS, IDEMPOTENCY_KEY_DIGITS = 16, 16, 32  # hex digits of these headers
MAX_WORK_HINT_MS = 1e8
MAX_MEMORY_HINT_MB = 1e7
MAX_NAME_IN_ERROR = 80  # characters


@dataclass(slots=True, frozen=True)
class FlightClass:
    """What the Flight server knows of a request class."""

    class_index: int
    needs_idempotency_key: bool
    ordered_by_key: bool
    timeout_ns: int  # of a call without a deadline
    is_idempotent: bool


@dataclass(slots=True, frozen=True)
class FlightStatement:
    """A statement as a client sent it."""

    text: str
    is_update: bool  # sent through DoPut: the client marks it as one that changes something
    received_at_ns: int  # clock time, the earliest
    order_at_ns: int = 0  # clock time when it had come, as exactly as is known


def build_flight_classes(classes: RequestClasses, settings: Settings) -> dict[str, FlightClass]:
    """Return the classes by name, joined with what the settings say of each."""
    return {
        name: FlightClass(
            request_class.index,
            request_class.needs_idempotency_key,
            request_class.ordered_by_key,
            settings.classes[request_class.index].timeout,
            settings.classes[request_class.index].idempotency is Idempotency.IDEMPOTENT,
        )
        for name, request_class in classes.items()
    }


def parse_grpc_timeout(text: str | None, default_ns: int) -> int:
    """Return the nanoseconds of a `grpc-timeout` header, an hour at most; without one, the default.

    Raises RequestError if the header is not a number with a unit.
    """
    if text is None:
        return default_ns
    match = GRPC_TIMEOUT.fullmatch(text)
    if not match:
        raise RequestError(400, "grpc-timeout is unusable")
    return min(int(match[1]) * GRPC_TIMEOUT_UNITS_NS[match[2]], MAX_TIMEOUT_NS)


def deadline_of(statement: FlightStatement, timeout_ns: int) -> int:
    """Return the clock time by which the answer must leave, for a client that waits so long."""
    return statement.received_at_ns + max(timeout_ns // 2, timeout_ns - RETURN_TRIP_RESERVE_NS)


def decode_request(
    statement: FlightStatement,
    class_name: str,
    flight_class: FlightClass,
    headers: dict[str, str],
    classification: "Classification | None" = None,
) -> ClientRequest:
    """Return the request of a statement with its call's headers; raises RequestError if one is invalid.

    `classification` is what parsing the statement found, where statements are parsed.
    """
    timeout_ns = parse_grpc_timeout(headers.get("grpc-timeout"), flight_class.timeout_ns)
    if not statement.text:
        raise RequestError(400, "the statement is missing")
    if statement.is_update and flight_class.is_idempotent:
        # Requests of this class may run twice (retry, hedged request), and an update would be applied twice.
        # The client marks it as one by DoPut, so it is rejected before any engine has it
        name = class_name[:MAX_NAME_IN_ERROR]
        raise RequestError(400, f"an update cannot run as {name}, whose queries may run twice")
    group = classification.table_group if classification else table_group(statement.text)
    work_hint_ms = real_header(headers, "x-cpu-hint", MAX_WORK_HINT_MS)
    key = _ordering_key(flight_class, headers, classification)
    idempotency_key = _idempotency_key(flight_class, headers, classification)
    return ClientRequest(
        client_request_id=client_request_id_of(headers),
        class_index=flight_class.class_index,
        class_name=class_name,
        statement=statement.text.encode(),
        deadline=deadline_of(statement, timeout_ns),
        is_retry=headers.get("x-second-try") == "1",
        key=key if flight_class.ordered_by_key else None,
        idempotency_key=idempotency_key,
        estimated_work=_estimated_work_ns(work_hint_ms, classification),
        estimated_memory_mb=_memory_mb(headers, classification),
        table_group=None if group is None else float(group),
        received_at=statement.order_at_ns,
        is_update=statement.is_update,
        fingerprint=classification.fingerprint if classification else b"",
    )


def _ordering_key(
    flight_class: FlightClass, headers: dict[str, str], classification: "Classification | None"
) -> str | None:
    """Return the key that the statement itself holds, else the header's."""
    decision = classification.decision if classification else None
    if decision and decision.key:
        return decision.key
    return hex_header(headers, "x-row", KEY_DIGITS, flight_class.ordered_by_key)


def _idempotency_key(
    flight_class: FlightClass, headers: dict[str, str], classification: "Classification | None"
) -> str | None:
    """Return the header's key; where the statement was parsed, one made here stands in for a missing one."""
    was_parsed = bool(classification and classification.decision)
    must_be_sent = flight_class.needs_idempotency_key and not was_parsed
    idempotency_key = hex_header(headers, "x-txn-key", IDEMPOTENCY_KEY_DIGITS, must_be_sent)
    if idempotency_key is None and flight_class.needs_idempotency_key:
        return uuid4().hex  # of this request alone: two equal inserts are two loads
    return idempotency_key


def _estimated_work_ns(hint_ms: float | None, classification: "Classification | None") -> int | None:
    if hint_ms:
        return int(hint_ms * MS)
    return classification.estimated_work_ns if classification else None


def client_request_id_of(headers: dict[str, str]) -> str:
    """Return the client's own id, or a random one where it names none; raises RequestError."""
    return hex_header(headers, "x-txn", REQUEST_ID_DIGITS, False) or uuid4().hex[:REQUEST_ID_DIGITS]


def _memory_mb(headers: dict[str, str], classification: "Classification | None") -> float:
    learned_mb = classification.memory_mb if classification else 0.0
    return real_header(headers, "x-memory", MAX_MEMORY_HINT_MB) or learned_mb
