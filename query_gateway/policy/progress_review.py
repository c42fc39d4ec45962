"""Review of attempts in flight: each runs on, is cancelled to run elsewhere, or is given up."""

import math

from query_gateway.model.actions import EndReason, SetTerms
from query_gateway.model.records import AttemptState, QueryState
from query_gateway.model.state import SchedulerState
from query_gateway.policy import answers, attempts, outliers
from query_gateway.policy.fleet_survey import FLEET_ESTIMATOR
from query_gateway.policy.routing import REMAINING_TIME

LOST_NOTE_PERIODS = 1.6  # periods without a progress note after which an attempt is taken for lost
PRIOR_LOG_SPREAD = 0.7  # of run times: about what cost estimates and slowdown leave
OVERDUE_SPREADS = 1.8  # of the class's log run times past which a silent attempt is restarted, once
RESTART_GAIN = 2.0  # times a fresh run that what remains must exceed before an attempt is restarted
HOPELESS_OVERRUN = 1.3  # predicted end over the limit, from rough notes, that ends an attempt


def review_attempts(state: SchedulerState) -> None:
    """Eject engines that are unresponsive, then review the last attempt of each query."""
    outliers.eject_unresponsive(state)
    for query in [query for query in state.queries.values() if query.in_flight and not query.ended]:
        attempt = query.in_flight[-1]
        if not attempt.cancelled and state.settings.allows_cancellation:
            _review(state, query, attempt)


def _review(state: SchedulerState, query: QueryState, attempt: AttemptState) -> None:
    """By progress, the chance of finishing, and the work wasted."""
    engine = attempt.engine
    remaining = REMAINING_TIME.remaining_time(query, attempt, state.now)
    ejected_since = state.now < engine.ejected_until and attempt.sent_at < engine.probation_since
    engine_failed = ejected_since or not engine.listed
    lost = _is_lost(state, query, attempt)
    overdue = _is_overdue(state, query, attempt)
    slow_plan = attempt.progress > 0 and remaining > RESTART_GAIN * query.run_time
    wrong = query.restarts == 0 and (overdue or slow_plan)
    in_time = attempts.has_time_for_attempt(query, state.now)
    if query.is_idempotent and in_time and (engine_failed or lost or wrong):
        query.restarts += not engine_failed
        answers.cancel_attempt(state, query, attempt)
        return
    limit = query.request.deadline if query.settings.late_weight > 0 else query.due_at
    hopeless = attempt.progress > 0 and remaining > HOPELESS_OVERRUN * (limit - state.now)
    overdue_unseen = overdue and not state.settings.progress_interval
    if query.is_idempotent and (lost or overdue_unseen or hopeless or state.now >= limit):
        answers.give_up(state, query, EndReason.ATTEMPT_LOST)
    elif state.settings.heeds_priorities:
        priority = attempts.priority(state, query)
        if priority != query.priority:
            query.priority = priority
            state.actions.append(SetTerms(query.request.request_id, 0.0, priority))


def _is_lost(state: SchedulerState, query: QueryState, attempt: AttemptState) -> bool:
    """Guards against answers that never come from an engine that answers others: they count no threads."""
    interval = state.settings.progress_interval
    lost = interval > 0 and state.now - attempt.last_heard_at > LOST_NOTE_PERIODS * interval
    if lost and not attempt.lost:
        state.mark_lost(query, attempt)
        outliers.record_lost_attempt(state, attempt.engine)
    return lost


def _is_overdue(state: SchedulerState, query: QueryState, attempt: AttemptState) -> bool:
    """Whether an attempt without progress has run longer than its class does, even at this engine."""
    error, enough = query.request_class.run_time_error, FLEET_ESTIMATOR.learned_samples
    # Where notes tell how far a run is, only a spread that has been learned counts
    if attempt.progress or (state.settings.progress_interval and error.count < enough):
        return False
    # Guards against a class that never ends a run, so never shows its spread, and fills all engines
    log_spread = error.spread(PRIOR_LOG_SPREAD, enough)
    slower = max(0.0, attempt.engine.slowdown - state.fleet_slowdown)
    longest = query.run_time * math.exp(OVERDUE_SPREADS * log_spread + slower)
    return state.now - attempt.sent_at > longest + state.settings.extra_run_time
