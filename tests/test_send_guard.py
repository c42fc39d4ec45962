"""The send guard, the invariant checks, slow-start budgets, and the trace of a request."""

import copy
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from query_gateway.configuration.settings_parser import parse_settings
from query_gateway.forwarder.attempt import Attempt
from query_gateway.forwarder.forwarder import Forwarder
from query_gateway.forwarder.forwarder_state import ForwarderState
from query_gateway.forwarder.invariants import Invariant
from query_gateway.forwarder.messages import Answer, ClientRequest, Endpoint, Verdict
from query_gateway.forwarder.slow_start_budgets import SlowStartBudgets
from query_gateway.forwarder.trace import TraceStep
from query_gateway.lifecycle.request_trace import TRACE_VARIABLE, open_request_trace
from query_gateway.model.actions import EndReason, Fail, Forward, Reject
from query_gateway.model.endpoints import EndpointInfo, EndpointState
from query_gateway.model.events import AttemptOutcome, Event, OutcomeCode
from query_gateway.model.settings import Settings
from tests.stand_ins import SETTINGS, flatten_settings
from tests.test_exchange import PendingTimer, RecordingClient

SEC = 10**9
DEADLINE = 5 * SEC


class QueueingEngineClient:
    """Queues attempts until `write_all`, like a connection that is slow to establish."""

    streams_results = False

    def __init__(self) -> None:
        self.queued: list[Attempt] = []
        self.written: list[str] = []

    def start(self, attempt: Any) -> None:
        self.queued.append(attempt)

    def write_all(self) -> None:
        queued, self.queued = self.queued, []
        for attempt in queued:
            if attempt.may_be_written():
                self.written.append(attempt.endpoint)
                attempt.on_written()
            else:
                attempt.on_ended(OutcomeCode.NOT_SENT)

    def withdraw(self, attempt: Any) -> bool:
        return False  # attempts stay queued, so that only the send guard can keep them from being written

    def cancel(self, attempt: Any) -> None: ...

    def set_priority(self, attempt: Any) -> None: ...

    def update_endpoints(self, endpoints: list[Endpoint], is_snapshot: bool) -> None: ...


class DisconnectableClient(RecordingClient):
    """A client whose connection a test can close."""

    def __init__(self) -> None:
        super().__init__()
        self.left = False

    def has_left(self) -> bool:
        return self.left


class RecordingTrace:
    """A request trace that stores its steps in memory."""

    def __init__(self) -> None:
        self.steps: list[tuple[TraceStep, str]] = []

    def record(
        self, clock_time: int, request_id: int, client_request_id: str, step: TraceStep, details: str
    ) -> None:
        self.steps.append((step, details))


def settings(rules: dict[str, Any]) -> Settings:
    raw = copy.deepcopy(SETTINGS)
    raw["services"][1]["repeat"] = "at_most_once"  # type: ignore[index]
    raw["rules"] |= {name.replace("_", "-"): value for name, value in rules.items()}  # type: ignore[operator]
    return parse_settings(flatten_settings(raw))


class ForwarderHarness:
    """A forwarder on a test clock, a planner that only records events, two engines and one open request."""

    def __init__(
        self, class_index: int = 0, started_at: int = 0, rules: dict[str, Any] | None = None
    ) -> None:
        self.now = 100 * SEC
        self.events: list[Event] = []
        self.violations: list[Invariant] = []
        self.engine_client, self.client, self.trace = (
            QueueingEngineClient(),
            DisconnectableClient(),
            RecordingTrace(),
        )
        self.forwarder = Forwarder(settings(rules or {}), lambda: self.now, self.call_at, max_exchanges=100)
        self.forwarder.engine_clients["web"] = self.engine_client
        self.forwarder.add_planner(self.events.append, True)
        self.forwarder.invariants.on_violation = lambda invariant, _: self.violations.append(invariant)
        self.forwarder.context.request_trace = self.trace
        self.list_engines(EndpointState.UP, started_at)
        self.request_id = self.accept("1" * 16, class_index)

    def call_at(self, due_at: int, callback: Callable[[], None]) -> PendingTimer:
        return PendingTimer()

    def list_engines(self, state: EndpointState, started_at: int = 0) -> None:
        entries = [EndpointInfo(name, state, 0, 0, 0, started_at, 1.0) for name in "ab"]
        self.forwarder.update_endpoints([Endpoint(entry, {"web": "127.0.0.1:1"}) for entry in entries], True)

    def accept(self, client_request_id: str, class_index: int = 0, work: int | None = None) -> int:
        class_settings = self.forwarder.settings.classes[class_index]
        request = ClientRequest(
            client_request_id,
            class_index,
            "any",
            b"x",
            self.now + DEADLINE,
            False,
            None,
            "u",
            work,
            0.0,
            None,
            class_settings,
        )
        return self.forwarder.accept(request, self.client, "web").request_id

    def forward(self, engine: str = "a") -> None:
        self.forwarder.apply(Forward(self.request_id, engine, 0))

    def outcomes(self) -> list[OutcomeCode]:
        return [event.code for event in self.events if isinstance(event, AttemptOutcome)]

    def send_refusals(self) -> list[str]:
        return [details for step, details in self.trace.steps if step is TraceStep.SEND_REFUSED]


def disconnect_client(harness: ForwarderHarness) -> None:
    harness.client.left = True


def drain_engines(harness: ForwarderHarness) -> None:
    harness.list_engines(EndpointState.DRAINING)


def pass_deadline(harness: ForwarderHarness) -> None:
    harness.now += DEADLINE


def fail_request(harness: ForwarderHarness) -> None:
    harness.forwarder.apply(Fail(harness.request_id))


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (disconnect_client, "a client-left"),
        (drain_engines, "a endpoint-not-up"),
        (pass_deadline, "a too-late"),
        (fail_request, "a not-open"),
    ],
)
def test_attempt_that_waits_is_not_written_when_it_may_no_longer_be_sent(
    change: Callable[[ForwarderHarness], None], reason: str
) -> None:
    """No engine may run a request past its deadline, while draining, or once the client left or is answered.

    Any of these can happen while an attempt waits for its connection, so the send guard is consulted again
    just before the first byte.
    """
    harness = ForwarderHarness()
    harness.forward()
    change(harness)
    harness.engine_client.write_all()
    assert harness.engine_client.written == [] and harness.send_refusals() == [reason]
    assert harness.outcomes() == [OutcomeCode.NOT_SENT] and not harness.violations


def test_client_found_to_have_left_is_owed_no_answer() -> None:
    """The send guard reads the client's socket, and may notice a disconnect before the event loop reports it.

    The exchange must be abandoned at once, or the planner would retry for a client that is gone.
    """
    harness = ForwarderHarness()
    harness.forward()
    disconnect_client(harness)
    harness.engine_client.write_all()
    assert not harness.forwarder.exchanges and harness.client.answers == []
    assert (TraceStep.ABANDONED, "") in harness.trace.steps


def test_non_idempotent_request_that_may_have_run_is_not_started_again() -> None:
    """After a reset, a faulty planner could make a non-idempotent request take effect twice.

    It could forward the request again, or reject it, upon which the client would send it again. The forwarder
    refuses another attempt after one that may have run, and answers with a failure instead of the rejection.
    """
    harness = ForwarderHarness(class_index=1)
    harness.forward()
    [attempt] = harness.engine_client.queued
    harness.engine_client.write_all()
    attempt.on_ended(OutcomeCode.RESET)
    harness.forward("b")
    assert harness.send_refusals() == ["b may-have-run"] and harness.engine_client.queued == []
    harness.forwarder.apply(Reject(harness.request_id, 0))
    # A rejection would state that the request did not run
    assert [answer.verdict for answer in harness.client.answers] == [Verdict.FAILED]
    assert harness.violations == [Invariant.REJECTED_SAFELY]


@pytest.mark.parametrize(
    ("change", "violation"),
    [
        (drain_engines, Invariant.SENT_TO_UP_ENDPOINT),
        (lambda harness: pass_time_after(harness, fail_request), Invariant.SENT_WHILE_OPEN),
        (lambda harness: pass_time_after(harness, abandon), Invariant.SENT_FOR_CLIENT),
    ],
)
def test_what_leaves_past_the_guard_is_counted(
    change: Callable[[ForwarderHarness], None], violation: Invariant
) -> None:
    """An engine client that writes an attempt without consulting the send guard must not go unnoticed.

    Nothing can be taken back then, but the check after the last byte counts and reports the violation.
    """
    harness = ForwarderHarness()
    harness.forward()
    [attempt] = harness.engine_client.queued
    change(harness)
    attempt.on_written()  # without consulting the send guard
    assert violation in harness.violations
    assert harness.forwarder.invariants.violations[violation] == 1


def abandon(harness: ForwarderHarness) -> None:
    harness.forwarder.exchanges[harness.request_id].abandon()


def pass_time_after(harness: ForwarderHarness, change: Callable[[ForwarderHarness], None]) -> None:
    change(harness)
    harness.now += SEC


def test_trace_tells_each_step_with_its_reason() -> None:
    """Without every step in order, the trace would not show which process decided what, and why.

    Here an engine refuses an attempt, and the planner then rejects the request as late.
    """
    harness = ForwarderHarness()
    harness.forward()
    [attempt] = harness.engine_client.queued
    harness.engine_client.write_all()
    attempt.on_ended(OutcomeCode.FULL)
    harness.forwarder.apply(Reject(harness.request_id, 0, EndReason.LATE))
    assert harness.trace.steps == [
        (TraceStep.ACCEPTED, f"any deadline {105 * SEC}"),
        (TraceStep.ATTEMPT_STARTED, "a number 0"),
        (TraceStep.ATTEMPT_WRITTEN, "a"),
        (TraceStep.ATTEMPT_ENDED, f"a {OutcomeCode.FULL.value}"),
        (TraceStep.DECIDED, "rejected late"),
        (TraceStep.ANSWERED, "rejected"),
    ]


def test_trace_file_has_a_line_for_each_step_and_costs_nothing_where_it_fails(tmp_path: Any) -> None:
    """A trace file that cannot be opened, here in a missing folder, must not keep a gateway from starting."""
    assert open_request_trace({}) is None
    assert open_request_trace({TRACE_VARIABLE: str(tmp_path / "no" / "folder")}) is None
    trace = open_request_trace({TRACE_VARIABLE: str(tmp_path / "trace")})
    assert trace
    trace.record(10**18 + 1_500_000_000, 7, "ab", TraceStep.ANSWERED, "served")
    fields = (tmp_path / "trace").read_text().split()
    assert fields[0] == "1.500000" and fields[2:] == ["7", "ab", "answered", "served"]


# Slow-start budgets

# An engine of 16 cores may be sent 2.5 * 0.5 * 16 = 20 requests with 1 s of work each in its first overload
# window of 1 s
SLOW_START_RULES = {
    "cold": 10 * SEC,
    "start_capacity": 0.5,
    "overload_factor": 2.5,
    "tip_after": SEC,
}


class EngineInSlowStart:
    """An engine that started at 100 s, and the budget of one forwarder process for it."""

    def __init__(self, instances: int = 1, process_count: int = 1) -> None:
        raw = copy.deepcopy(SETTINGS)
        raw["instances"] = instances
        rules = {name.replace("_", "-"): value for name, value in SLOW_START_RULES.items()}
        raw["rules"] |= rules  # type: ignore[operator]
        self.settings = parse_settings(flatten_settings(raw))
        self.budgets = SlowStartBudgets(process_count)
        self.info = EndpointInfo("a", EndpointState.UP, 0, 0, 0, 100 * SEC, 1.0)

    def allows(self, now: int) -> bool:
        """Whether a request with 1 s of work may be sent."""
        return self.budgets.allows(self.info, self.settings, SEC, now)

    def send_all_allowed(self, now: int) -> int:
        """Send requests at one time until the budget is used up, and return their number (1,000 at most)."""
        count = 0
        while count < 1_000 and self.allows(now):
            self.budgets.record(self.info, self.settings, SEC, now)
            count += 1
        return count

    def restart(self, started_at: int) -> None:
        self.info = replace(self.info, started_at=started_at)
        self.budgets.forget(self.info.name)


def test_burst_to_an_engine_in_slow_start_is_bounded_by_its_budget_and_the_allowance() -> None:
    """Requests sent all at once to an engine in slow start would overload it within one window.

    The budget allows what the engine can take and the statistical allowance, and refuses the rest.
    """
    allowed = 20 + 3 * 20**0.5 + 3
    assert EngineInSlowStart().send_all_allowed(100 * SEC) == int(allowed)


@pytest.mark.parametrize(("instances", "processes"), [(2, 1), (1, 2), (4, 2)])
def test_processes_together_stay_within_the_budget(instances: int, processes: int) -> None:
    """Full budgets of several forwarder processes, of one gateway or of several, would overload engines.

    The processes do not know of each other's sends, so each has an even part of the budget.
    """
    count = instances * processes
    each = EngineInSlowStart(instances, processes).send_all_allowed(100 * SEC)
    assert 0 < each * count <= 20 + 3 * 20**0.5 + 3


def test_budget_returns_with_the_window_and_ends_with_slow_start() -> None:
    """Sends that counted for ever would leave an engine without requests once its budget is used up.

    A send counts for one window, and there is no limit after slow start.
    """
    engine = EngineInSlowStart()
    first = engine.send_all_allowed(100 * SEC)
    assert not engine.allows(100 * SEC + 1)
    assert engine.send_all_allowed(101 * SEC) >= first
    assert engine.send_all_allowed(110 * SEC) == 1_000


def test_restart_of_an_engine_begins_a_budget_of_its_own() -> None:
    """Sends to an engine before its restart must not use up the budget of the new engine process.

    The new process runs none of that work, so the restart resets the count.
    """
    engine = EngineInSlowStart()
    engine.send_all_allowed(100 * SEC)
    engine.restart(100 * SEC + 1)
    assert engine.allows(100 * SEC + 2)


@pytest.mark.parametrize("is_snapshot", [True, False])
def test_endpoint_list_tells_which_engines_have_restarted_or_are_no_longer_listed(is_snapshot: bool) -> None:
    """Counted sends, if kept, would leak memory for removed engines and use up the budgets of restarted ones.

    `update_endpoints` therefore returns the names of just these engines, for a snapshot as for a delta.
    """
    state = ForwarderState(settings({}))
    kept, restarted, removed = (
        Endpoint(EndpointInfo(name, EndpointState.UP, 0, 0, 0, 1, 1.0), {}) for name in "abc"
    )
    assert state.update_endpoints([kept, restarted, removed], True) == []
    restarted = replace(restarted, info=replace(restarted.info, started_at=2))
    removed = replace(removed, info=replace(removed.info, state=EndpointState.REMOVED))
    change = [kept, restarted] if is_snapshot else [restarted, removed]
    assert state.update_endpoints(change, is_snapshot) == ["b", "c"]
    assert state.endpoints == {"a": kept, "b": restarted}


def test_share_of_a_hot_upgrade_divides_the_budget() -> None:
    """With a whole budget each, the two processes of a hot upgrade would together overload an engine.

    Each therefore has only a share of the budget.
    """
    whole, half = EngineInSlowStart(), EngineInSlowStart()
    half.budgets.share = 0.5
    assert half.send_all_allowed(100 * SEC) <= whole.send_all_allowed(100 * SEC) / 2 + 1


def test_attempts_behind_a_late_connection_to_a_cold_engine_do_not_leave_together() -> None:
    """Attempts that the planner spaced may wait for one slow connection, and then be written together.

    Together they would overload an engine in slow start, so the budget counts attempts as they are written
    and refuses the rest.
    """
    harness = ForwarderHarness(started_at=100 * SEC, rules=SLOW_START_RULES)
    for number in range(60):
        request_id = harness.accept(f"{number:015x}f", work=SEC)
        harness.forwarder.apply(Forward(request_id, "a", 0))
        harness.now += SEC // 60
    harness.engine_client.write_all()
    allowed = 22 + 3 * 22**0.5 + 3  # at an age of 1 s, the engine has 0.55 of its capacity: 22 requests
    assert len(harness.engine_client.written) <= allowed
    assert set(harness.send_refusals()) == {"a cold-endpoint"}
    assert not harness.violations


def test_answer_is_recorded_as_late_only_beyond_its_slack() -> None:
    """Answers a few milliseconds after the deadline, if counted as violations, would hide the real ones.

    The invariant counts an answer as late only beyond the slack (`ANSWER_SLACK_NS`).
    """
    harness = ForwarderHarness()
    harness.now += DEADLINE + SEC // 4
    fail_request(harness)
    assert not harness.violations
    late_harness = ForwarderHarness()
    late_harness.now += DEADLINE + SEC
    fail_request(late_harness)
    assert late_harness.violations == [Invariant.ANSWERED_IN_TIME]
    assert late_harness.client.answers == [Answer(Verdict.FAILED)]
