"""One attempt: a request as it is sent to one engine.

    in flight --on_ended: the engine client reports its outcome------------------> ended
    in flight --withdraw: the exchange takes it back, nothing of it has left-----> ended, NOT_SENT
    in flight --abort: the exchange stops it, nothing of it has left-------------> ended, NOT_SENT
    in flight --abort: the exchange stops it, some of it may have left-----------> ended, with the code given

Events of the engine client go up to the exchange, which is known here as an `AttemptOwner` only; commands of
the exchange go down to the engine client. The last byte may leave after the end of the attempt
(`on_written`): an engine client that has begun to write a request finishes it, so it still counts as
forwarded.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from query_gateway.forwarder.exchange_context import ExchangeContext
from query_gateway.forwarder.messages import Client, ClientRequest, EngineClient
from query_gateway.forwarder.send_guard import GuardedAttempts, SendRefusal
from query_gateway.forwarder.trace import TraceStep
from query_gateway.model.events import (
    LAST_ATTEMPT,
    AttemptOutcome,
    Event,
    OutcomeCode,
    ProgressKind,
    ProgressNote,
)
from query_gateway.model.settings import ClassSettings


@dataclass(slots=True, frozen=True)
class AttemptTerms:
    """On what terms an attempt runs at its engine."""

    memory_mb: float = 0.0  # 0: no grant
    priority: int = 1  # 0 is the lowest


class AttemptOwner(Protocol):
    """The exchange as its attempts know it: it takes their events."""

    context: ExchangeContext
    request_id: int
    request: ClientRequest
    client: Client
    class_settings: ClassSettings
    streams_results: bool
    abandoned: bool
    ended_at: int | None

    @property
    def engine_side(self) -> GuardedAttempts:
        """All attempts of the exchange."""

    @property
    def is_open(self) -> bool:
        """Whether any attempt may still serve the request."""

    @property
    def answered(self) -> bool:
        """Whether no answer is owed any more."""

    def trace(self, step: TraceStep, *details: object) -> None:
        """Note a step of the request."""

    def notify_planner(self, event: Event) -> None:
        """Send an event to the planner of the request."""

    def send_page(self, data: bytes, on_sent: Callable[[], None]) -> None:
        """The attempt has a page of the result for the client."""

    def on_send_refused(self, attempt: "Attempt", refusal: SendRefusal) -> None:
        """The attempt must not be written."""

    def on_attempt_ended(self, attempt: "Attempt", code: OutcomeCode) -> None:
        """The attempt has ended; called once."""


def outcome_of_unknown_request(request_id: int, endpoint: str) -> AttemptOutcome:
    """The outcome of an attempt that was not sent, as the exchange that counts the attempts has ended."""
    return AttemptOutcome(
        request_id=request_id,
        final=True,
        code=OutcomeCode.NOT_SENT,
        duration=0,
        attempt_number=LAST_ATTEMPT,
        endpoint=endpoint,
        work=None,
        memory_mb=None,
        load_report=(),
    )


def _ignore() -> None:
    """The caller does not wait for the page to be sent."""


class Attempt:
    """One attempt of an exchange; the engine client reports to it (see `AttemptHandle`).

    `number` is the planner's count of the attempts of the exchange.
    """

    __slots__ = (
        "exchange", "engine_client", "number", "endpoint", "sent_at", "memory_mb", "priority", "in_flight",
        "duration", "pages", "reported_work", "used_mb",
    )  # fmt: skip

    def __init__(
        self,
        exchange: AttemptOwner,
        engine_client: EngineClient,
        number: int,
        endpoint: str,
        terms: AttemptTerms,
    ) -> None:
        """An attempt in flight from now on."""
        self.exchange = exchange
        self.engine_client = engine_client
        self.number = number
        self.endpoint = endpoint
        self.sent_at = exchange.context.clock()
        self.memory_mb = terms.memory_mb
        self.priority = terms.priority
        self.in_flight = True
        self.duration = 0  # nanoseconds until the engine had finished the work; 0: it has not
        self.reported_work = 0  # nanoseconds, as the engine reports it; 0: not reported
        self.used_mb = 0.0  # as the engine reports it; 0: not reported
        self.pages: list[bytes] = []  # of a result that is collected, not streamed

    @property
    def request(self) -> ClientRequest:
        """The request that the attempt runs."""
        return self.exchange.request

    # ---- events of the engine client

    def may_be_written(self) -> bool:
        """Whether the request may leave now; a client that has left is noticed here at the latest."""
        refusal = self.exchange.context.send_guard.refusal_to_write(self)
        if refusal is None:
            return True
        self.exchange.on_send_refused(self, refusal)
        return False

    def on_written(self) -> None:
        """The request has left for the engine to its last byte."""
        context = self.exchange.context
        context.counters.forwards += 1
        context.send_guard.check_written(self)
        self.exchange.trace(TraceStep.ATTEMPT_WRITTEN, self.endpoint)

    def on_progress(self, kind: ProgressKind, level: float) -> None:
        """Pass a progress note of the engine on to the planner, and a spill to the observer."""
        if not self.in_flight:
            return
        exchange = self.exchange
        observer = exchange.context.observer
        if kind is ProgressKind.SPILLING and self.request.fingerprint and observer:
            observer.on_spilled(self.request, exchange.context.clock())
        exchange.notify_planner(ProgressNote(exchange.request_id, self.number, self.endpoint, kind, level))

    def on_executed(self) -> None:
        """The engine has finished the work; what follows is the transfer of the result."""
        self.duration = self.duration or self.exchange.context.clock() - self.sent_at

    def on_measured(self, work_ns: int, used_mb: float) -> None:
        """The work and the memory that the engine itself reports; 0: not reported."""
        self.reported_work = work_ns
        self.used_mb = used_mb

    def on_page(self, data: bytes, on_sent: Callable[[], None] = _ignore) -> None:
        """Stream a page of the result to the client, or collect it until the attempt ends."""
        if not self.in_flight:
            return
        if self.exchange.streams_results:
            self.exchange.send_page(data, on_sent)
        else:
            self.pages.append(data)

    def on_ended(self, code: OutcomeCode) -> None:
        """End the attempt; only the first call counts."""
        if self.in_flight:
            self.in_flight = False
            self.exchange.on_attempt_ended(self, code)

    # ---- commands of the exchange

    def withdraw(self) -> bool:
        """End the attempt as never sent, if nothing of it has left; whether that was so."""
        if not self.engine_client.withdraw(self):
            return False
        self.on_ended(OutcomeCode.NOT_SENT)
        return True

    def abort(self, code: OutcomeCode) -> None:
        """End the attempt at once: as never sent if that is so, else cancelled with this code."""
        if not self.withdraw() and self.in_flight:
            self.engine_client.cancel(self)
            self.on_ended(code)

    def on_send_deadline(self) -> None:
        """Withdraw the attempt if nothing of it has left when it may no longer be sent.

        A dial that takes long, or an engine that stops reading, may outlast the time in which engines
        recognise a duplicate; the request would then run twice. What is withdrawn here can never leave.
        """
        if self.in_flight:
            self.withdraw()

    # ---- reports of its end

    def outcome(self, code: OutcomeCode, duration: int) -> AttemptOutcome:
        """The event for the planner that reports the end of the attempt; `duration` in nanoseconds."""
        return AttemptOutcome(
            request_id=self.exchange.request_id,
            final=self.exchange.answered,
            code=code,
            duration=duration,
            attempt_number=self.number,
            endpoint=self.endpoint,
            work=None,
            memory_mb=None,
            load_report=(),
        )

    def notify_observer(self, code: OutcomeCode, duration: int) -> None:
        """Report the end of the attempt to the observer, if the statement has a fingerprint."""
        exchange = self.exchange
        observer = exchange.context.observer
        if not self.request.fingerprint or not observer:
            return
        work = self.reported_work or duration * exchange.class_settings.threads
        now = exchange.context.clock()
        observer.on_attempt_ended(self.request, self.endpoint, code, work, self.used_mb, now)
