"""What an engine's frames mean for the attempts in flight on its connection."""

from typing import TYPE_CHECKING

from query_gateway.engine_protocol import frames
from query_gateway.engine_protocol.open_attempt import OpenAttempt
from query_gateway.engine_protocol.results import MAX_PAGES, is_valid_page
from query_gateway.forwarder.messages import AttemptHandle
from query_gateway.model.events import OutcomeCode, ProgressKind

if TYPE_CHECKING:
    from query_gateway.engine_protocol.connection import EngineConnection

PROGRESS_KINDS = {
    "share": ProgressKind.PROGRESS,
    "short": ProgressKind.SPILLING,
    "held": ProgressKind.WAITING,
}
OUTCOMES = {
    frames.REFUSED: OutcomeCode.FULL,
    frames.ERROR: OutcomeCode.ERROR,
    frames.STALE: OutcomeCode.NOT_SENT,
}
MAX_NUMBER_DIGITS = 9
MAX_PROGRESS_LEVEL = 1e12


class ResponseHandler:
    """Applies frames to a connection's attempts.

    Frames of an attempt that is no longer in flight, second copies, and words that do not fit the attempt's
    state change nothing. A response that cannot be read ends its attempt as an error and retires the
    connection.
    """

    def __init__(self, connection: "EngineConnection") -> None:
        """Handle the frames of one connection, whose `liveness.last_heard_at` is when they came."""
        self.connection = connection

    def handle(self, frame: frames.Frame) -> None:
        """Apply one frame."""
        entry = self.connection.open.get(frame.client_request_id)
        if entry is None:
            return  # a late response to an attempt that was cancelled
        if frame.word == frames.PROGRESS:
            self._on_progress(entry.attempt, frame)
        elif frame.word == frames.OK:
            if entry.last_page_at is None:
                self._on_first_page(entry, frame)
        elif frame.word == frames.PAGE:
            if entry.last_page_at is not None:
                self._on_further_page(entry, frame)
        elif frame.word in OUTCOMES:
            outcome = OUTCOMES[frame.word] if entry.last_page_at is None else OutcomeCode.ERROR
            self.connection.finish(frame.client_request_id, outcome)

    @staticmethod
    def _on_progress(attempt: AttemptHandle, frame: frames.Frame) -> None:
        kind = PROGRESS_KINDS.get(frame.fields.get(frames.PROGRESS_KIND_FIELD, ""))
        if kind is None:
            return
        level = _number(frame.fields.get(frames.PROGRESS_LEVEL_FIELD, ""))
        if level is not None:
            attempt.on_progress(kind, level)

    def _on_first_page(self, entry: OpenAttempt, frame: frames.Frame) -> None:
        entry.response_started_at = entry.last_page_at = self.connection.liveness.last_heard_at
        entry.attempt.on_executed()
        page_count = _integer(frame.fields.get(frames.PAGE_COUNT_FIELD, "1"), 1, MAX_PAGES)
        if page_count is None:
            self.connection.fail_malformed(frame.client_request_id)
            return
        entry.page_count = page_count
        if page_count > 1:
            fetches = (
                frames.encode_fetch(frame.client_request_id, number) for number in range(1, page_count)
            )
            self.connection.stream.write(b"".join(fetches))
        self._add_page(entry, 0, frame)

    def _on_further_page(self, entry: OpenAttempt, frame: frames.Frame) -> None:
        number = _integer(frame.fields.get(frames.PAGE_NUMBER_FIELD, ""), 1, entry.page_count - 1)
        if number is None:
            self.connection.fail_malformed(frame.client_request_id)
            return
        self._add_page(entry, number, frame)

    def _add_page(self, entry: OpenAttempt, number: int, frame: frames.Frame) -> None:
        if not is_valid_page(frame.data):
            self.connection.fail_malformed(frame.client_request_id)
            return
        entry.add_page(number, frame.data, self.connection.liveness.last_heard_at)
        if not entry.has_all_pages:
            return
        if entry.page_count > 1:
            self.connection.stream.write(frames.encode_end(frame.client_request_id))
        if entry.is_too_large:
            self.connection.fail_malformed(frame.client_request_id)
            return
        for page_number in range(entry.page_count):
            entry.attempt.on_page(entry.pages[page_number])
        self.connection.finish(frame.client_request_id, OutcomeCode.OK)


def _integer(text: str, minimum: int, maximum: int) -> int | None:
    if not text.isdigit() or len(text) > MAX_NUMBER_DIGITS or not minimum <= int(text) <= maximum:
        return None
    return int(text)


def _number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if abs(value) < MAX_PROGRESS_LEVEL else None
