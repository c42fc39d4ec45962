"""Whether an engine's connection is still of use, judged by when bytes and complete responses came on it.

Inputs  when bytes came last, when the last frame was complete, the attempts in flight and their pages
Answer  until when the next byte must come (`deadline`), and how old an incomplete response may be
Reason  an engine that hangs keeps its connections open, so that nothing but silence shows the fault
"""

from typing import Final

from query_gateway.engine_protocol.attempt_table import AttemptTable

# Progress intervals without a byte, though an attempt is in flight: first nothing new is sent, then the
# connection ends
SUSPECT_INTERVALS: Final = 1.2
UNRESPONSIVE_INTERVALS: Final = 1.6
STALL_TIMEOUT_SECONDS = 0.3  # without a byte within a response, or while a page is due
RESPONSE_TIMEOUT_SECONDS = 2.0  # until a response that began is complete, whatever else comes meanwhile


class ConnectionLiveness:
    """When something came on a connection. Times are loop times in seconds."""

    def __init__(self, now: float) -> None:
        """Begin as if bytes had come now."""
        self.last_received_at = now
        self.last_frame_end_at = now  # when no response was incomplete, or one was completed

    def on_bytes(self, now: float, within_frame: bool) -> None:
        """Bytes have come; `within_frame`: behind the beginning of a response."""
        self.last_received_at = now
        if not within_frame:
            self.last_frame_end_at = now

    def on_frame(self) -> None:
        """A response was completed by the bytes that came last."""
        self.last_frame_end_at = self.last_received_at

    def deadline(self, attempts: AttemptTable, within_frame: bool, progress_wait: float) -> float | None:
        """Until when a byte must come; None if none is due.

        Finds a connection that stays open and is of no use: within a response, or with a page due, bytes
        follow each other closely, and while an attempt is in flight the engine reports its progress.
        `progress_wait`: seconds after which a report is missed, 0 where engines report nothing.
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
        """A response that began by then and is not complete has taken too long.

        As long as bytes keep coming no `deadline` passes, so a response without an end needs this bound.
        """
        return self.last_received_at - RESPONSE_TIMEOUT_SECONDS
