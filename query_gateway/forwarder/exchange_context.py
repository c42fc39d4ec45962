"""What every exchange of a forwarder is given: clock, timers, send guard, and who records what happens."""

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
    """An engine client as the forwarder is given it."""

    streams_results: bool  # result pages go on as they come, else the result is collected first


@dataclass(slots=True)
class ExchangeContext:
    """The surroundings of all exchanges. The forwarder owns it; exchanges and attempts read it.

    `clock` gives nanoseconds and `call_at` takes its times. `on_settled` is called with the request id of an
    exchange that is answered and has no attempt in flight, at least once.
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
