"""The scheduler: decides which query goes to which engine, when and on what terms, and which are rejected.

It turns events into actions (types in `query_gateway/model`; times are nanoseconds). For each batch:

    1. the fleet snapshot is refreshed if its period has passed
    2. the events are handled: the endpoint list first, then outcomes and notes, requests, the review timer
    3. the controller steps the lag ratio if its period has passed
    4. queued queries are released to engines with capacity, or given up

The algorithm is that of UNIT (sections 2.3, 3.2 and 3.3 of "UNIT: User-centric Transaction Management in
Web-Database Systems"): queued queries run by earliest deadline; a query is admitted if
`lag ratio * earliest start + mean run time` is before its due time, and if it makes no more priority weight
late than its own. `docs/decisions.md` lists all decisions in the order in which a request passes through
them.
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
STALL_NS: Final = 500 * MS  # gap between two batches, with a timer set, above which this process was stalled
WATCH_BACKOFF_NS: Final = 1 * SEC  # from a failed watch of the endpoint list to the next
# Work per thread assumed for a query of a class without samples, as a share of the client timeout
PRIOR_WORK: Final = 1 / 12


@dataclass(slots=True, frozen=True)
class EventHandler:
    """Handler of an event type; events of a batch are handled in ascending order of stage."""

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
    """Handle an event that affects no decision."""


HANDLERS: Final[dict[type, EventHandler]] = {
    ev.EndpointUpdate: EventHandler(0, _update_endpoints),
    ev.AttemptOutcome: EventHandler(1, attempts.record_outcome),
    ev.ProgressNote: EventHandler(1, attempts.record_progress),
    ev.GossipMessage: EventHandler(1, SchedulerState.record_gossip),
    ev.Request: EventHandler(2, admission.handle_request),
    ev.RequestAbandoned: EventHandler(2, answers.handle_abandonment),
    ev.SettingsUpdate: EventHandler(2, SchedulerState.update_settings),
    ev.TimerFired: EventHandler(3, _review_attempts),
}
IGNORED: Final = EventHandler(1, _ignore)


def _handler_for(event: ev.Event) -> EventHandler:
    return HANDLERS.get(type(event), IGNORED)


class Scheduler:
    """The scheduler of one gateway."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Start without engines and queries. Raises ValueError if the settings are invalid."""
        settings.check()
        self.state = SchedulerState(settings, Random(seed), PRIOR_WORK)

    def handle(self, now: int, events: list[ev.Event]) -> list[Action]:
        """Handle the events received by the clock time `now`; return the actions in their order."""
        state = self.state
        state.actions = []
        state.started_at = state.started_at or now
        # During a stall of this process, answers and endpoint updates accumulate unread. A review before they
        # are handled, or one that counts the stall as idle time, would eject healthy engines as unresponsive,
        # so the timer's review is skipped in this batch.
        state.timer.stalled, state.now = state.timer.armed and now - state.now > STALL_NS, now
        refresh_fleet_snapshot(state)
        for event in sorted(events, key=lambda event: _handler_for(event).stage):
            _handler_for(event).handle(state, event)
        self._watch_endpoints()
        controller.adjust_lag_ratio(state)
        release.release_queued(state)
        self._arm_timer()
        return state.actions

    def _watch_endpoints(self) -> None:
        """Start a watch of the endpoint list if none is active, where the site polls the list."""
        state = self.state
        if state.settings.polls_endpoint_list and state.watch.begin(state.now):
            state.actions.append(WatchEndpoints(True))

    def _arm_timer(self) -> None:
        """Set the timer while a query is open or the watch has to be restarted."""
        state = self.state
        needs_watch = state.settings.polls_endpoint_list and not state.watch.active
        if (state.queries or needs_watch) and not state.timer.armed:
            state.timer.armed = True
            state.actions.append(SetTimer(TIMER_PERIOD_NS, 0))

    def ejected_endpoints(self, now: int) -> tuple[str, ...]:
        """Names of the engines that are up but ejected at the clock time `now`."""
        up = self.state.fleet.snapshot.up
        return tuple(engine.info.name for engine in up if engine.is_ejected(now))
