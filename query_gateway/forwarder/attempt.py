"""One attempt: a request as it is sent to one engine, from its start until its one end."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from query_gateway.forwarder.messages import ClientRequest
from query_gateway.forwarder.send_guard import HoldBack
from query_gateway.forwarder.trace import TraceStep
from query_gateway.model.events import (
    LAST_ATTEMPT,
    AttemptOutcome,
    OutcomeCode,
    ProgressKind,
    ProgressNote,
)

if TYPE_CHECKING:
    from query_gateway.forwarder.exchange import Exchange


@dataclass(slots=True, frozen=True)
class AttemptTerms:
    """On what terms an attempt runs at its engine."""

    memory_mb: float = 0.0
    priority: int = 1


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
    """Nobody waits for the page to be sent."""


class Attempt:
    """One attempt of an exchange; the engine client reports to it (see `AttemptHandle`).

    After its end only `on_written` still counts, as a forwarded attempt. `number` is the planner's count
    of the attempts of the exchange.
    """

    __slots__ = (
        "exchange", "number", "endpoint", "sent_at", "memory_mb", "priority", "in_flight", "duration",
        "pages", "reported_work", "used_mb",
    )  # fmt: skip

    def __init__(self, exchange: "Exchange", number: int, endpoint: str, sent_at: int) -> None:
        """An attempt in flight on the terms that the exchange has now; `sent_at` is a clock time."""
        self.exchange = exchange
        self.number = number
        self.endpoint = endpoint
        self.sent_at = sent_at
        self.memory_mb = exchange.terms.memory_mb
        self.priority = exchange.terms.priority
        self.in_flight = True
        self.duration = 0  # nanoseconds until the engine had finished the work; 0: it has not
        self.reported_work = 0  # nanoseconds, as the engine reports it; 0: not reported
        self.used_mb = 0.0  # as the engine reports it; 0: not reported
        self.pages: list[bytes] = []  # of a result that is collected, not streamed

    @property
    def request(self) -> ClientRequest:
        """The request that the attempt runs."""
        return self.exchange.request

    def on_send_deadline(self) -> None:
        """Withdraw the attempt if nothing of it has left.

        Guards against doubled effects: a slow connect, or an engine that stops reading, may outlast the time
        in which the attempt may be sent.
        """
        if self.in_flight:
            self.withdraw()

    def may_be_written(self) -> bool:
        """Whether the request may leave now; a client that has left is noticed here at the latest."""
        exchange = self.exchange
        refusal = exchange.forwarder.send_guard.refusal_to_write(self)
        if refusal is None:
            return True
        exchange.trace(TraceStep.HELD_BACK, f"{self.endpoint} {refusal.value}")
        if refusal is HoldBack.CLIENT_LEFT:
            exchange.abandon()
        return False

    def on_written(self) -> None:
        """The request has left for the engine to its last byte."""
        forwarder = self.exchange.forwarder
        forwarder.counters.forwards += 1
        forwarder.send_guard.note_written(self)
        self.exchange.trace(TraceStep.WRITTEN, self.endpoint)

    def on_progress(self, kind: ProgressKind, level: float) -> None:
        """Pass a progress note of the engine on to the planner, and a spill to the observer."""
        if not self.in_flight:
            return
        exchange = self.exchange
        observer = exchange.forwarder.observer
        if kind is ProgressKind.SPILLING and self.request.fingerprint and observer:
            observer.on_spilled(self.request, exchange.forwarder.clock())
        exchange.notify_planner(ProgressNote(exchange.request_id, self.number, self.endpoint, kind, level))

    def on_executed(self) -> None:
        """The engine has finished the work; what follows is the transfer of the result."""
        self.duration = self.duration or self.exchange.forwarder.clock() - self.sent_at

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

    def withdraw(self) -> bool:
        """End the attempt as never sent, if nothing of it has left; whether that was so."""
        if not self.exchange.engine_client.withdraw(self):
            return False
        self.on_ended(OutcomeCode.NOT_SENT)
        return True

    def abort(self, code: OutcomeCode) -> None:
        """End the attempt at once: as never sent if that is so, else cancelled with this code."""
        if not self.withdraw() and self.in_flight:
            self.exchange.engine_client.cancel(self)
            self.on_ended(code)

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
        observer = exchange.forwarder.observer
        if not self.request.fingerprint or not observer:
            return
        work = self.reported_work or duration * exchange.class_settings.threads
        now = exchange.forwarder.clock()
        observer.on_attempt_ended(self.request, self.endpoint, code, work, self.used_mb, now)
