"""StatementService on the loop: a judgement at once where the shape is known, else after a parse in another
process.
"""

import os
import socket
import subprocess
import sys
from collections.abc import Callable, Collection, Sequence

from query_gateway.forwarder.messages import ClientRequest
from query_gateway.model.events import OutcomeCode
from query_gateway.net.log import log
from query_gateway.net.loop import IN, Loop, Timer
from query_gateway.parsing.frames import ParseRequest, decode_response, encode_frame, take_frame
from query_gateway.parsing.parsers import ParserPool, ParserSlot
from query_gateway.parsing.snapshot_store import SnapshotStore
from query_gateway.statements.classifier import MAX_SHAPES, CachedStatement, Classifier, rejected_decision
from query_gateway.statements.lexer import UnsupportedStatementError
from query_gateway.statements.messages import Decision, ParseResult, Rules
from query_gateway.statements.normalizer import NormalizedStatement

CHUNK = 65_536
KEEP_EVERY = 30.0  # seconds between two snapshots of what was learned
RETUNED = "the rules have changed"
CODES = {OutcomeCode.ERROR, OutcomeCode.RESET, OutcomeCode.TIMEOUT}  # that may be a statement's own doing


class Classification:
    """What the fronts need to know of a statement. Without a judgement it is not read now: come back."""

    __slots__ = ("decision", "fingerprint", "table_group", "estimated_work_ns", "memory_mb")

    def __init__(self, judgement: Decision | None, digest: bytes = b"", group: int | None = None) -> None:
        self.decision, self.fingerprint, self.table_group = judgement, digest, group
        self.estimated_work_ns: int | None = None
        self.memory_mb = 0.0


Then = Callable[[Classification], None]


class ParserProcess:
    """A parser process and our end of its socket."""

    def __init__(self, rules: Rules) -> None:
        self.sock, theirs = socket.socketpair()
        try:
            self.child = subprocess.Popen(
                [sys.executable, "-m", "query_gateway.parsing.worker"],
                stdin=theirs.fileno(), stdout=subprocess.DEVNULL,
                env={**os.environ, "PYTHONPATH": os.pathsep.join(p for p in sys.path if p)},
            )  # fmt: skip
        finally:
            theirs.close()
        self.inbox = bytearray()
        self.sock.sendall(encode_frame(rules))

    def end(self) -> None:
        self.child.kill()
        self.child.wait()


class StatementService:
    """The service that the fronts ask. Also watches what becomes of statements, and learns from it."""

    def __init__(
        self, loop: Loop, rules: Rules, safe: Collection[str], parsers: int = 2, room: int = MAX_SHAPES
    ) -> None:
        self.loop = loop
        self.classifier = Classifier(rules, safe, room)
        self.parsers = ParserPool(parsers)
        self.processes: dict[int, ParserProcess] = {}
        self.timer: Timer | None = None
        self.timer_at = 0.0
        self.stopped = False
        self.rejected_count = 0  # statements turned down
        self.snapshot_store: SnapshotStore | None = None
        for seat in self.parsers.slots:
            self._start(seat)

    # ---- what the fronts ask

    def classify(
        self, text: str, named: str | None, key: str | None, then: Then, bound: Sequence[object] = ()
    ) -> None:
        """`then` is called once: at once for a shape that is known, else when it is read."""
        try:
            shape = self.classifier.normalize(text)
        except UnsupportedStatementError as why:
            self.rejected_count += 1
            then(Classification(rejected_decision(why)))
            return
        known = self.classifier.cached(shape)
        if known is not None:
            then(self._judged(known, shape, named, key, bound))
            return

        now = self.loop.now()
        if poison := self.parsers.quarantined(shape, now):
            then(self._judged(CachedStatement(poison, None), shape, named, key, bound))
            return

        def read(plan: ParseResult | None) -> None:
            if plan is None:
                then(Classification(None))
            else:
                found = self.classifier.shapes.peek(shape.fingerprint)
                if found is None:
                    lost = self.parsers.quarantined(shape, self.loop.now()) is not None
                    found = CachedStatement(plan, None) if lost else self.classifier.learn(shape, plan)
                then(self._judged(found, shape, named, key, bound))

        if self.stopped or not self.parsers.add(shape, now, read):
            then(Classification(None))
            return
        self._go_on()

    def _judged(
        self,
        known: CachedStatement,
        shape: NormalizedStatement,
        named: str | None,
        key: str | None,
        bound: Sequence[object],
    ) -> Classification:
        judgement = self.classifier.decide(known, shape, named, key, bound)
        judged = Classification(judgement, shape.fingerprint, known.table_group)
        if not judgement.is_accepted or judgement.class_name is None:
            self.rejected_count += 1
            return judged
        costs = self.classifier.costs
        judged.estimated_work_ns = costs.cost_ns(shape.fingerprint, judgement.class_name, known.table_group)
        judged.memory_mb = costs.memory_mb(shape.fingerprint)
        return judged

    # ---- what becomes of statements: the desk's observer

    def may_run(self, digest: bytes, now: int) -> str:
        return self.classifier.limits.rejection_reason(digest, now)

    def on_accepted(self, query: ClientRequest) -> None:
        self.classifier.limits.query_started(query.shape)

    def on_settled(self, query: ClientRequest) -> None:
        self.classifier.limits.query_ended(query.shape)

    def on_spilled(self, query: ClientRequest, now: int) -> None:
        self.classifier.limits.attempt_spilled(query.shape, now)

    def on_attempt_ended(
        self, query: ClientRequest, engine: str, code: OutcomeCode, work_ns: int, used_mb: float, now: int
    ) -> None:
        """`work_ns`: of all its threads, as the engine tells it, else its time on all of them."""
        digest, limits, costs = query.shape, self.classifier.limits, self.classifier.costs
        if code is OutcomeCode.OK:
            group = None if query.table_group is None else int(query.table_group)
            usual = costs.cost_ns(digest, query.class_name, group)
            limits.attempt_succeeded(digest, work_ns, usual, now)
            costs.observe(digest, query.class_name, group, work_ns, used_mb)
        elif code in CODES:
            limits.attempt_failed(digest, engine, now)

    # ---- what was learned, kept over restarts and upgrades

    def restore(self, path: str, legacy: object = None) -> None:
        """Take over what an elder tells, else what the file at `path` holds, and keep that file from now
        on.
        """
        costs = self.classifier.costs
        told = legacy is not None and costs.restore(legacy)
        if not path:
            return
        self.snapshot_store = SnapshotStore(path)
        found = None if told else self.snapshot_store.load()
        if found is not None and not costs.restore(found):
            log("statements", f"{path} holds nothing that can be used; costs are learned afresh")
        self.loop.call_at(self.loop.now() + KEEP_EVERY, self._keep)

    def _keep(self) -> None:
        if self.snapshot_store and not self.stopped:
            self.snapshot_store.save(self.classifier.costs.snapshot())
            self.loop.call_at(self.loop.now() + KEEP_EVERY, self._keep)

    def figures(self) -> list[str]:
        told = {
            **self.classifier.figures(),
            "statement_turned_down_total": self.rejected_count,
            "statement_parses_too_slow_total": self.parsers.timed_out_count,
            "statement_parsers_died_total": self.parsers.died_count,
        }
        return [f"svc_{name} {value:g}" for name, value in told.items()]

    # ---- the parser processes

    def _start(self, seat: ParserSlot) -> None:
        if self.stopped:
            return
        self.parsers.starting(seat, self.loop.now())
        try:
            process = ParserProcess(self.classifier.rules)
        except OSError as bad:
            log("parser", f"cannot be started: {bad.strerror}")
            self.parsers.failed_starts += 1
            self.loop.call_at(
                self.loop.now() + max(1.0, self.parsers.restart_delay), lambda: self._start(seat)
            )
            return
        process.sock.setblocking(False)
        self.processes[seat.number] = process
        self.loop.watch(process.sock, IN, lambda: self._heard(seat, process))
        self._go_on()

    def _heard(self, seat: ParserSlot, process: ParserProcess) -> None:
        if self.processes.get(seat.number) is not process:
            return
        try:
            data = process.sock.recv(CHUNK)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._gone(seat, "the parser died on it")
            return
        process.inbox += data
        while frame := take_frame(process.inbox):
            told = decode_response(frame)
            if told.parse_result is None:
                self.parsers.ready(seat)
            elif job := self.parsers.completed(seat):
                for then in job.callbacks:
                    then(told.parse_result)
        self._go_on()

    def _gone(self, seat: ParserSlot, why: str) -> None:
        process = self.processes.pop(seat.number)
        self.loop.dispose(process.sock)
        process.end()
        log("parser", f"parser {seat.number} is started anew: {why}")
        plan: ParseResult | None = None  # what its callers hear; None: come back
        if why == RETUNED:
            job = self.parsers.replaced(seat)
        else:
            job, plan = (
                self.parsers.lost(seat, why, self.loop.now()),
                ParseResult(True, reason=why, is_parsed=False),
            )
        wait = self.parsers.restart_delay
        if wait:
            self.parsers.starting(seat, self.loop.now() + wait)
            self.loop.call_at(self.loop.now() + wait, lambda: self._start(seat))
        else:
            self._start(seat)
        for then in job.callbacks if job else ():
            then(plan)

    def _go_on(self) -> None:
        now = self.loop.now()
        for seat, job in self.parsers.assign(now):
            ask = ParseRequest(1, job.statement.tokens, len(job.statement.literals))
            try:
                self.processes[seat.number].sock.sendall(encode_frame(ask))
            except OSError:  # its end is heard as such; until then the job is overdue at worst
                continue
        due = self.parsers.next_deadline()
        if due is not None and (self.timer is None or due < self.timer_at):
            if self.timer:
                self.timer.cancel()
            self.timer_at = due + 0.001
            self.timer = self.loop.call_at(self.timer_at, self._look)

    def _look(self) -> None:
        self.timer = None
        now = self.loop.now()
        for seat in self.parsers.overdue(now):
            if seat.number in self.processes:
                self._gone(seat, "it takes too long to parse")
        for job in self.parsers.expire(now):
            for then in job.callbacks:
                then(None)
        self._go_on()

    def update_rules(self, rules: Rules, safe: Collection[str]) -> None:
        changed = rules != self.classifier.rules
        self.classifier.update_rules(rules, safe)
        if changed:
            for seat in self.parsers.slots:
                if seat.number in self.processes:
                    self._gone(seat, RETUNED)

    def stop(self) -> None:
        """End the parser processes; nothing is read any more."""
        if self.snapshot_store and not self.stopped:
            self.snapshot_store.save(self.classifier.costs.snapshot())
        self.stopped = True
        for process in self.processes.values():
            self.loop.dispose(process.sock)
            process.end()
        self.processes.clear()
