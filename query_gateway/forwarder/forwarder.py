"""The forwarder: the table of open exchanges, which connects servers, engine clients and planners.

A server calls `accept`, and the forwarder notifies the planner of the request. The actions of the planner are
passed to `apply`, which makes exchanges call engine clients. Engine clients report to the attempt, which
passes the reports up to the exchange and from there to the client and the planner. Modules import only those
to their right:

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

DEFAULT_TENANT: Final = 0  # no client protocol carries a tenant, so all requests count for the first one


class Forwarder:
    """Accepts requests, carries out the planners' decisions, and gives each request one final answer.

    The forwarder owns the exchanges and the endpoint list; its caller owns servers, engine clients and
    planners. Planners are added at start, engine clients before the first request on their wire (engine
    protocol). The trace sink and the `QueryObserver` are optional and are set in `context`.
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

        `clock` returns nanoseconds, and `call_at` takes times of this clock. Requests that would exceed
        `max_exchanges` open exchanges are rejected.
        """
        self.clock = clock
        self.max_exchanges = max_exchanges
        self.next_request_id = first_request_id
        self.exchanges: dict[int, Exchange] = {}  # by request id
        self.open_client_request_ids: set[str] = set()  # of the requests in `exchanges`
        self.on_idle: Callable[[], None] = lambda: None  # called when the last exchange has been settled
        self.state = ForwarderState(settings)
        self.engine_clients: dict[str, ForwardingEngineClient] = {}  # by wire
        self.router = PlannerRouter()
        self.key_quarantine = KeyQuarantine(clock, call_at, self._pass_to_planner)
        # Set by `keep_arrival_order`; None: requests are passed on in the order of `accept`
        self.arrival_order: ArrivalOrder | None = None
        self.counters = Counters()
        self.predecessor_fence = PredecessorFence(
            self.router, self.key_quarantine, lambda: self.state.settings
        )
        self.past_abort_time = False  # the process is about to exit and rejects new requests
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
        """The planners, ordered by index."""
        return self.router.planners

    @property
    def open_request_count(self) -> int:
        """The number of unanswered requests; `exchanges` also has answered ones with an attempt in flight."""
        return sum(not exchange.answered for exchange in self.exchanges.values())

    # ---- requests

    def accept(self, request: ClientRequest, client: Client, wire: str) -> Exchange:
        """Accept a request; it gets exactly one final answer, possibly before this method returns."""
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
        if request.key and self.arrival_order:
            if self.arrival_order.must_wait(request.received_at):
                exchange.trace(TraceStep.HELD_FOR_ORDER)
            self.arrival_order.queue(
                exchange.request_id,
                request.received_at,
                lambda: self._quarantine_or_pass_to_planner(exchange),
            )
        else:
            self._quarantine_or_pass_to_planner(exchange)
        return exchange

    def _quarantine_or_pass_to_planner(self, exchange: Exchange) -> None:
        """Queue a request for a key quarantine that applies to it, else pass it to its planner."""
        if self.key_quarantine.applies_to(exchange.planner.index, exchange.request.key):
            self.key_quarantine.queue(exchange.planner.index, exchange)
        else:
            self._pass_to_planner(exchange)

    def call_in_order(self, arrived_at: int, callback: Callable[[], None]) -> None:
        """Call `callback` once all requests with a key that arrived before `arrived_at` were passed on.

        A request is passed on to its planner or to the queue of a key quarantine.
        """
        if self.arrival_order:
            self.arrival_order.queue(object(), arrived_at, callback)
        else:
            callback()

    def keep_arrival_order(self, watermark: Watermark) -> ArrivalOrder:
        """Order requests with a key by arrival; the caller calls `ArrivalOrder.release` in each loop turn."""
        self.arrival_order = ArrivalOrder(watermark)
        return self.arrival_order

    @property
    def held_for_order_count(self) -> int:
        """The number of keyed requests and `call_in_order` callbacks that wait for earlier requests."""
        return self.arrival_order.waiting_count if self.arrival_order else 0

    def _immediate_answer(self, exchange: Exchange) -> Answer | None:
        """The answer to a request that is not passed to a planner, or None if it is."""
        if reason := self._early_rejection(exchange):
            self.early_rejections.record(exchange.request.client_request_id, reason, exchange.request_id)
            return self.rejection()
        if exchange.request.client_request_id in self.open_client_request_ids:
            # Engines identify a request by this id, so two open requests cannot share it
            return Answer(Verdict.FAILED)
        return None

    def _early_rejection(self, exchange: Exchange) -> EarlyRejection | None:
        if self.past_abort_time:
            return EarlyRejection.STOPPING
        if len(self.exchanges) >= self.max_exchanges:
            # Requests that cannot be served in time would only use up memory
            return EarlyRejection.REQUEST_LIMIT
        if not exchange.planner.connected:
            return EarlyRejection.NO_PLANNER
        if self.predecessor_fence.rejects(exchange.request.key):
            return EarlyRejection.PREDECESSOR_SERVES
        return None

    def reject_unaccepted(self, client_request_id: str, class_name: str, reason: EarlyRejection) -> Answer:
        """Count and trace a request that a front rejects without calling `accept`, and return its answer."""
        self.early_rejections.record(client_request_id, reason)
        self.counters.count_answer(class_name, Verdict.REJECTED)
        return self.rejection()

    def rejection_before_accept(self, request: ClientRequest) -> EarlyRejection | None:
        """The cause for which a request that its front has kept for some time can no longer be accepted."""
        if self.past_abort_time:
            return EarlyRejection.STOPPING
        return EarlyRejection.SCAN_TIMEOUT if self.clock() >= request.deadline else None

    def rejection(self) -> Answer:
        """The rejection of a request that no planner decides on, with the maximum Retry-After."""
        return Answer(Verdict.REJECTED, retry_after_ns=self.settings.max_retry_after)

    def _pass_to_planner(self, exchange: Exchange) -> None:
        if exchange.answered:
            return
        if not exchange.planner.connected:
            exchange.end_without_planner()
            return
        exchange.planner_notified = True
        exchange.notify_planner(self._request_event(exchange.request_id, exchange.request))

    def _request_event(self, request_id: int, request: ClientRequest) -> Request:
        """The event that notifies the planner of a request."""
        has_old_settings = request.class_settings is not self.settings.classes[request.class_index]
        return Request(
            request_id=request_id,
            class_index=request.class_index,
            deadline=request.deadline,
            tenant=DEFAULT_TENANT,
            table_group=request.table_group,
            key=request.key,
            estimated_work=request.estimated_work,
            estimated_memory_mb=request.estimated_memory_mb,
            is_retry=request.is_retry,
            received_at=request.received_at,
            client_has_key=request.client_has_key,
            class_settings=request.class_settings if has_old_settings else None,
        )

    def _on_settled(self, request_id: int) -> None:
        """Remove an exchange that is answered and has no attempt in flight; later calls have no effect."""
        exchange = self.exchanges.pop(request_id, None)
        if exchange is None:
            return
        self.open_client_request_ids.discard(exchange.request.client_request_id)
        if exchange.request.fingerprint and self.context.observer:
            self.context.observer.on_settled(exchange.request)
        exchange.discard_statement()
        if exchange.timer:
            exchange.timer.cancel()
        if self.arrival_order:
            self.arrival_order.remove(request_id)
        if not self.exchanges:
            self.on_idle()

    # ---- planner actions

    def apply(self, action: Action, planner_index: int = 0) -> None:
        """Carry out an action of a planner.

        Actions on a settled exchange are ignored, except that a `Forward` is reported back as not sent.
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
                # The other actions, such as `HealthCheck`, `WatchEndpoints`, `FetchEndpoints` and
                # `SendGossip`, are ignored by the forwarder
                pass

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
        """Apply new settings to requests accepted from now on.

        `planner_settings` is ordered by planner; `new_classes` are the numbers that now denote another class.
        """
        self.state.settings = settings
        for planner, own_settings in zip(self.planners, planner_settings, strict=True):
            planner.update_settings(own_settings, new_classes)

    def update_endpoints(self, endpoints: list[Endpoint], is_snapshot: bool) -> None:
        """Update the endpoint list: a snapshot replaces it, a delta has only the entries that have changed.

        Engine clients are updated before the planners are notified, so that they know every endpoint to which
        a planner may send an attempt.
        """
        for engine_name in self.state.update_endpoints(endpoints, is_snapshot):
            self.slow_start_budgets.forget(engine_name)
        for engine_client in self.engine_clients.values():
            engine_client.update_endpoints(endpoints, is_snapshot)
        kind = EndpointUpdateKind.SNAPSHOT if is_snapshot else EndpointUpdateKind.DELTA
        self.router.notify_all(EndpointUpdate(kind, tuple(endpoint.info for endpoint in endpoints)))

    # ---- planners

    def add_planner(self, notify: Notify, connected: bool, settings: Settings | None = None) -> None:
        """Add a planner; `settings`, if given, are sent to it whenever it connects."""
        self.router.add(notify, connected, settings)

    def on_planner_lost(self, planner_index: int) -> None:
        """End all exchanges of a planner, and quarantine its keys, as its attempts may still be running."""
        self.planners[planner_index].connected = False
        self.key_quarantine.start(planner_index, self.settings)
        for exchange in list(self.exchanges.values()):
            if exchange.planner.index == planner_index:
                exchange.end_without_planner()

    def on_planner_connected(self, planner_index: int) -> None:
        """Send settings and endpoints to a planner that has started, and route requests to it from now on."""
        endpoints = tuple(endpoint.info for endpoint in self.endpoints.values())
        self.planners[planner_index].connect(endpoints)


def _describe(request: ClientRequest) -> str:
    key = f" key {request.key}" if request.key else ""
    return f"{request.class_name} deadline {request.deadline}{key}"
