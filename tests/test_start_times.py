"""Start times of engines on the steady clock, with a wall clock that is wrong or is stepped."""

import pytest

from query_gateway.discovery.start_times import StartTimes
from query_gateway.forwarder.messages import Endpoint
from query_gateway.model.endpoints import EndpointInfo, EndpointState

SEC = 10**9
HOUR = 3_600 * SEC
CORRECT_OFFSET = 5 * 10**17  # nanoseconds by which a correct wall clock is ahead of the steady clock


class Clocks:
    """A steady clock, and a wall clock that is wrong by `error` nanoseconds."""

    def __init__(self, error: int = 0) -> None:
        self.now, self.error = 10**18, error

    def start_times(self) -> StartTimes:
        return StartTimes(lambda: self.now, lambda: CORRECT_OFFSET + self.error)

    def endpoint(self, name: str, age: int) -> Endpoint:
        """The endpoint list entry of an engine that started `age` nanoseconds ago."""
        started_at = self.now + CORRECT_OFFSET - age
        return Endpoint(EndpointInfo(name, EndpointState.UP, 0, 0, 0, started_at, 1.0), {})


def ages(clocks: Clocks, endpoints: list[Endpoint]) -> list[int]:
    return [clocks.now - endpoint.info.started_at for endpoint in endpoints]


@pytest.mark.parametrize("step", [0, HOUR, -HOUR, 5 * SEC, -5 * SEC])
def test_start_told_after_a_step_is_placed_by_the_clock_that_was_right(step: int) -> None:
    """If the wall clock was stepped ahead, an engine in slow start would seem older and be overloaded.

    Its age is computed with the offset of the wall clock at the start of the process and with the current
    one. The lower age counts; a start in the future is discarded.
    """
    clocks = Clocks()
    start_times = clocks.start_times()
    clocks.now += 60 * SEC
    clocks.error = step
    [age] = ages(clocks, start_times.translate([clocks.endpoint("e", 3 * SEC)], clocks.now - SEC))
    assert age <= 3 * SEC
    assert age == 3 * SEC or abs(step) < HOUR


@pytest.mark.parametrize("error", [HOUR, -HOUR])
def test_start_told_to_a_process_whose_clock_was_wrong_from_its_start_is_recent(error: int) -> None:
    """With a wall clock an hour ahead from the start of the process, an engine would skip its slow start.

    The engine was missing from a list that was complete 2 s ago, so its age is at most these 2 s and
    `MAX_LISTING_DELAY_NS` (10 s).
    """
    clocks = Clocks(error)
    start_times = clocks.start_times()
    clocks.now += 60 * SEC
    [age] = ages(clocks, start_times.translate([clocks.endpoint("e", 3 * SEC)], clocks.now - 2 * SEC))
    assert 0 <= age <= 12 * SEC


def test_a_snapshot_bounds_ages_by_what_started_later() -> None:
    """A gateway with a wrong wall clock gets its first list, so no earlier list bounds the ages.

    The engine that started last counts as started now, and each other one as started earlier by the
    difference of their listed starts.
    """
    clocks = Clocks(HOUR)
    listed = [clocks.endpoint("new", 3 * SEC), clocks.endpoint("older", 40 * SEC)]
    assert ages(clocks, clocks.start_times().translate(listed, None)) == [0, 37 * SEC]


def test_a_start_longer_ago_than_any_step_is_taken_as_listed() -> None:
    """Engines of a first list that started hours ago must not count as in slow start and be sent too little.

    With an age above the longest expected clock step (`MAX_CLOCK_STEP_NS`), an engine is past slow start in
    any case, and its start is taken as listed.
    """
    clocks = Clocks()
    listed = [clocks.endpoint("old", 2 * HOUR), clocks.endpoint("older", 3 * HOUR)]
    assert ages(clocks, clocks.start_times().translate(listed, None)) == [2 * HOUR, 3 * HOUR]


def test_a_start_stays_where_it_was_placed_first() -> None:
    """After a step of the wall clock, converting a start again would restart slow start or end it too early.

    The first result is stored and used as long as the listed start is the same.
    """
    clocks = Clocks()
    start_times = clocks.start_times()
    endpoint = clocks.endpoint("e", 3 * SEC)
    first = start_times.translate([endpoint], None)
    clocks.now, clocks.error = clocks.now + 30 * SEC, -HOUR
    assert start_times.translate([endpoint], clocks.now) == first


def test_an_unknown_start_stays_unknown() -> None:
    """A start of 0 means unknown; translated like a time, it would become an ordinary start."""
    endpoint = Endpoint(EndpointInfo("e", EndpointState.UP, 0, 0, 0, 0, 1.0), {})
    assert Clocks().start_times().translate([endpoint], None) == [endpoint]
