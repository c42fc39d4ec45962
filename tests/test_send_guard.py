"""The send guard, the invariant checks behind it, slow-start budgets, and the trace of a request."""

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


class HeldEngineClient:
    """Holds what is started until `write_all`, as a connection does that comes up late."""

    streams_results = False

    def __init__(self) -> None:
        self.held: list[Attempt] = []
        self.written: list[str] = []

    def start(self, attempt: Any) -> None:
        self.held.append(attempt)

    def write_all(self) -> None:
        held, self.held = self.held, []
        for attempt in held:
            if attempt.may_be_written():
                self.written.append(attempt.endpoint)
                attempt.on_written()
            else:
                attempt.on_ended(OutcomeCode.NOT_SENT)

    def withdraw(self, attempt: Any) -> bool:
        return False  # whether it is withdrawn must not matter to the guard

    def cancel(self, attempt: Any) -> None: ...

    def set_priority(self, attempt: Any) -> None: ...

    def update_endpoints(self, endpoints: list[Endpoint], is_snapshot: bool) -> None: ...


class LeavingClient(RecordingClient):
    """Has left as soon as the test says so."""

    def __init__(self) -> None:
        super().__init__()
        self.gone = False

    def has_left(self) -> bool:
        return self.gone


class Steps:
    """A trace that keeps what it is told."""

    def __init__(self) -> None:
        self.seen: list[tuple[TraceStep, str]] = []

    def record(
        self, clock_time: int, request_id: int, client_request_id: str, step: TraceStep, details: str
    ) -> None:
        self.seen.append((step, details))


def settings(rules: dict[str, Any]) -> Settings:
    raw = copy.deepcopy(SETTINGS)
    raw["services"][1]["repeat"] = "at_most_once"  # type: ignore[index]
    raw["rules"] |= {name.replace("_", "-"): value for name, value in rules.items()}  # type: ignore[operator]
    return parse_settings(flatten_settings(raw))


class World:
    """A forwarder on its own clock, with a planner that only listens, two engines and one open request."""

    def __init__(
        self, class_index: int = 0, started_at: int = 0, rules: dict[str, Any] | None = None
    ) -> None:
        self.now = 100 * SEC
        self.events: list[Event] = []
        self.violations: list[Invariant] = []
        self.engine_client, self.client, self.steps = HeldEngineClient(), LeavingClient(), Steps()
        self.forwarder = Forwarder(settings(rules or {}), lambda: self.now, self.call_at, max_exchanges=100)
        self.forwarder.engine_clients["web"] = self.engine_client
        self.forwarder.add_planner(self.events.append, True)
        self.forwarder.invariants.on_violation = lambda invariant, _: self.violations.append(invariant)
        self.forwarder.context.request_trace = self.steps
        self.list_engines(EndpointState.UP, started_at)
        self.request_id = self.accept("1" * 16, class_index)

    def call_at(self, due_at: int, callback: Callable[[], None]) -> PendingTimer:
        return PendingTimer()

    def list_engines(self, state: EndpointState, started_at: int = 0) -> None:
        entries = [EndpointInfo(name, state, 0, 0, 0, started_at, 1.0) for name in "ab"]
        self.forwarder.update_endpoints([Endpoint(entry, {"web": "127.0.0.1:1"}) for entry in entries], True)

    def accept(self, client_request_id: str, class_index: int = 0, work: int | None = None) -> int:
        name = self.forwarder.settings.classes[class_index]
        assert name
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
        )
        return self.forwarder.accept(request, self.client, "web").request_id

    def forward(self, engine: str = "a") -> None:
        self.forwarder.apply(Forward(self.request_id, engine, 0))

    def outcomes(self) -> list[OutcomeCode]:
        return [event.code for event in self.events if isinstance(event, AttemptOutcome)]

    def send_refusals(self) -> list[str]:
        return [details for step, details in self.steps.seen if step is TraceStep.SEND_REFUSED]


def leave(world: World) -> None:
    world.client.gone = True


def drain(world: World) -> None:
    world.list_engines(EndpointState.DRAINING)


def pass_the_deadline(world: World) -> None:
    world.now += DEADLINE


def answer(world: World) -> None:
    world.forwarder.apply(Fail(world.request_id))


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (leave, "a client-left"),
        (drain, "a endpoint-not-up"),
        (pass_the_deadline, "a too-late"),
        (answer, "a not-open"),
    ],
)
def test_attempt_that_waits_is_not_written_when_it_may_no_longer_be_sent(
    change: Callable[[World], None], reason: str
) -> None:
    """Something changes between the start of an attempt and its first byte.

    The client leaves, the engine drains, the deadline passes or the request is answered while the attempt
    waits for its connection. Without a second look an engine would work for nobody, or past its drain. The
    guard is asked again as the first byte is about to leave.
    """
    world = World()
    world.forward()
    change(world)
    world.engine_client.write_all()
    assert world.engine_client.written == [] and world.send_refusals() == [reason]
    assert world.outcomes() == [OutcomeCode.NOT_SENT] and not world.violations


def test_client_found_to_have_left_is_owed_no_answer() -> None:
    """The send guard is the first to notice that a client has left.

    Its server has not seen the close yet. The exchange is abandoned right there, so that nothing is answered
    and the planner does not retry.
    """
    world = World()
    world.forward()
    leave(world)
    world.engine_client.write_all()
    assert not world.forwarder.exchanges and world.client.answers == []
    assert (TraceStep.ABANDONED, "") in world.steps.seen


def test_non_idempotent_request_that_may_have_run_is_not_started_again() -> None:
    """A faulty planner forwards a non-idempotent request again after its connection was reset.

    The first attempt may have run, so the request would have its effect twice; a rejection would invite the
    client to do the same. The forwarder keeps how each attempt ended, refuses to start another one, and turns
    the rejection into a failure.
    """
    world = World(class_index=1)
    world.forward()
    [attempt] = world.engine_client.held
    world.engine_client.write_all()
    attempt.on_ended(OutcomeCode.RESET)
    world.forward("b")
    assert world.send_refusals() == ["b may-have-run"] and world.engine_client.held == []
    world.forwarder.apply(Reject(world.request_id, 0))
    assert [a.verdict for a in world.client.answers] == [Verdict.FAILED]  # a rejection would be untrue
    assert world.violations == [Invariant.REJECTED_SAFELY]


@pytest.mark.parametrize(
    ("change", "violation"),
    [
        (drain, Invariant.SENT_TO_UP_ENDPOINT),
        (lambda world: pass_time_after(world, answer), Invariant.SENT_WHILE_OPEN),
        (lambda world: pass_time_after(world, abandon), Invariant.SENT_FOR_CLIENT),
    ],
)
def test_what_leaves_past_the_guard_is_counted(change: Callable[[World], None], violation: Invariant) -> None:
    """An engine client writes an attempt without asking the send guard.

    Nothing can be taken back then, but the violation must show in the log of a running process. The check
    after the last byte counts and reports it.
    """
    world = World()
    world.forward()
    [attempt] = world.engine_client.held
    change(world)
    attempt.on_written()  # without asking the guard
    assert violation in world.violations
    assert world.forwarder.invariants.violations[violation] == 1


def abandon(world: World) -> None:
    world.forwarder.exchanges[world.request_id].abandon()


def pass_time_after(world: World, change: Callable[[World], None]) -> None:
    change(world)
    world.now += SEC


def test_trace_tells_each_step_with_its_reason() -> None:
    """A request is rejected after an attempt that its engine refused.

    Without the steps in order an engineer could not tell which process decided what. The trace has each step
    with the reason that was known at the time.
    """
    world = World()
    world.forward()
    [attempt] = world.engine_client.held
    world.engine_client.write_all()
    attempt.on_ended(OutcomeCode.FULL)
    world.forwarder.apply(Reject(world.request_id, 0, EndReason.LATE))
    assert world.steps.seen == [
        (TraceStep.ACCEPTED, f"any deadline {105 * SEC}"),
        (TraceStep.ATTEMPT_STARTED, "a number 0"),
        (TraceStep.ATTEMPT_WRITTEN, "a"),
        (TraceStep.ATTEMPT_ENDED, f"a {OutcomeCode.FULL.value}"),
        (TraceStep.DECIDED, "rejected late"),
        (TraceStep.ANSWERED, "rejected"),
    ]


def test_trace_file_has_a_line_for_each_step_and_costs_nothing_where_it_fails(tmp_path: Any) -> None:
    """The folder of the trace file does not exist.

    An error raised there would end the start of a gateway for the sake of its trace. The gateway goes on
    without one.
    """
    assert open_request_trace({}) is None
    assert open_request_trace({TRACE_VARIABLE: str(tmp_path / "no" / "folder")}) is None
    trace = open_request_trace({TRACE_VARIABLE: str(tmp_path / "trace")})
    assert trace
    trace.record(10**18 + 1_500_000_000, 7, "ab", TraceStep.ANSWERED, "served")
    words = (tmp_path / "trace").read_text().split()
    assert words[0] == "1.500000" and words[2:] == ["7", "ab", "answered", "served"]


# ---- slow start

COLD = {
    "cold": 10 * SEC,
    "start_capacity": 0.5,
    "overload_factor": 2.5,
    "tip_after": SEC,
}  # 16 cores: 20 requests of a second's work at the start


class EngineInSlowStart:
    """An engine that started at 100 s, and the budget of one forwarder process for it."""

    def __init__(self, instances: int = 1, process_count: int = 1) -> None:
        raw = copy.deepcopy(SETTINGS)
        raw["instances"] = instances
        rules = {name.replace("_", "-"): value for name, value in COLD.items()}
        raw["rules"] |= rules  # type: ignore[operator]
        self.settings = parse_settings(flatten_settings(raw))
        self.budgets = SlowStartBudgets(process_count)
        self.info = EndpointInfo("a", EndpointState.UP, 0, 0, 0, 100 * SEC, 1.0)

    def allows(self, now: int) -> bool:
        """Whether a request of a second's work may leave."""
        return self.budgets.allows(self.info, self.settings, SEC, now)

    def send_all_allowed(self, now: int) -> int:
        """Send requests at once until the budget is used up; how many these were."""
        count = 0
        while count < 1_000 and self.allows(now):
            self.budgets.record(self.info, self.settings, SEC, now)
            count += 1
        return count

    def restart(self, started_at: int) -> None:
        self.info = replace(self.info, started_at=started_at)
        self.budgets.forget(self.info.name)


def test_burst_to_an_engine_in_slow_start_is_bounded_by_its_budget_and_the_allowance() -> None:
    """Requests leave for an engine in slow start all at once.

    More than its budget within one window makes it fall over. The budget lets through what the engine takes
    and the statistical allowance, and refuses the rest.
    """
    allowed = 20 + 3 * 20**0.5 + 3
    assert EngineInSlowStart().send_all_allowed(100 * SEC) == int(allowed)


@pytest.mark.parametrize(("instances", "processes"), [(2, 1), (1, 2), (4, 2)])
def test_processes_together_stay_within_the_budget(instances: int, processes: int) -> None:
    """Several forwarder processes, of one gateway or of several, use up their budgets at the same time.

    They know nothing of each other, so full budgets would add up to an overload. Each has an even part.
    """
    count = instances * processes
    each = EngineInSlowStart(instances, processes).send_all_allowed(100 * SEC)
    assert 0 < each * count <= 20 + 3 * 20**0.5 + 3


def test_budget_returns_with_the_window_and_ends_with_slow_start() -> None:
    """A budget is used up, and its window passes.

    Sends that counted for ever would keep the engine from ever getting more. What has left counts for one
    window, and nothing is bounded after slow start.
    """
    engine = EngineInSlowStart()
    first = engine.send_all_allowed(100 * SEC)
    assert not engine.allows(100 * SEC + 1)
    assert engine.send_all_allowed(101 * SEC) >= first
    assert engine.send_all_allowed(110 * SEC) == 1_000


def test_restart_of_an_engine_begins_a_budget_of_its_own() -> None:
    """An engine restarts while its budget is used up.

    Sends to the process before would count against the new one, which has none of that work. They are
    forgotten with the restart.
    """
    engine = EngineInSlowStart()
    engine.send_all_allowed(100 * SEC)
    engine.restart(100 * SEC + 1)
    assert engine.allows(100 * SEC + 2)


@pytest.mark.parametrize("is_snapshot", [True, False])
def test_endpoint_list_tells_which_engines_have_restarted_or_are_no_longer_listed(is_snapshot: bool) -> None:
    """A snapshot leaves one engine out, or a delta removes it, and another engine has restarted.

    Counted sends of either would stay: memory that grows, or a budget that a new process does not have left.
    The update names both, and no engine that stayed as it was.
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
    """Two processes of one gateway serve during a hot upgrade.

    With a whole budget each they would overload an engine together. Each has its share of the budget.
    """
    whole, half = EngineInSlowStart(), EngineInSlowStart()
    half.budgets.share = 0.5
    assert half.send_all_allowed(100 * SEC) <= whole.send_all_allowed(100 * SEC) / 2 + 1


def test_attempts_behind_a_late_connection_to_a_cold_engine_do_not_leave_together() -> None:
    """Attempts at an engine in slow start wait for one connection, which comes up late.

    The planner had spaced them, and all left together as the connection came up, more than the engine takes
    within a window. The budget counts what leaves and refuses the rest.
    """
    world = World(started_at=100 * SEC, rules=COLD)
    for number in range(60):
        request_id = world.accept(f"{number:015x}f", work=SEC)
        world.forwarder.apply(Forward(request_id, "a", 0))
        world.now += SEC // 60
    world.engine_client.write_all()
    allowed = 22 + 3 * 22**0.5 + 3  # it is a second old by then
    assert len(world.engine_client.written) <= allowed
    assert set(world.send_refusals()) == {"a cold-endpoint"}
    assert not world.violations


def test_answer_is_recorded_as_late_only_beyond_its_slack() -> None:
    """A request is answered after its deadline, once within the slack and once beyond it.

    A violation at every answer that leaves some milliseconds late would hide the real ones. The invariant
    counts an answer as late only beyond the slack.
    """
    world = World()
    world.now += DEADLINE + SEC // 4
    answer(world)
    assert not world.violations
    other = World()
    other.now += DEADLINE + SEC
    answer(other)
    assert other.violations == [Invariant.ANSWERED_IN_TIME]
    assert other.client.answers == [Answer(Verdict.FAILED)]
