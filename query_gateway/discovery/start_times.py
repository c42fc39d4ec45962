"""Converts the start times of engines to the steady clock.

The endpoint list contains start times as wall-clock times. The wall clock of this host may be stepped, by
seconds or by an hour, while this process runs or before it starts. If an engine in slow start is assumed to
be older than it is, it is sent more requests than it can handle; if it is assumed to be younger, it is only
sent fewer for a while. Where the wall clock may be wrong, the lowest plausible age is therefore used.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from query_gateway.forwarder.messages import Endpoint
from query_gateway.model.units import SEC

# The longest expected step of a wall clock, one hour, and a margin of 300 s. An engine with a higher age has
# finished its slow start, whatever the step
MAX_CLOCK_STEP_NS = (3_600 + 300) * SEC
MAX_LISTING_DELAY_NS = 10 * SEC  # from the start of an engine until it is in the list
CLOCK_SKEW_NS = SEC  # by which the wall clocks of two hosts may differ without a step
MAX_ENGINES = 8_192  # limit of the stored start times


@dataclass(slots=True, frozen=True)
class TranslatedStart:
    """The start time of an engine on both clocks, in nanoseconds."""

    listed_start: int  # wall clock, from the endpoint list
    started_at: int  # steady clock


class StartTimes:
    """Converts the start times of one endpoint list; converts each start once and stores the result.

    A second conversion after a step of the wall clock would move the start time, and with it the slow start.
    """

    def __init__(self, clock: Callable[[], int], wall_clock_offset: Callable[[], int]) -> None:
        """`clock` returns the steady time, `wall_clock_offset` how far the wall clock is ahead of it now.

        Both are in nanoseconds.
        """
        self._clock, self._wall_clock_offset = clock, wall_clock_offset
        self._first_offset = wall_clock_offset()
        self._starts: dict[str, TranslatedStart] = {}  # by engine name, in insertion order

    def translate(self, endpoints: Iterable[Endpoint], complete_at: int | None) -> list[Endpoint]:
        """The endpoints with their start times converted to the steady clock.

        `complete_at`: clock time at which the list was last known to be complete, if the endpoints are the
        changes since; None for a snapshot, or if events were missing.
        """
        endpoints = list(endpoints)
        latest_start = max((endpoint.info.started_at for endpoint in endpoints), default=0)
        return [self._translate_one(endpoint, latest_start, complete_at) for endpoint in endpoints]

    def _translate_one(self, endpoint: Endpoint, latest_start: int, complete_at: int | None) -> Endpoint:
        name, listed_start = endpoint.info.name, endpoint.info.started_at
        if not listed_start:
            return endpoint
        start = self._starts.get(name)
        if start is None or start.listed_start != listed_start:
            start = TranslatedStart(listed_start, self._started_at(listed_start, latest_start, complete_at))
            self._store(name, start)
        return replace(endpoint, info=replace(endpoint.info, started_at=start.started_at))

    def _store(self, name: str, start: TranslatedStart) -> None:
        self._starts[name] = start
        if len(self._starts) > MAX_ENGINES:
            del self._starts[next(iter(self._starts))]

    def _started_at(self, listed_start: int, latest_start: int, complete_at: int | None) -> int:
        """The latest plausible start time on the steady clock."""
        now = self._clock()
        by_current_offset = listed_start - self._wall_clock_offset()
        by_first_offset = listed_start - self._first_offset
        # A start time in the future shows that the wall clock was slow when its offset was read
        plausible = [start for start in (by_current_offset, by_first_offset) if start <= now + CLOCK_SKEW_NS]
        started_at = min(now, max(plausible, default=now))
        if complete_at is not None:
            # This start was not in the list at `complete_at`, so it cannot have been long before that time
            return max(started_at, complete_at - MAX_LISTING_DELAY_NS)
        if now - started_at > MAX_CLOCK_STEP_NS:
            return started_at
        # The wall clock may be wrong, but differences between listed start times hold: the newest engine may
        # have started just now, and this one started `latest_start - listed_start` earlier
        return max(started_at, now - (latest_start - listed_start))
