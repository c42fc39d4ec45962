"""The platform's engines: few connections to each, many requests on every one."""

import math
from collections.abc import Callable, Generator

from query_gateway.engine_protocol import frames
from query_gateway.forwarder.messages import AttemptHandle, Endpoint
from query_gateway.model.endpoints import EndpointState
from query_gateway.model.events import OutcomeCode, ProgressKind
from query_gateway.net.loop import Loop, Task
from query_gateway.net.stream import Reason, Stream, WriteMark, address_of

MS = 1_000_000
NOTES = {"share": ProgressKind.PROGRESS, "short": ProgressKind.SPILLING, "held": ProgressKind.WAITING}
ENDS = {"refused": OutcomeCode.FULL, "error": OutcomeCode.ERROR, "stale": OutcomeCode.NOT_SENT}
STOPPED = 4_096  # names kept of attempts that a connection's late answers may still name
PAGES = 64
OUTBOX = 4_194_304  # bytes that an engine may leave unread
QUIET = 1.2  # periods of the engines' notes without a byte, though something is out: nothing new is sent
MUTE = 1.6  # and so many: nothing more will come
STALLED = 0.3  # seconds without a byte in the midst of an answer, or while a page is due: nor here
ENDLESS = 2.0  # seconds until an answer that has begun must be whole, whatever else comes meanwhile
PAGE = 6_000  # bytes of a page
RESULT = 48_000  # and of all of them
COLUMNS = 3
IDLE_SHARE = 0.8  # of the engines' idle time after which we close first, so that no request crosses theirs


class Open:
    """An attempt on a connection."""

    __slots__ = ("attempt", "at", "mark", "left", "pages", "got", "began", "paged")

    def __init__(self, attempt: AttemptHandle, at: float) -> None:
        self.attempt, self.at = attempt, at
        self.mark: WriteMark | None = None  # its request, where it waits for the engine to read
        self.left = False  # the request has, to the last byte
        self.pages = 0
        self.got: dict[int, bytes] = {}
        self.began = 0.0  # when its answer came
        self.paged: float | None = None  # when the last page came, the first with the answer itself


class Connection:
    def __init__(self, pool: "ConnectionPool", engine: str, target: Endpoint) -> None:
        self.pool, self.loop, self.engine, self.target = pool, pool.loop, engine, target
        self.open: dict[str, Open] = {}
        self.stopped: dict[str, None] = {}
        self.retired = False
        # Guards against a request written twice: once as it came, with the connection just up, and once more
        # with all that had waited for it
        self.live = False
        self.heard = self.used = self.loop.now()
        self.whole = self.heard  # when no answer was under way, or one came to its end
        self.decoder = frames.Decoder()
        self.dial_until = self.loop.now() + pool.dial_timeout
        dial = target.addresses["web"]
        what = f"engine {engine} {dial}"
        self.stream = Stream.dial(self.loop, address_of(dial), what, lambda: self.task.wake())
        self.task: Task = self.loop.spawn(self._run())

    def fits(self, name: str) -> bool:
        """Room for one more, on a connection that an answer to an earlier attempt of it cannot reach."""
        now = self.loop.now()
        if self.live:
            # Guards the request: written behind the engine's close, it may count as run
            self.stream.read_available()
        stale = not self.open and now - self.used > self.pool.idle_timeout
        if self.retired or self.stream.is_over or stale or len(self.stream.outbox) > OUTBOX:
            return False
        if self.live and now >= (self._patience(QUIET) or math.inf):
            return False
        if self.decoder.partial and not self.open:
            return False  # guards its answer: it would be glued to half a line that belongs to nothing
        return (
            len(self.open) < self.pool.streams_per_connection
            and name not in self.open
            and name not in self.stopped
        )

    def send(self, attempt: AttemptHandle) -> None:
        query = attempt.request
        self.used = self.loop.now()
        entry = self.open[query.client_id] = Open(attempt, self.used)
        if self.live:
            self._write(entry)
        self.task.wake()  # its patience runs from now

    def _write(self, entry: Open) -> None:
        attempt, q = entry.attempt, entry.attempt.request
        budget = max(1, (q.deadline - self.pool.clock()) // MS)
        fields = {"queue": q.class_name, "budget": str(budget)}
        if q.idempotency_key:
            fields["uniq"] = q.idempotency_key
        if attempt.memory_mb > 0:
            fields["allot"] = f"{attempt.memory_mb:g}"
        fields["urgency"] = str(attempt.priority)
        data = frames.request(q.client_id, fields, q.statement)

        def left() -> None:
            entry.left, entry.mark = True, None
            attempt.on_written()

        self.stream.write(data)
        entry.mark = self.stream.call_when_sent(left, len(data))

    def withdraw(self, name: str) -> bool:
        """Drop an attempt of which the engine has heard nothing, nor will."""
        entry = self.open.get(name)
        if entry is None or (self.live and not (entry.mark and self.stream.withdraw(entry.mark))):
            return False
        del self.open[name]
        self.task.wake()
        return True

    def cancel(self, name: str) -> None:
        """Give an attempt up; its late answers find nothing here."""
        if self.open.pop(name, None) is None:
            return
        if self.live:
            self._bar(name)
            self.stream.write(frames.stop(name))
        self.task.wake()

    def _bar(self, name: str) -> None:
        self.stopped[name] = None
        self.retired |= len(self.stopped) > STOPPED

    def set_priority(self, name: str, priority: int) -> None:
        if name in self.open and self.live:
            self.stream.write(frames.nice(name, priority))

    def _run(self) -> Generator[float | None, None, None]:
        reason, code = Reason.FAULT, OutcomeCode.RESET
        try:
            reason, code = yield from self._connect()
            if reason is Reason.DONE:
                code = OutcomeCode.RESET
                reason = yield from self._talk()
        finally:
            self.stream.close(reason)
            self.pool.forget(self)
            for entry in list(self.open.values()):
                # What had not left whole never ran, and where the dial was up no engine is to blame for it
                entry.attempt.on_ended(code if entry.left or not self.live else OutcomeCode.NOT_SENT)
            self.open.clear()

    def _connect(self) -> Generator[float | None, None, tuple[Reason, OutcomeCode]]:
        while not self.stream.connected:
            if self.stream.dial_refused or self.stream.eof:
                return Reason.DIAL_REFUSED, OutcomeCode.CONNECT_FAILED
            if self.loop.now() >= self.dial_until:
                return Reason.DIAL_TIMEOUT, OutcomeCode.CONNECT_FAILED
            if not self.open:
                return Reason.ABANDONED, OutcomeCode.CONNECT_FAILED
            yield self.dial_until
        self.live = True
        for entry in self.open.values():
            self._write(entry)
        self.heard = self.loop.now()
        return Reason.DONE, OutcomeCode.RESET

    def _patience(self, periods: float) -> float | None:
        """Until when a byte must come, if one must.

        Guards against a connection that stays open and is of no use: in the midst of an answer or with a page
        due something comes at once, and while an attempt is out the engine tells of it now and then.
        """
        if self.decoder.partial:
            return self.heard + STALLED
        paged = [e.paged for e in self.open.values() if e.paged is not None]
        dues = [max(self.heard, min(paged)) + STALLED] if paged else []
        if self.open and self.pool.progress_interval:
            first = next(iter(self.open.values())).at
            dues.append(max(self.heard, first) + self.pool.progress_interval * periods)
        return min(dues, default=None)

    def _talk(self) -> Generator[float | None, None, Reason]:
        while True:
            if self.stream.inbox:
                self.heard = self.loop.now()
                if not self.decoder.partial:
                    self.whole = self.heard
                try:
                    got = self.decoder.feed(self.stream.take_inbox())
                except frames.BadFrame:
                    return Reason.MALFORMED_RESPONSE
                for frame in got:
                    self._answer(frame)
                if got:
                    self.whole = self.heard
                if self._endless():
                    return Reason.MALFORMED_RESPONSE
            if self.stream.eof:
                return Reason.RESET if self.stream.reset else Reason.PEER_CLOSED
            until = self._patience(MUTE)
            if until and self.loop.now() >= until:
                return Reason.UNRESPONSIVE
            if not self.open:
                if self.retired:
                    return Reason.REPLACED
                until = self.used + self.pool.idle_timeout
                if self.loop.now() >= until:
                    return Reason.IDLE
            yield until

    def _endless(self) -> bool:
        """Guards against answers that never end while bytes keep coming, so that nothing is found silent."""
        since = self.heard - ENDLESS
        for name in [n for n, e in self.open.items() if e.paged is not None and e.began <= since]:
            self._spoilt(name)
        return self.decoder.partial and self.whole <= since

    def _answer(self, frame: frames.Frame) -> None:
        entry = self.open.get(frame.name)
        if entry is None:
            return  # late word on an attempt that was stopped
        attempt = entry.attempt
        if frame.word == "progress":
            kind = NOTES.get(frame.fields.get("detail", ""))
            if kind and (level := _real(frame.fields.get("val", ""))) is not None:
                attempt.on_progress(kind, level)
        elif frame.word == "ok" and entry.paged is None:
            entry.began = entry.paged = self.heard
            attempt.on_executed()
            pages = _whole(frame.fields.get("sheets", "1"), 1, PAGES)
            if pages is None:
                return self._spoilt(frame.name)
            entry.pages = pages
            if pages > 1:
                wanted = (frames.fetch(frame.name, n) for n in range(1, pages))
                self.stream.write(b"".join(wanted))
            self._page(frame.name, entry, 0, frame.data)
        elif frame.word == "batch" and entry.paged is not None:
            number = _whole(frame.fields.get("sheet", ""), 1, entry.pages - 1)
            if number is None:
                return self._spoilt(frame.name)
            self._page(frame.name, entry, number, frame.data)
        elif frame.word in ENDS:
            self._ended(frame.name, ENDS[frame.word] if entry.paged is None else OutcomeCode.ERROR)
        # whatever else comes is a second copy, or word that belongs to no attempt: it changes nothing

    def _page(self, name: str, entry: Open, number: int, data: bytes) -> None:
        if not sound(data):
            return self._spoilt(name)
        entry.got.setdefault(number, data)
        entry.paged = self.heard
        if len(entry.got) < entry.pages:
            return
        if entry.pages > 1:
            self.stream.write(frames.end(name))
        if sum(len(page) for page in entry.got.values()) > RESULT:
            return self._spoilt(name)
        for n in range(entry.pages):
            entry.attempt.on_page(entry.got[n])
        self._ended(name, OutcomeCode.OK)

    def _spoilt(self, name: str) -> None:
        """Guards the client and the planner: what cannot be read is no answer, and was never a good one."""
        self.retired = True
        self._ended(name, OutcomeCode.ERROR)

    def _ended(self, name: str, code: OutcomeCode) -> None:
        entry = self.open.pop(name)
        if code is not OutcomeCode.OK:
            self._bar(name)  # a second copy of this end must not meet the next attempt
        self.pool.where.pop(name, None)
        self.used = self.loop.now()
        entry.attempt.on_ended(code)


def sound(page: bytes) -> bool:
    """Whether a page is whole rows of text, three columns each."""
    if len(page) > PAGE or (page and not page.endswith(b"\n")):
        return False
    try:
        lines = page.decode().split("\n")[:-1]
    except UnicodeDecodeError:
        return False
    return all(line.count("\t") == COLUMNS - 1 for line in lines)


def _whole(text: str, least: int, most: int) -> int | None:
    if not text.isdigit() or len(text) > 9 or not least <= int(text) <= most:
        return None
    return int(text)


def _real(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if abs(value) < 1e12 else None


class ConnectionPool:
    """Every engine's connections."""

    streams_results = False

    def __init__(
        self,
        loop: Loop,
        clock: Callable[[], int],
        streams: int,
        dial_timeout: float,
        idle: float,
        note_period: float,
    ) -> None:
        self.loop, self.clock, self.streams_per_connection, self.dial_timeout = (
            loop,
            clock,
            streams,
            dial_timeout,
        )
        self.idle_timeout = idle * IDLE_SHARE
        self.progress_interval = note_period  # seconds; 0: engines tell nothing of what is out
        self.targets: dict[str, Endpoint] = {}
        self.connections: dict[str, list[Connection]] = {}
        self.where: dict[str, Connection] = {}

    def update_limits(self, streams: int, dial_timeout: float, idle: float, note_period: float) -> None:
        self.streams_per_connection, self.dial_timeout = streams, dial_timeout
        self.idle_timeout, self.progress_interval = idle * IDLE_SHARE, note_period

    def start(self, attempt: AttemptHandle) -> None:
        engine, name = attempt.endpoint, attempt.request.client_id
        target = self.targets.get(engine)
        if target is None or "web" not in target.addresses or name in self.where:
            attempt.on_ended(OutcomeCode.NOT_SENT)  # never sent, and no fault of the engine's
            return
        known = self.connections.setdefault(engine, [])
        connection = next((c for c in known if c.fits(name)), None)
        if connection is None:
            try:
                connection = Connection(self, engine, target)
            except OSError:  # out of descriptors: never sent either
                attempt.on_ended(OutcomeCode.NOT_SENT)
                return
            known.append(connection)
        self.where[name] = connection
        connection.send(attempt)

    def withdraw(self, attempt: AttemptHandle) -> bool:
        connection = self.where.get(attempt.request.client_id)
        if connection is None or not connection.withdraw(attempt.request.client_id):
            return False
        del self.where[attempt.request.client_id]
        return True

    def cancel(self, attempt: AttemptHandle) -> None:
        if connection := self.where.pop(attempt.request.client_id, None):
            connection.cancel(attempt.request.client_id)

    def set_priority(self, attempt: AttemptHandle) -> None:
        if connection := self.where.get(attempt.request.client_id):
            connection.set_priority(attempt.request.client_id, attempt.priority)

    def forget(self, connection: Connection) -> None:
        known = self.connections.get(connection.engine, [])
        if connection in known:
            known.remove(connection)
        if not known:  # guards the table against every engine that ever was
            self.connections.pop(connection.engine, None)
        for name in [n for n, c in self.where.items() if c is connection]:
            del self.where[name]

    def update_endpoints(self, targets: list[Endpoint], full: bool) -> None:
        if full:
            named = {t.info.name for t in targets}
            for engine in [e for e in self.targets if e not in named]:
                self._retire(engine)
        for target in targets:
            engine, old = target.info.name, self.targets.get(target.info.name)
            fresh = (
                old is None
                or old.info.started_at != target.info.started_at
                or old.addresses != target.addresses
            )
            if target.info.state is not EndpointState.UP or fresh:
                # Guards against a connection to a process that is no more, and against a send in a drain
                # that waits for its connection
                self._retire(engine)
            if target.info.state is EndpointState.REMOVED:
                self.targets.pop(engine, None)
            else:
                self.targets[engine] = target

    def _retire(self, engine: str) -> None:
        self.targets.pop(engine, None)
        for connection in list(self.connections.get(engine, [])):
            connection.retired = True
            for entry in list(connection.open.values()):  # guards the drain against what waits to be written
                if self.withdraw(entry.attempt):
                    entry.attempt.on_ended(OutcomeCode.CONNECT_FAILED)
            connection.task.wake()
        if not self.connections.get(engine):
            self.connections.pop(engine, None)
