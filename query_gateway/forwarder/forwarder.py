"""The forwarder: the table of open exchanges, between the servers, the engine clients and the planners.

A server calls `accept`; the planner of the request is notified; its actions come back to `apply`; exchanges
call engine clients; what engine clients report goes up through the attempt and the exchange, and ends at the
client and the planner. The modules import downwards only:

    forwarder > exchange > engine_side > attempt > exchange_context > send_guard > slow_start_budgets
"""

from collections.abc import Callable
from typing import Final

from query_gateway.forwarder.arrival_order import ArrivalOrder, Watermark
from query_gateway.forwarder.attempt import AttemptTerms, outcome_of_unknown_request
from query_gateway.forwarder.counters import Counters
from query_gateway.forwarder.early_rejections import EarlyRejections
from query_gateway.forwarder.exchange import Exchange
from query_gateway.forwarder.exchange_context import ExchangeContext, ForwardingEngineClient
from query_gateway.forwarder.forwarder_state import ForwarderState
from query_gateway.forwarder.invariants import InvariantChecks
from query_gateway.forwarder.key_quarantine import KeyQuarantine
from query_gateway.forwarder.messages import (
    Answer,
    CallAt,
    Client,
    ClientRequest,
    EarlyRejection,
    Endpoint,
    Notify,
    Verdict,
)
from query_gateway.forwarder.planner_routing import PlannerConnection, PlannerRouter
from query_gateway.forwarder.predecessor_fence import PredecessorFence
from query_gateway.forwarder.send_guard import SendGuard
from query_gateway.forwarder.slow_start_budgets import SlowStartBudgets
from query_gateway.forwarder.trace import TraceStep
from query_gateway.model.actions import Action, Cancel, EndReason, Fail, Forward, Reject, SetTerms
from query_gateway.model.endpoints import EndpointUpdateKind
from query_gateway.model.events import EndpointUpdate, Request
from query_gateway.model.settings import Settings

ONLY_TENANT: Final = 0  # no client protocol names a tenant, so every request counts for the first one


class Forwarder:
    """Accepts requests, carries out what planners decide, and owes each request one final answer.

    It owns the exchanges and the endpoint list; the caller owns servers, engine clients and planners.
    Planners are added at start, engine clients before the first request of their wire. The trace and the
    observer, if any, are set in `context`.
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
        self.clock = clock
        self.max_exchanges = max_exchanges
        self.next_request_id = first_request_id
        self.exchanges: dict[int, Exchange] = {}  # by request id
        self.open_client_request_ids: set[str] = set()  # the clients' ids of the requests in `exchanges`
        self.on_idle: Callable[[], None] = lambda: None  # called when the last exchange has ended
        self.state = ForwarderState(settings)
        self.engine_clients: dict[str, ForwardingEngineClient] = {}  # by wire
        self.router = PlannerRouter()
        self.key_quarantine = KeyQuarantine(clock, call_at, self._pass_to_planner)
        self.arrival_order: ArrivalOrder | None = None  # None: requests come in order
        self.counters = Counters()
        self.predecessor_fence = PredecessorFence(
            self.router, self.key_quarantine, lambda: self.state.settings
        )
        self.past_abort_time = False  # too late before the process ends to begin anything
        self.early_rejections = EarlyRejections(self.counters, clock, lambda: self.context.request_trace)
        self.invariants = InvariantChecks()
        self.slow_start_budgets = SlowStartBudgets()
        self.context = ExchangeContext(
            clock=clock,
            call_at=call_at,
            state=self.state,
            engine_clients=self.engine_clients,
            router=self.router,
            send_guard=SendGuard(self.state, self.slow_start_budgets, clock, self.invariants),
            counters=self.counters,
            invariants=self.invariants,
            on_settled=self._on_settled,
        )

    @property
    def settings(self) -> Settings:
        """The settings in force."""
        return self.state.settings

    @property
    def endpoints(self) -> dict[str, Endpoint]:
        """The endpoint list, by name."""
        return self.state.endpoints

    @property
    def planners(self) -> list[PlannerConnection]:
        """The planners, by index."""
        return self.router.planners

    @property
    def open_request_count(self) -> int:
        """The requests that are not answered; an answered exchange may stay until its attempt has ended."""
        return sum(not exchange.answered for exchange in self.exchanges.values())

    # ---- requests

    def accept(self, request: ClientRequest, client: Client, wire: str) -> Exchange:
        """Take a request; from here on one final answer is owed, which may be given before this returns."""
        exchange = Exchange(self.context, self.next_request_id, request, client, wire)
        self.next_request_id += 1
        if self.context.request_trace:
            exchange.trace(TraceStep.ACCEPTED, _describe(request))
        if answer := self._immediate_answer(exchange):
            exchange.answer(answer)
            return exchange
        self.exchanges[exchange.request_id] = exchange
        self.open_client_request_ids.add(request.client_request_id)
        if request.fingerprint and self.context.observer:
            self.context.observer.on_accepted(request)
        exchange.timer = self.context.call_at(request.deadline, exchange.on_deadline)
        if request.key and self.arrival_order and self.arrival_order.must_wait(request.received_at):
            exchange.trace(TraceStep.HELD_FOR_ORDER)
            self.arrival_order.queue(
                exchange.request_id, request.received_at, lambda: self._take_in_order(exchange)
            )
        else:
            self._take_in_order(exchange)
        return exchange

    def _take_in_order(self, exchange: Exchange) -> None:
        """Pass on a request before which no other of its key is unknown."""
        if self.key_quarantine.applies_to(exchange.planner.index, exchange.request.key):
            self.key_quarantine.queue(exchange.planner.index, exchange)
        else:
            self._pass_to_planner(exchange)

    def call_in_order(self, arrived_at: int, callback: Callable[[], None]) -> None:
        """Call once every request with a key that came before a clock time has been passed on."""
        if self.arrival_order:
            self.arrival_order.queue(object(), arrived_at, callback)
        else:
            callback()

    def keep_arrival_order(self, watermark: Watermark) -> ArrivalOrder:
        """Put requests with a key in the order of their arrival from now on; the caller calls `release`."""
        self.arrival_order = ArrivalOrder(watermark)
        return self.arrival_order

    @property
    def held_for_order_count(self) -> int:
        """How many requests with a key wait until every earlier one is known."""
        return self.arrival_order.waiting_count if self.arrival_order else 0

    def _immediate_answer(self, exchange: Exchange) -> Answer | None:
        """The answer to a request that is not even passed to a planner."""
        if reason := self._early_rejection(exchange):
            self.early_rejections.record(exchange.request.client_request_id, reason, exchange.request_id)
            return self.rejection()
        if exchange.request.client_request_id in self.open_client_request_ids:
            # An id stands for one request at the engines, so a second one cannot be sent beside it
            return Answer(Verdict.FAILED)
        return None

    def _early_rejection(self, exchange: Exchange) -> EarlyRejection | None:
        if self.past_abort_time:
            return EarlyRejection.STOPPING
        if len(self.exchanges) >= self.max_exchanges:
            # More than could be served in time would only fill the memory
            return EarlyRejection.REQUEST_LIMIT
        if not exchange.planner.connected:
            return EarlyRejection.NO_PLANNER
        if self.predecessor_fence.rejects(exchange.request.key):
            return EarlyRejection.PREDECESSOR_SERVES
        return None

    def reject_unaccepted(self, client_request_id: str, class_name: str, reason: EarlyRejection) -> Answer:
        """The answer to a request that a front rejects before it calls `accept`; counts and traces it."""
        self.early_rejections.record(client_request_id, reason)
        self.counters.count_answer(class_name, Verdict.REJECTED)
        return self.rejection()

    def rejection(self) -> Answer:
        """What a request gets that no planner decides on: the longest Retry-After of the settings."""
        return Answer(Verdict.REJECTED, retry_after_ns=self.settings.max_retry_after)

    def _pass_to_planner(self, exchange: Exchange) -> None:
        if exchange.answered:
            return
        if not exchange.planner.connected:
            exchange.end_without_planner()
            return
        exchange.planner_notified = True
        exchange.notify_planner(_request_event(exchange.request_id, exchange.request))

    def _on_settled(self, request_id: int) -> None:
        """Forget an exchange that is answered and has no attempt in flight; a second call does nothing."""
        exchange = self.exchanges.pop(request_id, None)
        if exchange is None:
            return
        self.open_client_request_ids.discard(exchange.request.client_request_id)
        if exchange.request.fingerprint and self.context.observer:
            self.context.observer.on_settled(exchange.request)
        if exchange.timer:
            exchange.timer.cancel()
        if self.arrival_order:
            self.arrival_order.remove(request_id)
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
            exchange.trace(TraceStep.DECIDED, answer.verdict.value, reason.value)
            exchange.answer(answer)
            exchange.settle()

    # ---- settings and endpoints

    def update_settings(
        self, settings: Settings, planner_settings: list[Settings], new_classes: tuple[int, ...]
    ) -> None:
        """Apply new settings to requests from here on; `planner_settings` has those of each planner."""
        self.state.settings = settings
        for planner, own_settings in zip(self.planners, planner_settings, strict=True):
            planner.update_settings(own_settings, new_classes)

    def update_endpoints(self, endpoints: list[Endpoint], is_snapshot: bool) -> None:
        """Take in the endpoint list: a snapshot replaces what is known, else these entries have changed.

        Engine clients are updated before planners are notified: attempts may then go to the new endpoints.
        """
        for engine_name in self.state.update_endpoints(endpoints, is_snapshot):
            self.slow_start_budgets.forget(engine_name)
        for engine_client in self.engine_clients.values():
            engine_client.update_endpoints(endpoints, is_snapshot)
        kind = EndpointUpdateKind.SNAPSHOT if is_snapshot else EndpointUpdateKind.DELTA
        self.router.notify_all(EndpointUpdate(kind, tuple(endpoint.info for endpoint in endpoints)))

    # ---- planners

    def add_planner(self, notify: Notify, connected: bool, settings: Settings | None = None) -> None:
        """Add a planner; `settings`, if any, are sent to it whenever it connects."""
        self.router.add(notify, connected, settings)

    def on_planner_lost(self, planner_index: int) -> None:
        """End all exchanges of a planner and quarantine its keys until what it had in flight has ended."""
        self.planners[planner_index].connected = False
        self.key_quarantine.start(planner_index, self.settings)
        for exchange in list(self.exchanges.values()):
            if exchange.planner.index == planner_index:
                exchange.end_without_planner()

    def on_planner_connected(self, planner_index: int) -> None:
        """Let a planner that has started decide from here on."""
        endpoints = tuple(endpoint.info for endpoint in self.endpoints.values())
        self.planners[planner_index].connect(endpoints)


def _request_event(request_id: int, request: ClientRequest) -> Request:
    """The event that notifies a planner of a request."""
    return Request(
        request_id=request_id,
        class_index=request.class_index,
        deadline=request.deadline,
        tenant=ONLY_TENANT,
        table_group=request.table_group,
        key=request.key,
        estimated_work=request.estimated_work,
        estimated_memory_mb=request.estimated_memory_mb,
        is_retry=request.is_retry,
        received_at=request.received_at,
    )


def _describe(request: ClientRequest) -> str:
    key = f" key {request.key}" if request.key else ""
    return f"{request.class_name} deadline {request.deadline}{key}"
