"""The Flight SQL front: statements in as GetFlightInfo and DoGet or as DoPut, results on as they come."""

import re
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING
from uuid import uuid4

from query_gateway.flight import messages
from query_gateway.forwarder.exchange import Exchange, Forwarder
from query_gateway.forwarder.messages import Answer, ClientRequest, RequestClasses, Verdict
from query_gateway.forwarder.readiness import STILL_COME, Phase, Readiness
from query_gateway.forwarder.table_group import table_group
from query_gateway.http.server import BadCall, hex_header, real_header
from query_gateway.model.settings import Idempotency, Settings
from query_gateway.net.loop import Loop
from query_gateway.net.stream import Listener, Reason, Stream
from query_gateway.rpc import grpc

if TYPE_CHECKING:
    from query_gateway.parsing.service import Classification, StatementService

MS = 1_000_000
WAY_BACK = 25 * MS  # of the client's time, kept for the way here and the last bytes' way back
TIMEOUT = re.compile(r"(\d{1,8})([HMSmun])")
UNITS = {"H": 3600 * 10**9, "M": 60 * 10**9, "S": 10**9, "m": 10**6, "u": 10**3, "n": 1}
SERVICE = "/arrow.flight.protocol.FlightService/"
REFUSED, FAILED = grpc.EXHAUSTED, grpc.INTERNAL  # the one status of each; the on-call page names them
CALL_TIME = 5.0  # seconds in which a call must have brought its message
MOST_DEADLINE = 3600 * 10**9


@dataclass(slots=True, frozen=True)
class FlightClass:
    number: int
    keyed: bool
    in_turn: bool
    give_up: int  # nanoseconds, for a call without a deadline
    safe: bool  # may run twice


def timeout_of(text: str | None, absent: int) -> int:
    if text is None:
        return absent
    found = TIMEOUT.fullmatch(text)
    if not found:
        raise BadCall(400, "grpc-timeout is unusable")
    return min(int(found[1]) * UNITS[found[2]], MOST_DEADLINE)


def query_of(
    statement: str, class_name: str, c: FlightClass, headers: dict[str, str], now: int, update: bool = False,
    judged: "Classification | None" = None,
) -> ClientRequest:  # fmt: skip
    """`judged`: what reading the statement said of it, where statements are read."""
    left = timeout_of(headers.get("grpc-timeout"), c.give_up)
    if not statement:
        raise BadCall(400, "the statement is missing")
    if update and c.safe:
        # Guards the rule on effects: what says itself that it changes something is never run twice
        raise BadCall(400, f"an update cannot run as {class_name[:80]}, whose queries may run twice")
    group = judged.table_group if judged else table_group(statement)
    cost = real_header(headers, "x-cpu-hint", 1e8)
    told = judged.decision if judged else None
    key = told.key if told and told.key else hex_header(headers, "x-row", 16, c.in_turn)
    idempotency = hex_header(headers, "x-txn-key", 32, c.keyed and not told)
    if idempotency is None and c.keyed:
        idempotency = uuid4().hex  # of this request alone: two equal inserts are two loads
    return ClientRequest(
        client_id=hex_header(headers, "x-txn", 16, False) or uuid4().hex[:16],
        class_index=c.number,
        class_name=class_name,
        statement=statement.encode(),
        deadline=now + max(left // 2, left - WAY_BACK),
        is_retry=headers.get("x-second-try") == "1",
        key=key if c.in_turn else None,
        idempotency_key=idempotency,
        estimated_work=int(cost * MS) if cost else judged.estimated_work_ns if judged else None,
        memory_mb=real_header(headers, "x-memory", 1e7) or (judged.memory_mb if judged else 0.0),
        table_group=None if group is None else float(group),
        is_update=update,
        shape=judged.fingerprint if judged else b"",
    )


def classes_of(classes: RequestClasses, settings: Settings) -> dict[str, FlightClass]:
    return {
        name: FlightClass(
            told.index,
            told.needs_idempotency_key,
            told.ordered_by_key,
            settings.classes[told.index].timeout,
            settings.classes[told.index].idempotency is Idempotency.IDEMPOTENT,
        )
        for name, told in classes.items()
    }


class FlightCall(grpc.Handler):
    """One call of a client; of an exchange it is the client's side."""

    def __init__(self, server: "Server", headers: dict[str, str], call: grpc.Call) -> None:
        self.server, self.meta, self.call = server, headers, call
        self.method = headers.get(":path", "").removeprefix(SERVICE)
        self.exchange: Exchange | None = None
        self.begun = self.done = self.asked = False
        # Guards the table of calls against those that never say what they want
        server.loop.call_at(server.loop.now() + CALL_TIME, self._late)

    def _late(self) -> None:
        if not self.exchange:
            self._finish(grpc.DEADLINE, "the call's message did not come in time")

    def message(self, data: bytes, size: int) -> None:
        self.call.taken(size)
        if self.done or self.exchange or self.asked:
            return
        try:
            if self.method == "GetFlightInfo":
                info = messages.info(data, messages.statement_of_descriptor(data))
                self._headers()
                self.call.send(info)
                self._finish(grpc.OK)
            elif self.method == "DoGet":
                self._ask(messages.statement_of_ticket(data), False)
            elif self.method == "DoPut":
                self._ask(messages.statement_of_update(data), True)
            else:
                self._finish(grpc.UNIMPLEMENTED, f"{self.method[:80]} is not supported here")
        except (messages.BadMessage, BadCall) as bad:
            self._finish(grpc.INVALID, str(bad))

    def ended(self) -> None:
        if not self.done and not self.exchange and not self.asked:
            known = self.method in ("GetFlightInfo", "DoGet", "DoPut")
            self._finish(grpc.INVALID if known else grpc.UNIMPLEMENTED, "the call holds no message")

    def broken(self, never_ran: bool) -> None:
        self.done = True
        if self.exchange:
            self.exchange.abandon()

    def _ask(self, statement: str, update: bool) -> None:
        """Take it at once, or once it is read where statements are."""
        server, now = self.server, self.server.forwarder.clock()
        named = self.meta.get("x-class")
        if server.statements is None:
            usual = server.update_class if update else server.query_class
            self._take(statement, named or usual, update, now, None)
            return
        if named is not None and named not in server.classes:
            raise BadCall(404, f"class {named[:80]!r} is unknown")
        if named is None and update:
            named = server.update_class  # an update says itself what it is
        self.asked = True
        key = hex_header(self.meta, "x-row", 16, False)

        def then(judged: "Classification") -> None:
            self._judged(statement, update, now, judged)

        server.statements.classify(statement, named, key, then)

    def _judged(self, statement: str, update: bool, now: int, judged: "Classification") -> None:
        if self.done:
            return
        server, told = self.server, judged.decision
        if told is None:
            self._refuse()
            return
        if not told.is_accepted or told.class_name is None:
            self._finish(grpc.INVALID, told.reason)
            return
        if server.statements and (why := server.statements.may_run(judged.fingerprint, now)):
            self._refuse(why)
            return
        try:
            self._take(statement, told.class_name, update, now, judged)
        except BadCall as bad:
            self._finish(grpc.INVALID, str(bad))

    def _refuse(self, why: str = "Overloaded") -> None:
        """Before anything was taken on: the client may come back when the settings say."""
        wait = str(-(-self.server.forwarder.settings.max_retry_after // MS))
        self._finish(REFUSED, why, [("x-throttle-ms", wait)])

    def _take(
        self, statement: str, name: str, update: bool, now: int, judged: "Classification | None"
    ) -> None:
        c = self.server.classes.get(name)
        if c is None:
            raise BadCall(404, f"class {name[:80]!r} is unknown")
        query = query_of(statement, name, c, self.meta, now, update, judged)
        self.exchange = self.server.forwarder.accept(query, self, "flight")

    def _headers(self) -> None:
        if not self.begun:
            self.begun = True
            self.call.wire.headers(self.call, [(":status", "200"), ("content-type", "application/grpc")])

    def _finish(self, status: int, text: str = "", more: grpc.Headers | None = None) -> None:
        if self.done:
            return
        self.done = True
        trailers = [("grpc-status", str(status)), *(more or [])]
        if text:
            plain = "".join(c if " " <= c <= "~" and c != "%" else "?" for c in text)
            trailers.append(("grpc-message", plain))
        if self.begun:
            self.call.finish(trailers)
            if not self.call.over:  # guards it against those that never read their answer, too
                self.server.loop.call_at(self.server.loop.now() + grpc.READER_TIME, self.call.reset)
        else:
            start = [(":status", "200"), ("content-type", "application/grpc")]
            self.call.wire.headers(self.call, start + trailers, end=True)

    # ---- the client's side of an exchange

    def send_page(self, page: bytes, left: Callable[[], None]) -> None:
        if not self.done:
            self._headers()
            self.call.send(page, left)

    def send_answer(self, answer: Answer) -> None:
        if answer.verdict is Verdict.SERVED:
            self._headers()
            self._finish(grpc.OK)
        elif answer.verdict is Verdict.REJECTED:
            wait = str(-(-answer.retry_after_ns // MS))
            self._finish(REFUSED, "Overloaded", [("x-throttle-ms", wait)])
        else:
            self._finish(FAILED, "Internal")


class Server:
    def __init__(
        self, loop: Loop, desk: Forwarder, address: tuple[str, int], classes: dict[str, FlightClass],
        query_class: str, update_class: str, most: int, readiness: Readiness, shared: bool = False,
        given: socket.socket | None = None, statements: "StatementService | None" = None,
    ) -> None:  # fmt: skip
        self.statements = statements
        self.loop, self.forwarder, self.classes, self.max_connections = loop, desk, classes, most
        self.query_class, self.update_class = query_class, update_class
        self.wires: list[grpc.Wire] = []
        self.readiness, self.sent_away = readiness, 0.0
        readiness.watchers.append(self._changed)
        self.listener = Listener(loop, address, self._taken, shared, given)

    def _changed(self) -> None:
        if self.readiness.phase is Phase.DRAINING:
            self.sent_away = self.loop.now()
            self.loop.call_at(self.sent_away + STILL_COME, self._send_away)

    def _send_away(self) -> None:
        if self.readiness.phase is Phase.DRAINING and self.loop.now() >= self.sent_away + STILL_COME:
            for wire in self.wires:
                wire.go_away()

    def _taken(self, sock: socket.socket, peer: str) -> None:
        self.wires = [w for w in self.wires if not w.stream.closed]
        stream = Stream(self.loop, sock, f"flight-client {peer}")
        if len(self.wires) >= self.max_connections:  # guards the descriptors that the engines need
            idle = [w for w in self.wires if w.resting]
            if not idle:
                stream.close(Reason.TOO_MANY)
                return
            oldest = min(idle, key=lambda w: (w.heard, w.used))
            oldest.stream.close(Reason.TOO_MANY)
            oldest.task.wake()
            self.wires.remove(oldest)
        wire = grpc.Wire(self.loop, stream, client=False)
        wire.taken = lambda headers, call: FlightCall(self, headers, call)
        stream.start()
        self.wires.append(wire)
        self._send_away()

    def close(self) -> None:
        """Accept no more; what is open goes on to its end."""
        self.listener.close()
        for wire in self.wires:
            wire.go_away()

    @property
    def is_idle(self) -> bool:
        return all(w.stream.closed for w in self.wires)
