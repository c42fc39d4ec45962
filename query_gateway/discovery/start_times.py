"""When engines started, on the gateway's own clock.

The list tells starts as times of the wall clock. Ours may have been stepped, by seconds or by an hour, while
this process runs or before it began. An engine that seems older than it is would get more than it can bear,
so where the wall clock may be wrong, the youngest age that is plausible counts.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from query_gateway.forwarder.messages import Endpoint

NANOSECONDS_PER_SECOND = 1_000_000_000
# An age so much longer than any step of a wall clock is long, whatever steps there were
SURELY_LONG_NS = (3_600 + 300) * NANOSECONDS_PER_SECOND
# How long after its start an engine may come on the list
MAX_LISTING_DELAY_NS = 10 * NANOSECONDS_PER_SECOND
# By which the clocks of two machines may differ without a step
CLOCK_SKEW_NS = NANOSECONDS_PER_SECOND
MAX_REMEMBERED = 8_192  # engines


@dataclass(slots=True, frozen=True)
class KnownStart:
    """A start as it was listed, and what it is on our clock. Both are nanoseconds."""

    listed_at: int
    started_at: int


class StartTimes:
    """Translates the starts of one list; each start is translated once and stays as it is."""

    def __init__(self, clock: Callable[[], int], wall_clock_offset: Callable[[], int]) -> None:
        """`clock` is ours, in nanoseconds; `wall_clock_offset`: what the wall clock is ahead of it now."""
        self._clock, self._wall_clock_offset = clock, wall_clock_offset
        self._first_offset = wall_clock_offset()
        self._known: dict[str, KnownStart] = {}  # by engine, the one first seen longest ago first

    def translate(self, endpoints: Iterable[Endpoint], followed_until: int | None) -> list[Endpoint]:
        """The endpoints with their starts on our clock.

        `followed_until`: when the list was last known to be complete, where these endpoints have changed
        since; None for a snapshot.
        """
        endpoints = list(endpoints)
        newest = max((endpoint.info.started_at for endpoint in endpoints), default=0)
        return [self._translate_one(endpoint, newest, followed_until) for endpoint in endpoints]

    def _translate_one(self, endpoint: Endpoint, newest: int, followed_until: int | None) -> Endpoint:
        name, listed_at = endpoint.info.name, endpoint.info.started_at
        if not listed_at:
            return endpoint
        known = self._known.get(name)
        if known is None or known.listed_at != listed_at:
            known = KnownStart(listed_at, self._started_at(listed_at, newest, followed_until))
            self._remember(name, known)
        return replace(endpoint, info=replace(endpoint.info, started_at=known.started_at))

    def _remember(self, name: str, known: KnownStart) -> None:
        self._known[name] = known
        if len(self._known) > MAX_REMEMBERED:
            del self._known[next(iter(self._known))]

    def _started_at(self, listed_at: int, newest: int, followed_until: int | None) -> int:
        now = self._clock()
        readings = {listed_at - self._wall_clock_offset(), listed_at - self._first_offset}
        # A start in the future shows that the wall clock is behind
        plausible = [reading for reading in readings if reading <= now + CLOCK_SKEW_NS]
        started_at = min(now, max(plausible, default=now))
        if followed_until is not None:
            return max(started_at, followed_until - MAX_LISTING_DELAY_NS)
        if now - started_at > SURELY_LONG_NS:
            return started_at
        # In a snapshot nothing bounds its age but what started after it
        return max(started_at, now - (newest - listed_at))
