"""The platform's engines: few connections to each, many requests on every one."""

import math
from collections.abc import Callable, Generator

from mothknot.core.messages import Attempt, Target
from mothknot.interface import Code, NoteKind, State
from mothknot.net.loop import Loop, Task
from mothknot.net.stream import Mark, Reason, Stream, address_of
from mothknot.web import frames

MS = 1_000_000
NOTES = {"share": NoteKind.PROGRESS, "short": NoteKind.SPILLS, "held": NoteKind.WAITS}
ENDS = {"refused": Code.FULL, "error": Code.ERROR, "stale": Code.MOOT}
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

    def __init__(self, attempt: Attempt, at: float) -> None:
        self.attempt, self.at = attempt, at
        self.mark: Mark | None = None  # its request, where it waits for the engine to read
        self.left = False  # the request has, to the last byte
        self.pages = 0
        self.got: dict[int, bytes] = {}
        self.began = 0.0  # when its answer came
        self.paged: float | None = None  # when the last page came, the first with the answer itself


class Connection:
    def __init__(self, pool: "Pool", engine: str, target: Target) -> None:
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
        dial = target.dials["web"]
        what = f"engine {engine} {dial}"
        self.stream = Stream.dial(self.loop, address_of(dial), what, lambda: self.task.wake())
        self.task: Task = self.loop.spawn(self._run())

    def fits(self, name: str) -> bool:
        """Room for one more, on a connection that an answer to an earlier attempt of it cannot reach."""
        now = self.loop.now()
        if self.live:
            self.stream.look()  # guards the request: written behind the engine's close, it may count as run
        stale = not self.open and now - self.used > self.pool.idle
        if self.retired or self.stream.over or stale or len(self.stream.outbox) > OUTBOX:
            return False
        if self.live and now >= (self._patience(QUIET) or math.inf):
            return False
        if self.decoder.partial and not self.open:
            return False  # guards its answer: it would be glued to half a line that belongs to nothing
        return len(self.open) < self.pool.streams and name not in self.open and name not in self.stopped

    def send(self, attempt: Attempt) -> None:
        query = attempt.query
        self.used = self.loop.now()
        entry = self.open[query.name] = Open(attempt, self.used)
        if self.live:
            self._write(entry)
        self.task.wake()  # its patience runs from now

    def _write(self, entry: Open) -> None:
        attempt, q = entry.attempt, entry.attempt.query
        budget = max(1, (q.give_up_at - self.pool.clock()) // MS)
        fields = {"queue": q.class_name, "budget": str(budget)}
        if q.idempotency:
            fields["uniq"] = q.idempotency
        if attempt.memory_mb > 0:
            fields["allot"] = f"{attempt.memory_mb:g}"
        fields["urgency"] = str(attempt.priority)
        data = frames.request(q.name, fields, q.statement)

        def left() -> None:
            entry.left, entry.mark = True, None
            attempt.written()

        self.stream.write(data)
        entry.mark = self.stream.when_sent(left, len(data))

    def take_back(self, name: str) -> bool:
        """Drop an attempt of which the engine has heard nothing, nor will."""
        entry = self.open.get(name)
        if entry is None or (self.live and not (entry.mark and self.stream.take_back(entry.mark))):
            return False
        del self.open[name]
        self.task.wake()
        return True

    def stop(self, name: str) -> None:
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

    def rank(self, name: str, priority: int) -> None:
        if name in self.open and self.live:
            self.stream.write(frames.nice(name, priority))

    def _run(self) -> Generator[float | None, None, None]:
        reason, code = Reason.FAULT, Code.RESET
        try:
            reason, code = yield from self._connect()
            if reason is Reason.DONE:
                code = Code.RESET
                reason = yield from self._talk()
        finally:
            self.stream.close(reason)
            self.pool.forget(self)
            for entry in list(self.open.values()):
                # What had not left whole never ran, and where the dial was up no engine is to blame for it
                entry.attempt.ended(code if entry.left or not self.live else Code.MOOT)
            self.open.clear()

    def _connect(self) -> Generator[float | None, None, tuple[Reason, Code]]:
        while not self.stream.connected:
            if self.stream.refused or self.stream.eof:
                return Reason.DIAL_REFUSED, Code.CONNECT_FAILED
            if self.loop.now() >= self.dial_until:
                return Reason.DIAL_TIMEOUT, Code.CONNECT_FAILED
            if not self.open:
                return Reason.ABANDONED, Code.CONNECT_FAILED
            yield self.dial_until
        self.live = True
        for entry in self.open.values():
            self._write(entry)
        self.heard = self.loop.now()
        return Reason.DONE, Code.RESET

    def _patience(self, periods: float) -> float | None:
        """Until when a byte must come, if one must.

        Guards against a connection that stays open and is of no use: in the midst of an answer or with a page
        due something comes at once, and while an attempt is out the engine tells of it now and then.
        """
        if self.decoder.partial:
            return self.heard + STALLED
        paged = [e.paged for e in self.open.values() if e.paged is not None]
        dues = [max(self.heard, min(paged)) + STALLED] if paged else []
        if self.open and self.pool.note_period:
            first = next(iter(self.open.values())).at
            dues.append(max(self.heard, first) + self.pool.note_period * periods)
        return min(dues, default=None)

    def _talk(self) -> Generator[float | None, None, Reason]:
        while True:
            if self.stream.inbox:
                self.heard = self.loop.now()
                if not self.decoder.partial:
                    self.whole = self.heard
                try:
                    got = self.decoder.feed(self.stream.take())
                except frames.BadFrame:
                    return Reason.BAD_ANSWER
                for frame in got:
                    self._answer(frame)
                if got:
                    self.whole = self.heard
                if self._endless():
                    return Reason.BAD_ANSWER
            if self.stream.eof:
                return Reason.RESET if self.stream.reset else Reason.PEER_CLOSED
            until = self._patience(MUTE)
            if until and self.loop.now() >= until:
                return Reason.SILENT
            if not self.open:
                if self.retired:
                    return Reason.REPLACED
                until = self.used + self.pool.idle
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
                attempt.noted(kind, level)
        elif frame.word == "ok" and entry.paged is None:
            entry.began = entry.paged = self.heard
            attempt.ran()
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
            self._ended(frame.name, ENDS[frame.word] if entry.paged is None else Code.ERROR)
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
            entry.attempt.page(entry.got[n])
        self._ended(name, Code.OK)

    def _spoilt(self, name: str) -> None:
        """Guards the client and the planner: what cannot be read is no answer, and was never a good one."""
        self.retired = True
        self._ended(name, Code.ERROR)

    def _ended(self, name: str, code: Code) -> None:
        entry = self.open.pop(name)
        if code is not Code.OK:
            self._bar(name)  # a second copy of this end must not meet the next attempt
        self.pool.where.pop(name, None)
        self.used = self.loop.now()
        entry.attempt.ended(code)


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


class Pool:
    """Every engine's connections."""

    passing = False

    def __init__(
        self,
        loop: Loop,
        clock: Callable[[], int],
        streams: int,
        dial_timeout: float,
        idle: float,
        note_period: float,
    ) -> None:
        self.loop, self.clock, self.streams, self.dial_timeout = loop, clock, streams, dial_timeout
        self.idle = idle * IDLE_SHARE
        self.note_period = note_period  # seconds; 0: engines tell nothing of what is out
        self.targets: dict[str, Target] = {}
        self.connections: dict[str, list[Connection]] = {}
        self.where: dict[str, Connection] = {}

    def retune(self, streams: int, dial_timeout: float, idle: float, note_period: float) -> None:
        self.streams, self.dial_timeout = streams, dial_timeout
        self.idle, self.note_period = idle * IDLE_SHARE, note_period

    def start(self, attempt: Attempt) -> None:
        engine, name = attempt.engine, attempt.query.name
        target = self.targets.get(engine)
        if target is None or "web" not in target.dials or name in self.where:
            attempt.ended(Code.MOOT)  # never sent, and no fault of the engine's
            return
        known = self.connections.setdefault(engine, [])
        connection = next((c for c in known if c.fits(name)), None)
        if connection is None:
            try:
                connection = Connection(self, engine, target)
            except OSError:  # out of descriptors: never sent either
                attempt.ended(Code.MOOT)
                return
            known.append(connection)
        self.where[name] = connection
        connection.send(attempt)

    def take_back(self, attempt: Attempt) -> bool:
        connection = self.where.get(attempt.query.name)
        if connection is None or not connection.take_back(attempt.query.name):
            return False
        del self.where[attempt.query.name]
        return True

    def stop(self, attempt: Attempt) -> None:
        if connection := self.where.pop(attempt.query.name, None):
            connection.stop(attempt.query.name)

    def rank(self, attempt: Attempt) -> None:
        if connection := self.where.get(attempt.query.name):
            connection.rank(attempt.query.name, attempt.priority)

    def forget(self, connection: Connection) -> None:
        known = self.connections.get(connection.engine, [])
        if connection in known:
            known.remove(connection)
        if not known:  # guards the table against every engine that ever was
            self.connections.pop(connection.engine, None)
        for name in [n for n, c in self.where.items() if c is connection]:
            del self.where[name]

    def listed(self, targets: list[Target], full: bool) -> None:
        if full:
            named = {t.entry.engine for t in targets}
            for engine in [e for e in self.targets if e not in named]:
                self._retire(engine)
        for target in targets:
            engine, old = target.entry.engine, self.targets.get(target.entry.engine)
            fresh = old is None or old.entry.launched != target.entry.launched or old.dials != target.dials
            if target.entry.state is not State.UP or fresh:
                # Guards against a connection to a process that is no more, and against a send in a drain
                # that waits for its connection
                self._retire(engine)
            if target.entry.state is State.GONE:
                self.targets.pop(engine, None)
            else:
                self.targets[engine] = target

    def _retire(self, engine: str) -> None:
        self.targets.pop(engine, None)
        for connection in list(self.connections.get(engine, [])):
            connection.retired = True
            for entry in list(connection.open.values()):  # guards the drain against what waits to be written
                if self.take_back(entry.attempt):
                    entry.attempt.ended(Code.CONNECT_FAILED)
            connection.task.wake()
        if not self.connections.get(engine):
            self.connections.pop(engine, None)
