"""Attempts: sending one, and what follows from its progress and its outcome.

    sent --outcome, final-------------------------> the request is answered
         --outcome, not final, another in flight--> the request goes on with the other one
         --outcome, not final, the last one-------> admitted again if another attempt is allowed and in
                                                    time (`attempt_guard`), else given up

An outcome also changes what is known of the engine (`outliers`), of the class (`fleet_estimator`), and
whether the key of the query is held up (`key_quarantine`).
"""

from typing import Final

from query_gateway.model.actions import EndReason, Forward
from query_gateway.model.events import AttemptOutcome, OutcomeCode, ProgressKind, ProgressNote
from query_gateway.model.records import EngineState, ExecutedAttempt, QueryState
from query_gateway.model.state import SchedulerState
from query_gateway.policy import (
    admission,
    answers,
    attempt_guard,
    attempt_terms,
    key_ordering,
    outliers,
    probation,
    slow_start,
)
from query_gateway.policy.fleet_estimator import FLEET_ESTIMATOR
from query_gateway.policy.key_quarantine import key_quarantine_end, starts_key_quarantine
from query_gateway.policy.placement import may_run_again
from query_gateway.policy.repetition import NEVER_RAN_CODES
from query_gateway.policy.saturation import is_saturated

WARM_TABLE_GROUPS: Final = 4  # table groups taken to be warm in an engine's cache


def forward(state: SchedulerState, query: QueryState, engine: EngineState) -> None:
    """Send an attempt that has passed the guard to an engine, with its terms."""
    attempt_terms.set_terms(state, query, engine)
    state.actions.append(Forward(query.request.request_id, engine.info.name, 0))
    state.add_attempt(query, engine)
    slow_start.record_send(state, engine, query.request_class)
    engine.record_table_group(query.request.table_group, WARM_TABLE_GROUPS)


def record_outcome(state: SchedulerState, outcome: AttemptOutcome) -> None:
    """Take in the end of an attempt: learn from it, then retry the query or end it."""
    query, engine = state.queries.get(outcome.request_id), state.fleet.engines.get(outcome.endpoint)
    attempt = query.attempt(outcome.attempt_number) if query else None
    if query is None or engine is None or attempt is None:
        return
    state.remove_attempt(attempt, engine)
    FLEET_ESTIMATOR.record_load_report(state, engine, outcome.load_report)
    if outcome.code not in NEVER_RAN_CODES:
        query.executed.append(ExecutedAttempt(attempt.sent_at, engine))
    if starts_key_quarantine(outcome.code):
        key_ordering.quarantine(state.key_queues, query, key_quarantine_end(state.settings, state.now))
    outliers.record_health(state, engine, query, attempt, outcome.code)
    if outcome.code is OutcomeCode.OK:
        FLEET_ESTIMATOR.learn_from_answer(state, engine, query, outcome, is_saturated(engine))
    if outcome.final:
        answers.mark_answered(state, query)
    elif not query.ended and not query.in_flight:
        _retry_or_give_up(state, query)
    if query.ended and not query.in_flight:
        state.forget(query)


def _retry_or_give_up(state: SchedulerState, query: QueryState) -> None:
    """No attempt is in flight and no answer given: another one where allowed and in time, else the end."""
    if attempt_guard.has_time_for_attempt(query, state.now) and may_run_again(query, state.now):
        admission.admit(state, query)
    else:
        answers.give_up(state, query, EndReason.NO_FURTHER_ATTEMPT)


def record_progress(state: SchedulerState, note: ProgressNote) -> None:
    """Take in a progress note of an attempt that was not cancelled."""
    query = state.queries.get(note.request_id)
    attempt = query.attempt(note.attempt_number) if query else None
    if query is None or attempt is None or attempt.cancelled:
        return
    probation.record_received(attempt.engine, state.now)
    attempt.last_note_at = state.now
    if note.kind is ProgressKind.PROGRESS:
        FLEET_ESTIMATOR.learn_from_progress(state, attempt, note.level)
        attempt.progress, attempt.progress_at = note.level, state.now
    elif note.kind is ProgressKind.SPILLING and query.request.estimated_memory_mb:  # the estimate was too low
        granted_mb = query.corrected_memory_mb() * attempt_terms.MEMORY_MARGIN
        FLEET_ESTIMATOR.learn_memory(query, granted_mb + note.level)
