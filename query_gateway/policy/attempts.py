"""Attempts: the guard that each one passes, the terms it runs on, and what follows from its outcome."""

from query_gateway.model.actions import EndReason, Forward, SetTerms
from query_gateway.model.events import AttemptOutcome, OutcomeCode, ProgressKind, ProgressNote
from query_gateway.model.records import EngineState, QueryState
from query_gateway.model.settings import MemoryShortage
from query_gateway.model.state import SchedulerState
from query_gateway.policy import admission, answers, outliers, slow_start
from query_gateway.policy.fleet_survey import FLEET_ESTIMATOR
from query_gateway.policy.key_quarantine import key_quarantine_end, starts_key_quarantine
from query_gateway.policy.repetition import NEVER_RAN_CODES, may_run_twice
from query_gateway.policy.routing import is_usable, may_run_again

WARM_TABLE_GROUPS = 4  # table groups taken to be warm in an engine's cache
MEMORY_MARGIN = 1.15  # memory over the corrected estimate, where surplus is lost to others
LATE_PRIORITY, SHORT_PRIORITY, LONG_PRIORITY = 0, 3, 1  # of queries that are late, of short and long classes


def may_forward(state: SchedulerState, query: QueryState, engine: EngineState) -> bool:
    """The guard that each attempt passes: deadline, number, idempotency, key order, credits, retry budget."""
    settings = state.settings
    if query.ended or state.now >= query.request.deadline or query.attempt_count >= query.max_attempts:
        return False
    if not is_usable(state, engine, query) or not may_run_again(query, state.now):
        return False
    if query.in_flight and not (settings.allows_hedging and may_run_twice(query.settings)):
        return False
    in_turn = state.key_queues.is_next(query, state.now)
    if not in_turn or not slow_start.has_credit(state, engine, query.request_class):
        return False
    return not query.attempt_count or state.retry_budget.allows_retry(settings, state.now)


def has_time_for_attempt(query: QueryState, now: int) -> bool:
    """Whether a query has an attempt left, and time to end before it is due if that one starts now."""
    return query.attempt_count < query.max_attempts and now + query.run_time < query.due_at


def forward(state: SchedulerState, query: QueryState, engine: EngineState) -> None:
    """Send an attempt to an engine, with its memory and priority where the site takes them."""
    _set_terms(state, query, engine)
    state.actions.append(Forward(query.request.request_id, engine.info.name, 0))
    state.add_attempt(query, engine)
    slow_start.record_send(state, engine, query.request_class)
    engine.record_table_group(query.request.table_group, WARM_TABLE_GROUPS)


def _set_terms(state: SchedulerState, query: QueryState, engine: EngineState) -> None:
    settings, memory_mb = state.settings, 0.0
    if settings.takes_memory_grants:
        memory_mb = engine.memory_mb * settings.max_grant_share
        # Where only what is in use counts, all is granted
        if settings.memory_shortage is not MemoryShortage.PAGE:
            memory_mb = min(memory_mb, query.corrected_memory_mb() * MEMORY_MARGIN)
    query.priority = priority(state, query)
    if memory_mb or settings.heeds_priorities:
        state.actions.append(SetTerms(query.request.request_id, round(memory_mb, 1), query.priority))


def priority(state: SchedulerState, query: QueryState) -> int:
    """Priority at the engine. Loads count as short: others wait for their tables and their key."""
    if state.now >= query.due_at:
        return LATE_PRIORITY
    is_long = query.request_class.is_long and not query.settings.locks_tables
    return LONG_PRIORITY if is_long else SHORT_PRIORITY


def record_outcome(state: SchedulerState, outcome: AttemptOutcome) -> None:
    """Take in the end of an attempt: learn from it, then retry the query or end it."""
    query, engine = state.queries.get(outcome.request_id), state.engines.get(outcome.endpoint)
    attempt = query.attempt(outcome.attempt_number) if query else None
    if query is None or engine is None or attempt is None:
        return
    state.remove_attempt(query, attempt, engine)
    FLEET_ESTIMATOR.record_load_report(state, engine, outcome.load_report)
    if outcome.code not in NEVER_RAN_CODES:
        query.executed.append((attempt.sent_at, engine))
    if starts_key_quarantine(outcome.code):
        state.key_queues.quarantine(query, key_quarantine_end(state.settings, state.now))
    outliers.record_health(state, engine, query, attempt, outcome.code)
    if outcome.code is OutcomeCode.OK:
        FLEET_ESTIMATOR.learn_from_answer(state, engine, query, outcome)
    if outcome.final:
        answers.mark_answered(state, query)
    elif not query.ended and not query.in_flight:
        _retry(state, query)
    if query.ended and not query.in_flight:
        state.forget(query)


def _retry(state: SchedulerState, query: QueryState) -> None:
    """No attempt is in flight and no answer given: another one where allowed and in time, else the end."""
    if has_time_for_attempt(query, state.now) and may_run_again(query, state.now):
        admission.admit(state, query)
    else:
        answers.give_up(state, query, EndReason.NO_FURTHER_ATTEMPT)


def record_note(state: SchedulerState, note: ProgressNote) -> None:
    """Take in a progress note of an attempt that was not cancelled."""
    query = state.queries.get(note.request_id)
    attempt = query.attempt(note.attempt_number) if query else None
    if query is None or attempt is None or attempt.cancelled:
        return
    attempt.engine.record_sign_of_life(state.now)
    attempt.last_heard_at = state.now
    if note.kind is ProgressKind.PROGRESS:
        FLEET_ESTIMATOR.learn_from_progress(state, query, attempt, note.level)
        attempt.progress, attempt.progress_at = note.level, state.now
    elif note.kind is ProgressKind.SPILLING and query.request.estimated_memory_mb:  # the estimate was too low
        FLEET_ESTIMATOR.learn_memory(query, query.corrected_memory_mb() * MEMORY_MARGIN + note.level)
