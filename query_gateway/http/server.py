"""The platform's front: HTTP/1.1 on h11, one call at a time on a connection, whole results in one answer."""

import http
import json
import re
import socket
from collections.abc import Callable, Generator
from dataclasses import replace
from itertools import islice
from typing import TYPE_CHECKING

import h11

from query_gateway.forwarder.exchange import Exchange, Forwarder
from query_gateway.forwarder.messages import Answer, ClientRequest, RequestClasses, Verdict
from query_gateway.forwarder.readiness import LAST_TAKEN, STILL_COME, Phase, Readiness
from query_gateway.forwarder.table_group import table_group
from query_gateway.net.loop import Loop, Task
from query_gateway.net.stream import Listener, Reason, Stream

if TYPE_CHECKING:
    from query_gateway.parsing.service import Classification, StatementService

MS = 1_000_000
WAY_BACK = 15 * MS  # of the client's time, kept for the way here and the way back
BODY = 262_144  # bytes of a statement
HEADERS = 16_384
HELLO_TIME = 2.0  # seconds from its start in which a connection must have brought a whole request
REQUEST_TIME = 5.0  # and in which a later request that began must be whole
READER_TIME = 30.0  # and an answer must have been read
IDLE_TIME = 6.0  # clients close what was idle for 4 s; who never does is closed soon after
LINGER = 1.0
GIVE_AGAIN = 0.02  # seconds until a connection that could not be passed on is tried again
HELLO_AWAY = 0.5  # seconds that a connection has for its call once clients are sent away
BEHIND = 0.25  # seconds that one turn of the loop may take before new calls are refused unseen
FLOOD = 1_048_576  # bytes beyond a full inbox that a client may send ahead of its answer
LOOKS = 8  # connections looked at for one whose place another gets
TTL_MOST = 3_600_000
HEX = frozenset("0123456789abcdef")
REAL = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")
JSON = ("Content-Type", "application/json")

# The one form that nearly all calls have is read here, as h11 costs too much on fast days; whatever differs
# in the least (another method, odd or repeated headers, a body not yet whole, more than one call) is h11's.
PLAIN = re.compile(rb"POST (/svc/[\w.-]+) HTTP/1\.1\r\n((?:[\w-]+: ?[!-~][ -~]*\r\n){1,40})\r\n")
NOT_PLAIN = frozenset(("transfer-encoding", "expect", "connection", "upgrade"))

Steps = Generator[float | None, None, Reason]


class BadCall(Exception):
    """A call that cannot be taken: the status and what is wrong."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def hex_header(headers: dict[str, str], name: str, digits: int, need: bool) -> str | None:
    value = headers.get(name)
    if value is None and not need:
        return None
    if value is None:
        raise BadCall(400, f"header {name} is missing")
    if len(value) != digits or not HEX.issuperset(value):
        raise BadCall(400, f"header {name} is not {digits} hex digits")
    return value


def real_header(headers: dict[str, str], name: str, most: float) -> float | None:
    if (value := headers.get(name)) is None:
        return None
    if not REAL.fullmatch(value):
        raise BadCall(400, f"header {name} is not a number")
    number = float(value)
    if number > most:
        raise BadCall(400, f"header {name} is out of range")
    return number


def query_of(
    class_name: str, classes: RequestClasses, headers: dict[str, str], body: bytes, now: int
) -> ClientRequest:
    """Decode one POST. `classes`: those that requests may name."""
    if class_name not in classes:
        raise BadCall(404, f"class {class_name!r} is unknown")
    request_class = classes[class_name]
    name = hex_header(headers, "x-txn", 16, True) or ""
    ttl = headers.get("x-ttl-ms", "")
    if not ttl.isascii() or not ttl.isdigit() or len(ttl) > 9 or int(ttl) > TTL_MOST:
        raise BadCall(400, "header x-ttl-ms is missing or not a number of milliseconds")
    idempotency = hex_header(headers, "x-txn-key", 32, request_class.needs_idempotency_key)
    key = hex_header(headers, "x-row", 16, request_class.ordered_by_key)
    cost = real_header(headers, "x-cpu-hint", 1e8)
    need = real_header(headers, "x-memory", 1e7)
    if headers.get("x-second-try", "1") != "1":
        raise BadCall(400, "header x-second-try is not 1")
    if not body:
        raise BadCall(400, "the statement is missing")
    try:
        group = table_group(body.decode())
    except UnicodeDecodeError:
        raise BadCall(400, "the statement is not UTF-8") from None
    left = int(ttl) * MS
    return ClientRequest(
        client_id=name,
        class_index=request_class.index,
        class_name=class_name,
        statement=body,
        deadline=now + max(left // 2, left - WAY_BACK),
        is_retry=headers.get("x-second-try") == "1",
        key=key if request_class.ordered_by_key else None,
        idempotency_key=idempotency,
        estimated_work=int(cost * MS) if cost else None,
        memory_mb=need or 0.0,
        table_group=None if group is None else float(group),
    )


def rows_of(pages: tuple[bytes, ...]) -> list[list[str]]:
    """Rows of an engine's pages: columns parted by tabs, each row ended by a line feed."""
    rows: list[list[str]] = []
    for page in pages:
        text = page.decode()
        if text and not text.endswith("\n"):
            raise ValueError("a page breaks off within a row")
        rows.extend(line.split("\t") for line in text.split("\n")[:-1])
    return rows


def plain_call(data: bytes | bytearray) -> tuple[str, dict[str, str], bytes] | None:
    """Path, headers and body, if the bytes are exactly one whole call of the plain form."""
    found = PLAIN.match(data)
    if found is None:
        return None
    lines = found[2].decode("ascii").split("\r\n")[:-1]
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    length = headers.get("content-length", "")
    if len(headers) != len(lines) or "host" not in headers or not NOT_PLAIN.isdisjoint(headers):
        return None
    if not length.isdigit() or len(length) > 6 or len(data) != found.end() + int(length):
        return None
    return found[1].decode("ascii"), headers, bytes(data[found.end() :])


class Held:
    """A client that waits for its answer."""

    def __init__(self, wake: Callable[[], None]) -> None:
        self.wake = wake
        self.answer: Answer | None = None

    def send_page(self, page: bytes, left: Callable[[], None]) -> None:
        raise NotImplementedError("this front takes whole results")

    def send_answer(self, answer: Answer) -> None:
        self.answer = answer
        self.wake()


class Connection:
    def __init__(self, server: "Server", sock: socket.socket, peer: str, asked: bool) -> None:
        self.server, self.loop, self.peer = server, server.loop, peer
        self.stream = Stream(server.loop, sock, f"client {peer}")
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=HEADERS)
        self.task: Task = server.loop.spawn(self._run())
        self.stream.on_activity = self.task.wake
        self.stream.start()
        self.plain = False  # the call under way was not h11's
        self.asked = asked  # a whole request has come, here or at the elder
        self.ahead = 0  # bytes thrown away that came ahead of their time
        self.told_close = False  # our last answer said that the connection ends with it
        self.began = self.loop.now()
        self.hello = self.began + HELLO_TIME
        if not asked:
            server.silent[self] = None

    def _run(self) -> Generator[float | None, None, None]:
        reason = Reason.FAULT
        try:
            reason = yield from self._calls()
        finally:
            self.drop(reason)

    def drop(self, reason: Reason) -> None:
        """Close; what is dropped from outside finds its stream closed when it next wakes."""
        self.stream.close(reason)
        for table in (self.server.connections, self.server.silent, self.server.idle):
            table.pop(self, None)
        self.task.wake()

    def _await_call(self) -> Generator[float | None, None, Reason | None]:
        """Until a call begins; a reason if none will."""
        patience = self.loop.now() + IDLE_TIME if self.asked else self.hello
        if self.asked:
            self.server.idle[self] = None
        while not self.stream.inbox and not self.http.trailing_data[0]:
            if self.stream.is_over:
                return Reason.RESET if self.stream.reset else Reason.PEER_CLOSED
            if self.server.closing or self.loop.now() >= patience:
                # Guards a request that crosses: a close over it would be a reset
                self.stream.read_available()
                if self.stream.inbox or self.stream.eof:
                    continue
                return (yield from self._linger(Reason.STOPPING if self.server.closing else self._unused()))
            until = patience
            if give := self.server.transfer:
                # Guards requests on a connection that rests: it stays open, and our successor goes on with it
                if give(self.stream.sock, self.peer, self.asked):
                    return Reason.TRANSFERRED
                until = min(until, self.loop.now() + GIVE_AGAIN)
            if self.server.away(STILL_COME):
                if self.asked:
                    return (yield from self._linger(Reason.DRAINED))
                until = min(until, self.began + HELLO_AWAY)
                if self.loop.now() >= until:
                    return (yield from self._linger(self._unused()))
            yield until
        self.server.idle.pop(self, None)
        return Reason.TOO_MANY if self.stream.closed else None

    def _unused(self) -> Reason:
        return Reason.IDLE if self.asked else Reason.UNRESPONSIVE

    def _last(self) -> Reason:
        """Why a connection ends with its answer."""
        if self.ahead:
            return Reason.BAD_REQUEST
        if self.server.closing:
            return Reason.STOPPING
        return Reason.DRAINED if self.server.away() else Reason.DONE

    def _whole(self) -> None:
        self.asked = True
        self.server.silent.pop(self, None)

    def _calls(self) -> Steps:
        while True:
            if over := (yield from self._await_call()):
                return over
            plain = None if self.http.trailing_data[0] else plain_call(self.stream.inbox)
            if plain:
                self.stream.take_inbox()
                self._whole()
                self.plain = True
                path, told, body = plain
                now = self.server.forwarder.clock()
                try:
                    gone = yield from self._take(query_of(path[5:], self.server.classes, told, body, now))
                except BadCall as bad:
                    return (yield from self._reject(bad.status, str(bad)))
                self.plain = False
                if gone:
                    return gone
                if self.told_close:
                    return (yield from self._linger(self._last()))
                continue
            try:
                got = yield from self._call()
                if isinstance(got, Reason):
                    return got
                self._whole()
                gone = yield from self._serve(*got)
            except h11.RemoteProtocolError as bad:
                return (yield from self._reject(bad.error_status_hint or 400, str(bad)))
            except BadCall as bad:
                return (yield from self._reject(bad.status, str(bad)))
            if gone:
                return gone
            if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
                return (yield from self._linger(self._last()))
            self.http.start_next_cycle()

    def _call(self) -> Generator[float | None, None, Reason | tuple[h11.Request, bytes]]:
        """One whole request, or why there is none."""
        request: h11.Request | None = None
        body = bytearray()
        until = self.loop.now() + REQUEST_TIME if self.asked else self.hello
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                if self.stream.inbox:
                    self.http.receive_data(self.stream.take_inbox())
                elif self.stream.is_over:
                    return Reason.ABANDONED
                elif self.loop.now() >= until:
                    raise BadCall(408, "the request did not come whole in time")
                else:
                    if self.http.they_are_waiting_for_100_continue:
                        self._send(h11.InformationalResponse(status_code=100, headers=[]))
                    yield until
            elif isinstance(event, h11.Request):
                request = event
                self._check_length(event)
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > BODY:
                    raise BadCall(413, "the statement is too long")
            elif isinstance(event, h11.EndOfMessage) and request:
                return request, bytes(body)
            else:
                return Reason.PEER_CLOSED

    @staticmethod
    def _check_length(request: h11.Request) -> None:
        told = {name for name, _ in request.headers}
        if b"content-length" in told and b"transfer-encoding" in told:
            # Guards against a request hidden in the body of another
            raise BadCall(400, "the body has two lengths")
        for name, value in request.headers:
            if name == b"content-length" and int(value) > BODY:  # h11 has seen to it that it is a number
                raise BadCall(413, "the statement is too long")

    def _serve(self, request: h11.Request, body: bytes) -> Generator[float | None, None, Reason | None]:
        path = request.target.decode("latin-1").partition("?")[0]
        method = request.method.decode("latin-1")
        server = self.server
        if path == "/status/live":
            if method not in ("GET", "HEAD"):
                raise BadCall(405, "only GET is known here")
            live = server.readiness.ready
            return (yield from self._reply(200 if live else 503, {"live": live}))
        prefix, _, class_name = path.rpartition("/")
        if prefix != "/svc":
            raise BadCall(404, "the path is unknown")
        if method != "POST":
            raise BadCall(405, "only POST is known here")
        headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in request.headers}
        query = query_of(class_name, server.classes, headers, body, server.forwarder.clock())
        return (yield from self._take(query))

    def _take(self, query: ClientRequest) -> Generator[float | None, None, Reason | None]:
        if query.client_id in self.server.forwarder.open_client_ids:
            raise BadCall(409, "a request with this id is open")
        held = Held(self.task.wake)
        # Guards engines: who waited long to be accepted may have left behind its call
        self.stream.read_available()
        if self.loop.lag() > BEHIND or self.server.away(LAST_TAKEN) or self.server.refuses:
            # Guards against a backlog that makes all answers late: what the core has no time for goes at
            # once; and a drain against connections that would never come to rest
            self._refuse(query, held)
        if self.server.statements and held.answer is None:
            query = yield from self._read(query, held, self.server.statements)
            if query.client_id in self.server.forwarder.open_client_ids:  # another came with its id meanwhile
                raise BadCall(409, "a request with this id is open")
        exchange = self.server.forwarder.accept(query, held, "web") if held.answer is None else None
        return (yield from self._wait(exchange, held))

    def _refuse(self, query: ClientRequest, held: Held) -> None:
        """Before it is taken: the core never hears of it."""
        held.send_answer(
            Answer(Verdict.REJECTED, retry_after_ns=self.server.forwarder.settings.max_retry_after)
        )
        self.server.forwarder.counters.count_answer(query.class_name, Verdict.REJECTED)

    def _read(
        self, query: ClientRequest, held: Held, statements: "StatementService"
    ) -> Generator[float | None, None, ClientRequest]:
        """Guards against a write under a class that may run twice; class and key stay as the call names
        them.
        """
        told: list[Classification] = []

        def judged(one: "Classification") -> None:
            told.append(one)
            self.task.wake()

        safe = query.class_name in statements.classifier.idempotent_classes
        if not safe:
            return query
        statements.classify(query.statement.decode(), query.class_name, query.key, judged)
        while not told and not self.stream.is_over:
            yield None
        if not told or told[0].decision is None:
            self._refuse(query, held)
            return query
        judgement, digest = told[0].decision, told[0].fingerprint
        if judgement.is_write:
            raise BadCall(400, judgement.reason or f"it writes, so it cannot run as {query.class_name}")
        if statements.may_run(digest, self.server.forwarder.clock()):
            self._refuse(query, held)
        return replace(query, shape=digest)

    def _wait(self, exchange: Exchange | None, held: Held) -> Generator[float | None, None, Reason | None]:
        while held.answer is None:
            flooded = self._flooded()
            if self.stream.is_over or flooded:
                if exchange:
                    exchange.abandon()
                return Reason.BAD_REQUEST if flooded else Reason.ABANDONED
            yield None
        answer = held.answer
        if answer.verdict is Verdict.REJECTED:
            wait = ("X-Throttle-Ms", str(-(-answer.retry_after_ns // MS)))
            return (yield from self._reply(429, {"failure": "Overloaded"}, wait))
        if answer.verdict is Verdict.FAILED:
            return (yield from self._reply(500, {"failure": "Internal"}))
        try:
            rows = rows_of(answer.pages)
        except ValueError:
            return (yield from self._reply(500, {"failure": "Internal"}))
        return (yield from self._reply(200, {"rows": rows}))

    def _flooded(self) -> bool:
        """Guards against a client that leaves behind a full inbox, where its end would not be found: what it
        sends beyond that is thrown away, within bounds, and the connection ends with its answer.
        """
        if self.stream.read_paused:
            self.ahead += len(self.stream.take_inbox())
        return self.ahead > FLOOD

    def _reply(
        self, status: int, value: object, *more: tuple[str, str]
    ) -> Generator[float | None, None, Reason | None]:
        data = json.dumps(value, ensure_ascii=False, separators=(",", ":")).encode()
        headers = [JSON, ("Content-Length", str(len(data))), *more]
        last = self.server.away() or self.server.closing or self.ahead
        if last and ("Connection", "close") not in more:
            headers.append(("Connection", "close"))
            self.told_close = True
        if self.plain:
            told = "".join(f"{name}: {value}\r\n" for name, value in headers)
            out = f"HTTP/1.1 {status} {http.HTTPStatus(status).phrase}\r\n{told}\r\n".encode() + data
        else:
            out = self.http.send(h11.Response(status_code=status, headers=headers)) or b""
            out += self.http.send(h11.Data(data=data)) or b""
            out += self.http.send(h11.EndOfMessage()) or b""
        self.stream.write(out)
        until = self.loop.now() + READER_TIME
        while self.stream.outbox:
            if self.stream.reset:
                return Reason.RESET
            if self.loop.now() >= until:
                return Reason.SLOW_READER
            yield until
        return None

    def _send(self, event: h11.InformationalResponse) -> None:
        self.stream.write(self.http.send(event) or b"")

    def _reject(self, status: int, text: str) -> Steps:
        """Answer what cannot be taken, where the connection still allows it, and close."""
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            gone = yield from self._reply(status, {"failure": text}, ("Connection", "close"))
            if gone:
                return gone
        reason = Reason.SLOW_REQUEST if status == 408 else Reason.BAD_REQUEST
        return (yield from self._linger(reason))

    def _linger(self, reason: Reason) -> Steps:
        """Guards our last bytes, and who sends as we end it: a close with unread input would be a reset. What
        comes behind our end is no request any more: its answer could not leave, so its client sends it again.
        """
        self.stream.half_close()
        until = self.loop.now() + LINGER
        while not self.stream.eof and self.loop.now() < until:
            self.stream.take_inbox()
            yield until
        return reason


class Server:
    def __init__(
        self,
        loop: Loop,
        desk: Forwarder,
        address: tuple[str, int],
        classes: RequestClasses,
        most: int,
        readiness: Readiness,
        shared: bool = False,
        given: socket.socket | None = None,
        statements: "StatementService | None" = None,
    ) -> None:
        self.statements = statements  # where writes under a class that may run twice are turned down
        self.loop, self.forwarder, self.classes, self.max_connections = loop, desk, classes, most
        self.readiness = readiness
        self.transfer: Callable[[socket.socket, str, bool], bool] | None = None  # passes a connection on
        self.connections: dict[Connection, None] = {}
        self.silent: dict[Connection, None] = {}  # who has not brought a whole request yet, oldest first
        self.idle: dict[Connection, None] = {}  # who waits between two requests, longest first
        self.closing = self.refuses = False  # `refuses`: too late before our end to begin anything
        self.sent_away: float | None = None
        readiness.watchers.append(self._changed)
        self.listener = Listener(loop, address, self.take, shared, given)

    def away(self, after: float = 0.0) -> bool:
        """Whether clients are sent away, and have been for so many seconds."""
        return self.sent_away is not None and self.loop.now() >= self.sent_away + after

    def _changed(self) -> None:
        if self.readiness.phase is not Phase.DRAINING:
            self.sent_away = None
        elif self.sent_away is None:
            self.sent_away = self.loop.now()
            self.loop.call_at(self.sent_away + STILL_COME, self._wake)

    def _wake(self) -> None:
        for connection in list(self.connections):
            connection.task.wake()

    def take(self, sock: socket.socket, peer: str, asked: bool = False) -> None:
        # Guards the descriptors that the engines need, and usual clients against crowds that say nothing:
        # who brings a request at once gets the place of who has been silent or idle for longest
        if len(self.connections) >= self.max_connections:
            if oldest := self._unused():
                oldest.drop(Reason.TOO_MANY)
            else:
                Stream(self.loop, sock, f"client {peer}").close(Reason.TOO_MANY)
                return
        self.connections[Connection(self, sock, peer, asked)] = None

    def _unused(self) -> "Connection | None":
        """Who has been silent, else idle, for longest, and of whom nothing has come even now."""
        for table in (self.silent, self.idle):
            for oldest in islice(table, LOOKS):
                oldest.stream.read_available()
                if not oldest.stream.inbox:
                    return oldest
        return None

    def start_transfer(self, give: Callable[[socket.socket, str, bool], bool] | None) -> None:
        """Pass on what rests, and what comes to rest; with None what rests is closed, as at any stop."""
        self.transfer = give
        if give is None:
            self.closing = True
        self._wake()

    def close(self) -> None:
        """Take what has come, accept no more, and let connections without an open request go."""
        self.closing = True
        self.listener.close()
        self._wake()

    @property
    def is_idle(self) -> bool:
        return not self.connections
