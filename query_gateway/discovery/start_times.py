"""When engines started, on the gateway's steady clock.

The endpoint list states starts as wall-clock times. The wall clock of this machine may have been stepped, by
seconds or by an hour, while this process runs or before it began. An engine in slow start that is taken for
an older one is sent more requests than it can bear. So where the wall clock may be wrong, the youngest
plausible age is used: an engine taken for a younger one is merely sent less for a while.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from query_gateway.forwarder.messages import Endpoint
from query_gateway.model.units import SEC

# The longest step of a wall clock, an hour, with a margin: an engine whose age is above that is past its slow
# start, however the clock was stepped
MAX_CLOCK_STEP_NS = (3_600 + 300) * SEC
MAX_LISTING_DELAY_NS = 10 * SEC  # from an engine's start until the list names it
CLOCK_SKEW_NS = SEC  # by which the clocks of two machines may differ without a step
MAX_ENGINES = 8_192  # whose starts are kept


@dataclass(slots=True, frozen=True)
class TranslatedStart:
    """The start of an engine on both clocks, in nanoseconds."""

    listed_at: int  # wall clock, as the endpoint list states it
    started_at: int  # steady clock


class StartTimes:
    """Translates the starts of one endpoint list; each start is translated once and then kept.

    A start that was translated again after a step of the wall clock would move, and with it the slow start.
    """

    def __init__(self, clock: Callable[[], int], wall_clock_offset: Callable[[], int]) -> None:
        """`clock` is the steady clock; `wall_clock_offset`: by how much the wall clock is ahead of it now.

        Both are in nanoseconds.
        """
        self._clock, self._wall_clock_offset = clock, wall_clock_offset
        self._first_offset = wall_clock_offset()
        self._starts: dict[str, TranslatedStart] = {}  # by engine, those listed first at the front

    def translate(self, endpoints: Iterable[Endpoint], complete_at: int | None) -> list[Endpoint]:
        """The endpoints with their starts on the steady clock.

        `complete_at`: clock time at which the list was last complete, where these endpoints have changed
        since; None for a snapshot.
        """
        endpoints = list(endpoints)
        latest_start = max((endpoint.info.started_at for endpoint in endpoints), default=0)
        return [self._translate_one(endpoint, latest_start, complete_at) for endpoint in endpoints]

    def _translate_one(self, endpoint: Endpoint, latest_start: int, complete_at: int | None) -> Endpoint:
        name, listed_at = endpoint.info.name, endpoint.info.started_at
        if not listed_at:
            return endpoint
        start = self._starts.get(name)
        if start is None or start.listed_at != listed_at:
            start = TranslatedStart(listed_at, self._started_at(listed_at, latest_start, complete_at))
            self._keep(name, start)
        return replace(endpoint, info=replace(endpoint.info, started_at=start.started_at))

    def _keep(self, name: str, start: TranslatedStart) -> None:
        self._starts[name] = start
        if len(self._starts) > MAX_ENGINES:
            del self._starts[next(iter(self._starts))]

    def _started_at(self, listed_at: int, latest_start: int, complete_at: int | None) -> int:
        """The latest plausible start on the steady clock."""
        now = self._clock()
        by_offset_now = listed_at - self._wall_clock_offset()
        by_first_offset = listed_at - self._first_offset
        # A start in the future shows that the wall clock was behind when its offset was read
        plausible = [start for start in (by_offset_now, by_first_offset) if start <= now + CLOCK_SKEW_NS]
        started_at = min(now, max(plausible, default=now))
        if complete_at is not None:
            # The engine was not on the list then, so it cannot have started long before
            return max(started_at, complete_at - MAX_LISTING_DELAY_NS)
        if now - started_at > MAX_CLOCK_STEP_NS:
            return started_at
        # A snapshot bounds an engine's age only by the engines that started after it
        return max(started_at, now - (latest_start - listed_at))
