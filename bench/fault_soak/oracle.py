"""The oracle: which promises a run has broken. Pure: observations in, violations out.

Each check names the promise as `docs/promises.md` does. Where the soak's own processes did not run, what they
measured meanwhile proves nothing, so such spans are left out and counted.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import permutations

from bench.fault_soak.clients import CLOSE_CROSSING_S
from bench.fault_soak.evidence import Attempt, Evidence
from bench.fault_soak.key_spacing import SPACING_S
from bench.fault_soak.records import ClientRecord, Ending, EngineChange, EngineChangeKind, Observations
from bench.fault_soak.settings import (
    ANSWER_SLACK_S,
    DEDUPLICATION_WINDOW_S,
    DRAIN_GRACE_S,
    LOAD,
    OVERLOAD_WINDOW_S,
    REPORT,
    SLOW_START_S,
    request_allowance_in_slow_start,
)

MEASUREMENT_S = 0.06  # by which the soak's own processes may observe an event late
ABANDONED_GRACE_S = 0.1  # an attempt may begin so long after its client has left
BUDGET_SLACK_S = 0.15
SPACING_TOLERANCE_S = 0.01  # by which clients note late when they have written
NEVER = float("inf")
KEY_QUARANTINE_S = 0.3  # after an attempt with unknown outcome


@dataclass(slots=True, frozen=True)
class Violation:
    """One broken promise."""

    promise: str
    at: float
    detail: str


Check = Callable[[Evidence], Iterator[Violation]]


class Oracle:
    """Checks one run."""

    def __init__(self, observations: Observations) -> None:
        """Arrange what was observed."""
        self.evidence = Evidence(observations)

    def violations(self) -> list[Violation]:
        """All broken promises, in the order of their time."""
        found = [
            violation
            for check in CHECKS
            for violation in check(self.evidence)
            if not self.evidence.in_stall(violation.at)
        ]
        return sorted(found, key=lambda violation: violation.at)


# ---- clients


def lost_requests(evidence: Evidence) -> Iterator[Violation]:
    """Requests without an answer, and late ones."""
    promise = "one final answer in time"
    for record in evidence.observations.clients:
        if not record.sent_at or evidence.was_ended(record):
            continue
        due_at = max(record.sent_at + record.ttl, record.turn_at) + ANSWER_SLACK_S + MEASUREMENT_S
        is_answered = record.ending in (Ending.SERVED, Ending.REJECTED, Ending.FAILED)
        if record.ending is Ending.SILENT and record.ended_at:
            yield Violation(promise, record.ended_at, _describe(record, "no answer"))
        elif record.ending is Ending.CLOSED and not _crossed_close(evidence, record):
            yield Violation(promise, record.ended_at, _describe(record, "closed unanswered"))
        elif is_answered and record.ended_at > due_at:
            yield Violation(promise, record.ended_at, _describe(record, "late"))


def _crossed_close(evidence: Evidence, record: ClientRecord) -> bool:
    """Whether a request was written as the gateway closed a connection with no request open on it.

    It was not read, and its client saw the close within the time in which it sends the request once more. New
    connections may be closed so in a crowd alone.
    """
    if record.client_request_id in evidence.observations.read_requests:
        return False
    if not record.reused_connection and not evidence.is_crowded(record.gateway, record.sent_at):
        return False
    delay_s = evidence.driver_delay(record.sent_at, record.ended_at)
    return record.ended_at - record.sent_at <= CLOSE_CROSSING_S + delay_s


def unreadable_answers(evidence: Evidence) -> Iterator[Violation]:
    """Answers that are incomplete, malformed or another request's."""
    promise = "the answer is whole and the request's own"
    for record in evidence.observations.clients:
        if record.ending is Ending.UNREADABLE:
            yield Violation(promise, record.ended_at, _describe(record, record.detail))


def attempts_after_client_left(evidence: Evidence) -> Iterator[Violation]:
    """Attempts that begin though their client has closed its connection."""
    promise = "nothing begins for a client that left"
    for found in evidence.client_attempts():
        request = found.attempt.request
        late_s = request.began_at - found.client.left_at
        if found.client.left_at and late_s > ABANDONED_GRACE_S + MEASUREMENT_S:
            detail = f"sent to {request.engine} {late_s:.3f} s after its client left"
            yield Violation(promise, request.observed_at, _describe(found.client, detail))


def exceeded_budgets(evidence: Evidence) -> Iterator[Violation]:
    """Attempts that an engine may run for longer than the client waits."""
    promise = "the deadline passed on is the client's"
    for found in evidence.client_attempts():
        record, request = found.client, found.attempt.request
        if not record.sent_at:
            continue
        remaining_s = record.sent_at + record.ttl - request.observed_at
        excess_s = request.budget - max(0.0, remaining_s)
        if excess_s > BUDGET_SLACK_S + MEASUREMENT_S:
            detail = f"{request.budget:.3f} s passed on with {remaining_s:.3f} s left"
            yield Violation(promise, request.observed_at, _describe(record, detail))


# ---- attempts


def concurrent_attempts(evidence: Evidence) -> Iterator[Violation]:
    """Two attempts of one request at two engines at once."""
    for client_request_id, attempts in evidence.attempts.items():
        for earlier, later in zip(attempts, attempts[1:], strict=False):
            overlap_s = earlier.ended_at - later.request.observed_at
            if evidence.is_unread(earlier.request.engine, earlier.ended_at):
                continue  # its end was observed late
            if overlap_s > MEASUREMENT_S and earlier.request.engine != later.request.engine:
                detail = f"at {earlier.request.engine} and {later.request.engine} for {overlap_s:.3f} s"
                record = evidence.clients.get(client_request_id)
                yield Violation("one attempt out", later.request.observed_at, _describe(record, detail))


def doubled_effects(evidence: Evidence) -> Iterator[Violation]:
    """Repeats of requests whose effect may then come twice."""
    promise = "no doubled effect"
    for client_request_id, attempts in evidence.attempts.items():
        record = evidence.clients.get(client_request_id)
        may_have_run = [attempt for attempt in attempts[:-1] if not attempt.never_ran]
        if record is None or not may_have_run:
            continue
        last, earliest = attempts[-1].request, may_have_run[0].request
        if record.request_class == REPORT:
            detail = f"{len(attempts)} attempts"
            yield Violation(promise, last.observed_at, _describe(record, detail))
        elif (
            record.request_class == LOAD
            and last.began_at - earliest.observed_at > DEDUPLICATION_WINDOW_S + MEASUREMENT_S
        ):
            detail = f"repeated {last.observed_at - earliest.observed_at:.3f} s after its first attempt"
            yield Violation(promise, last.observed_at, _describe(record, detail))


@dataclass(frozen=True, slots=True)
class GatewayKey:
    """A key as one gateway orders its requests."""

    gateway: str
    key: str


def key_order(evidence: Evidence) -> Iterator[Violation]:
    """Loads of one key and gateway run one at a time."""
    groups: dict[GatewayKey, list[Attempt]] = defaultdict(list)
    for client_request_id, attempts in evidence.attempts.items():
        if (record := evidence.clients.get(client_request_id)) and record.request_class == LOAD:
            groups[GatewayKey(record.gateway, record.key)] += attempts
    for attempts in groups.values():
        attempts.sort(key=lambda attempt: attempt.request.observed_at)
        for earlier, later in zip(attempts, attempts[1:], strict=False):
            yield from _check_consecutive(evidence, earlier, later)


def key_order_as_sent(evidence: Evidence) -> Iterator[Violation]:
    """Loads that begin at an engine while one of their key, which was sent earlier, has no answer."""
    groups: dict[GatewayKey, list[ClientRecord]] = defaultdict(list)
    for record in evidence.observations.clients:
        if record.request_class == LOAD and record.sent_at and not record.pipelined:
            groups[GatewayKey(record.gateway, record.key)].append(record)
    for records in groups.values():
        for earlier, later in permutations(records, 2):
            if later.sent_at - earlier.sent_at >= SPACING_S - SPACING_TOLERANCE_S:
                yield from _check_sent_order(evidence, earlier, later)


def _check_sent_order(evidence: Evidence, earlier: ClientRecord, later: ClientRecord) -> Iterator[Violation]:
    earlier_attempts = evidence.attempts.get(earlier.client_request_id, [])
    ran_until = min(
        (attempt.ended_at for attempt in earlier_attempts if attempt.outcome == "ok"), default=NEVER
    )
    earlier_waits_until = min(
        earlier.sent_at + earlier.ttl, earlier.ended_at or NEVER, earlier.left_at or NEVER, ran_until
    )
    for attempt in evidence.attempts.get(later.client_request_id, []):
        began_at = attempt.request.began_at
        if began_at >= earlier_waits_until - MEASUREMENT_S:
            continue
        if evidence.crosses_outage(earlier.gateway, earlier.sent_at, began_at):
            continue  # what a gateway had taken before it ended is lost
        detail = (
            f"overtook {earlier.client_request_id}, sent {later.sent_at - earlier.sent_at:.3f} s before it "
            f"and open for {earlier_waits_until - began_at:.3f} s more"
        )
        yield Violation("loads of one key run in the order sent", began_at, _describe(later, detail))


def _check_consecutive(evidence: Evidence, earlier: Attempt, later: Attempt) -> Iterator[Violation]:
    """Two attempts of one key, one directly after the other."""
    if earlier.request.client_request_id == later.request.client_request_id:
        return
    earlier_client = evidence.clients[earlier.request.client_request_id]
    later_client = evidence.clients[later.request.client_request_id]
    later_at = later.request.observed_at
    if evidence.crosses_outage(earlier_client.gateway, earlier.request.observed_at, later_at):
        return  # a gateway that starts again knows nothing of its earlier attempts
    earlier_ended_at = _end_known_outside(evidence, earlier, earlier_client)
    if earlier_ended_at - later_at > MEASUREMENT_S:
        detail = f"runs beside {earlier_client.client_request_id} of its key"
        yield Violation("loads of one key run in turn", later_at, _describe(later_client, detail))
    elif earlier.given_up and later_at - earlier_ended_at < KEY_QUARANTINE_S - MEASUREMENT_S:
        waited_s = later_at - earlier_ended_at
        detail = f"{waited_s:.3f} s after {earlier_client.client_request_id} was given up"
        yield Violation("keys rest after a doubt", later_at, _describe(later_client, detail))


def _end_known_outside(evidence: Evidence, attempt: Attempt, client: ClientRecord) -> float:
    """When an attempt ended. A STOP that waited unread had left by the time the client got its answer."""
    was_stop_unread = attempt.given_up and evidence.is_unread(attempt.request.engine, attempt.ended_at)
    return min(attempt.ended_at, client.ended_at) if was_stop_unread else attempt.ended_at


# ---- engines


def sends_to_draining_engines(evidence: Evidence) -> Iterator[Violation]:
    """Attempts that begin at an engine too long after it was published as draining."""
    promise = "nothing to a draining engine"
    for change in evidence.observations.changes:
        if change.kind is not EngineChangeKind.DRAINING:
            continue
        back_at = evidence.next_change_at(change)
        for found in evidence.client_attempts():
            request = found.attempt.request
            if _listed_name(request.engine) != change.engine:
                continue
            if not change.changed_at <= request.began_at < back_at:
                continue
            late_s = request.began_at - evidence.notified_at(change, found.client.gateway, request.began_at)
            if late_s > DRAIN_GRACE_S + MEASUREMENT_S:
                detail = f"sent {late_s:.3f} s after notification that {change.engine} is {change.kind.value}"
                yield Violation(promise, request.observed_at, _describe(found.client, detail))


def overloads_in_slow_start(evidence: Evidence) -> Iterator[Violation]:
    """Engines in slow start that get more requests within a window than they are allowed."""
    for change in evidence.observations.changes:
        if change.kind is not EngineChangeKind.RESTARTED:
            continue
        times = _requests_in_slow_start(evidence, change)
        window_begin = 0
        for position, at in enumerate(times):
            while at - times[window_begin] > OVERLOAD_WINDOW_S:
                window_begin += 1
            count = position - window_begin + 1
            allowed = request_allowance_in_slow_start(at - change.changed_at)
            if count > allowed:
                detail = f"{change.engine}: {count} requests in {OVERLOAD_WINDOW_S} s, {allowed:.1f} allowed"
                yield Violation("a cold engine gets what it can bear", at, detail)
                break


def _requests_in_slow_start(evidence: Evidence, change: EngineChange) -> list[float]:
    """When the engine got requests from gateways that knew of its restart, in order."""
    return sorted(
        found.attempt.request.observed_at
        for found in evidence.client_attempts()
        if _listed_name(found.attempt.request.engine) == change.engine
        and found.attempt.request.observed_at < change.changed_at + SLOW_START_S
        and found.attempt.request.observed_at
        >= evidence.notified_at(change, found.client.gateway, found.attempt.request.observed_at)
    )


# ---- the gateways' processes


def process_faults(evidence: Evidence) -> Iterator[Violation]:
    """Crashes, and what the gateways have logged of their own faults."""
    for crash in evidence.observations.crashes:
        yield Violation("no crash, no failed start", 0.0, crash)
    for line in evidence.observations.log_faults:
        yield Violation("no fault of our own", 0.0, line)
    for line in evidence.observations.invariant_lines:
        yield Violation("the gateway's own invariants", 0.0, line)


CHECKS: tuple[Check, ...] = (
    lost_requests, unreadable_answers, attempts_after_client_left, exceeded_budgets, concurrent_attempts,
    doubled_effects, sends_to_draining_engines, overloads_in_slow_start, key_order, key_order_as_sent,
    process_faults,
)  # fmt: skip


def _listed_name(engine: str) -> str:
    """The engine's name in the endpoint list, whichever wire it was observed on."""
    return engine.partition("@")[0]


def _describe(record: ClientRecord | None, detail: str) -> str:
    if record is None:
        return detail
    return (
        f"{record.gateway} {record.request_class} {record.client_request_id} ttl {record.ttl} "
        f"{record.ending.value} after {record.ended_at - record.sent_at:.3f} s {record.detail}: {detail}"
    )
