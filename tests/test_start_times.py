"""Starts of engines on the gateway's own clock, whatever its wall clock says. Free of sockets."""

import pytest

from query_gateway.discovery.start_times import StartTimes
from query_gateway.forwarder.messages import Endpoint
from query_gateway.model.endpoints import EndpointInfo, EndpointState

SEC = 10**9
HOUR = 3_600 * SEC
TRUE_OFFSET = 5 * 10**17  # of a wall clock that is right


class Clocks:
    """A steady clock, and a wall clock that is wrong by `error`."""

    def __init__(self, error: int = 0) -> None:
        self.now, self.error = 10**18, error

    def times(self) -> StartTimes:
        return StartTimes(lambda: self.now, lambda: TRUE_OFFSET + self.error)

    def engine(self, name: str, age: int) -> Endpoint:
        """An engine that started `age` ago, as the list tells it."""
        started_at = self.now + TRUE_OFFSET - age
        return Endpoint(EndpointInfo(name, EndpointState.UP, 0, 0, 0, started_at, 1.0), {})


def ages(clocks: Clocks, endpoints: list[Endpoint]) -> list[int]:
    return [clocks.now - endpoint.info.started_at for endpoint in endpoints]


@pytest.mark.parametrize("step", [0, HOUR, -HOUR, 5 * SEC, -5 * SEC])
def test_start_told_after_a_step_is_placed_by_the_clock_that_was_right(step: int) -> None:
    """The wall clock is stepped before the list reports that an engine has started.

    By a clock that is ahead, an engine that started just now would look warm and be sent more than it can
    bear. Of the ages by the clock at the process's start and by the present one, the younger counts.
    """
    clocks = Clocks()
    times = clocks.times()
    clocks.now += 60 * SEC
    clocks.error = step
    [age] = ages(clocks, times.translate([clocks.engine("e", 3 * SEC)], clocks.now - SEC))
    assert age <= 3 * SEC
    assert age == 3 * SEC or abs(step) < HOUR


@pytest.mark.parametrize("error", [HOUR, -HOUR])
def test_start_told_to_a_process_whose_clock_was_wrong_from_its_start_is_recent(error: int) -> None:
    """The wall clock was wrong from the start of the process.

    By a clock that was an hour ahead, an engine in slow start had been warm for long. The list was complete
    until shortly before, so the engine cannot have started much earlier than that; the age is bounded by it.
    """
    clocks = Clocks(error)
    times = clocks.times()
    clocks.now += 60 * SEC
    [age] = ages(clocks, times.translate([clocks.engine("e", 3 * SEC)], clocks.now - 2 * SEC))
    assert 0 <= age <= 12 * SEC


def test_a_snapshot_bounds_ages_by_what_started_later() -> None:
    """A gateway starts with a wrong wall clock and gets its first list.

    No earlier list bounds the ages. The engine that started last counts as started now, and the others are
    placed by how much earlier they started.
    """
    clocks = Clocks(HOUR)
    listed = [clocks.engine("new", 3 * SEC), clocks.engine("older", 40 * SEC)]
    assert ages(clocks, clocks.times().translate(listed, None)) == [0, 37 * SEC]


def test_a_start_longer_ago_than_any_step_is_taken_as_listed() -> None:
    """Engines of the first list started hours ago.

    Bounded by the newest of them as after a step, engines that are warm would be sent too little. An age
    beyond any step of a wall clock is long in every case and is taken as listed.
    """
    clocks = Clocks()
    listed = [clocks.engine("old", 2 * HOUR), clocks.engine("older", 3 * HOUR)]
    assert ages(clocks, clocks.times().translate(listed, None)) == [2 * HOUR, 3 * HOUR]


def test_a_start_stays_where_it_was_placed_first() -> None:
    """The wall clock is stepped after an engine's start was translated.

    A second translation would move the start, and slow start would begin anew or end too early. The first
    result is remembered and used as long as the listed start is the same.
    """
    clocks = Clocks()
    times = clocks.times()
    engine = clocks.engine("e", 3 * SEC)
    first = times.translate([engine], None)
    clocks.now, clocks.error = clocks.now + 30 * SEC, -HOUR
    assert times.translate([engine], clocks.now) == first


def test_an_unknown_start_stays_unknown() -> None:
    """The list gives no start for an engine.

    Translated like a time, the 0 that stands for an unknown start would become an ordinary one. The endpoint
    is left as it is.
    """
    endpoint = Endpoint(EndpointInfo("e", EndpointState.UP, 0, 0, 0, 0, 1.0), {})
    assert Clocks().times().translate([endpoint], None) == [endpoint]
