"""Classifies statements on the loop: at once if the shape is cached, else after a parse off the loop."""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field

from query_gateway.forwarder.messages import ClientRequest
from query_gateway.model.events import OutcomeCode
from query_gateway.net.log import log
from query_gateway.net.loop import Loop, Timer
from query_gateway.parsing.snapshot_store import SnapshotStore
from query_gateway.parsing.supervisor import ParserSupervisor
from query_gateway.statements.classifier import MAX_SHAPES, CachedStatement, Classifier, rejected_decision
from query_gateway.statements.errors import UnsupportedStatementError
from query_gateway.statements.messages import ClientTerms, Decision, ParseResult, Rules
from query_gateway.statements.normalizer import NormalizedStatement

SAVE_INTERVAL_S = 30.0  # between two snapshots of the cost estimates
FIGURE_PREFIX = "svc_"
# Outcomes of failed attempts that the statement itself may have caused
STATEMENT_FAULTS = {OutcomeCode.ERROR, OutcomeCode.RESET, OutcomeCode.TIMEOUT}


@dataclass(slots=True)
class Classification:
    """The classification of a statement for a front. `decision` is None if it cannot be made at present."""

    decision: Decision | None
    fingerprint: bytes = b""
    table_group: int | None = None
    estimated_work_ns: int | None = None
    memory_mb: float = 0.0


ClassificationCallback = Callable[[Classification], None]


@dataclass(slots=True, frozen=True)
class ClassificationRequest:
    """A statement to classify, with the class and the key that its client requests."""

    text: str
    requested_class: str | None = None
    requested_key: str | None = None
    parameters: Sequence[object] = ()
    deadline: float | None = None  # of the client in loop time, if known
    # Under the settings that the request keeps; None: those in force
    idempotent_classes: frozenset[str] | None = None


@dataclass(slots=True, eq=False)
class _PendingClassification:
    """A request with its normalized statement, and the callback for the result."""

    request: ClassificationRequest
    statement: NormalizedStatement
    callback: ClassificationCallback = field(repr=False)
    timer: Timer | None = None  # fires at the client's deadline


class StatementService:
    """Classifies statements for the fronts, and learns costs and limits from the outcomes of their attempts.

    Owns the classifier, the parser processes and the snapshot file. `stop` saves the cost estimates and ends
    the processes.
    """

    def __init__(
        self,
        loop: Loop,
        rules: Rules,
        idempotent_classes: Collection[str],
        parsers: int = 2,
        capacity: int = MAX_SHAPES,
    ) -> None:
        """`parsers`: number of parser processes, started here.

        `capacity`: maximum number of normalized statements (shapes) in the cache.
        """
        self.loop = loop
        self.classifier = Classifier(rules, idempotent_classes, capacity)
        self.stopped = False
        self.rejected_count = 0
        self.snapshot_store: SnapshotStore | None = None
        self._waiting: dict[_PendingClassification, None] = {}  # calls that wait for a parse, oldest first
        self.supervisor = ParserSupervisor(loop, rules, parsers)

    # ---- called by the fronts

    def classify(self, request: ClassificationRequest, callback: ClassificationCallback) -> None:
        """Call `callback` once: immediately if no parse is needed or possible, else after the parse.

        If the request's deadline passes before the end of the parse, `decision` is None.
        """
        try:
            statement = self.classifier.normalize(request.text)
        except UnsupportedStatementError as error:
            self.rejected_count += 1
            callback(Classification(rejected_decision(error)))
            return
        call = _PendingClassification(request, statement, callback)
        if (cached := self.classifier.cached(statement)) is not None:
            self._finish(call, cached)
        elif quarantined := self.supervisor.quarantined(statement):
            self._finish(call, CachedStatement(quarantined, None))
        elif not self.supervisor.submit(
            statement, self.loop.now(), lambda result: self._on_parsed(call, result)
        ):
            callback(Classification(None))
        else:
            self._waiting[call] = None
            if request.deadline is not None:
                call.timer = self.loop.call_at(request.deadline, lambda: self._give_up(call))

    def give_up_waiting(self) -> None:
        """End every classification that waits for a parse, with `decision` None."""
        for call in list(self._waiting):
            self._give_up(call)

    def _give_up(self, call: _PendingClassification) -> None:
        if self._end_wait(call):
            call.callback(Classification(None))

    def _end_wait(self, call: _PendingClassification) -> bool:
        """Cancel the timer and remove the call from the waiting ones; returns whether it was one of them."""
        if call.timer:
            call.timer.cancel()
        if call not in self._waiting:
            return False
        del self._waiting[call]
        return True

    def _on_parsed(self, call: _PendingClassification, result: ParseResult | None) -> None:
        """Handle the end of a parse; `result` is None if the statement cannot be parsed now."""
        if not self._end_wait(call):
            return
        if result is None:
            call.callback(Classification(None))
            return
        cached = self.classifier.shapes.peek(call.statement.fingerprint)
        if cached is None and self.supervisor.quarantined(call.statement) is not None:
            cached = CachedStatement(result, None)
        self._finish(call, cached or self.classifier.learn(call.statement, result))

    def _finish(self, call: _PendingClassification, cached: CachedStatement) -> None:
        statement, request = call.statement, call.request
        terms = ClientTerms(
            request.requested_class, request.requested_key, request.parameters, request.idempotent_classes
        )
        decision = self.classifier.decide(cached, statement, terms)
        classification = Classification(decision, statement.fingerprint, cached.table_group)
        if decision.is_accepted and decision.class_name is not None:
            costs = self.classifier.costs
            classification.estimated_work_ns = costs.cost_ns(
                statement.fingerprint, decision.class_name, cached.table_group
            )
            classification.memory_mb = costs.memory_mb(statement.fingerprint)
        else:
            self.rejected_count += 1
        call.callback(classification)

    # ---- the forwarder's observer: outcomes of statements

    def rejection_reason(self, fingerprint: bytes, now: int) -> str:
        """Return the reason to reject a further statement of the shape with this fingerprint.

        The reason is empty if the statement may be accepted. `now`: clock time in nanoseconds.
        """
        return self.classifier.limits.rejection_reason(fingerprint, now)

    def on_accepted(self, query: ClientRequest) -> None:
        """Count an accepted query as running."""
        self.classifier.limits.query_started(query.fingerprint)

    def on_settled(self, query: ClientRequest) -> None:
        """Count an accepted query as ended: it is answered and has no attempt in flight."""
        self.classifier.limits.query_ended(query.fingerprint)

    def on_spilled(self, query: ClientRequest, now: int) -> None:
        """Record that an attempt needed more memory than its engine had."""
        self.classifier.limits.attempt_spilled(query.fingerprint, now)

    def on_attempt_ended(  # noqa: PLR0913, PLR0917 - the signature of the forwarder's observer
        self, query: ClientRequest, engine: str, code: OutcomeCode, work_ns: int, used_mb: float, now: int
    ) -> None:
        """Learn from the outcome of an attempt.

        `work_ns`: processor time over all threads as reported by the engine, else run time times threads.
        """
        fingerprint, limits, costs = query.fingerprint, self.classifier.limits, self.classifier.costs
        if code is OutcomeCode.OK:
            table_group = None if query.table_group is None else int(query.table_group)
            usual_ns = costs.cost_ns(fingerprint, query.class_name, table_group)
            limits.attempt_succeeded(fingerprint, work_ns, usual_ns, now)
            costs.observe(fingerprint, query.class_name, table_group, work_ns, used_mb)
        elif code in STATEMENT_FAULTS:
            limits.attempt_failed(fingerprint, engine, now)

    # ---- cost estimates across restarts and upgrades

    def restore(self, path: str, inherited: object = None) -> None:
        """Restore the estimates in `inherited`, from a predecessor, else those in the file at `path`.

        From now on the estimates are saved to the file every SAVE_INTERVAL_S; an empty path means no file.
        """
        costs = self.classifier.costs
        is_inherited = inherited is not None and costs.restore(inherited)
        if not path:
            return
        self.snapshot_store = SnapshotStore(path)
        self.snapshot_store.remove_leftovers()
        stored = None if is_inherited else self.snapshot_store.load()
        if stored is not None and not costs.restore(stored):
            log("statements", f"{path} contains no usable cost estimates; starting without them")
        self._schedule_save()

    def _schedule_save(self) -> None:
        self.loop.call_at(self.loop.now() + SAVE_INTERVAL_S, self._save_periodically)

    def _save_periodically(self) -> None:
        if self.snapshot_store and not self.stopped:
            self._schedule_save()
            self.snapshot_store.save(self.classifier.costs.snapshot())

    def figures(self) -> list[str]:
        """Return the figures of classification and parsing, as lines for the admin server."""
        pool = self.supervisor.pool
        figures = {
            **self.classifier.figures(),
            "statement_turned_down_total": self.rejected_count,
            "statement_parses_too_slow_total": pool.timed_out_count,
            "statement_parsers_died_total": pool.lost_count,
        }
        return [f"{FIGURE_PREFIX}{name} {value:g}" for name, value in figures.items()]

    def update_rules(self, rules: Rules, idempotent_classes: Collection[str]) -> None:
        """Use new rules for the statements that are classified from now on."""
        have_rules_changed = rules != self.classifier.rules
        self.classifier.update_rules(rules, idempotent_classes)
        if have_rules_changed:
            self.supervisor.update_rules(rules)

    def stop(self) -> None:
        """Save the estimates and end the parser processes; no further statement is parsed."""
        if self.snapshot_store and not self.stopped:
            self.snapshot_store.save(self.classifier.costs.snapshot())
        self.stopped = True
        self.supervisor.close()
