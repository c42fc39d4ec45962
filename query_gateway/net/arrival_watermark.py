"""The arrival watermark: the time before which every client request that arrived has been read.

A request arrives when the kernel receives it, but this process learns of it only after accepting its
connection and reading its bytes, and epoll reports sockets in no particular order. Requests that arrived
before the watermark can be put in arrival order, because no earlier one is still unread. The watermark
advances only while the forwarder holds requests for this order (`is_awaited`):

    turn N      polls at time p and accepts until the backlog is empty: connections from before p are accepted
    turn N + 1  reads every readable connection until nothing is left: the watermark becomes p

A turn that could not accept or read everything that was pending does not advance the watermark.
"""


class ArrivalWatermark:
    """Tracks what a loop turn left unaccepted, unread or undecoded. Times are loop times in seconds."""

    def __init__(self, now: float) -> None:
        """Start the watermark at `now`."""
        # Whether a request waits for the watermark; while set, every readable connection is read until
        # nothing is left
        self.is_awaited = False
        self.backlogged: set[object] = set()  # listeners with connections that could not be accepted
        self._read_through = self._accepted_through = now
        self._undecoded: dict[object, float] = {}  # arrival times of requests that are read but not decoded
        # Poll time of this turn; None if the watermark was not awaited when the turn began, or the turn was
        # marked incomplete
        self._complete_turn_polled_at: float | None = None

    @property
    def read_through(self) -> float:
        """The watermark: every request that arrived before it is decoded, and accepted or answered."""
        return min(self._read_through, *self._undecoded.values()) if self._undecoded else self._read_through

    @property
    def is_blocked(self) -> bool:
        """Whether the watermark can advance only after a listener accepts again or a request is decoded."""
        is_behind_undecoded = bool(self._undecoded) and min(self._undecoded.values()) <= self._read_through
        return bool(self.backlogged) or is_behind_undecoded

    def hold(self, request: object, arrived_at: float) -> None:
        """Keep the watermark from passing `arrived_at` until `release`, as the request is not decoded yet."""
        self._undecoded[request] = arrived_at

    def release(self, request: object) -> None:
        """Stop holding a request that was accepted or answered; no effect if it is not held."""
        self._undecoded.pop(request, None)

    def begin_turn(self, polled_at: float) -> None:
        """Record that the loop is about to poll."""
        self._complete_turn_polled_at = polled_at if self.is_awaited else None

    def mark_turn_incomplete(self) -> None:
        """Record that something pending was not read, so that this turn does not advance the watermark."""
        self._complete_turn_polled_at = None

    def end_turn(self) -> None:
        """Advance the watermark, unless the turn was marked incomplete."""
        if self._complete_turn_polled_at is None:
            return
        self._read_through = max(self._read_through, self._accepted_through)
        if not self.backlogged:
            self._accepted_through = self._complete_turn_polled_at
