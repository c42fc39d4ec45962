"""Decodes the class, headers and body of a POST into a `ClientRequest`, independently of the connection."""

import re

from query_gateway.forwarder.messages import ClientRequest, RequestClasses
from query_gateway.model.units import MS

# The part of the client's timeout that is reserved for the transfer of the request and the response on the
# client's connection; at most half of the timeout is reserved
RETURN_TRIP_RESERVE_NS = 15 * MS
MAX_TTL_MS = 3_600_000
MAX_TTL_DIGITS = 9
MAX_CPU_HINT_MS = 1e8
MAX_MEMORY_MB = 1e7
HEX_DIGITS = frozenset("0123456789abcdef")
REAL_NUMBER = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")

# Header names of the platform's protocol, in lower case
CLIENT_ID_HEADER = "x-txn"
TTL_HEADER = "x-ttl-ms"
IDEMPOTENCY_KEY_HEADER = "x-txn-key"
ORDERING_KEY_HEADER = "x-row"
CPU_HINT_HEADER = "x-cpu-hint"
MEMORY_HEADER = "x-memory"
RETRY_HEADER = "x-second-try"
REQUEST_HEADERS = (
    CLIENT_ID_HEADER,
    TTL_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    ORDERING_KEY_HEADER,
    CPU_HINT_HEADER,
    MEMORY_HEADER,
    RETRY_HEADER,
)


class RequestError(Exception):
    """The request is invalid; carries the HTTP status and the error text of the response."""

    def __init__(self, status: int, text: str) -> None:
        """`text` is sent to the client as the description of the error."""
        super().__init__(text)
        self.status = status


def hex_header(headers: dict[str, str], name: str, digits: int, required: bool) -> str | None:
    """Decode a header of exactly `digits` lower-case hex digits, None if it is optional and absent.

    Raises RequestError if the header is required and absent, or has any other form.
    """
    value = headers.get(name)
    if value is None and not required:
        return None
    if value is None:
        raise RequestError(400, f"header {name} is missing")
    if len(value) != digits or not HEX_DIGITS.issuperset(value):
        raise RequestError(400, f"header {name} is not {digits} hex digits")
    return value


def real_header(headers: dict[str, str], name: str, maximum: float) -> float | None:
    """Decode a header with a number from 0 to `maximum`, None if it is absent; raises RequestError."""
    if (value := headers.get(name)) is None:
        return None
    if not REAL_NUMBER.fullmatch(value):
        raise RequestError(400, f"header {name} is not a number")
    number = float(value)
    if number > maximum:
        raise RequestError(400, f"header {name} is out of range")
    return number


def _ttl_ns(headers: dict[str, str]) -> int:
    """The client's timeout in nanoseconds; raises RequestError."""
    ttl = headers.get(TTL_HEADER, "")
    if not ttl.isascii() or not ttl.isdigit() or len(ttl) > MAX_TTL_DIGITS or int(ttl) > MAX_TTL_MS:
        raise RequestError(400, f"header {TTL_HEADER} is missing or not a number of milliseconds")
    return int(ttl) * MS


def _check_statement(body: bytes) -> None:
    if not body:
        raise RequestError(400, "the statement is missing")
    try:
        body.decode()
    except UnicodeDecodeError:
        raise RequestError(400, "the statement is not UTF-8") from None


def decode_request(
    class_name: str, classes: RequestClasses, headers: dict[str, str], body: bytes, arrived_at: int
) -> ClientRequest:
    """Decode a POST that arrived at clock time `arrived_at` (nanoseconds); raises RequestError.

    The table group is not set, as scanning a long statement for it takes several turns of the loop.
    `classes` are those that the request may address, with the settings that it keeps; the names in `headers`
    are in lower case.
    """
    if class_name not in classes:
        raise RequestError(404, f"class {class_name!r} is unknown")
    request_class = classes[class_name]
    client_request_id = hex_header(headers, CLIENT_ID_HEADER, 16, True) or ""
    ttl = _ttl_ns(headers)
    idempotency_key = hex_header(headers, IDEMPOTENCY_KEY_HEADER, 32, request_class.needs_idempotency_key)
    ordering_key = hex_header(headers, ORDERING_KEY_HEADER, 16, request_class.ordered_by_key)
    cpu_hint_ms = real_header(headers, CPU_HINT_HEADER, MAX_CPU_HINT_MS)
    memory_mb = real_header(headers, MEMORY_HEADER, MAX_MEMORY_MB)
    if headers.get(RETRY_HEADER, "1") != "1":
        raise RequestError(400, f"header {RETRY_HEADER} is not 1")
    _check_statement(body)
    return ClientRequest(
        client_request_id=client_request_id,
        class_index=request_class.index,
        class_name=class_name,
        statement=body,
        deadline=arrived_at + max(ttl // 2, ttl - RETURN_TRIP_RESERVE_NS),
        is_retry=headers.get(RETRY_HEADER) == "1",
        key=ordering_key if request_class.ordered_by_key else None,
        idempotency_key=idempotency_key,
        estimated_work=int(cpu_hint_ms * MS) if cpu_hint_ms else None,
        estimated_memory_mb=memory_mb or 0.0,
        table_group=None,
        class_settings=request_class.settings,
    )
