"""Up to which time of arrival this process has read all that clients have sent.

A client's request counts from when the machine has it, but is known here only once its connection was
accepted and its bytes were read, and the machine reports sockets in any order. The watermark says which
requests may be put in order: no request that came before it is still unread. It moves while it is awaited.

    turn N      polls at p, and accepts until nobody waits     connections that came before p are all accepted
    turn N + 1  reads them and all others until nothing is left    the watermark is p

A turn that could not accept or read all that was there proves nothing: then the watermark stays.
"""


class ArrivalWatermark:
    """Collects what a turn of the loop could not take in. Times are loop times in seconds."""

    def __init__(self, now: float) -> None:
        """Nothing that came after `now` is known to have been read."""
        self.is_awaited = False  # every readable connection is then read until nothing is left
        self.backlogged: set[object] = set()  # listeners with connections that could not be accepted
        self._read_through = self._accepted_through = now
        self._parsing: dict[object, float] = {}  # requests that are decoded elsewhere: when they came
        self._turn_began_at: float | None = None  # of a turn that was awaited from its begin

    @property
    def read_through(self) -> float:
        """Every request that came before is known, decoded and accepted or answered."""
        return min(self._read_through, *self._parsing.values()) if self._parsing else self._read_through

    @property
    def is_blocked(self) -> bool:
        """Whether it cannot move before an event: a listener that accepts again, or the end of a parse."""
        is_behind_a_parse = bool(self._parsing) and min(self._parsing.values()) <= self._read_through
        return bool(self.backlogged) or is_behind_a_parse

    def hold(self, request: object, arrived_at: float) -> None:
        """A request that came then is read and not yet decoded; it stays ahead until `release`."""
        self._parsing[request] = arrived_at

    def release(self, request: object) -> None:
        """The request was passed on or answered; harmless if it was not held."""
        self._parsing.pop(request, None)

    def begin_turn(self, polled_at: float) -> None:
        """The loop is about to poll."""
        self._turn_began_at = polled_at if self.is_awaited else None

    def mark_turn_incomplete(self) -> None:
        """Something that was there in this turn has not been read."""
        self._turn_began_at = None

    def end_turn(self) -> None:
        """All that was reported in this turn has been read, but for what spoilt it."""
        if self._turn_began_at is None:
            return
        self._read_through = max(self._read_through, self._accepted_through)
        if not self.backlogged:
            self._accepted_through = self._turn_began_at
