"""The shared dependencies of a forwarder's exchanges: clock, timers, engine clients, send guard and sinks."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from query_gateway.forwarder.counters import Counters
from query_gateway.forwarder.forwarder_state import ForwarderState
from query_gateway.forwarder.invariants import InvariantChecks
from query_gateway.forwarder.messages import CallAt, EngineClient, QueryObserver
from query_gateway.forwarder.planner_routing import PlannerRouter
from query_gateway.forwarder.send_guard import SendGuard
from query_gateway.forwarder.trace import RequestTrace


class ForwardingEngineClient(EngineClient, Protocol):
    """An engine client that states whether it streams results."""

    streams_results: bool  # whether result pages are passed on as they arrive rather than buffered


@dataclass(slots=True)
class ExchangeContext:
    """The shared dependencies. The forwarder owns the context; exchanges and attempts read it.

    `clock` returns nanoseconds, and `call_at` takes times of this clock. `on_settled` is called at least once
    with the request id of an exchange that is answered and has no attempt in flight.
    """

    clock: Callable[[], int]
    call_at: CallAt
    state: ForwarderState
    engine_clients: dict[str, ForwardingEngineClient]  # by wire
    router: PlannerRouter
    send_guard: SendGuard
    counters: Counters
    invariants: InvariantChecks
    on_settled: Callable[[int], None]
    request_trace: RequestTrace | None = None
    observer: QueryObserver | None = None
