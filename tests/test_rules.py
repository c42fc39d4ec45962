"""The seven rules of sending: each on scripted events, and all but the fourth on generated event sequences.

1. a request gets at most one answer, and is not sent after it
2. a request that may have run is sent again only as the idempotency of its class allows
3. only engines that are up get requests
4. an engine in slow start gets no more work than its budget
5. requests of a key run one at a time in arrival order, and not while an earlier attempt may still run
6. a request is sent only to engines of the zones and kinds that its class allows
7. attempts and retries stay within their limits
"""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from query_gateway.model.actions import Action, Cancel, Fail, Forward, Reject
from query_gateway.model.endpoints import EndpointInfo, EndpointState, EndpointUpdateKind
from query_gateway.model.events import (
    AttemptOutcome,
    EndpointUpdate,
    Event,
    GossipMessage,
    HealthCheckResult,
    OutcomeCode,
    ProgressKind,
    ProgressNote,
    Request,
    RequestAbandoned,
    TimerFired,
)
from query_gateway.model.settings import DeduplicationScope, Idempotency, Settings
from query_gateway.policy.scheduler import Scheduler
from tests.world import LOAD, MS, QUICK, REPORT, SEC, SITE, SchedulerHarness, engine

TWO_ENGINES = (engine("a"), engine("b"))
NEVER_RAN = (OutcomeCode.FULL, OutcomeCode.CONNECT_FAILED, OutcomeCode.NOT_SENT)


def test_one_answer_and_nothing_after_it() -> None:
    harness = SchedulerHarness(engines=TWO_ENGINES)
    request = harness.send_request()
    assert [forward.request_id for forward in harness.sent] == [request.request_id]
    assert harness.end_attempt(request.request_id, OutcomeCode.OK) == []
    harness.notify(RequestAbandoned(request.request_id), TimerFired(0))
    assert len(harness.sent) == 1


def test_non_idempotent_that_may_have_run_is_failed_not_rejected_nor_retried() -> None:
    harness = SchedulerHarness(engines=TWO_ENGINES)
    request = harness.send_request(2)
    actions = harness.end_attempt(request.request_id, OutcomeCode.RESET)
    assert Fail(request.request_id) in actions
    assert not any(isinstance(action, Forward | Reject) for action in actions)


def test_request_is_repeated_by_the_settings_that_it_keeps() -> None:
    """Guards against a second run of a load whose class is deduplicated when the planner hears of it."""
    unsafe = SITE.classes[2]
    assert unsafe.idempotency is Idempotency.NON_IDEMPOTENT
    keyed = replace(unsafe, idempotency=Idempotency.KEYED, deduplication_window=25 * SEC)
    classes = tuple(keyed if settings is unsafe else settings for settings in SITE.classes)
    for kept, expected in ((unsafe, [Fail]), (None, [Forward])):
        harness = SchedulerHarness(replace(SITE, classes=classes), TWO_ENGINES)
        request = replace(harness.new_request(2), class_settings=kept)
        harness.notify(request)
        actions = harness.end_attempt(request.request_id, OutcomeCode.RESET)
        assert [type(action) for action in actions if isinstance(action, Fail | Forward)] == expected


@pytest.mark.parametrize(
    ("client_has_key", "scope", "elapsed", "expected"),
    [
        (True, DeduplicationScope.ALL, 1 * SEC, Reject),
        (False, DeduplicationScope.ALL, 1 * SEC, Fail),
        (True, DeduplicationScope.ZONE, 1 * SEC, Fail),
        (True, DeduplicationScope.ALL, 5 * SEC, Fail),
        (False, DeduplicationScope.ALL, 5 * SEC, Fail),
    ],
)
def test_keyed_request_that_may_have_run_is_rejected_only_while_its_clients_retry_is_known(
    client_has_key: bool, scope: DeduplicationScope, elapsed: int, expected: type[Action]
) -> None:
    """Guards against calling a retry harmless that engines cannot recognize."""
    keyed = replace(
        SITE.classes[2],
        idempotency=Idempotency.KEYED,
        deduplication_scope=scope,
        deduplication_window=5 * SEC,
    )
    site = replace(SITE, classes=(*SITE.classes[:2], keyed), max_attempts=1)
    harness = SchedulerHarness(site, TWO_ENGINES)
    request = replace(harness.new_request(2), client_has_key=client_has_key)
    harness.notify(request)
    actions = harness.end_attempt(request.request_id, OutcomeCode.RESET, after=elapsed)
    assert [type(action) for action in actions if isinstance(action, Reject | Fail)] == [expected]


@pytest.mark.parametrize("code", [OutcomeCode.FULL, OutcomeCode.CONNECT_FAILED])
def test_non_idempotent_that_never_ran_goes_elsewhere(code: OutcomeCode) -> None:
    harness = SchedulerHarness(engines=TWO_ENGINES)
    request = harness.send_request(2)
    harness.end_attempt(request.request_id, code)
    assert [forward.request_id for forward in harness.sent] == [request.request_id, request.request_id]
    assert harness.sent[0].endpoint != harness.sent[1].endpoint


@pytest.mark.parametrize("scope", [DeduplicationScope.ZONE, DeduplicationScope.CELL])
def test_keyed_retries_stay_in_group_and_span(scope: DeduplicationScope) -> None:
    keyed_class = replace(
        QUICK,
        idempotency=Idempotency.KEYED,
        deduplication_scope=scope,
        deduplication_window=600 * MS,
        latency_objective=4 * SEC,
    )
    first_group_engine = engine("a", zone=0, group=0)
    harness = SchedulerHarness(
        replace(SITE, classes=(keyed_class,)), (first_group_engine, engine("b", zone=1, group=1))
    )
    for _ in range(6):
        request = harness.send_request()
        first_endpoint = harness.sent[-1].endpoint
        sent_before = len(harness.sent)
        harness.end_attempt(request.request_id, OutcomeCode.TIMEOUT)
        assert all(forward.endpoint == first_endpoint for forward in harness.sent[sent_before:])
        if len(harness.sent) > sent_before:
            harness.end_attempt(request.request_id, OutcomeCode.TIMEOUT, after=700 * MS)
            assert len(harness.sent) == sent_before + 1
            assert Fail(request.request_id) in harness.last_actions


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_nothing_goes_to_a_draining_or_removed_engine(state: EndpointState) -> None:
    harness = SchedulerHarness(engines=TWO_ENGINES)
    harness.notify(EndpointUpdate(EndpointUpdateKind.DELTA, (engine("a", state),)))
    for _ in range(9):
        harness.send_request()
    assert {forward.endpoint for forward in harness.sent} == {"b"}


def test_engine_left_out_of_a_snapshot_gets_nothing() -> None:
    harness = SchedulerHarness(engines=TWO_ENGINES)
    harness.notify(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, (engine("b"),)))
    for _ in range(9):
        harness.send_request()
    assert {forward.endpoint for forward in harness.sent} == {"b"}


@pytest.mark.parametrize("instances", [1, 3])
def test_slow_starting_engine_gets_its_budget_shared_among_instances(instances: int) -> None:
    harness = SchedulerHarness(replace(SITE, instance_count=instances), (engine("a"),))
    for _ in range(200):
        harness.scheduler.state.classes[0].work.add(200 * MS, 0.01)
    harness.notify(
        EndpointUpdate(EndpointUpdateKind.DELTA, (engine("a", started_at=harness.now + 3 * SEC),)),
        after=4 * SEC,
    )
    for _ in range(60):
        harness.send_request()
        harness.notify(TimerFired(0), after=30 * MS)
    assert len(harness.sent) > 0
    assert len(harness.sent) * 200 * MS <= 8 * 0.85 * 0.3 * 2.0 * 2 * SEC / instances


def test_restarted_gateway_sends_nothing_to_a_slow_starting_engine_while_its_own_sends_may_count() -> None:
    harness = SchedulerHarness(engines=(engine("a", started_at=99 * SEC), engine("b")))
    for _ in range(5):
        harness.send_request()
    assert {forward.endpoint for forward in harness.sent} == {"b"}


def test_turns_of_a_key_come_one_at_a_time_and_wait_in_quarantine_after_doubt() -> None:
    harness = SchedulerHarness(
        replace(SITE, classes=(QUICK, REPORT, replace(LOAD, ordered_by_key=True))), TWO_ENGINES
    )
    first, second, other = (
        harness.send_request(2, key="k"),
        harness.send_request(2, key="k"),
        harness.send_request(2, key="other"),
    )
    assert [forward.request_id for forward in harness.sent] == [first.request_id, other.request_id]
    harness.end_attempt(first.request_id, OutcomeCode.RESET, after=SEC)
    harness.notify(TimerFired(0), after=SITE.key_quarantine - MS)
    assert second.request_id not in {forward.request_id for forward in harness.sent}
    harness.notify(TimerFired(0), after=MS)
    assert harness.sent[-1].request_id == second.request_id


@pytest.mark.parametrize("restriction", [{"allowed_zones": (1,)}, {"allowed_kinds": (1,)}])
def test_placement_holds_even_when_the_allowed_engine_is_down(
    restriction: dict[str, tuple[int, ...]],
) -> None:
    restricted_class = replace(QUICK, **restriction)  # type: ignore[arg-type]
    site = replace(SITE, classes=(restricted_class,), cores_by_kind=(8, 8), memory_mb_by_kind=(16.0, 16.0))
    harness = SchedulerHarness(site, (engine("a"), engine("b", zone=1, kind=1)))
    request = harness.send_request()
    assert harness.sent[-1].endpoint == "b"
    harness.end_attempt(request.request_id, OutcomeCode.CONNECT_FAILED)
    harness.send_request()
    assert {forward.endpoint for forward in harness.sent} == {"b"}


def test_retries_stay_within_the_budget() -> None:
    harness = SchedulerHarness(
        replace(SITE, retry_allowance=1.0, retries_per_request=0.0, retry_window=10 * SEC), TWO_ENGINES
    )
    for _ in range(5):
        request = harness.send_request()
        if any(forward.request_id == request.request_id for forward in harness.sent):
            harness.end_attempt(request.request_id, OutcomeCode.FULL)
    assert (
        len({forward.request_id for forward in harness.sent})
        < len(harness.sent)
        <= len({forward.request_id for forward in harness.sent}) + 1
    )


class Referee:
    """Oracle: checks a scheduler's actions against the rules but the fourth, from the events passed to it."""

    def __init__(self, site: Settings) -> None:
        self.site = site
        self.endpoints: dict[str, EndpointInfo] = {}
        self.requests: dict[int, Request] = {}
        self.arrival_order: list[int] = []
        self.ended: set[int] = set()
        self.in_flight: dict[tuple[int, int], tuple[EndpointInfo, int]] = {}
        self.attempt_numbers: dict[int, int] = {}
        self.first_executed: dict[int, tuple[int, EndpointInfo]] = {}
        self.may_have_run: set[int] = set()
        self.quarantined_until: dict[str, int] = {}
        self.retries_at: list[int] = []
        self.requests_at: list[int] = []

    def update_endpoints(self, change: EndpointUpdate) -> None:
        if change.kind is not EndpointUpdateKind.DELTA:
            self.endpoints = {}
        for info in change.endpoints:
            self.endpoints[info.name] = info

    def check(self, now: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Reject | Fail):
                assert action.request_id in self.requests and action.request_id not in self.ended
                request = self.requests[action.request_id]
                class_settings = self.site.classes[request.class_index]
                if isinstance(action, Reject) and action.request_id in self.may_have_run:
                    assert class_settings.idempotency is Idempotency.IDEMPOTENT or (
                        class_settings.idempotency is Idempotency.KEYED
                        and class_settings.deduplication_scope is DeduplicationScope.ALL
                    )
                self.ended.add(action.request_id)
            elif isinstance(action, Forward):
                self.check_forward(now, action)
            elif isinstance(action, Cancel):
                assert action.attempt_number <= self.attempt_numbers[action.request_id]

    def check_forward(self, now: int, action: Forward) -> None:
        request = self.requests[action.request_id]
        class_settings = self.site.classes[request.class_index]
        info = self.endpoints[action.endpoint]
        assert action.request_id not in self.ended and now < request.deadline
        assert info.state is EndpointState.UP
        assert class_settings.allowed_zones is None or info.zone in class_settings.allowed_zones
        assert class_settings.allowed_kinds is None or info.kind in class_settings.allowed_kinds
        attempts = [request_id for request_id, _ in self.in_flight if request_id == action.request_id]
        assert not attempts or (
            self.site.allows_hedging and class_settings.idempotency is not Idempotency.NON_IDEMPOTENT
        )
        if class_settings.idempotency is Idempotency.NON_IDEMPOTENT:
            assert action.request_id not in self.may_have_run
        if class_settings.idempotency is Idempotency.KEYED and action.request_id in self.first_executed:
            first_sent_at, first_info = self.first_executed[action.request_id]
            assert now - first_sent_at < class_settings.deduplication_window
            assert (
                class_settings.deduplication_scope is not DeduplicationScope.ZONE
                or info.zone == first_info.zone
            )
            assert (
                class_settings.deduplication_scope is not DeduplicationScope.CELL
                or info.group == first_info.group
            )
        attempt_number = self.attempt_numbers.get(action.request_id, -1) + 1
        assert attempt_number < self.site.max_attempts
        if attempt_number and self.site.retry_allowance is not None:
            window_start = now - self.site.retry_window
            requests = sum(time > window_start for time in self.requests_at)
            assert sum(time > window_start for time in self.retries_at) + 1 <= (
                self.site.retry_allowance + self.site.retries_per_request * requests
            )
        if attempt_number:
            self.retries_at.append(now)
        if class_settings.ordered_by_key and request.key:
            for earlier_id in self.arrival_order[: self.arrival_order.index(action.request_id)]:
                earlier = self.requests[earlier_id]
                if earlier.key == request.key and self.site.classes[earlier.class_index].ordered_by_key:
                    assert earlier_id in self.ended and not any(
                        request_id == earlier_id for request_id, _ in self.in_flight
                    )
            assert attempt_number or now >= self.quarantined_until.get(request.key, 0)
        self.attempt_numbers[action.request_id] = attempt_number
        self.in_flight[action.request_id, attempt_number] = info, now
        self.may_have_run.add(action.request_id)

    def record_outcome(self, now: int, outcome: AttemptOutcome) -> None:
        info, sent_at = self.in_flight.pop((outcome.request_id, outcome.attempt_number))
        if outcome.code not in NEVER_RAN:
            self.first_executed.setdefault(outcome.request_id, (sent_at, info))
        elif outcome.request_id not in self.first_executed:
            self.may_have_run.discard(outcome.request_id)
        request = self.requests[outcome.request_id]
        if outcome.code in (OutcomeCode.TIMEOUT, OutcomeCode.RESET, OutcomeCode.CANCELLED) and request.key:
            self.quarantined_until[request.key] = now + self.site.key_quarantine
        if outcome.final:
            self.ended.add(outcome.request_id)


ALLOWED_INDICES = st.sampled_from([None, (0,), (1,)])
CLASS_SETTINGS = st.builds(
    replace,
    st.sampled_from([QUICK, REPORT, LOAD]),
    idempotency=st.sampled_from(Idempotency),
    deduplication_scope=st.sampled_from(DeduplicationScope),
    deduplication_window=st.sampled_from([200 * MS, 5 * SEC]),
    ordered_by_key=st.booleans(),
    allowed_zones=ALLOWED_INDICES,
    allowed_kinds=ALLOWED_INDICES,
)
SITE_SETTINGS = st.builds(
    replace,
    st.just(replace(SITE, cores_by_kind=(8, 4), memory_mb_by_kind=(16384.0, 8192.0))),
    classes=st.tuples(CLASS_SETTINGS, CLASS_SETTINGS),
    allows_hedging=st.booleans(),
    retry_allowance=st.sampled_from([None, 0.0, 2.0]),
    retries_per_request=st.sampled_from([0.0, 0.2]),
    retry_window=st.just(2 * SEC),
    max_attempts=st.integers(1, 4),
    instance_count=st.sampled_from([1, 2, 3, 280]),
    allows_gossip=st.booleans(),
    tenant_quotas=st.sampled_from([(), (30.0,)]),
    progress_interval=st.sampled_from([0, 2 * SEC]),
)
LISTED = st.lists(
    st.builds(
        EndpointInfo,
        st.sampled_from("abcd"),
        st.sampled_from(EndpointState),
        st.integers(0, 1),
        st.integers(0, 1),
        st.integers(0, 1),
        st.sampled_from([0, 98 * SEC, 101 * SEC]),
        st.just(1.0),
    ),
    max_size=4,
    unique_by=lambda info: info.name,
)


@settings(max_examples=150, derandomize=True, deadline=None)
@given(site=SITE_SETTINGS, first=LISTED, data=st.data())
def test_no_legal_sequence_breaks_a_rule(
    site: Settings, first: list[EndpointInfo], data: st.DataObject
) -> None:
    now = 100 * SEC
    referee, scheduler = Referee(site), Scheduler(site, 3)
    start = EndpointUpdate(
        EndpointUpdateKind.CACHED, tuple(info for info in first if info.state is not EndpointState.REMOVED)
    )
    referee.update_endpoints(start)
    referee.check(now, scheduler.handle(now, [start]))
    for step in range(data.draw(st.integers(1, 40))):
        now += data.draw(st.sampled_from([0, 5 * MS, 150 * MS, 900 * MS, 4 * SEC]))  # may pause for 4 s
        event: Event
        live = sorted(referee.in_flight)
        match data.draw(st.sampled_from("rrrrooooltngmp")):
            case "r":
                class_index = data.draw(st.integers(0, 1))
                key = data.draw(st.sampled_from([None, "k", "m"]))
                event = Request(
                    step, class_index, now + site.classes[class_index].timeout, 0, 1.0, key, None, 0.0, False
                )
                referee.requests[step] = event
                referee.arrival_order.append(step)
                referee.requests_at.append(now)
            case "o" if live:
                request_id, attempt_number = data.draw(st.sampled_from(live))
                code = data.draw(st.sampled_from(OutcomeCode))
                name = referee.in_flight[request_id, attempt_number][0].name
                final = code is OutcomeCode.OK or request_id in referee.ended
                event = AttemptOutcome(
                    request_id, final, code, 200 * MS, attempt_number, name, None, None, ()
                )
                referee.record_outcome(now, event)
            case "n" if live:
                request_id, attempt_number = data.draw(st.sampled_from(live))
                name = referee.in_flight[request_id, attempt_number][0].name
                progress = data.draw(st.floats(0, 1))
                event = ProgressNote(request_id, attempt_number, name, ProgressKind.PROGRESS, progress)
            case "g" if referee.arrival_order:
                event = RequestAbandoned(data.draw(st.sampled_from(referee.arrival_order)))
                referee.ended.add(event.request_id)
            case "l":
                scope = data.draw(st.sampled_from([EndpointUpdateKind.DELTA, EndpointUpdateKind.SNAPSHOT]))
                event = EndpointUpdate(scope, tuple(data.draw(LISTED)))
                referee.update_endpoints(event)
            case "m":
                data_ = data.draw(st.sampled_from(["", "3", "7,1", "-1", "x", "9" * 300]))
                event = GossipMessage(data.draw(st.integers(0, 9)), data_)
            case "p":
                event = HealthCheckResult(
                    data.draw(st.sampled_from("az")), data.draw(st.booleans()), MS, (1.0,)
                )
            case _:
                event = TimerFired(0)
        referee.check(now, scheduler.handle(now, [event]))


@pytest.mark.parametrize("time_left", [120 * MS, 150 * MS, 294 * MS, 340 * MS])
def test_a_queued_query_of_an_impatient_client_is_answered_before_the_client_leaves(time_left: int) -> None:
    harness = SchedulerHarness(replace(SITE, classes=(QUICK, REPORT)), (engine("a"),))
    harness.scheduler.state.classes[0].work.add(15.0 * MS, 1.0)
    harness.notify(EndpointUpdate(EndpointUpdateKind.DELTA, (engine("a", EndpointState.DRAINING),)))
    request = harness.send_request(time_left=time_left)
    answered = bool(harness.last_actions_of(Reject))
    while not answered and harness.now < request.deadline:  # a busy gateway fires its timer every 115 ms
        harness.notify(TimerFired(0), after=115 * MS)
        answered = bool(harness.last_actions_of(Reject))
    assert answered and harness.now <= request.deadline and not harness.sent
