"""Review of attempts in flight: each continues, is cancelled to run elsewhere, or is given up.

Every timer period, the first matching rule applies to the last attempt of each query, where the site allows
cancellation:

    restart    the query is idempotent, there is time for one more attempt, and one of these holds:
               - the engine was ejected after the send, or removed
               - the attempt is lost
               - the attempt is overdue, or by its progress has more than `RESTART_GAIN` run times left, and
                 the query was not restarted before, other than from an ejected or removed engine
    give up    the query is idempotent, and the attempt is lost, overdue where engines send no notes,
               predicted to end after its limit, or past its limit
    continue   with a new priority if that has changed

The limit is the client's deadline, or the due time for a class whose late answers have no weight. Only
idempotent queries are cancelled: any other may already have had its effect. Times are nanoseconds.
"""

import math
from typing import Final

from query_gateway.model.actions import EndReason
from query_gateway.model.records import AttemptState
from query_gateway.model.state import SchedulerState
from query_gateway.policy import answers, attempt_guard, attempt_terms, fault_rate, outliers
from query_gateway.policy.fleet_estimator import FLEET_ESTIMATOR
from query_gateway.policy.start_times import REMAINING_TIME

# An attempt counts as lost after this many progress intervals without a progress note
LOST_NOTE_PERIODS: Final = 1.6
PRIOR_LOG_SPREAD: Final = 0.7  # standard deviation of a class's log run times before it is learned
# An attempt is overdue once its log run time exceeds the expected one by this many standard deviations
OVERDUE_DEVIATIONS: Final = 1.8
RESTART_GAIN: Final = 2.0  # factor by which the remaining time must exceed a new run for a restart
# Remaining time / time to the limit above which a query is given up; above 1, as progress notes are imprecise
HOPELESS_OVERRUN: Final = 1.3


def review_attempts(state: SchedulerState) -> None:
    """Eject unresponsive engines, then review the last attempt of each query."""
    outliers.eject_unresponsive(state)
    for query in [query for query in state.queries.values() if query.in_flight and not query.ended]:
        attempt = query.in_flight[-1]
        if not attempt.cancelled and state.settings.allows_cancellation:
            _review_attempt(state, attempt)


def _review_attempt(state: SchedulerState, attempt: AttemptState) -> None:
    query = attempt.query
    remaining = REMAINING_TIME.remaining_time(attempt, state.now)
    engine_failed = _has_engine_failed(state, attempt)
    lost = _have_notes_stopped(state, attempt)
    if lost and not attempt.lost:
        _record_lost_attempt(state, attempt)
    overdue = _is_overdue(state, attempt)
    is_far_behind = attempt.progress > 0 and remaining > RESTART_GAIN * query.run_time
    may_restart_slow = query.restarts == 0 and (overdue or is_far_behind)
    in_time = attempt_guard.has_time_for_attempt(query, state.now)
    if query.is_idempotent and in_time and (engine_failed or lost or may_restart_slow):
        query.restarts += not engine_failed
        answers.cancel_attempt(state, attempt)
        return
    limit = query.request.deadline if query.settings.late_weight > 0 else query.due_at
    misses_limit = attempt.progress > 0 and remaining > HOPELESS_OVERRUN * (limit - state.now)
    overdue_without_notes = overdue and not state.settings.progress_interval
    if query.is_idempotent and (lost or overdue_without_notes or misses_limit or state.now >= limit):
        answers.give_up(state, query, EndReason.ATTEMPT_LOST)
    else:
        attempt_terms.update_priority(state, query)


def _has_engine_failed(state: SchedulerState, attempt: AttemptState) -> bool:
    """Whether an attempt's engine was ejected after the send, or is off the endpoint list.

    An attempt that was sent to an ejected engine because all engines were ejected continues.
    """
    engine = attempt.engine
    ejected_since = engine.is_ejected(state.now) and attempt.sent_at < engine.probation_since
    return ejected_since or not engine.listed


def _have_notes_stopped(state: SchedulerState, attempt: AttemptState) -> bool:
    """Whether the engine sends progress notes and those of this attempt have stopped: the attempt is lost."""
    interval = state.settings.progress_interval
    return interval > 0 and state.now - attempt.last_note_at > LOST_NOTE_PERIODS * interval


def _record_lost_attempt(state: SchedulerState, attempt: AttemptState) -> None:
    """Stop counting the threads of a lost attempt, and count it as a fault of its engine.

    An engine may never answer a single attempt although it answers others. The threads of that attempt would
    count as in use for ever, and the gateway would send the engine fewer and fewer queries.
    """
    state.mark_lost(attempt)
    fault_rate.record_lost_attempt(state, attempt.engine)


def _is_overdue(state: SchedulerState, attempt: AttemptState) -> bool:
    """Whether an attempt without progress has exceeded the run time of its class, allowing for a slow engine.

    The spread, a standard deviation of log run times, is mixed with a prior one until it is learned. Without
    the prior, a class whose runs never end would never show its spread, and its attempts would fill all
    engines. Where engines send progress notes, these show how far a run is, so only a learned spread counts.
    """
    query, enough = attempt.query, FLEET_ESTIMATOR.learned_samples
    error = query.request_class.run_time_error
    if attempt.progress or (state.settings.progress_interval and error.count < enough):
        return False
    log_spread = error.standard_deviation(PRIOR_LOG_SPREAD, enough)
    slower = max(0.0, attempt.engine.snapshot.slowdown - state.fleet.snapshot.slowdown)
    longest = query.run_time * math.exp(OVERDUE_DEVIATIONS * log_spread + slower)
    return state.now - attempt.sent_at > longest + state.settings.extra_run_time
