"""Placement: which engines may serve a query.

An engine is usable if it is up on the endpoint list and not ejected, and the class may run in its zone and on
its kind. If an attempt with an idempotency key may have run, the engine must also drop a duplicate of that
attempt (`repetition`).
"""

from query_gateway.model.endpoints import EndpointInfo
from query_gateway.model.records import EngineState, QueryState
from query_gateway.model.settings import ClassSettings, Idempotency
from query_gateway.model.state import SchedulerState
from query_gateway.policy import repetition


def allows_placement(settings: ClassSettings, info: EndpointInfo) -> bool:
    """Whether a class may run in the zone and on the kind of an engine."""
    in_zone = settings.allowed_zones is None or info.zone in settings.allowed_zones
    return in_zone and (settings.allowed_kinds is None or info.kind in settings.allowed_kinds)


def may_run_again(query: QueryState, now: int) -> bool:
    """Whether a query may run again, by its idempotency and the attempts that may have run."""
    return repetition.may_run_again(query.settings, query.first_executed_at, now)


def may_run_at(query: QueryState, engine: EngineState, now: int) -> bool:
    """Whether an engine meets a query's placement constraints and drops duplicates of earlier attempts."""
    settings = query.settings
    if not allows_placement(settings, engine.info):
        return False
    if settings.idempotency is not Idempotency.KEYED or not query.executed:
        return True
    first_engine = query.executed[0].engine
    recognised = repetition.recognises_duplicate(settings, first_engine.info, engine.info)
    return recognised and may_run_again(query, now)


def is_usable(state: SchedulerState, engine: EngineState, query: QueryState) -> bool:
    """Whether an engine may serve a query now, regardless of its capacity."""
    ejected = engine.is_ejected(state.now) and not state.fleet.snapshot.all_ejected
    return not ejected and engine.is_up and may_run_at(query, engine, state.now)
