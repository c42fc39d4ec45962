"""Applies the frames of an engine to the attempts in flight on its connection.

awaiting the response --OK--> awaiting pages --the last page--> finished, served
awaiting the response --REFUSED, ERROR, STALE--> finished, with the outcome in `OUTCOMES`
awaiting pages --REFUSED, ERROR, STALE--> finished, as an error
either state --an invalid or overdue result--> finished, as an error
either state --bytes that are not valid frames, or an overdue frame--> the connection and all its attempts end
"""

from typing import Final, Protocol

from query_gateway.engine_protocol import frames
from query_gateway.engine_protocol.attempt_table import AttemptTable
from query_gateway.engine_protocol.liveness import ConnectionLiveness
from query_gateway.engine_protocol.open_attempt import OpenAttempt
from query_gateway.engine_protocol.results import MAX_PAGES, is_valid_page
from query_gateway.forwarder.messages import AttemptHandle
from query_gateway.model.events import OutcomeCode, ProgressKind

PROGRESS_KINDS: Final = {
    "share": ProgressKind.PROGRESS,
    "short": ProgressKind.SPILLING,
    "held": ProgressKind.WAITING,
}
OUTCOMES: Final = {
    frames.REFUSED: OutcomeCode.FULL,
    frames.ERROR: OutcomeCode.ERROR,
    # The attempt was sent, but the engine declined it because its request had already ended. It still
    # counts as `NOT_SENT`: nothing ran, and the engine is not at fault
    frames.STALE: OutcomeCode.NOT_SENT,
}
MAX_NUMBER_DIGITS: Final = 9
MAX_PROGRESS_LEVEL: Final = 1e12


class ResponseActions(Protocol):
    """The commands of the response handler to its connection."""

    def write(self, data: bytes) -> None:
        """Send a line to the engine."""

    def finish(self, client_request_id: str, outcome: OutcomeCode) -> None:
        """End an attempt with this outcome."""

    def fail_malformed(self, client_request_id: str) -> None:
        """End an attempt whose result is invalid or overdue, and retire the connection."""


class ResponseHandler:
    """Decodes the bytes of a connection and applies the frames to its attempts.

    Ignores frames of attempts that are no longer in flight, duplicates, and frames that the state of the
    attempt does not allow. An invalid result ends its attempt as an error.
    """

    def __init__(
        self, attempts: AttemptTable, liveness: ConnectionLiveness, connection: ResponseActions
    ) -> None:
        """Handle the frames of one connection; `connection` carries out the commands of this handler."""
        self.attempts = attempts
        self.liveness = liveness
        self.connection = connection
        self.decoder = frames.FrameDecoder()

    def receive(self, data: bytes, now: float) -> None:
        """Apply bytes that were read at loop time `now`.

        Raises FrameError if the bytes are not valid frames or an incomplete frame is overdue. The connection
        must then be closed.
        """
        self.liveness.on_bytes(now, self.decoder.partial)
        received = self.decoder.feed(data)
        for frame in received:
            self._handle(frame)
        if received:
            self.liveness.on_frame()
        self._end_overdue_responses()

    def _handle(self, frame: frames.Frame) -> None:
        entry = self.attempts.open.get(frame.client_request_id)
        if entry is None:
            return  # a late response to an attempt that has ended
        if frame.kind == frames.PROGRESS:
            self._on_progress(entry.attempt, frame)
        elif frame.kind == frames.OK:
            if not entry.has_response:
                self._on_first_page(entry, frame)
        elif frame.kind == frames.PAGE:
            if entry.has_response:
                self._on_further_page(entry, frame)
        elif frame.kind in OUTCOMES:
            outcome = OutcomeCode.ERROR if entry.has_response else OUTCOMES[frame.kind]
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
        self.attempts.note_response(entry, self.liveness.last_received_at)
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
            self.connection.write(b"".join(fetches))
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
        entry.add_page(number, frame.data, self.liveness.last_received_at)
        if entry.has_all_pages:
            self._on_all_pages(entry)

    def _on_all_pages(self, entry: OpenAttempt) -> None:
        if entry.page_count > 1:
            self.connection.write(frames.encode_end(entry.client_request_id))
        if entry.is_too_large:
            self.connection.fail_malformed(entry.client_request_id)
            return
        for page_number in range(entry.page_count):
            entry.attempt.on_page(entry.pages[page_number])
        self.connection.finish(entry.client_request_id, OutcomeCode.OK)

    def _end_overdue_responses(self) -> None:
        """End attempts whose response is overdue; raises FrameError if an incomplete frame is overdue."""
        latest_start = self.liveness.latest_response_start
        if self.attempts.responding:
            for client_request_id, entry in list(self.attempts.open.items()):
                if entry.has_response and entry.response_started_at <= latest_start:
                    self.connection.fail_malformed(client_request_id)
        if self.decoder.partial and self.liveness.last_frame_end_at <= latest_start:
            raise frames.FrameError("incomplete frame is overdue")


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
