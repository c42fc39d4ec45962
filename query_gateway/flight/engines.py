"""Flight SQL engines: one HTTP/2 connection to each, a call or two for every attempt."""

import re
from collections.abc import Callable
from enum import Enum

from query_gateway.flight import messages
from query_gateway.flight.server import SERVICE
from query_gateway.forwarder.messages import AttemptHandle, Endpoint
from query_gateway.model.endpoints import EndpointState
from query_gateway.model.events import OutcomeCode
from query_gateway.net.loop import Loop
from query_gateway.net.stream import Reason, Stream, address_of
from query_gateway.rpc import grpc

MS = 1_000_000
FIGURE = re.compile(r"\d{1,9}(\.\d{1,6})?", re.ASCII)  # of a query's work or memory, as an engine tells it


class Step(Enum):
    INFO = "GetFlightInfo"
    GET = "DoGet"
    PUT = "DoPut"


class Run(grpc.Handler):
    """One attempt: for a query its plan and then its result, for an update one exchange of messages."""

    def __init__(self, pool: "Pool", attempt: AttemptHandle) -> None:
        self.pool, self.attempt = pool, attempt
        self.link: Link | None = None
        self.call: grpc.Call | None = None
        self.step = Step.PUT if attempt.request.is_update else Step.INFO
        self.tickets: list[bytes] = []
        self.first: tuple[bytes, int] | None = None  # kept back until more comes: a schema is no row
        self.status: str | None = None
        self.over = False

    def begin(self, link: "Link") -> None:
        self.link = link
        statement = self.attempt.request.statement.decode()
        if self.step is Step.PUT:
            self._open(messages.update(statement))
        else:
            self._open(messages.query_descriptor(statement))

    def _open(self, message: bytes) -> None:
        q, a, link = self.attempt.request, self.attempt, self.link
        left = max(1, (q.deadline - self.pool.clock()) // MS)
        headers = [
            (":method", "POST"), (":scheme", "http"), (":path", SERVICE + self.step.value),
            (":authority", link.dial if link else ""), ("te", "trailers"),
            ("content-type", "application/grpc"),
            ("grpc-timeout", f"{left}m"), ("x-class", q.class_name), ("x-txn", q.client_id),
            ("x-priority", str(a.priority)),
        ]  # fmt: skip
        if q.idempotency_key:
            headers.append(("x-txn-key", q.idempotency_key))
        if a.memory_mb > 0:
            headers.append(("x-grant-mb", f"{a.memory_mb:g}"))
        self.status = None
        self.call = link.wire.open(headers, self) if link else None
        if self.call is None:
            self._end(OutcomeCode.CONNECT_FAILED if self.step is not Step.GET else OutcomeCode.RESET)
            return
        stream = link.wire.stream if link and self.step is not Step.GET else None

        def sent() -> None:
            if stream:
                stream.call_when_sent(self.attempt.on_written)

        self.call.send(message, sent if stream else None, last=True)

    # ---- what the engine says

    def headers(self, headers: dict[str, str]) -> None:
        self.status = headers.get("grpc-status", self.status)
        if "x-work-ms" in headers or "x-used-mb" in headers:
            work, used = (_figure(headers.get(name, "0")) for name in ("x-work-ms", "x-used-mb"))
            self.attempt.on_measured(int(work * MS), used)

    def message(self, data: bytes, size: int) -> None:
        call = self.call
        if self.over or call is None:
            return
        if self.step is Step.INFO:
            call.taken(size)
            try:
                self.tickets = messages.tickets_of_info(data)
            except messages.BadMessage:
                call.reset()
                self._end(OutcomeCode.ERROR)
        elif self.first is None and self.step is Step.GET:
            self.first = data, size
        else:
            self._release_first()
            self._pass(data, size)

    def _release_first(self) -> None:
        if self.first and self.first[0]:
            data, size = self.first
            self.first = b"", 0
            self._pass(data, size)

    def _pass(self, data: bytes, size: int) -> None:
        if call := self.call:
            self.attempt.on_page(data, lambda: call.taken(size))

    def ended(self) -> None:
        if self.over:
            return
        if self.status != str(grpc.OK):
            self._end(OutcomeCode.FULL if self.status == str(grpc.EXHAUSTED) else OutcomeCode.ERROR)
        elif self.step is Step.INFO and self.tickets:
            self.step = Step.GET
            self._open(self.tickets.pop(0))
        elif self.step is Step.INFO:
            self._end(OutcomeCode.ERROR)
        elif self.tickets:  # a result in several parts: each brings its schema, of which one is passed on
            self._release_first()
            self.first = None
            self._end(OutcomeCode.ERROR)
        else:
            self.attempt.on_executed()
            self._release_first()
            self._end(OutcomeCode.OK)

    def broken(self, never_ran: bool) -> None:
        self._end(
            OutcomeCode.CONNECT_FAILED if never_ran and self.step is not Step.GET else OutcomeCode.RESET
        )

    def _end(self, code: OutcomeCode) -> None:
        if not self.over:
            self.over = True
            self.pool.runs.pop(id(self.attempt), None)
            self.attempt.on_ended(code)

    def stop(self) -> None:
        self.over = True
        if self.call:
            self.call.reset()
        if self.link:
            self.link.waiting = [r for r in self.link.waiting if r is not self]


def _figure(text: str) -> float:
    """A figure that an engine tells of a query; one that cannot be read counts as not told."""
    return float(text) if FIGURE.fullmatch(text) else 0.0


class Link:
    """The connection to one engine, with what waits for it to come up."""

    def __init__(self, pool: "Pool", engine: str, dial: str) -> None:
        self.pool, self.dial = pool, dial
        self.waiting: list[Run] = []
        loop = pool.loop
        stream = Stream.dial(loop, address_of(dial), f"flight-engine {engine} {dial}", lambda: None)
        self.wire = grpc.Wire(loop, stream, client=True)
        wake = self.wire.task.wake

        def woken() -> None:
            wake()
            self._look()

        stream.on_activity = woken
        loop.call_at(loop.now() + pool.dial_timeout, self._late)

    @property
    def usable(self) -> bool:
        # Guards a call: written behind the engine's close, it may count as run
        self.wire.stream.read_available()
        return not self.wire.going and not self.wire.stream.is_over

    def _look(self) -> None:
        """Begin what waited, or end it if the connection never came up."""
        stream = self.wire.stream
        if not stream.connected and not stream.is_over:
            return
        waiting, self.waiting = self.waiting, []
        for run in waiting:
            if stream.is_over:
                run._end(OutcomeCode.CONNECT_FAILED)
            else:
                run.begin(self)

    def _late(self) -> None:
        if not self.wire.stream.connected and not self.wire.stream.closed:
            self.wire.going = True
            self.wire.stream.close(Reason.DIAL_TIMEOUT)
            self._look()

    def take(self, run: Run) -> None:
        run.link = self
        if self.wire.stream.connected:
            run.begin(self)
        else:
            self.waiting.append(run)


class Pool:
    """Every Flight SQL engine's connection."""

    streams_results = True

    def __init__(self, loop: Loop, clock: Callable[[], int], dial_timeout: float) -> None:
        self.loop, self.clock, self.dial_timeout = loop, clock, dial_timeout
        self.dials: dict[str, str] = {}
        self.links: dict[str, Link] = {}
        self.runs: dict[int, Run] = {}

    def start(self, attempt: AttemptHandle) -> None:
        dial = self.dials.get(attempt.endpoint)
        if dial is None:
            attempt.on_ended(OutcomeCode.NOT_SENT)  # never sent, and no fault of the engine's
            return
        link = self.links.get(attempt.endpoint)
        if link is None or not link.usable or link.dial != dial:
            if link:
                link.wire.leave()
            try:
                link = self.links[attempt.endpoint] = Link(self, attempt.endpoint, dial)
            except OSError:  # out of descriptors: never sent either
                attempt.on_ended(OutcomeCode.NOT_SENT)
                return
        run = self.runs[id(attempt)] = Run(self, attempt)
        link.take(run)

    def withdraw(self, attempt: AttemptHandle) -> bool:
        run = self.runs.get(id(attempt))
        # A call whose message has not left whole runs nothing, but behind its plan it may have begun
        here = run and run.step is not Step.GET and (run.call is None or bool(run.call.out))
        if here:
            self.cancel(attempt)
        return bool(here)

    def cancel(self, attempt: AttemptHandle) -> None:
        if run := self.runs.pop(id(attempt), None):
            run.stop()

    def set_priority(self, attempt: AttemptHandle) -> None:
        """A priority cannot be changed on this wire once the call is out."""

    def update_endpoints(self, targets: list[Endpoint], full: bool) -> None:
        if full:
            self.dials = {}
        for target in targets:
            engine = target.info.name
            if target.info.state is EndpointState.UP and "flight" in target.addresses:
                self.dials[engine] = target.addresses["flight"]
            else:
                # Guards the drain: nothing new goes there, while results under way go on
                self.dials.pop(engine, None)
        for engine in [e for e in self.links if e not in self.dials]:
            link = self.links.pop(engine)
            link.wire.leave()
            for run in [r for r in self.runs.values() if r.link is link]:
                if self.withdraw(run.attempt):
                    run.attempt.on_ended(OutcomeCode.CONNECT_FAILED)
