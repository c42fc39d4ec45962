"""An attempt in flight on an engine connection, and the encoding of its request."""

from query_gateway.engine_protocol import frames
from query_gateway.engine_protocol.results import MAX_RESULT_BYTES
from query_gateway.forwarder.messages import AttemptHandle
from query_gateway.model.units import MS


class OpenAttempt:
    """An attempt in flight, with the pages that have arrived. Times are loop times in seconds."""

    __slots__ = (
        "attempt", "client_request_id", "assigned_at", "request_sent", "has_response", "page_count", "pages",
        "response_started_at", "last_page_at",
    )  # fmt: skip

    def __init__(self, attempt: AttemptHandle, client_request_id: str, assigned_at: float) -> None:
        """`assigned_at` is when the connection got the attempt, possibly while it was still dialling."""
        self.attempt = attempt
        self.client_request_id = client_request_id
        self.assigned_at = assigned_at
        self.request_sent = False  # the kernel has accepted it to the last byte
        self.has_response = False  # the first response line, which contains page 0, has arrived
        self.page_count = 0
        self.pages: dict[int, bytes] = {}  # by page number
        self.response_started_at = self.last_page_at = 0.0

    def on_request_sent(self) -> None:
        """Record that the kernel has accepted the last byte of the request, and report it to the attempt."""
        self.request_sent = True
        self.attempt.on_written()

    def on_response_started(self, now: float) -> None:
        """Record that the first response line has arrived at loop time `now`."""
        self.has_response = True
        self.response_started_at = self.last_page_at = now

    def add_page(self, number: int, page: bytes, now: float) -> None:
        """Add a page; a repeated page only updates `last_page_at`."""
        self.pages.setdefault(number, page)
        self.last_page_at = now

    @property
    def has_all_pages(self) -> bool:
        """Whether all pages of the result have arrived."""
        return len(self.pages) >= self.page_count

    @property
    def is_too_large(self) -> bool:
        """Whether the pages together exceed `MAX_RESULT_BYTES`."""
        return sum(len(page) for page in self.pages.values()) > MAX_RESULT_BYTES


def encode_attempt(attempt: AttemptHandle, now: int) -> bytes:
    """Encode the request of an attempt; its time budget counts from the clock time `now` (nanoseconds)."""
    request = attempt.request
    budget_ms = max(1, (request.deadline - now) // MS)
    fields = {frames.CLASS_FIELD: request.class_name, frames.BUDGET_MS_FIELD: str(budget_ms)}
    if request.idempotency_key:
        fields[frames.IDEMPOTENCY_KEY_FIELD] = request.idempotency_key
    if attempt.memory_mb > 0:
        fields[frames.MEMORY_MB_FIELD] = f"{attempt.memory_mb:g}"
    fields[frames.PRIORITY_FIELD] = str(attempt.priority)
    return frames.encode_request(request.client_request_id, fields, request.statement)
