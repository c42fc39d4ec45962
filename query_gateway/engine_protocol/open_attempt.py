"""An attempt that is in flight on an engine's connection, and its request as the engine reads it."""

from query_gateway.engine_protocol import frames
from query_gateway.engine_protocol.results import MAX_RESULT_BYTES
from query_gateway.forwarder.messages import AttemptHandle
from query_gateway.model.units import MS


class OpenAttempt:
    """An attempt in flight, with the pages that have come. Times are loop times in seconds."""

    __slots__ = (
        "attempt", "client_request_id", "assigned_at", "request_sent", "has_response", "page_count", "pages",
        "response_started_at", "last_page_at",
    )  # fmt: skip

    def __init__(self, attempt: AttemptHandle, client_request_id: str, assigned_at: float) -> None:
        """`assigned_at`: when the attempt was given to the connection, which may still be dialling."""
        self.attempt = attempt
        self.client_request_id = client_request_id
        self.assigned_at = assigned_at
        self.request_sent = False  # to the last byte
        self.has_response = False  # the response has begun; its first page comes with it
        self.page_count = 0
        self.pages: dict[int, bytes] = {}  # by number
        self.response_started_at = self.last_page_at = 0.0

    def on_request_sent(self) -> None:
        """The machine has taken the request to its last byte."""
        self.request_sent = True
        self.attempt.on_written()

    def on_response_started(self, now: float) -> None:
        """The response has begun."""
        self.has_response = True
        self.response_started_at = self.last_page_at = now

    def add_page(self, number: int, page: bytes, now: float) -> None:
        """Keep a page; a repeated one changes nothing but the time of the last page."""
        self.pages.setdefault(number, page)
        self.last_page_at = now

    @property
    def has_all_pages(self) -> bool:
        """Whether the result is complete."""
        return len(self.pages) >= self.page_count

    @property
    def is_too_large(self) -> bool:
        """Whether the pages together exceed what a result may have."""
        return sum(len(page) for page in self.pages.values()) > MAX_RESULT_BYTES


def encode_attempt(attempt: AttemptHandle, now: int) -> bytes:
    """The request that starts an attempt at clock time `now` (nanoseconds)."""
    request = attempt.request
    budget_ms = max(1, (request.deadline - now) // MS)
    fields = {frames.CLASS_FIELD: request.class_name, frames.BUDGET_MS_FIELD: str(budget_ms)}
    if request.idempotency_key:
        fields[frames.IDEMPOTENCY_KEY_FIELD] = request.idempotency_key
    if attempt.memory_mb > 0:
        fields[frames.MEMORY_MB_FIELD] = f"{attempt.memory_mb:g}"
    fields[frames.PRIORITY_FIELD] = str(attempt.priority)
    return frames.encode_request(request.client_request_id, fields, request.statement)
