"""The oracle: which promises a run has broken. Pure: observations in, violations out.

Each check names the promise as `docs/promises.md` does. Where the soak's own processes hung, what they
measured meanwhile proves nothing, so such spans are left out and counted.
"""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, replace

from bench.fault_soak.clients import CROSSING_S
from bench.fault_soak.records import (
    ClientRecord,
    Ending,
    EngineChange,
    EngineEvent,
    EngineEventKind,
    Observations,
)
from bench.fault_soak.settings import (
    ANSWER_SLACK_S,
    COLD_S,
    DEDUPLICATION_WINDOW_S,
    DRAIN_GRACE_S,
    LOAD,
    OVERLOAD_WINDOW_S,
    REPORT,
    TOLD_AT_THE_LATEST_S,
    rate_allowed_when_cold,
)

MEASUREMENT_S = 0.06  # by which the soak's own processes may see something late
GONE_S = 0.1  # an attempt that begins later than this after its client has left is a lost request
BUDGET_SLACK_S = 0.15
SETTLE_S = 0.3  # keys rest after a doubt
NEVER_RAN_WORDS = ("refused", "stale")


@dataclass(slots=True, frozen=True)
class Violation:
    """One broken promise."""

    promise: str
    at: float
    detail: str


@dataclass(slots=True)
class Attempt:
    """A request as it reached an engine, until its end."""

    request: EngineEvent
    ended_at: float
    word: str = ""  # of its end; empty: given up or broken
    given_up: bool = False

    @property
    def never_ran(self) -> bool:
        """Whether the engine has said so."""
        return self.word in NEVER_RAN_WORDS


class Oracle:
    """Checks one run."""

    def __init__(self, observations: Observations) -> None:
        """Sort what was observed."""
        self.seen = observations
        self.clients = {record.client_request_id: record for record in observations.clients}
        self.attempts = self._attempts()

    def violations(self) -> list[Violation]:
        """All broken promises, in the order of their time."""
        checks = (
            self._lost(), self._unreadable(), self._after_client_left(), self._budgets(), self._concurrent(),
            self._duplicates(), self._drains(), self._cold_starts(), self._key_order(), self._processes(),
        )  # fmt: skip
        found = [violation for check in checks for violation in check if not self._is_blind(violation.at)]
        return sorted(found, key=lambda violation: violation.at)

    def _is_blind(self, at: float) -> bool:
        return any(began - 0.5 <= at <= ended + 0.5 for began, ended in self.seen.driver_stalls)

    def _is_unread(self, event: EngineEvent) -> bool:
        """Whether the request may have waited, sent, in the machine's buffers: when it came is not known."""
        return any(
            engine == event.engine and began <= event.at <= ended + 0.5
            for engine, began, ended in self.seen.unread_spans
        )

    def _attempts(self) -> dict[str, list[Attempt]]:
        """The attempts of each request, in order of their begin."""
        attempts: dict[str, list[Attempt]] = defaultdict(list)
        for event in sorted(self.seen.engine_events, key=lambda event: event.at):
            if event.kind is EngineEventKind.REQUEST and self._is_unread(event):
                continue
            if event.kind is EngineEventKind.REQUEST:
                attempts[event.client_request_id].append(Attempt(event, float("inf")))
                continue
            for attempt in attempts[event.client_request_id]:
                if attempt.request.engine == event.engine and attempt.ended_at == float("inf"):
                    attempt.ended_at, attempt.word = event.at, event.word
                    attempt.given_up = event.kind is not EngineEventKind.END
        return attempts

    # ---- clients

    def _was_ended(self, record: ClientRecord, until: float) -> bool:
        """Whether the gateway was killed, with no time to answer, while the request was open."""
        return any(
            outage.gateway == record.gateway
            and record.sent_at <= outage.killed_at + 0.2
            and until >= (outage.began_at if outage.kind == "killed" else outage.killed_at) - 0.05
            and (outage.kind == "killed" or record.sent_at > outage.began_at + 0.7)
            for outage in self.seen.outages
        )

    def _lost(self) -> Iterator[Violation]:
        for record in self.seen.clients:
            if not record.sent_at or self._was_ended(record, record.ended_at or record.sent_at + 4):
                continue
            age = record.ended_at - record.sent_at
            due = max(record.sent_at + record.ttl, record.turn_at) + ANSWER_SLACK_S + MEASUREMENT_S
            if record.ending is Ending.SILENT and record.ended_at:
                yield Violation("one final answer in time", record.ended_at, _of(record, "no answer"))
            elif record.ending is Ending.CLOSED:
                if record.reused_connection and age <= CROSSING_S:
                    continue  # it crossed the close of an idle connection
                yield Violation("one final answer in time", record.ended_at, _of(record, "closed unanswered"))
            elif record.ending in (Ending.SERVED, Ending.REJECTED, Ending.FAILED) and record.ended_at > due:
                yield Violation("one final answer in time", record.ended_at, _of(record, "late"))

    def _unreadable(self) -> Iterator[Violation]:
        for record in self.seen.clients:
            if record.ending is Ending.UNREADABLE:
                yield Violation(
                    "the answer is whole and the request's own", record.ended_at, _of(record, record.detail)
                )

    def _after_client_left(self) -> Iterator[Violation]:
        for record in self.seen.clients:
            for attempt in self.attempts.get(record.client_request_id, ()) if record.left_at else ():
                late = attempt.request.began_at - record.left_at
                if late > GONE_S + MEASUREMENT_S:
                    detail = f"sent to {attempt.request.engine} {late:.3f} s after its client left"
                    yield Violation(
                        "nothing begins for a client that left", attempt.request.at, _of(record, detail)
                    )

    def _budgets(self) -> Iterator[Violation]:
        for client_request_id, attempts in self.attempts.items():
            record = self.clients.get(client_request_id)
            for attempt in attempts if record and record.sent_at else ():
                left = record.sent_at + record.ttl - attempt.request.at  # type: ignore[union-attr]
                excess = attempt.request.budget - max(0.0, left)
                if excess > BUDGET_SLACK_S + MEASUREMENT_S:
                    detail = f"{attempt.request.budget:.3f} s passed on with {left:.3f} s left"
                    yield Violation(
                        "the deadline passed on is the client's", attempt.request.at, _of(record, detail)
                    )

    # ---- attempts

    def _concurrent(self) -> Iterator[Violation]:
        for client_request_id, attempts in self.attempts.items():
            for earlier, later in zip(attempts, attempts[1:], strict=False):
                overlap = earlier.ended_at - later.request.at
                if self._is_unread(replace(earlier.request, at=earlier.ended_at)):
                    continue  # its end was seen late
                if overlap > MEASUREMENT_S and earlier.request.engine != later.request.engine:
                    detail = f"at {earlier.request.engine} and {later.request.engine} for {overlap:.3f} s"
                    yield Violation(
                        "one attempt out", later.request.at, _of(self.clients.get(client_request_id), detail)
                    )

    def _duplicates(self) -> Iterator[Violation]:
        for client_request_id, attempts in self.attempts.items():
            record = self.clients.get(client_request_id)
            if record is None or len(attempts) < 2:
                continue
            may_have_run = [attempt for attempt in attempts[:-1] if not attempt.never_ran]
            if not may_have_run:
                continue
            last, first = attempts[-1].request, may_have_run[0].request
            if record.request_class == REPORT:
                yield Violation("no doubled effect", last.at, _of(record, f"{len(attempts)} attempts"))
            elif (
                record.request_class == LOAD
                and last.began_at - first.at > DEDUPLICATION_WINDOW_S + MEASUREMENT_S
            ):
                detail = f"repeated {last.at - first.at:.3f} s after its first attempt"
                yield Violation("no doubled effect", last.at, _of(record, detail))

    def _key_order(self) -> Iterator[Violation]:
        """Loads of one key and gateway run one at a time."""
        groups: dict[tuple[str, str], list[Attempt]] = defaultdict(list)
        for client_request_id, attempts in self.attempts.items():
            if (record := self.clients.get(client_request_id)) and record.request_class == LOAD:
                groups[record.gateway, record.key] += attempts
        for attempts in groups.values():
            attempts.sort(key=lambda attempt: attempt.request.at)
            for earlier, later in zip(attempts, attempts[1:], strict=False):
                if earlier.request.client_request_id == later.request.client_request_id:
                    continue
                first, second = (
                    self.clients[earlier.request.client_request_id],
                    self.clients[later.request.client_request_id],
                )
                if self._crosses_outage(first.gateway, earlier.request.at, later.request.at):
                    continue  # a gateway that starts again knows nothing of what it had
                if earlier.ended_at - later.request.at > MEASUREMENT_S:
                    detail = f"runs beside {first.client_request_id} of its key"
                    yield Violation("loads of one key run in turn", later.request.at, _of(second, detail))
                elif earlier.given_up and later.request.at - earlier.ended_at < SETTLE_S - MEASUREMENT_S:
                    waited_s = later.request.at - earlier.ended_at
                    detail = f"{waited_s:.3f} s after {first.client_request_id} was given up"
                    yield Violation("keys rest after a doubt", later.request.at, _of(second, detail))

    def _crosses_outage(self, gateway: str, began: float, ended: float) -> bool:
        return any(
            outage.gateway == gateway and began <= outage.ready_at and ended >= outage.began_at
            for outage in self.seen.outages
        )

    # ---- engines

    def _told_at(self, change: EngineChange, gateway: str) -> float:
        return min(change.told_at.get(gateway, float("inf")), change.at + TOLD_AT_THE_LATEST_S)

    def _drains(self) -> Iterator[Violation]:
        for change in self.seen.changes:
            if change.kind != "draining":
                continue
            back_at = min(
                (
                    other.at
                    for other in self.seen.changes
                    if other.engine == change.engine and other.at > change.at
                ),
                default=float("inf"),
            )
            for client_request_id, attempts in self.attempts.items():
                record = self.clients.get(client_request_id)
                for attempt in attempts if record else ():
                    request = attempt.request
                    if _host(request.engine) != change.engine or not change.at <= request.began_at < back_at:
                        continue
                    late = request.began_at - self._told_at(change, record.gateway)  # type: ignore[union-attr]
                    if late > DRAIN_GRACE_S + MEASUREMENT_S:
                        detail = f"sent {late:.3f} s after {change.engine} was told as {change.kind}"
                        yield Violation("nothing to a draining engine", request.at, _of(record, detail))

    def _cold_starts(self) -> Iterator[Violation]:
        for change in self.seen.changes:
            if change.kind != "restarted":
                continue
            times = sorted(
                attempt.request.at
                for client_request_id, attempts in self.attempts.items()
                if client_request_id in self.clients
                for attempt in attempts
                if _host(attempt.request.engine) == change.engine
                and attempt.request.at < change.at + COLD_S
                and attempt.request.at >= self._told_at(change, self.clients[client_request_id].gateway)
            )
            first = 0
            for last, at in enumerate(times):
                while at - times[first] > OVERLOAD_WINDOW_S:
                    first += 1
                count, allowed = last - first + 1, rate_allowed_when_cold(at - change.at)
                if count > allowed:
                    detail = (
                        f"{change.engine}: {count} requests in {OVERLOAD_WINDOW_S} s, {allowed:.1f} allowed"
                    )
                    yield Violation("a cold engine gets what it can bear", at, detail)
                    break

    def _processes(self) -> Iterator[Violation]:
        for crash in self.seen.crashes:
            yield Violation("no crash, no failed start", 0.0, crash)
        for line in self.seen.log_faults:
            yield Violation("no fault of our own", 0.0, line)
        for line in self.seen.invariant_lines:
            yield Violation("the gateway's own invariants", 0.0, line)


def _host(engine: str) -> str:
    """The engine of the list, whichever wire it was observed on."""
    return engine.partition("@")[0]


def _of(record: ClientRecord | None, detail: str) -> str:
    if record is None:
        return detail
    return (
        f"{record.gateway} {record.request_class} {record.client_request_id} ttl {record.ttl} "
        f"{record.ending.value} after {record.ended_at - record.sent_at:.3f} s {record.detail}: {detail}"
    )
