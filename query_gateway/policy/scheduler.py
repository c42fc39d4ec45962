"""The scheduler: which query goes to which engine, when, on what terms, or is rejected.

Events in, actions out; types: `query_gateway/model`; times are nanoseconds. For each batch of events:

    1. the fleet snapshot is refreshed if that is due
    2. the events are taken in: the endpoint list first, then outcomes and notes, requests, the review timer
    3. the controller steps the lag ratio if that is due
    4. queued queries are released to engines with capacity, or given up

The algorithm is that of UNIT (sections 2.3, 3.2 and 3.3 of "UNIT: User-centric Transaction Management in
Web-Database Systems"): queued queries leave by earliest deadline; a query is admitted if
`lag ratio * earliest start + mean run time` is before it is due, and if it makes no more weight late than its
own. All decisions in the order of a request's way: `docs/decisions.md`.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, Final

from query_gateway.model import events as ev
from query_gateway.model.actions import Action, SetTimer, WatchEndpoints
from query_gateway.model.endpoints import EndpointUpdateKind
from query_gateway.model.settings import Settings
from query_gateway.model.state import SchedulerState
from query_gateway.model.units import MS, SEC
from query_gateway.policy import (
    admission,
    answers,
    attempts,
    controller,
    progress_review,
    release,
)
from query_gateway.policy.fleet_snapshot import refresh_fleet_snapshot

TIMER_PERIOD_NS: Final = 100 * MS  # how often attempts in flight are reviewed
STALL_NS: Final = 500 * MS  # a batch so much later than the one before it shows a stall of this process
WATCH_BACKOFF_NS: Final = 1 * SEC  # until the endpoint list is watched again after a failure
PRIOR_WORK: Final = 1 / 12  # share of the client timeout, for each thread, taken as work before any sample


@dataclass(slots=True, frozen=True)
class EventHandler:
    """What an event leads to, and its place among the events of a batch: lower ones come first."""

    stage: int
    handle: Callable[[SchedulerState, Any], None]


def _update_endpoints(state: SchedulerState, update: ev.EndpointUpdate) -> None:
    if update.kind is EndpointUpdateKind.FAILED:
        state.watch.fail(state.now + WATCH_BACKOFF_NS)
    else:
        state.update_endpoints(update)
        refresh_fleet_snapshot(state, force=True)


def _review_attempts(state: SchedulerState, _: ev.TimerFired) -> None:
    state.timer.armed = False
    if not state.timer.stalled:
        progress_review.review_attempts(state)


def _ignore(state: SchedulerState, event: Any) -> None:
    """Take an event in that decides nothing."""


HANDLERS: Final[dict[type, EventHandler]] = {
    ev.EndpointUpdate: EventHandler(0, _update_endpoints),
    ev.AttemptOutcome: EventHandler(1, attempts.record_outcome),
    ev.ProgressNote: EventHandler(1, attempts.record_progress),
    ev.GossipMessage: EventHandler(1, SchedulerState.record_gossip),
    ev.Request: EventHandler(2, admission.arrive),
    ev.RequestAbandoned: EventHandler(2, answers.abandon),
    ev.SettingsUpdate: EventHandler(2, SchedulerState.update_settings),
    ev.TimerFired: EventHandler(3, _review_attempts),
}
IGNORED: Final = EventHandler(1, _ignore)


def _handler(event: ev.Event) -> EventHandler:
    return HANDLERS.get(type(event), IGNORED)


class Scheduler:
    """The decision module of one gateway: events in, actions out."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Begin with no engine and no query. Raises ValueError where the settings contradict themselves."""
        settings.check()
        self.state = SchedulerState(settings, Random(seed), PRIOR_WORK)

    def handle(self, now: int, events: list[ev.Event]) -> list[Action]:
        """Take in what has come by the clock time `now`; return what is to be done, in this order."""
        state = self.state
        state.actions = []
        state.started_at = state.started_at or now
        # While this process did not run, answers and list changes piled up unread. Reviewed before they are
        # taken in, or by the time that passed, healthy engines would look unresponsive and be ejected.
        state.timer.stalled, state.now = state.timer.armed and now - state.now > STALL_NS, now
        refresh_fleet_snapshot(state)
        for event in sorted(events, key=lambda event: _handler(event).stage):
            _handler(event).handle(state, event)
        self._watch_endpoints()
        controller.adjust_lag_ratio(state)
        release.release_queued(state)
        self._arm_timer()
        return state.actions

    def _watch_endpoints(self) -> None:
        """Watch the endpoint list where the site has it polled."""
        state = self.state
        if state.settings.polls_endpoint_list and state.watch.begin(state.now):
            state.actions.append(WatchEndpoints(True))

    def _arm_timer(self) -> None:
        """Set the timer while a query is open or the watch must begin again."""
        state = self.state
        needs_watch = state.settings.polls_endpoint_list and not state.watch.active
        if (state.queries or needs_watch) and not state.timer.armed:
            state.timer.armed = True
            state.actions.append(SetTimer(TIMER_PERIOD_NS, 0))

    def ejected_endpoints(self, now: int) -> tuple[str, ...]:
        """Names of the engines that are up but ejected at the clock time `now`."""
        up = self.state.fleet.snapshot.up
        return tuple(engine.info.name for engine in up if engine.is_ejected(now))
