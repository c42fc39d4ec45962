"""One attempt to run a request at one engine.

    in flight --on_ended: the engine client reports the outcome--------------> ended
    in flight --withdraw: by the exchange, no byte was sent------------------> ended, NOT_SENT
    in flight --abort: by the exchange, no byte was sent---------------------> ended, NOT_SENT
    in flight --abort: by the exchange, some bytes may have been sent--------> ended, with the given code

The attempt passes events of the engine client up to its exchange, which it knows only as an `AttemptOwner`,
and commands of the exchange down to the engine client. `on_written` may be called after the attempt has
ended: an engine client finishes a request that it has begun to write, so the attempt still counts as
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
    """The memory grant and the priority with which an attempt runs at its engine."""

    memory_mb: float = 0.0  # 0: no memory grant
    priority: int = 1  # 0 is the lowest


class AttemptOwner(Protocol):
    """The interface of an exchange to its attempts, which report their events to it."""

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
        """The engine side of the exchange, with all its attempts."""

    @property
    def is_open(self) -> bool:
        """Whether the exchange is neither streaming nor answered, so that any attempt may still serve it."""

    @property
    def answered(self) -> bool:
        """Whether the final answer has been sent, or is no longer needed as the client has disconnected."""

    def trace(self, step: TraceStep, *details: object) -> None:
        """Record a step of the request in the trace."""

    def notify_planner(self, event: Event) -> None:
        """Send an event to the planner of the request."""

    def send_page(self, data: bytes, on_sent: Callable[[], None]) -> None:
        """Send a result page of the attempt to the client."""

    def on_send_refused(self, attempt: "Attempt", refusal: SendRefusal) -> None:
        """The send guard has refused to write the attempt; `refusal` is the reason."""

    def on_attempt_ended(self, attempt: "Attempt", code: OutcomeCode) -> None:
        """The attempt has ended with `code`; called exactly once per attempt."""


def outcome_of_unknown_request(request_id: int, endpoint: str) -> AttemptOutcome:
    """The outcome of an attempt that was not sent because its exchange has ended.

    The number of the attempt is unknown, as the exchange that numbered it no longer exists. The outcome has
    `LAST_ATTEMPT` instead, which a planner process replaces by the number (`PlannerSession`).
    """
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
    """The default of `on_sent`, for callers without flow control."""


class Attempt:
    """One attempt of an exchange; the engine client reports to it through `AttemptHandle`.

    `number` is the attempt's number within the exchange, as the planner counts attempts.
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
        """Create the attempt as in flight, starting now."""
        self.exchange = exchange
        self.engine_client = engine_client
        self.number = number
        self.endpoint = endpoint
        self.sent_at = exchange.context.clock()
        self.memory_mb = terms.memory_mb
        self.priority = terms.priority
        self.in_flight = True
        self.duration = 0  # nanoseconds until the engine had finished executing; 0: not finished
        self.reported_work = 0  # nanoseconds of work that the engine reported; 0: not reported
        self.used_mb = 0.0  # memory use that the engine reported; 0: not reported
        self.pages: list[bytes] = []  # result pages, where the result is buffered rather than streamed

    @property
    def request(self) -> ClientRequest:
        """The client request that the attempt sends to its engine."""
        return self.exchange.request

    # ---- events from the engine client

    def may_be_written(self) -> bool:
        """Whether the send guard lets the request be written now; a refusal is reported to the exchange."""
        refusal = self.exchange.context.send_guard.refusal_to_write(self)
        if refusal is None:
            return True
        self.exchange.on_send_refused(self, refusal)
        return False

    def on_written(self) -> None:
        """Count the request as forwarded, its last byte having been written to the engine."""
        context = self.exchange.context
        context.counters.forwards += 1
        context.send_guard.check_written(self)
        self.exchange.trace(TraceStep.ATTEMPT_WRITTEN, self.endpoint)

    def on_progress(self, kind: ProgressKind, level: float) -> None:
        """Pass a progress note of the engine to the planner, and a spill to disk to the `QueryObserver`."""
        if not self.in_flight:
            return
        exchange = self.exchange
        observer = exchange.context.observer
        if kind is ProgressKind.SPILLING and self.request.fingerprint and observer:
            observer.on_spilled(self.request, exchange.context.clock())
        exchange.notify_planner(ProgressNote(exchange.request_id, self.number, self.endpoint, kind, level))

    def on_executed(self) -> None:
        """Record the run time: the engine has finished executing, and only the result transfer remains."""
        self.duration = self.duration or self.exchange.context.clock() - self.sent_at

    def on_measured(self, work_ns: int, used_mb: float) -> None:
        """Record the work and the memory use that the engine reports; 0: not reported."""
        self.reported_work = work_ns
        self.used_mb = used_mb

    def on_page(self, data: bytes, on_sent: Callable[[], None] = _ignore) -> None:
        """Stream a result page to the client, or buffer it until the attempt ends."""
        if not self.in_flight:
            return
        if self.exchange.streams_results:
            self.exchange.send_page(data, on_sent)
        else:
            self.pages.append(data)

    def on_ended(self, code: OutcomeCode) -> None:
        """End the attempt; calls after the first one are ignored."""
        if self.in_flight:
            self.in_flight = False
            self.exchange.on_attempt_ended(self, code)

    # ---- commands from the exchange

    def withdraw(self) -> bool:
        """End the attempt as not sent if no byte of it has been sent; return whether this was the case."""
        if not self.engine_client.withdraw(self):
            return False
        self.on_ended(OutcomeCode.NOT_SENT)
        return True

    def abort(self, code: OutcomeCode) -> None:
        """End the attempt at once: as not sent if no byte was sent, else by cancelling it, with `code`."""
        if not self.withdraw() and self.in_flight:
            self.engine_client.cancel(self)
            self.on_ended(code)

    def on_send_deadline(self) -> None:
        """Withdraw the attempt if no byte of it has been sent by the send deadline of `EngineSide.start`.

        A slow dial, or an engine that stops reading, may delay the attempt beyond the deduplication window of
        the engines. If it were still sent, the request could run twice; a withdrawn attempt is never sent.
        """
        if self.in_flight:
            self.withdraw()

    # ---- reports of the end

    def outcome(self, code: OutcomeCode, duration: int) -> AttemptOutcome:
        """The event that reports the end of the attempt to the planner; `duration` is in nanoseconds."""
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
        """Report the end of the attempt to the `QueryObserver` if the statement has a fingerprint."""
        exchange = self.exchange
        observer = exchange.context.observer
        if not self.request.fingerprint or not observer:
            return
        work = self.reported_work or duration * exchange.class_settings.threads
        now = exchange.context.clock()
        observer.on_attempt_ended(self.request, self.endpoint, code, work, self.used_mb, now)
