"""Liveness of an engine connection, based on the arrival times of bytes and complete responses.

Input:      the times of the last byte and of the last complete frame, the attempts in flight and their pages
Result:     the time by which the next byte must arrive (`deadline`), and the maximum age of an incomplete
            response (`latest_response_start`)
Rationale:  an engine that hangs keeps its connections open, so only the absence of data reveals the fault
"""

from typing import Final

from query_gateway.engine_protocol.attempt_table import AttemptTable

# Progress intervals without a byte while an attempt is in flight: after the first number the connection gets
# no new attempts, after the second it is closed
SUSPECT_INTERVALS: Final = 1.2
UNRESPONSIVE_INTERVALS: Final = 1.6
STALL_TIMEOUT_SECONDS = 0.3  # without a byte within a frame, or while a page is expected
RESPONSE_TIMEOUT_SECONDS = 2.0  # from the start of a response to its end, even if bytes keep arriving


class ConnectionLiveness:
    """The arrival times of data on a connection. Times are loop times in seconds."""

    def __init__(self, now: float) -> None:
        """Start as if bytes had arrived at `now`."""
        self.last_received_at = now
        # When the last frame was completed, or later, when the first bytes of the next one arrived
        self.last_frame_end_at = now

    def on_bytes(self, now: float, within_frame: bool) -> None:
        """Record that bytes have arrived; `within_frame`: they continue a frame that earlier bytes began."""
        self.last_received_at = now
        if not within_frame:
            self.last_frame_end_at = now

    def on_frame(self) -> None:
        """Record that the bytes that arrived last have completed a frame."""
        self.last_frame_end_at = self.last_received_at

    def deadline(self, attempts: AttemptTable, within_frame: bool, progress_wait: float) -> float | None:
        """The time by which the next byte must arrive, None if none is expected.

        Detects a connection that is open but no longer works: within a frame, or while a page is expected,
        bytes follow each other closely, and while an attempt is in flight the engine sends progress notes.
        `progress_wait` is the time in seconds after which a progress note is overdue, 0 if engines send none.
        """
        if within_frame:
            return self.last_received_at + STALL_TIMEOUT_SECONDS
        deadlines: list[float] = []
        if attempts.responding:
            oldest_page_at = min(entry.last_page_at for entry in attempts.responding.values())
            deadlines.append(max(self.last_received_at, oldest_page_at) + STALL_TIMEOUT_SECONDS)
        if attempts.open and progress_wait:
            oldest = next(iter(attempts.open.values()))
            deadlines.append(max(self.last_received_at, oldest.assigned_at) + progress_wait)
        return min(deadlines, default=None)

    @property
    def latest_response_start(self) -> float:
        """Incomplete responses that started at or before this time are overdue.

        While bytes keep arriving `deadline` never passes, so a response that does not end needs this bound.
        """
        return self.last_received_at - RESPONSE_TIMEOUT_SECONDS
