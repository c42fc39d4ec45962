"""The scheduler: which query goes to which engine, when, on what terms, or is rejected.

Types: `query_gateway/model`; times are nanoseconds. UNIT (2.3, 3.2, 3.3): queued queries leave by earliest
deadline; a query is admitted if `lag ratio * earliest start + mean run time` is before it is due, and if it
makes no more weight late than its own; a controller moves the lag ratio. See `docs/design.md`.
"""

from collections.abc import Callable
from random import Random
from typing import Any

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
    fleet_survey,
    progress_review,
    release,
)

TIMER_PERIOD_NS = 100 * MS  # how often attempts in flight are reviewed
STALL_NS = 500 * MS  # a clock so much late was our own stall: silence meanwhile says nothing
WATCH_BACKOFF_NS = 1 * SEC  # until the endpoint list is watched again after a failure
PRIOR_WORK = 1 / 12  # share of the client timeout, for each thread, taken as work before any sample


def _update_endpoints(state: SchedulerState, update: ev.EndpointUpdate) -> None:
    if update.kind is EndpointUpdateKind.FAILED:
        state.watch.fail(state.now + WATCH_BACKOFF_NS)
    else:
        state.update_endpoints(update)
        fleet_survey.survey_fleet(state, force=True)


def _review(state: SchedulerState, _: ev.TimerFired) -> None:
    state.timer_armed = False
    if not state.stalled:
        progress_review.review_attempts(state)


# What each event leads to; what came at once is taken in by the number, the endpoint list first
HANDLERS: dict[type, tuple[int, Callable[[SchedulerState, Any], None]]] = {
    ev.EndpointUpdate: (0, _update_endpoints),
    ev.AttemptOutcome: (1, attempts.record_outcome),
    ev.ProgressNote: (1, attempts.record_note),
    ev.GossipMessage: (1, SchedulerState.record_gossip),
    ev.Request: (2, admission.arrive),
    ev.RequestAbandoned: (2, answers.abandon),
    ev.SettingsUpdate: (2, SchedulerState.update_settings),
    ev.TimerFired: (3, _review),
}
IGNORED = 1, lambda state, event: None  # of events that decide nothing


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
        # Guards against our own stalls: answers and list first, and no engine is blamed for our silence
        state.stalled, state.now = state.timer_armed and now - state.now > STALL_NS, now
        fleet_survey.survey_fleet(state)
        for event in sorted(events, key=lambda event: HANDLERS.get(type(event), IGNORED)[0]):
            HANDLERS.get(type(event), IGNORED)[1](state, event)
        polls = state.settings.polls_endpoint_list
        if polls and state.watch.begin(now):
            state.actions.append(WatchEndpoints(True))
        controller.adjust_lag_ratio(state)
        release.release_queued(state)
        if (state.queries or (polls and not state.watch.active)) and not state.timer_armed:
            state.timer_armed = True
            state.actions.append(SetTimer(TIMER_PERIOD_NS, 0))
        return state.actions

    def ejected_endpoints(self, now: int) -> tuple[str, ...]:
        """Names of the engines that are up but ejected at the clock time `now`."""
        return tuple(engine.info.name for engine in self.state.up if now < engine.ejected_until)
