"""The seven rules, one by one on scripted events, and all at once on arbitrary legal ones."""

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
from tests.world import LOAD, MS, QUICK, REPORT, SEC, SITE, World, engine

TWO = (engine("a"), engine("b"))
NEVER_RAN = (OutcomeCode.FULL, OutcomeCode.CONNECT_FAILED, OutcomeCode.NOT_SENT)


def test_one_answer_and_nothing_after_it() -> None:
    w = World(engines=TWO)
    r = w.ask()
    assert [s.request_id for s in w.sent] == [r.request_id]
    assert w.end(r.request_id, OutcomeCode.OK) == []
    w.notify(RequestAbandoned(r.request_id), TimerFired(0))
    assert len(w.sent) == 1


def test_non_idempotent_that_may_have_run_is_failed_not_rejected_nor_retried() -> None:
    w = World(engines=TWO)
    r = w.ask(2)
    acts = w.end(r.request_id, OutcomeCode.RESET)
    assert Fail(r.request_id) in acts
    assert not any(isinstance(a, Forward | Reject) for a in acts)


@pytest.mark.parametrize("code", [OutcomeCode.FULL, OutcomeCode.CONNECT_FAILED])
def test_non_idempotent_that_never_ran_goes_elsewhere(code: OutcomeCode) -> None:
    w = World(engines=TWO)
    r = w.ask(2)
    w.end(r.request_id, code)
    assert [s.request_id for s in w.sent] == [r.request_id, r.request_id]
    assert w.sent[0].endpoint != w.sent[1].endpoint


@pytest.mark.parametrize("scope", [DeduplicationScope.ZONE, DeduplicationScope.CELL])
def test_keyed_retries_stay_in_group_and_span(scope: DeduplicationScope) -> None:
    keyed = replace(
        QUICK,
        idempotency=Idempotency.KEYED,
        deduplication_scope=scope,
        deduplication_window=600 * MS,
        latency_objective=4 * SEC,
    )
    near = engine("a", zone=0, group=0)
    w = World(replace(SITE, classes=(keyed,)), (near, engine("b", zone=1, group=1)))
    for _ in range(6):
        r = w.ask()
        first = w.sent[-1].endpoint
        n = len(w.sent)
        w.end(r.request_id, OutcomeCode.TIMEOUT)
        assert all(s.endpoint == first for s in w.sent[n:])
        if len(w.sent) > n:
            w.end(r.request_id, OutcomeCode.TIMEOUT, after=700 * MS)
            assert len(w.sent) == n + 1
            assert Fail(r.request_id) in w.last


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_nothing_goes_to_a_draining_or_removed_engine(state: EndpointState) -> None:
    w = World(engines=TWO)
    w.notify(EndpointUpdate(EndpointUpdateKind.DELTA, (engine("a", state),)))
    for _ in range(9):
        w.ask()
    assert {s.endpoint for s in w.sent} == {"b"}


def test_engine_left_out_of_a_snapshot_is_gone() -> None:
    w = World(engines=TWO)
    w.notify(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, (engine("b"),)))
    for _ in range(9):
        w.ask()
    assert {s.endpoint for s in w.sent} == {"b"}


@pytest.mark.parametrize("instances", [1, 3])
def test_slow_starting_engine_gets_its_budget_shared_among_instances(instances: int) -> None:
    w = World(replace(SITE, instance_count=instances), (engine("a"),))
    for _ in range(200):
        w.scheduler.state.classes[0].work.add(200 * MS, 0.01)
    w.notify(
        EndpointUpdate(EndpointUpdateKind.DELTA, (engine("a", launched=w.now + 3 * SEC),)), after=4 * SEC
    )
    for _ in range(60):
        w.ask()
        w.notify(TimerFired(0), after=30 * MS)
    assert len(w.sent) > 0
    assert len(w.sent) * 200 * MS <= 8 * 0.85 * 0.3 * 2.0 * 2 * SEC / instances


def test_restarted_gateway_sends_nothing_to_a_slow_starting_engine_while_its_own_sends_may_count() -> None:
    w = World(engines=(engine("a", launched=99 * SEC), engine("b")))
    for _ in range(5):
        w.ask()
    assert {s.endpoint for s in w.sent} == {"b"}


def test_turns_of_a_key_come_one_at_a_time_and_wait_in_quarantine_after_doubt() -> None:
    w = World(replace(SITE, classes=(QUICK, REPORT, replace(LOAD, ordered_by_key=True))), TWO)
    first, second, other = w.ask(2, key="k"), w.ask(2, key="k"), w.ask(2, key="other")
    assert [s.request_id for s in w.sent] == [first.request_id, other.request_id]
    w.end(first.request_id, OutcomeCode.RESET, after=SEC)
    w.notify(TimerFired(0), after=SITE.key_quarantine - MS)
    assert second.request_id not in {s.request_id for s in w.sent}
    w.notify(TimerFired(0), after=MS)
    assert w.sent[-1].request_id == second.request_id


@pytest.mark.parametrize("bound", [{"allowed_zones": (1,)}, {"allowed_kinds": (1,)}])
def test_placement_holds_even_when_the_allowed_engine_is_down(bound: dict[str, tuple[int, ...]]) -> None:
    quick = replace(QUICK, **bound)  # type: ignore[arg-type]
    site = replace(SITE, classes=(quick,), cores_by_kind=(8, 8), memory_mb_by_kind=(16.0, 16.0))
    w = World(site, (engine("a"), engine("b", zone=1, kind=1)))
    r = w.ask()
    assert w.sent[-1].endpoint == "b"
    w.end(r.request_id, OutcomeCode.CONNECT_FAILED)
    w.ask()
    assert {s.endpoint for s in w.sent} == {"b"}


def test_retries_stay_within_the_budget() -> None:
    w = World(replace(SITE, retry_allowance=1.0, retries_per_request=0.0, retry_window=10 * SEC), TWO)
    for _ in range(5):
        r = w.ask()
        if any(s.request_id == r.request_id for s in w.sent):
            w.end(r.request_id, OutcomeCode.FULL)
    assert len({s.request_id for s in w.sent}) < len(w.sent) <= len({s.request_id for s in w.sent}) + 1


class Referee:
    """Checks what was sent against what was told."""

    def __init__(self, site: Settings) -> None:
        self.site = site
        self.entries: dict[str, EndpointInfo] = {}
        self.requests: dict[int, Request] = {}
        self.order: list[int] = []
        self.done: set[int] = set()
        self.out: dict[tuple[int, int], tuple[EndpointInfo, int]] = {}
        self.copies: dict[int, int] = {}
        self.ran: dict[int, tuple[int, EndpointInfo]] = {}
        self.may_run: set[int] = set()
        self.rest: dict[str, int] = {}
        self.extra: list[int] = []
        self.taken: list[int] = []

    def listed(self, change: EndpointUpdate) -> None:
        if change.kind is not EndpointUpdateKind.DELTA:
            self.entries = {}
        for e in change.endpoints:
            self.entries[e.name] = e

    def check(self, now: int, actions: list[Action]) -> None:
        for act in actions:
            if isinstance(act, Reject | Fail):
                assert act.request_id in self.requests and act.request_id not in self.done
                r = self.requests[act.request_id]
                c = self.site.classes[r.class_index]
                if isinstance(act, Reject) and act.request_id in self.may_run:
                    assert c.idempotency is Idempotency.IDEMPOTENT or (
                        c.idempotency is Idempotency.KEYED and c.deduplication_scope is DeduplicationScope.ALL
                    )
                self.done.add(act.request_id)
            elif isinstance(act, Forward):
                self.sent(now, act)
            elif isinstance(act, Cancel):
                assert act.attempt_number <= self.copies[act.request_id]

    def sent(self, now: int, act: Forward) -> None:
        r = self.requests[act.request_id]
        c = self.site.classes[r.class_index]
        e = self.entries[act.endpoint]
        assert act.request_id not in self.done and now < r.deadline
        assert e.state is EndpointState.UP
        assert c.allowed_zones is None or e.zone in c.allowed_zones
        assert c.allowed_kinds is None or e.kind in c.allowed_kinds
        alive = [x for x, _ in self.out if x == act.request_id]
        assert not alive or (self.site.allows_hedging and c.idempotency is not Idempotency.NON_IDEMPOTENT)
        if c.idempotency is Idempotency.NON_IDEMPOTENT:
            assert act.request_id not in self.may_run
        if c.idempotency is Idempotency.KEYED and act.request_id in self.ran:
            since, first = self.ran[act.request_id]
            assert now - since < c.deduplication_window
            assert c.deduplication_scope is not DeduplicationScope.ZONE or e.zone == first.zone
            assert c.deduplication_scope is not DeduplicationScope.CELL or e.group == first.group
        copy = self.copies.get(act.request_id, -1) + 1
        assert copy < self.site.max_attempts
        if copy and self.site.retry_allowance is not None:
            since = now - self.site.retry_window
            taken = sum(t > since for t in self.taken)
            assert sum(t > since for t in self.extra) + 1 <= (
                self.site.retry_allowance + self.site.retries_per_request * taken
            )
        if copy:
            self.extra.append(now)
        if c.ordered_by_key and r.key:
            for earlier in self.order[: self.order.index(act.request_id)]:
                o = self.requests[earlier]
                if o.key == r.key and self.site.classes[o.class_index].ordered_by_key:
                    assert earlier in self.done and not any(x == earlier for x, _ in self.out)
            assert copy or now >= self.rest.get(r.key, 0)
        self.copies[act.request_id] = copy
        self.out[act.request_id, copy] = e, now
        self.may_run.add(act.request_id)

    def outcome(self, now: int, o: AttemptOutcome) -> None:
        e, at = self.out.pop((o.request_id, o.attempt_number))
        if o.code not in NEVER_RAN:
            self.ran.setdefault(o.request_id, (at, e))
        elif o.request_id not in self.ran:
            self.may_run.discard(o.request_id)
        r = self.requests[o.request_id]
        if o.code in (OutcomeCode.TIMEOUT, OutcomeCode.RESET, OutcomeCode.CANCELLED) and r.key:
            self.rest[r.key] = now + self.site.key_quarantine
        if o.final:
            self.done.add(o.request_id)


PLACES = st.sampled_from([None, (0,), (1,)])
CLASS = st.builds(
    replace,
    st.sampled_from([QUICK, REPORT, LOAD]),
    idempotency=st.sampled_from(Idempotency),
    deduplication_scope=st.sampled_from(DeduplicationScope),
    deduplication_window=st.sampled_from([200 * MS, 5 * SEC]),
    ordered_by_key=st.booleans(),
    allowed_zones=PLACES,
    allowed_kinds=PLACES,
)
SITES = st.builds(
    replace,
    st.just(replace(SITE, cores_by_kind=(8, 4), memory_mb_by_kind=(16384.0, 8192.0))),
    classes=st.tuples(CLASS, CLASS),
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
    unique_by=lambda e: e.name,
)


@settings(max_examples=150, derandomize=True, deadline=None)
@given(site=SITES, first=LISTED, data=st.data())
def test_no_legal_sequence_breaks_a_rule(
    site: Settings, first: list[EndpointInfo], data: st.DataObject
) -> None:
    now = 100 * SEC
    ref, scheduler = Referee(site), Scheduler(site, 3)
    start = EndpointUpdate(
        EndpointUpdateKind.CACHED, tuple(e for e in first if e.state is not EndpointState.REMOVED)
    )
    ref.listed(start)
    ref.check(now, scheduler.handle(now, [start]))
    for step in range(data.draw(st.integers(1, 40))):
        now += data.draw(st.sampled_from([0, 5 * MS, 150 * MS, 900 * MS, 4 * SEC]))  # it may stand or leap
        event: Event
        live = sorted(ref.out)
        match data.draw(st.sampled_from("rrrrooooltngmp")):
            case "r":
                cls = data.draw(st.integers(0, 1))
                key = data.draw(st.sampled_from([None, "k", "m"]))
                event = Request(step, cls, now + site.classes[cls].timeout, 0, 1.0, key, None, 0.0, False)
                ref.requests[step] = event
                ref.order.append(step)
                ref.taken.append(now)
            case "o" if live:
                xid, copy = data.draw(st.sampled_from(live))
                code = data.draw(st.sampled_from(OutcomeCode))
                name = ref.out[xid, copy][0].name
                final = code is OutcomeCode.OK or xid in ref.done
                event = AttemptOutcome(xid, final, code, 200 * MS, copy, name, None, None, ())
                ref.outcome(now, event)
            case "n" if live:
                xid, copy = data.draw(st.sampled_from(live))
                name, share = ref.out[xid, copy][0].name, data.draw(st.floats(0, 1))
                event = ProgressNote(xid, copy, name, ProgressKind.PROGRESS, share)
            case "g" if ref.order:
                event = RequestAbandoned(data.draw(st.sampled_from(ref.order)))
                ref.done.add(event.request_id)
            case "l":
                scope = data.draw(st.sampled_from([EndpointUpdateKind.DELTA, EndpointUpdateKind.SNAPSHOT]))
                event = EndpointUpdate(scope, tuple(data.draw(LISTED)))
                ref.listed(event)
            case "m":
                data_ = data.draw(st.sampled_from(["", "3", "7,1", "-1", "x", "9" * 300]))
                event = GossipMessage(data.draw(st.integers(0, 9)), data_)
            case "p":
                event = HealthCheckResult(
                    data.draw(st.sampled_from("az")), data.draw(st.booleans()), MS, (1.0,)
                )
            case _:
                event = TimerFired(0)
        ref.check(now, scheduler.handle(now, [event]))


@pytest.mark.parametrize("left", [120 * MS, 150 * MS, 294 * MS, 340 * MS])
def test_a_queued_query_of_an_impatient_client_is_answered_before_the_client_leaves(left: int) -> None:
    w = World(replace(SITE, classes=(QUICK, REPORT)), (engine("a"),))
    w.scheduler.state.classes[0].work.add(15.0 * MS, 1.0)
    w.notify(EndpointUpdate(EndpointUpdateKind.DELTA, (engine("a", EndpointState.DRAINING),)))
    r = w.ask(left=left)
    answered = bool(w.of(Reject))
    while not answered and w.now < r.deadline:  # the clock of a busy controller: a look each 115 ms
        w.notify(TimerFired(0), after=115 * MS)
        answered = bool(w.of(Reject))
    assert answered and w.now <= r.deadline and not w.sent
