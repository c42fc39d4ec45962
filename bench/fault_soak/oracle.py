"""The oracle: a pure function from a run's observations to the promises that the run violated.

Each check names its promise as `docs/promises.md` does. Observations made while the soak's own process was
stalled are unreliable, so violations in such spans are dropped and the length of the spans is reported.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import permutations

from bench.fault_soak.clients import CLOSE_RACE_S
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

OBSERVATION_DELAY_S = 0.06  # upper bound on how late the soak's own processes observe an event
ABANDONED_GRACE_S = 0.1  # an attempt may start this long after its client has disconnected
BUDGET_SLACK_S = 0.15
SPACING_TOLERANCE_S = 0.01  # how late clients may record the time of a write
NEVER = float("inf")
KEY_QUARANTINE_S = 0.3  # how long a gateway holds back a key after an attempt with an unknown outcome


@dataclass(slots=True, frozen=True)
class Violation:
    """A violated promise, the time of the violation (0 if unknown) and what was observed."""

    promise: str
    at: float
    detail: str


Check = Callable[[Evidence], Iterator[Violation]]


class Oracle:
    """Checks the observations of one run."""

    def __init__(self, observations: Observations) -> None:
        """Index the observations."""
        self.evidence = Evidence(observations)

    def violations(self) -> list[Violation]:
        """All violations outside the stalls of the soak's own process, ordered by their time."""
        violations = [
            violation
            for check in CHECKS
            for violation in check(self.evidence)
            if not self.evidence.is_in_driver_stall(violation.at)
        ]
        return sorted(violations, key=lambda violation: violation.at)


# ---- clients


def lost_requests(evidence: Evidence) -> Iterator[Violation]:
    """Requests that were not answered or were answered late; those open at a kill are exempt."""
    promise = "one final answer in time"
    for record in evidence.observations.clients:
        if not record.sent_at or evidence.was_open_at_kill(record):
            continue
        due_at = max(record.sent_at + record.ttl, record.turn_at) + ANSWER_SLACK_S + OBSERVATION_DELAY_S
        is_answered = record.ending in (Ending.SERVED, Ending.REJECTED, Ending.FAILED)
        if record.ending is Ending.SILENT and record.ended_at:
            yield Violation(promise, record.ended_at, _describe(record, "no answer"))
        elif record.ending is Ending.CLOSED and not _raced_with_close(evidence, record):
            yield Violation(promise, record.ended_at, _describe(record, "closed unanswered"))
        elif is_answered and record.ended_at > due_at:
            yield Violation(promise, record.ended_at, _describe(record, "late"))


def _raced_with_close(evidence: Evidence, record: ClientRecord) -> bool:
    """Whether the gateway may have closed the connection just as the client wrote the request.

    The gateway has then not read the request, and the close arrives within `CLOSE_RACE_S` of the write (or
    later by a delay of the soak's own process), so a client of the platform repeats the request. This is
    accepted on a reused connection; on a new one, only while idle clients fill the gateway.
    """
    if record.client_request_id in evidence.observations.read_requests:
        return False
    if not record.reused_connection and not evidence.is_filled_by_idle_clients(
        record.gateway, record.sent_at
    ):
        return False
    delay_s = evidence.driver_delay(record.sent_at, record.ended_at)
    return record.ended_at - record.sent_at <= CLOSE_RACE_S + delay_s


def unreadable_answers(evidence: Evidence) -> Iterator[Violation]:
    """Answers that are incomplete, malformed or belong to another request."""
    promise = "the answer is whole and the request's own"
    for record in evidence.observations.clients:
        if record.ending is Ending.UNREADABLE:
            yield Violation(promise, record.ended_at, _describe(record, record.detail))


def attempts_after_client_left(evidence: Evidence) -> Iterator[Violation]:
    """Attempts that start more than `ABANDONED_GRACE_S` after their client has left."""
    promise = "nothing begins for a client that left"
    for client_attempt in evidence.client_attempts():
        request = client_attempt.attempt.request
        late_s = request.began_at - client_attempt.client.left_at
        if client_attempt.client.left_at and late_s > ABANDONED_GRACE_S + OBSERVATION_DELAY_S:
            detail = f"sent to {request.engine} {late_s:.3f} s after its client left"
            yield Violation(promise, request.observed_at, _describe(client_attempt.client, detail))


def exceeded_budgets(evidence: Evidence) -> Iterator[Violation]:
    """Attempts whose deadline at the engine is later than the client's."""
    promise = "the deadline passed on is the client's"
    for client_attempt in evidence.client_attempts():
        record, request = client_attempt.client, client_attempt.attempt.request
        if not record.sent_at:
            continue
        remaining_s = record.sent_at + record.ttl - request.observed_at
        excess_s = request.budget - max(0.0, remaining_s)
        if excess_s > BUDGET_SLACK_S + OBSERVATION_DELAY_S:
            detail = f"{request.budget:.3f} s passed on with {remaining_s:.3f} s left"
            yield Violation(promise, request.observed_at, _describe(record, detail))


# ---- attempts


def concurrent_attempts(evidence: Evidence) -> Iterator[Violation]:
    """Attempts of one request that overlap at two engines."""
    for client_request_id, attempts in evidence.attempts.items():
        for earlier, later in zip(attempts, attempts[1:], strict=False):
            overlap_s = earlier.ended_at - later.request.observed_at
            if evidence.is_unread(earlier.request.engine, earlier.ended_at):
                continue  # the end of the earlier attempt may have been observed late
            if overlap_s > OBSERVATION_DELAY_S and earlier.request.engine != later.request.engine:
                detail = f"at {earlier.request.engine} and {later.request.engine} for {overlap_s:.3f} s"
                record = evidence.clients.get(client_request_id)
                yield Violation("one attempt out", later.request.observed_at, _describe(record, detail))


def doubled_effects(evidence: Evidence) -> Iterator[Violation]:
    """Repeated reports, and loads repeated after the deduplication window: both may take effect twice."""
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
            and last.began_at - earliest.observed_at > DEDUPLICATION_WINDOW_S + OBSERVATION_DELAY_S
        ):
            detail = f"repeated {last.observed_at - earliest.observed_at:.3f} s after its first attempt"
            yield Violation(promise, last.observed_at, _describe(record, detail))


@dataclass(frozen=True, slots=True)
class GatewayKey:
    """A key at one gateway, the scope of per-key ordering."""

    gateway: str
    key: str


def key_order(evidence: Evidence) -> Iterator[Violation]:
    """Loads of one key at one gateway that overlap, or that follow an interrupted attempt too soon.

    A load must start at least `KEY_QUARANTINE_S` after an attempt of the key was cancelled or lost its
    connection.
    """
    groups: dict[GatewayKey, list[Attempt]] = defaultdict(list)
    for client_request_id, attempts in evidence.attempts.items():
        if (record := evidence.clients.get(client_request_id)) and record.request_class == LOAD:
            groups[GatewayKey(record.gateway, record.key)] += attempts
    for attempts in groups.values():
        attempts.sort(key=lambda attempt: attempt.request.observed_at)
        for earlier, later in zip(attempts, attempts[1:], strict=False):
            yield from _check_consecutive(evidence, earlier, later)


def key_order_as_sent(evidence: Evidence) -> Iterator[Violation]:
    """Loads that start while a load of the same key that was sent earlier is unanswered."""
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
        if began_at >= earlier_waits_until - OBSERVATION_DELAY_S:
            continue
        if evidence.overlaps_outage(earlier.gateway, earlier.sent_at, began_at):
            continue  # a gateway that ends loses its accepted requests and their order
        detail = (
            f"overtook {earlier.client_request_id}, sent {later.sent_at - earlier.sent_at:.3f} s before it "
            f"and open for {earlier_waits_until - began_at:.3f} s more"
        )
        yield Violation("loads of one key run in the order sent", began_at, _describe(later, detail))


def _check_consecutive(evidence: Evidence, earlier: Attempt, later: Attempt) -> Iterator[Violation]:
    """Check two consecutive attempts of one key."""
    if earlier.request.client_request_id == later.request.client_request_id:
        return
    earlier_client = evidence.clients[earlier.request.client_request_id]
    later_client = evidence.clients[later.request.client_request_id]
    later_at = later.request.observed_at
    if evidence.overlaps_outage(earlier_client.gateway, earlier.request.observed_at, later_at):
        return  # a restarted gateway does not know its earlier attempts
    earlier_ended_at = _earliest_known_end(evidence, earlier, earlier_client)
    if earlier_ended_at - later_at > OBSERVATION_DELAY_S:
        detail = f"runs beside {earlier_client.client_request_id} of its key"
        yield Violation("loads of one key run in turn", later_at, _describe(later_client, detail))
    elif earlier.interrupted and later_at - earlier_ended_at < KEY_QUARANTINE_S - OBSERVATION_DELAY_S:
        waited_s = later_at - earlier_ended_at
        detail = f"{waited_s:.3f} s after {earlier_client.client_request_id} was given up"
        yield Violation("keys rest after a doubt", later_at, _describe(later_client, detail))


def _earliest_known_end(evidence: Evidence, attempt: Attempt, client: ClientRecord) -> float:
    """When an attempt ended; no later than the client's request if its STOP may have waited unread.

    A gateway sends the STOP before it answers the client.
    """
    was_stop_unread = attempt.interrupted and evidence.is_unread(attempt.request.engine, attempt.ended_at)
    return min(attempt.ended_at, client.ended_at) if was_stop_unread else attempt.ended_at


# ---- engines


def sends_to_draining_engines(evidence: Evidence) -> Iterator[Violation]:
    """Attempts that start at a draining engine after the gateway's notification and the drain grace."""
    promise = "nothing to a draining engine"
    for change in evidence.observations.changes:
        if change.kind is not EngineChangeKind.DRAINING:
            continue
        back_at = evidence.next_change_at(change)
        for client_attempt in evidence.client_attempts():
            request = client_attempt.attempt.request
            if _base_engine_name(request.engine) != change.engine:
                continue
            if not change.changed_at <= request.began_at < back_at:
                continue
            late_s = request.began_at - evidence.notified_at(
                change, client_attempt.client.gateway, request.began_at
            )
            if late_s > DRAIN_GRACE_S + OBSERVATION_DELAY_S:
                detail = f"sent {late_s:.3f} s after notification that {change.engine} is {change.kind.value}"
                yield Violation(promise, request.observed_at, _describe(client_attempt.client, detail))


def overloads_in_slow_start(evidence: Evidence) -> Iterator[Violation]:
    """Engines in slow start that get more requests within a window than is allowed."""
    for change in evidence.observations.changes:
        if change.kind is not EngineChangeKind.RESTARTED:
            continue
        times = _requests_in_slow_start(evidence, change)
        window_start = 0
        for position, at in enumerate(times):
            while at - times[window_start] > OVERLOAD_WINDOW_S:
                window_start += 1
            count = position - window_start + 1
            allowed = request_allowance_in_slow_start(at - change.changed_at)
            if count > allowed:
                detail = f"{change.engine}: {count} requests in {OVERLOAD_WINDOW_S} s, {allowed:.1f} allowed"
                yield Violation("a cold engine gets what it can bear", at, detail)
                break


def _requests_in_slow_start(evidence: Evidence, change: EngineChange) -> list[float]:
    """The sorted times at which the engine got requests from gateways notified of its restart."""
    return sorted(
        client_attempt.attempt.request.observed_at
        for client_attempt in evidence.client_attempts()
        if _base_engine_name(client_attempt.attempt.request.engine) == change.engine
        and client_attempt.attempt.request.observed_at < change.changed_at + SLOW_START_S
        and client_attempt.attempt.request.observed_at
        >= evidence.notified_at(
            change, client_attempt.client.gateway, client_attempt.attempt.request.observed_at
        )
    )


# ---- gateway processes


def process_faults(evidence: Evidence) -> Iterator[Violation]:
    """Crashes, failed starts, and internal errors and invariant violations that gateways have logged."""
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


def _base_engine_name(engine: str) -> str:
    """The engine's name in the endpoint list, without `FLIGHT_SUFFIX`."""
    return engine.partition("@")[0]


def _describe(record: ClientRecord | None, detail: str) -> str:
    if record is None:
        return detail
    return (
        f"{record.gateway} {record.request_class} {record.client_request_id} ttl {record.ttl} "
        f"{record.ending.value} after {record.ended_at - record.sent_at:.3f} s {record.detail}: {detail}"
    )
