"""Sends attempts and processes their progress notes and outcomes.

    sent --final outcome----------------------------------> the request is answered
         --other outcome, another attempt in flight-------> the request continues with that attempt
         --other outcome, no attempt in flight------------> admitted again if a further attempt is allowed and
                                                            in time (`attempt_guard`), else given up

An outcome also updates the health of the engine (`outliers`) and the estimates of the query's class
(`fleet_estimator`), and may start a key quarantine (`key_quarantine`).
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

WARM_TABLE_GROUPS: Final = 4  # most recent table groups that an engine's cache is assumed to hold


def forward(state: SchedulerState, query: QueryState, engine: EngineState) -> None:
    """Send an attempt that has passed `attempt_guard` to an engine, with its terms."""
    attempt_terms.set_terms(state, query, engine)
    state.actions.append(Forward(query.request.request_id, engine.info.name, 0))
    state.add_attempt(query, engine)
    slow_start.record_send(state, engine, query.request_class)
    engine.record_table_group(query.request.table_group, WARM_TABLE_GROUPS)


def record_outcome(state: SchedulerState, outcome: AttemptOutcome) -> None:
    """Process the end of an attempt: update the estimates, then retry or end the query."""
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
    """Admit a query again if a further attempt is allowed and in time, else give it up."""
    if attempt_guard.has_time_for_attempt(query, state.now) and may_run_again(query, state.now):
        admission.admit(state, query)
    else:
        answers.give_up(state, query, EndReason.NO_FURTHER_ATTEMPT)


def record_progress(state: SchedulerState, note: ProgressNote) -> None:
    """Process a progress note; notes of cancelled attempts are ignored."""
    query = state.queries.get(note.request_id)
    attempt = query.attempt(note.attempt_number) if query else None
    if query is None or attempt is None or attempt.cancelled:
        return
    probation.record_response(attempt.engine, state.now)
    attempt.last_note_at = state.now
    if note.kind is ProgressKind.PROGRESS:
        FLEET_ESTIMATOR.learn_from_progress(state, attempt, note.level)
        attempt.progress, attempt.progress_at = note.level, state.now
    elif note.kind is ProgressKind.SPILLING and query.request.estimated_memory_mb:  # the estimate was too low
        granted_mb = query.corrected_memory_mb() * attempt_terms.MEMORY_MARGIN
        FLEET_ESTIMATOR.learn_memory(query, granted_mb + note.level)
