"""The forwarder: the table of open exchanges, between the servers, the engine clients and the planners."""

from collections.abc import Callable
from typing import Protocol

from query_gateway.forwarder.attempt import AttemptTerms, outcome_of_unknown_request
from query_gateway.forwarder.counters import Counters
from query_gateway.forwarder.exchange import Exchange
from query_gateway.forwarder.invariants import InvariantChecks
from query_gateway.forwarder.key_quarantine import KeyQuarantine
from query_gateway.forwarder.messages import (
    Answer,
    CallAt,
    Client,
    ClientRequest,
    Endpoint,
    EngineClient,
    Notify,
    QueryObserver,
    Verdict,
)
from query_gateway.forwarder.planner_routing import PlannerConnection, PlannerRouter
from query_gateway.forwarder.send_guard import SendGuard
from query_gateway.forwarder.slow_start_budgets import SlowStartBudgets
from query_gateway.forwarder.trace import RequestTrace, TraceStep
from query_gateway.model.actions import Action, Cancel, EndReason, Fail, Forward, Reject, SetTerms
from query_gateway.model.endpoints import EndpointState, EndpointUpdateKind
from query_gateway.model.events import EndpointUpdate, Request, SettingsUpdate
from query_gateway.model.settings import Settings


class ForwardingEngineClient(EngineClient, Protocol):
    """An engine client as the forwarder is given it."""

    streams_results: bool  # result pages go on as they come, else the result is collected first


class Forwarder:
    """Accepts requests, carries out what planners decide, and owes each request one final answer.

    It owns the exchanges and the endpoint table; the caller owns servers, engine clients and planners.
    Planners are added at start, engine clients before the first request of their wire.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Callable[[], int],
        call_at: CallAt,
        max_exchanges: int,
        first_request_id: int = 1,
    ) -> None:
        """Start without planners, engine clients and endpoints.

        `clock` gives nanoseconds and `call_at` takes its times. Requests beyond `max_exchanges` are rejected.
        """
        self.settings = settings
        self.clock = clock
        self.call_at = call_at
        self.max_exchanges = max_exchanges
        self.engine_clients: dict[str, ForwardingEngineClient] = {}  # by wire
        self.planners: list[PlannerConnection] = []
        self.router = PlannerRouter(self.planners)
        self.key_quarantine = KeyQuarantine(clock, call_at, self._pass_to_planner)
        self.exchanges: dict[int, Exchange] = {}  # by request id
        self.open_client_request_ids: set[str] = set()  # the clients' ids of the requests in `exchanges`
        self.endpoints: dict[str, Endpoint] = {}  # by name
        self.next_request_id = first_request_id
        self.counters = Counters()
        self.invariants = InvariantChecks()
        self.send_guard = SendGuard(self)
        self.slow_start_budgets = SlowStartBudgets(settings)
        self.request_trace: RequestTrace | None = None
        self.observer: QueryObserver | None = None
        self.on_idle: Callable[[], None] = lambda: None  # called when the last exchange has ended

    @property
    def open_request_count(self) -> int:
        """The requests that are not answered; an answered exchange may stay until its attempt has ended."""
        return sum(not exchange.answered for exchange in self.exchanges.values())

    @property
    def any_planner_connected(self) -> bool:
        """Whether any planner can decide."""
        return any(planner.connected for planner in self.planners)

    # ---- requests

    def accept(self, request: ClientRequest, client: Client, wire: str) -> Exchange:
        """Take a request; from here on one final answer is owed, which may be given before this returns."""
        exchange = Exchange(self, self.next_request_id, request, client, wire)
        self.next_request_id += 1
        exchange.trace(TraceStep.ACCEPTED, _describe(request))
        if answer := self._immediate_answer(exchange):
            exchange.answer(answer)
            return exchange
        self.exchanges[exchange.request_id] = exchange
        self.open_client_request_ids.add(request.client_request_id)
        if request.fingerprint and self.observer:
            self.observer.on_accepted(request)
        exchange.timer = self.call_at(request.deadline, exchange.on_deadline)
        if self.key_quarantine.applies_to(exchange):
            self.key_quarantine.queue(exchange)
        else:
            self._pass_to_planner(exchange)
        return exchange

    def _immediate_answer(self, exchange: Exchange) -> Answer | None:
        """The answer to a request that is not even passed to a planner."""
        if len(self.exchanges) >= self.max_exchanges:
            return self._rejection()  # guards the memory: more than could be served in time
        if exchange.request.client_request_id in self.open_client_request_ids:
            # An id stands for one request at the engines, so a second one cannot be sent beside it
            return Answer(Verdict.FAILED)
        if not self.planners[exchange.planner_index].connected:
            return self._rejection()
        return None

    def _rejection(self) -> Answer:
        return Answer(Verdict.REJECTED, retry_after_ns=self.settings.max_retry_after)

    def _pass_to_planner(self, exchange: Exchange) -> None:
        if exchange.answered:
            return
        if not self.planners[exchange.planner_index].connected:
            exchange.end_without_planner()
            return
        request = exchange.request
        exchange.planner_notified = True
        exchange.notify_planner(
            Request(
                request_id=exchange.request_id,
                class_index=request.class_index,
                deadline=request.deadline,
                tenant=0,
                table_group=request.table_group,
                key=request.key,
                estimated_work=request.estimated_work,
                estimated_memory_mb=request.estimated_memory_mb,
                is_retry=request.is_retry,
            )
        )

    def release(self, exchange: Exchange) -> None:
        """Forget an exchange that is answered and has no attempt in flight; else do nothing."""
        if not exchange.answered or exchange.current_attempt or exchange.request_id not in self.exchanges:
            return
        del self.exchanges[exchange.request_id]
        self.open_client_request_ids.discard(exchange.request.client_request_id)
        if exchange.request.fingerprint and self.observer:
            self.observer.on_settled(exchange.request)
        if exchange.timer:
            exchange.timer.cancel()
        if not self.exchanges:
            self.on_idle()

    # ---- what planners decide

    def apply(self, action: Action, planner_index: int = 0) -> None:
        """Carry out an action of a planner.

        On an exchange that has ended it changes nothing; a `Forward` is answered as not sent.
        """
        match action:
            case Forward(request_id, endpoint, _):
                self._forward(request_id, endpoint, planner_index)
            case Cancel(request_id, attempt_number):
                if exchange := self.exchanges.get(request_id):
                    exchange.cancel(attempt_number)
            case Reject(request_id, retry_after, reason):
                self._answer(request_id, Answer(Verdict.REJECTED, retry_after_ns=retry_after), reason)
            case Fail(request_id, reason):
                self._answer(request_id, Answer(Verdict.FAILED), reason)
            case SetTerms(request_id, memory_mb, priority):
                if exchange := self.exchanges.get(request_id):
                    exchange.set_terms(AttemptTerms(memory_mb, priority))
            case _:
                pass  # health checks, polls and gossip belong to other wires than this one

    def _forward(self, request_id: int, endpoint: str, planner_index: int) -> None:
        if exchange := self.exchanges.get(request_id):
            exchange.forward(endpoint)
        else:
            self.planners[planner_index].notify(outcome_of_unknown_request(request_id, endpoint))

    def _answer(self, request_id: int, answer: Answer, reason: EndReason) -> None:
        exchange = self.exchanges.get(request_id)
        if exchange and not exchange.is_streaming:
            exchange.trace(TraceStep.DECIDED, f"{answer.verdict.value} {reason.value}")
            exchange.answer(answer)
            self.release(exchange)

    # ---- settings and endpoints

    def update_settings(
        self, settings: Settings, planner_settings: list[Settings], new_classes: tuple[int, ...]
    ) -> None:
        """Apply new settings to requests from here on; `planner_settings` has those of each planner."""
        self.settings = self.slow_start_budgets.settings = settings
        for planner, own_settings in zip(self.planners, planner_settings, strict=True):
            planner.settings = own_settings
            planner.notify(SettingsUpdate(own_settings, new_classes))

    def update_endpoints(self, endpoints: list[Endpoint], is_snapshot: bool) -> None:
        """Take in the endpoint list: a snapshot replaces what is known, else these entries have changed.

        Engine clients are updated before planners are notified: attempts may then go to the new endpoints.
        """
        if is_snapshot:
            self.endpoints = {}
        for endpoint in endpoints:
            self.endpoints[endpoint.info.name] = endpoint
            self.slow_start_budgets.update_endpoint(endpoint.info)
        for engine_client in self.engine_clients.values():
            engine_client.update_endpoints(endpoints, is_snapshot)
        kind = EndpointUpdateKind.SNAPSHOT if is_snapshot else EndpointUpdateKind.DELTA
        update = EndpointUpdate(kind, tuple(endpoint.info for endpoint in endpoints))
        for planner in self.planners:
            planner.notify(update)
        removed = [
            n for n, endpoint in self.endpoints.items() if endpoint.info.state is EndpointState.REMOVED
        ]
        for name in removed:
            del self.endpoints[name]  # guards the table against growing with every engine that ever was
        if removed or is_snapshot:
            self.slow_start_budgets.keep_only(set(self.endpoints))

    # ---- planners

    def add_planner(self, notify: Notify, connected: bool, settings: Settings | None = None) -> None:
        """Add a planner; `settings`, if any, are sent to it whenever it connects."""
        self.planners.append(PlannerConnection(notify, connected, settings))

    def on_planner_lost(self, planner_index: int) -> None:
        """End all exchanges of a planner and quarantine its keys until what it had in flight has ended."""
        self.planners[planner_index].connected = False
        self.key_quarantine.start(planner_index, self.settings)
        for exchange in list(self.exchanges.values()):
            if exchange.planner_index == planner_index:
                exchange.end_without_planner()

    def on_planner_connected(self, planner_index: int) -> None:
        """Send a planner that has started what it needs to decide: its settings, then all endpoints."""
        planner = self.planners[planner_index]
        planner.connected = True
        if planner.settings:  # the settings it read at its start may number the classes otherwise
            all_classes = tuple(range(len(planner.settings.classes)))
            planner.notify(SettingsUpdate(planner.settings, all_classes))
        endpoints = tuple(endpoint.info for endpoint in self.endpoints.values())
        planner.notify(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, endpoints))


def _describe(request: ClientRequest) -> str:
    key = f" key {request.key}" if request.key else ""
    return f"{request.class_name} deadline {request.deadline}{key}"
