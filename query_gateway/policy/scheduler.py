"""Every decision of the gateway: which query goes to which engine, when, on what terms, or is refused.

Types: `query_gateway/model`; times are nanoseconds. UNIT (2.3, 3.2, 3.3): what is held leaves each
engine's line by earliest deadline; a query passes if `lag ratio * earliest start + mean run time` is
before it and pushes no more worth late than its own; a controller moves the lag ratio. See `docs/design.md`.
"""

import math
from bisect import bisect_left, insort
from collections import deque
from collections.abc import Callable
from itertools import accumulate
from random import Random
from typing import Any
from zlib import crc32

from query_gateway.model.actions import (
    Action,
    Cancel,
    Fail,
    Forward,
    Reject,
    SendGossip,
    SetTerms,
    SetTimer,
    WatchEndpoints,
)
from query_gateway.model.averages import DecayedAverage
from query_gateway.model.endpoints import EndpointInfo, EndpointState, EndpointUpdateKind
from query_gateway.model.events import (
    AttemptOutcome,
    EndpointUpdate,
    Event,
    GossipMessage,
    OutcomeCode,
    ProgressKind,
    ProgressNote,
    Request,
    RequestAbandoned,
    SettingsUpdate,
    TimerFired,
)
from query_gateway.model.forecasts import CompletionForecast, QueuedThreadIndex
from query_gateway.model.records import AttemptState, ClassState, EngineState, QueryState
from query_gateway.model.settings import DeduplicationScope, Idempotency, MemoryShortage, Settings

MS, SEC = 1_000_000, 1_000_000_000

# Controller (paper 3.2, 3.3)
GRACE = 1 * SEC  # period of the controller; the design's
DROP = 0.01  # a fall of the metric by this share of its range wakes the controller at once; the paper's
STEP = 1.1  # one step of the lag ratio; the paper's
LAG_RANGE = (0.25, 4.0)  # the lag ratio stays within; beyond it only admits all or nothing
COST_FLOOR = 0.02  # ratio under which neither cost is worth a step; the noise of one window
COST_MEMORY = 10 * SEC  # decay time of the refusal and lateness sums: a few grace periods

# Class bounds, in threads for each core of ours
WIDE, SMALL = 1.0, 1.0  # of the classes with short and with long runs
PRESSED_SLOW = 1.7  # run time over the uncontended one from which an engine counts as pressed
PRESSED_BUSY = 0.92  # reported busy share of the cores from which it does
FULL_THREADS = 1.6  # threads for each core, of queries told in hand, that fill an engine: some of them read
PRESSED_LOAD = 1.1  # our own threads for each core of ours from which it does, before any answer can tell
CHANCE = 0.5  # spreads (square roots) that a bound leaves to chance, as other gateways draw unevenly
LOAD_MEMORY = 2 * SEC  # decay time of our usual threads and of faith in a report: about a long run

# Learning
MEAN_WEIGHT = 1 / 80  # weight of a new sample in a class mean: a few seconds of a busy class
PRIOR_WORK = 1 / 12  # share of the give-up time, for each thread, taken as work before any sample
LEARNED = 20  # samples from which a spread is trusted as much as the one to start from
SCATTER = 0.7  # log spread of run times to start from: about what cost estimates and pace leave
PACE_MEMORY = 4 * SEC  # decay time of an engine's pace: a few answers of the busiest class
PACE_SAMPLES = 3  # and it lasts for so many answers where they come seldom
PACE_PRIOR = 2.0  # samples' worth of faith that an engine is like its peers
PACE_SPAN = (-1.2, 1.6)  # log range of one sample, so that one odd draw says little
SLACK_PACE = 0.25  # log pace over the peers' that is no sign of illness

# Routing, in shares of the run time
LOAD_COST = 1.0  # for one thread of ours a core of ours
WARM_GAIN = 0.3  # saved by tables that we read there lately
ENDS_AGE = MS // 5  # for each attempt out: how long their order of ends is kept, as sorting costs so much
TRIED = 12  # engines drawn for a closer look; bounds the cost of a decision and parts gateways that are alike
LOAD_PARTS = 3  # one part in so many of the engines takes the loads of a table
LOAD_APART = 1.0  # for a load off those engines, or a reader on them
TABLES = 4096  # table groups remembered of an engine; bounds the memory
WARM_GROUPS = 4  # table groups taken to be warm on an engine
ZONE_COST = 2.0  # for each point of the site's fee on crossing zones

# Health
SILENT = 6.0  # mean runs, summed over what is out, without a sign from an engine: e^-6 by chance
SILENT_LEAST = 700 * MS  # and never in less than this, so that short pauses are no illness
SHUN = (500 * MS, 4 * SEC)  # first and longest rest of an engine that failed; more if answers are few
FAULTY = 0.3  # share of recent attempts that ended in error from which an engine rests
FAULT_WEIGHT = 0.15  # weight of a new outcome in that share

# Attempts, list and tenants
SURGE = 4.0  # seconds of a tenant's share that it may draw at once: a peer's restart brings its clients
TOLD = 2  # peers told each period: telling all grows with the square of their number
HEARSAY = 3 * SEC  # how long a peer's last message counts: a lost one or two do no harm
TICK = 100 * MS  # how often what is out is looked over
LOOKS = 2  # looks that must be left before a client gives up on what is held, as one may come late
SURVEY = 200 * MS  # and how often all engines are
FIRST = 32  # and so many of the first in between
HELD_AGE = MS // 5  # for each query held: how often all are looked at, not only the first of the line
STALL = 5 * TICK  # a clock so much late was our own stall: silence meanwhile says nothing
RESTART = 2.0  # times a fresh run that what remains must exceed before an attempt is begun anew
OVERDUE = 1.8  # spreads of the class's log run times past which a silent attempt is begun anew, once
LOST = 1.6  # note periods without a note after which an attempt is taken for lost
CROWDED = 0.75  # share of the clients' places taken from which nothing more is held
LAST_CALL = 0.5  # of the run time that must be left to a held query; drawn runs scatter below the mean too
HOPELESS = 1.3  # predicted end over the limit, from rough notes, that ends an attempt
COLD_SHARE = 0.4  # of the cold budget at most comes as rights: late ones meet others in one span
COLD_PARTS = 5  # queries of a class that the budget must hold before one is sent
COLD_LAPSE = 3  # spans that rights to long ones last, as each of many gateways has one to send seldom
COLD_FIRST = 0.5  # for an engine that does not start cold, while one that does has room for us
CAPACITY = 0.85  # busy share of the cores that a rating as capacity means
CLOSE_GRANT = 1.15  # memory over the corrected estimate, where surplus is lost to others

# What came at once is taken in first, answers (1) too
ORDER = {EndpointUpdate: 0, Request: 2, RequestAbandoned: 2, SettingsUpdate: 2, TimerFired: 3}
Line = list[tuple[tuple[int, int], QueryState]]  # by earliest deadline
NEVER_RAN = (OutcomeCode.FULL, OutcomeCode.CONNECT_FAILED, OutcomeCode.NOT_SENT)


class Scheduler:
    def __init__(self, settings: Settings, seed: int) -> None:
        settings.check()
        self.s = settings
        self.random = Random(seed)
        self.jitter = self.random.random()
        self.classes: list[ClassState] = []
        self.engines: dict[str, EngineState] = {}
        self.queries: dict[int, QueryState] = {}
        self.held: Line = []
        self.up, self.cold = list[EngineState](), list[EngineState]()
        self.turns: dict[str, list[QueryState]] = {}  # by key, in the order taken
        self.rest: dict[str, int] = {}
        self.taken, self.extra = deque[int](), deque[int]()
        self.heard: dict[int, tuple[int, list[int]]] = {}  # by peer: when, and its requests by tenant
        self.lag = self.metric = 1.0
        self.costs = DecayedAverage(), DecayedAverage(), DecayedAverage()  # worth asked, refused and late
        self.now = self.born = self.checked_at = self.watch_again = self.told_at = self.surveyed = 0
        self.armed = self.watching = self.all_shunned = self.stalled = False
        self.paces, self.told = DecayedAverage(), DecayedAverage()  # over the fleet
        self.used = [0, 0]  # threads of ours that run, of short and of long classes
        self.usual = self.pace = self.common = 0.0  # our usual threads; fleet's log pace; engines' median one
        self.width, self.tight, self.part_lot = 1.0, 1.0, (-1, 0.0)
        self.cores, self.gap = 1.0, 0.0  # of what is up and fit; time between answers of one engine
        self.acts: list[Action] = []
        self.ends: list[CompletionForecast | None] = [None, None]
        self.ahead: QueuedThreadIndex | None = None
        self.released = 0
        self.steps: dict[type, Callable[[Any], None]] = {
            Request: self._arrive,
            AttemptOutcome: self._outcome,
            ProgressNote: self._note,
            EndpointUpdate: self._list,
            RequestAbandoned: self._gone,
            GossipMessage: self._message,
            TimerFired: self._tick,
            SettingsUpdate: self._retune,
        }
        self._retune(SettingsUpdate(settings, ()))

    def _retune(self, r: SettingsUpdate) -> None:
        s, old = r.settings, self.classes
        made = [ClassState(c, c.timeout * PRIOR_WORK * c.threads) for c in s.classes]
        kept = [i for i in range(len(old)) if i not in r.new_classes]
        self.classes = [old[i].with_settings(c.settings) if i in kept else c for i, c in enumerate(made)]
        self.locking = any(c.locks_tables for c in s.classes) and any(c.waits_for_locks for c in s.classes)
        if not old or s.tenant_quotas != self.s.tenant_quotas:
            self.counts = [DecayedAverage() for _ in s.tenant_quotas]
            self.tenants = [(q / s.instance_count, 0) for q in s.tenant_quotas]
        self.s = s

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        self.acts, self.born = [], self.born or now
        # Guards against our own stalls: answers and list first, and no engine is blamed for our silence
        self.stalled, self.now = self.armed and now - self.now > STALL, now
        self._survey()
        events = sorted(events, key=lambda e: ORDER.get(type(e), 1)) if len(events) > 1 else events
        for event in events:
            self.steps.get(type(event), lambda _: None)(event)
        if self.s.polls_endpoint_list and not self.watching and now >= self.watch_again:
            self.watching = True
            self.acts.append(WatchEndpoints(True))
        self._controller()
        self._release()
        if (self.queries or (self.s.polls_endpoint_list and not self.watching)) and not self.armed:
            self.armed = True
            self.acts.append(SetTimer(TICK, 0))
        return self.acts

    def _survey(self, force: bool = False) -> None:
        """What is read over the whole fleet: now and then, or when the list or an engine's rest changes."""
        past = self.now - self.surveyed
        if past < SURVEY and not force:
            return
        self.surveyed, n = self.now, self.s.instance_count
        # Guards the memory against every engine that ever was
        self.engines = {n: e for n, e in self.engines.items() if e.listed or e.in_flight or e.queue}
        self.up = [e for e in self.engines.values() if e.listed and e.info.state is EndpointState.UP]
        fit = [e for e in self.up if self.now >= e.ejected_until]
        self.all_shunned = not fit  # then no engine is to blame
        for e in self.engines.values():
            e.in_slow_start = (
                e.started_at > 0
                and self.now - e.started_at < self.s.slow_start_window
                and self.s.cold_overload_factor > 0
            )
        # Rights bound what cold engines have of ours: neither they nor it count beside the others, which jam
        self.cold = [e for e in self.up if e.in_slow_start]
        self.cores = float(sum(e.cores for e in fit or self.up if not e.in_slow_start)) or 1.0
        self.used = [
            sum(e.threads_in_use[long] for e in self.engines.values() if not e.in_slow_start)
            for long in (0, 1)
        ]
        works = [k.mean_work() for k in self.classes]
        weights = [(k.work.count + 1) * k.mean_work() for k in self.classes]  # threads of one query in hand
        for k, w in zip(self.classes, weights, strict=True):
            k.work_share = w / math.fsum(weights)
            k.is_long = k.mean_work() > math.sqrt(min(works) * max(works)) * 1.001  # the geometric middle
        shares = [w / k.settings.threads for w, k in zip(weights, self.classes, strict=True)]
        self.width = math.fsum(weights) / math.fsum(shares)
        # Others like us have each about what we have; what engines tell of their load says it better
        self.usual = sum(self.used) + math.exp(-past / LOAD_MEMORY) * (self.usual - sum(self.used))
        told = self.told.mean(self.now, LOAD_MEMORY, n * self.usual / self.cores, PACE_PRIOR)
        self.gap = len(self.up) * PACE_MEMORY / max(1.0, self.paces.weight_at(self.now, PACE_MEMORY))
        self.pace = self.paces.mean(self.now, PACE_MEMORY, 0.0, PACE_PRIOR)
        for e in self.up:
            e.slowdown = e.log_slowdown.mean(
                self.now, PACE_MEMORY + PACE_SAMPLES * self.gap, self.pace, PACE_PRIOR
            )
            fresh = math.exp(-(self.now - e.reported_at) / LOAD_MEMORY) if e.reported_at else 0.0
            e.load = told + fresh * (e.reported_load - told)
            e.saturated = e.slowdown > math.log(PRESSED_SLOW) or (
                self.told.weight > 0 and e.load > PRESSED_BUSY
            )
            e.load_of_others = (1 - 1 / n) * (e.load - fresh * sum(e.threads_in_use) / e.cores)
            slack = CHANCE * math.sqrt((n - 1) * e.cores)
            e.saturation_threads = (
                PRESSED_LOAD * e.cores + slack - (n - 1) * self.usual * e.cores / self.cores
            )
        rates = sorted(e.slowdown for e in self.up if not e.in_slow_start)
        self.common = rates[(len(rates) - 1) // 2] if rates else 0.0
        # Guards against a jam that all of us keep up, each with "one query at least"; where no load is told
        # the pace shows it, and whether among many, who draw unevenly, there is room for more than our part
        slow = max(min(1.0, max(self.s.cores_by_kind, default=1) / n), math.exp(self.common) / PRESSED_SLOW)
        self.tight = max(1.0, told) if self.told.weight else slow
        for e in self.up:
            self._rate_illness(e)

    def ejected_endpoints(self, now: int) -> tuple[str, ...]:
        return tuple(e.info.name for e in self.up if now < e.ejected_until)

    def _list(self, change: EndpointUpdate) -> None:
        if change.kind is EndpointUpdateKind.FAILED:
            self.watching, self.watch_again = False, self.now + GRACE
            return
        if change.kind is not EndpointUpdateKind.DELTA:
            named = {e.name for e in change.endpoints}
            for engine in self.engines.values():
                engine.listed = engine.listed and engine.info.name in named
        for entry in change.endpoints:
            self._entry(entry)
        self._survey(True)

    def _entry(self, entry: EndpointInfo) -> None:
        old = self.engines.get(entry.name)
        if old is None:
            s, k = self.s, entry.kind
            size = (
                (s.cores_by_kind[k], s.memory_mb_by_kind[k])
                if k < len(s.cores_by_kind)
                else (max(s.cores_by_kind, default=1), 0.0)
            )
            old = EngineState(entry, *size, last_heard_at=self.now, tie_breaker=self.random.random())
            self.engines[entry.name] = old
        if entry.started_at > old.started_at:  # a restart: cold, nothing warm, and its past says nothing
            old.started_at, old.start_known_at = entry.started_at, self.now
            old.warm_table_groups.clear()
            old.log_slowdown, old.fault_rate = DecayedAverage(), 0.0
            old.ejected_until = old.ejection_time = 0
        old.info = entry
        old.listed = entry.state is not EndpointState.REMOVED

    # ---- admission (paper 3.3)

    def _arrive(self, r: Request) -> None:
        if r.request_id in self.queries or r.class_index >= len(self.classes):
            return
        c = self.classes[r.class_index]
        if self.s.retry_allowance is not None:
            self.taken.append(self.now)
        left = r.deadline - self.now
        work = self._work(c, r)
        # Guards against refusing on what a jam long past has taught: what is not told anew is forgotten
        run = (
            work
            / c.settings.threads
            * c.slowdown.mean(self.now, PACE_MEMORY, math.exp(self.pace), PACE_PRIOR)
        )
        aim = c.settings.latency_objective + int(
            c.settings.objective_per_run_time * work / c.settings.threads
        )
        if not r.is_retry:
            c.longest_timeout = max(c.longest_timeout, left)
        elif (
            left < c.longest_timeout - MS
        ):  # its first try began so long ago: what is past of its aim is past
            aim -= max(0, c.settings.timeout - left)
        deadline = min(self.now + aim, r.deadline)
        order = deadline, r.request_id
        q = QueryState(r, c, self.now, self._worth(c, r), work, run, deadline, order, self.s.max_attempts)
        self.queries[r.request_id] = q
        if r.key and c.settings.ordered_by_key:
            self.turns.setdefault(r.key, []).append(q)
        if not r.is_retry:
            self._cost(q.weight, 0.0, 0.0)
        self._admit(q)

    def _work(self, c: ClassState, r: Request) -> float:
        """Expected work: the class mean, moved by the told estimate as far as that has proved itself."""
        if not r.estimated_work or r.estimated_work <= 0:
            return c.mean_work()
        if c.estimate_error.count < 5:
            return float(r.estimated_work)
        trust = c.log_work.variance / max(1e-9, c.log_work.variance + c.estimate_error.variance)
        told = math.log(r.estimated_work) + c.estimate_error.value
        return math.exp(trust * told + (1 - trust) * c.log_work.value)

    def _worth(self, c: ClassState, r: Request) -> float:
        """Class worth; what a tenant asks beyond its share is worth what the site says."""
        if r.tenant >= len(self.tenants) or self.s.tenant_quotas[r.tenant] <= 0:
            return c.settings.weight
        self.counts[r.tenant].add(1.0, self.now, HEARSAY)
        rate, (level, at) = self.s.tenant_quotas[r.tenant] * self._part(r.tenant), self.tenants[r.tenant]
        most = rate * SURGE + 1 + math.sqrt(rate * SURGE)  # a small part comes unevenly
        level = min(most, level + rate * (self.now - at) / SEC) if at else most
        over = level < 1
        self.tenants[r.tenant] = (level if over else level - 1, self.now)
        return c.settings.weight * (self.s.over_quota_weight if over else 1.0)

    def _part(self, tenant: int) -> float:
        """Our part of a tenant's traffic: by what peers told of theirs, else one of so many."""
        if not self.s.allows_gossip:
            return 1 / self.s.instance_count
        heard = sum(c[tenant] for at, c in self.heard.values() if self.now - at < HEARSAY)
        peers = self.s.instance_count - 1  # of whom only a few speak to us within that time
        mine = max(1.0, self._asked(tenant))
        return mine / (mine + heard * peers / max(1, min(peers, TOLD * HEARSAY / GRACE)))

    def _asked(self, tenant: int) -> float:
        """Requests in the time of HEARSAY; guards a controller just restarted against counting too few."""
        whole = 1 - math.exp(-(self.now - self.born + TICK) / HEARSAY)
        return self.counts[tenant].weight_at(self.now, HEARSAY) / whole

    def _message(self, m: GossipMessage) -> None:
        told = m.data.split(",")
        if len(told) == len(self.counts) and all(c.isdigit() and len(c) < 10 for c in told):
            self.heard[m.sender] = self.now, [int(c) for c in told]

    def _admit(self, q: QueryState) -> None:
        """Deadline check, then the endangered-worth check; what passes is held for its engine."""
        start, engine = self._route(q) or (0.0, None)
        late = self.now + self.lag * start + q.run_time >= q.due_at
        # Guards clients who find no place: whoever is held keeps one, and only who gets in can be refused
        late |= start > 0 and 0 < self.s.max_client_connections * CROWDED <= len(self.queries)
        # Guards the others against a tenant's surplus: worth little, and at a pressed engine it delays all
        late |= engine is not None and q.weight < q.request_class.settings.weight and self._pressed(engine)
        if late or (engine and self._endangered(q, engine, start) > q.weight):
            self._end(q, start)
        else:
            q.queued_at, q.start_at = engine, self.now + start
            for line in (self.held, engine.queue) if engine else (self.held,):
                insort(line, (q.order, q))

    def _endangered(self, q: QueryState, engine: EngineState, start: float) -> float:
        """Worth held behind `q` in its line that would come late because of it, and would not have."""
        if start <= 0:
            return 0.0
        push = (
            q.run_time
            * q.request_class.settings.threads
            / max(1.0, self._bound(engine.cores, q.request_class))
        )
        place = bisect_left(engine.queue, q.order, key=lambda held: held[0])
        behind = [h for _, h in engine.queue[place:] if h.request_class.is_long == q.request_class.is_long]
        return math.fsum(h.weight for h in behind if 0 < h.due_at - h.start_at - h.run_time <= push)

    def _route(self, q: QueryState) -> tuple[float, EngineState] | None:
        """The engine of least start; what ties there goes by the run time to expect."""
        rated = []
        fleet = self._fleet_start(q)
        for engine in self._candidates(q):
            start = self._start(engine, q)
            start = (
                max(start, fleet) if fleet and not engine.in_slow_start and self._pressed(engine) else start
            )
            rated.append((start + self._run_at(engine, q), start, engine))
        return min(rated, key=lambda r: r[0])[1:] if rated else None

    def _candidates(self, q: QueryState) -> list[EngineState]:
        """A few engines by lot, so that many alike do not run to the same one."""
        drawn = self.up if len(self.up) <= TRIED else self.random.sample(self.up, TRIED)
        # Guards a cold engine's few rights against not being drawn in the moment that they last
        drawn = drawn + [e for e in self.cold if e not in drawn and self._cold_room(e, q.request_class)]
        return [e for e in drawn if self._usable(e, q)] or [e for e in self.up if self._usable(e, q)]

    def _run_at(self, engine: EngineState, q: QueryState) -> float:
        """Run time to expect there, with the prices of crossing zones and of keeping off what just failed."""
        # What of ours is still out there tells of the engine beyond its own weight: others fare alike
        used = engine.threads_in_use[0] + engine.threads_in_use[1]
        load = (
            used * self.s.instance_count + q.request_class.settings.threads
        ) / engine.cores + engine.load_of_others
        cost = engine.penalty * (1 + LOAD_COST * load) + 0.01 * engine.tie_breaker
        if q.request.table_group in engine.warm_table_groups and not q.request_class.settings.locks_tables:
            cost -= WARM_GAIN
        # Guards readers against other controllers' loads, which nobody tells: a table's loads have the same
        # engines at all controllers, and its readers prefer the others
        if (
            q.request.table_group is not None
            and (q.request_class.settings.locks_tables or q.request_class.settings.waits_for_locks)
            and self.locking
        ):
            kept = engine.load_placement.get(q.request.table_group)
            if kept is None:
                kept = crc32(f"{engine.info.name} {q.request.table_group}".encode()) % LOAD_PARTS == 0
                if len(engine.load_placement) < TABLES:
                    engine.load_placement[q.request.table_group] = kept
            cost += LOAD_APART * (kept != q.request_class.settings.locks_tables)
        if engine.info.zone != self.s.zone:
            cost += ZONE_COST * self.s.cross_zone_cost
        if not (engine.in_slow_start and self._cold_room(engine, q.request_class)):
            cost += COLD_FIRST
        cost += 1.0 if q.executed and any(engine is e for _, e in q.executed) else 0.0
        return q.run_time * cost + self._locked(engine, q)

    def _locked(self, engine: EngineState, q: QueryState) -> float:
        """Time until our loads on the query's tables there should end, for those that wait for loads."""
        if q.request.table_group is None or not (
            q.request_class.settings.locks_tables or q.request_class.settings.waits_for_locks
        ):
            return 0.0
        return math.fsum(
            self._remaining(o, a) for o, a in engine.table_locks.get(q.request.table_group, ()) if o is not q
        )

    def _start(self, engine: EngineState, q: QueryState) -> float:
        """Earliest start: now if the class bound has room, else when enough of ours before it should end."""
        if not self._cold_room(engine, q.request_class):
            return self.s.cold_overload_window / 2
        if not (engine.queue and self._ahead(engine.queue, q, engine)) and self._room(engine, q):
            return 0.0
        return self._ends(
            engine.forecasts, engine, self._bound(engine.cores, q.request_class), engine.queue, q
        )

    def _fleet_start(self, q: QueryState) -> float:
        """The same over all engines: our part of one may be under a query, so that only that bound binds."""
        if self._in_part(q) or self._in_turn(q):
            return 0.0
        return self._ends(
            self.ends, None, self._share(self.cores, q.request_class) / self.tight, self.held, q
        )

    def _ahead(self, line: Line, q: QueryState, engine: EngineState | None) -> int:
        if len(line) > FIRST:
            return self._ahead_of_many(line, q, engine)
        threads = 0
        for order, h in line:
            if order >= q.order:
                break
            threads += h.request_class.settings.threads * (h.request_class.is_long == q.request_class.is_long)
        return threads

    def _ahead_of_many(self, line: Line, q: QueryState, engine: EngineState | None) -> int:
        """Guards the CPU: a long line is summed up once in a while that grows with its length."""
        kept = engine.queued_threads if engine else self.ahead
        grown = kept is not None and abs(len(line) - len(kept.orders)) * 8 > len(line)
        if kept is None or grown or self.now >= kept.valid_until:
            sums: tuple[list[int], list[int]] = ([0], [0])
            for _, h in line:
                for long in (0, 1):
                    sums[long].append(
                        sums[long][-1] + h.request_class.settings.threads * (h.request_class.is_long == long)
                    )
            kept = QueuedThreadIndex(self.now + HELD_AGE * len(line), [order for order, _ in line], sums)
            if engine:
                engine.queued_threads = kept
            else:
                self.ahead = kept
        return kept.threads[q.request_class.is_long][bisect_left(kept.orders, q.order)]

    def _ends(
        self,
        kept: list[CompletionForecast | None],
        engine: EngineState | None,
        free: float,
        line: Line,
        q: QueryState,
    ) -> float:
        """When enough of ours, there or everywhere, end that `q` has room behind those ahead of it."""
        ends = kept[q.request_class.is_long]
        if (
            ends is None or self.now >= ends.valid_until or len(ends.completes_at) <= FIRST
        ):  # short ones are always exact
            where = [engine] if engine else list(self.engines.values())
            out = [
                oa
                for e in where
                for oa in e.in_flight.values()
                if oa[0].request_class.is_long == q.request_class.is_long
            ]
            alike = sorted((self._remaining(o, a), o.request_class.settings.threads) for o, a in out)
            # Guards the CPU: the order is kept for a while that grows with what it costs to find
            until = self.now + 1 + ENDS_AGE * len(alike)
            freed = list(accumulate(threads for _, threads in alike))
            ends = kept[q.request_class.is_long] = CompletionForecast(
                until, [self.now + int(t) for t, _ in alike], freed
            )
        used = (engine.threads_in_use if engine else self.used)[q.request_class.is_long]
        need = self._ahead(line, q, engine) + q.request_class.settings.threads - free + used
        if not ends.completes_at:
            return max(0.0, need) / max(1.0, free) * q.run_time
        # What has been sent or has ended since moves the place in that order by its threads
        place = bisect_left(ends.freed_threads, need + ends.freed_threads[-1] - max(used, 0))
        if place < len(ends.completes_at):
            return max(0.0, float(ends.completes_at[place] - self.now))
        return (
            max(0.0, ends.completes_at[-1] - self.now) + max(0.0, need - used) / max(1.0, free) * q.run_time
        )

    def _remaining(self, q: QueryState, a: AttemptState) -> float:
        age = self.now - a.sent_at
        if a.progress > 0.02:
            return max(0.0, (a.progress_at - a.sent_at) / a.progress - age)
        return q.run_time - age if age < q.run_time * 0.7 else 0.5 * age

    def _bound(self, cores: float, c: ClassState) -> float:
        return max(float(c.settings.threads), self._share(cores, c))

    def _share(self, cores: float, c: ClassState) -> float:
        share = cores / self.s.instance_count
        chance = CHANCE * math.sqrt(
            share * (1 - 1 / self.s.instance_count) * c.settings.threads
        )  # others draw unevenly
        return share * (SMALL if c.is_long else WIDE) + chance

    def _room(self, engine: EngineState, q: QueryState) -> bool:
        if engine.on_probation and engine.in_flight and not self.all_shunned:
            return False
        if not self._pressed(engine) or self._in_turn(q):
            return True  # what has its turn keeps a whole line of its key waiting: no bound on top of that
        mine = engine.threads_in_use[q.request_class.is_long]
        fits = not mine or mine + q.request_class.settings.threads <= self._bound(
            engine.cores, q.request_class
        )
        return fits and (engine.in_slow_start or self._in_part(q))

    def _in_part(self, q: QueryState) -> bool:
        """Guards against "one query at least" of each of many, unless engines let wait what lacks memory."""
        if self.s.memory_shortage is MemoryShortage.WAIT:
            return True
        slot = math.floor(self.now / GRACE - self.jitter)
        if slot != self.part_lot[0]:
            self.part_lot = slot, self.random.random()
        threads = q.request_class.settings.threads
        queries = math.floor(
            self._share(self.cores, q.request_class) / self.tight / threads + self.part_lot[1]
        )
        return self.used[q.request_class.is_long] + threads <= max(queries, self.tight <= 1) * threads

    def _pressed(self, engine: EngineState) -> bool:
        return (
            engine.saturated
            or engine.threads_in_use[0] + engine.threads_in_use[1] >= engine.saturation_threads
        )

    def _pace_add(self, engine: EngineState, c: ClassState, ratio: float) -> None:
        """Of run time to the uncontended one; few answers from an engine leave it like its peers."""
        c.slowdown.add(min(ratio, 20.0), self.now, PACE_MEMORY)
        x = min(max(math.log(max(ratio, 0.01)), PACE_SPAN[0]), PACE_SPAN[1])
        engine.log_slowdown.add(x, self.now, PACE_MEMORY + PACE_SAMPLES * self.gap)
        if not engine.in_slow_start:  # slow by its start, which says nothing of its peers
            self.paces.add(x, self.now, PACE_MEMORY)

    def _rate_illness(self, engine: EngineState) -> None:
        """1 when well: slower than the peers at this time, or failing, makes it more."""
        slow = math.exp(max(0.0, engine.slowdown - self.common - SLACK_PACE))
        engine.penalty = slow / max(0.1, 1 - engine.fault_rate)

    def _shun(self, engine: EngineState) -> None:
        """Rest an engine that failed; each trial that fails doubles the rest."""
        if self.now < engine.ejected_until:
            return
        engine.ejection_time = int(min(max(SHUN[0], engine.ejection_time * 2), SHUN[1] + self.gap))
        engine.ejected_until = self.now + int(
            engine.ejection_time * (0.75 + self.random.random() / 2)
        )  # not all at once
        engine.begin_probation(self.now)
        self._survey(True)

    def _silent(self, engine: EngineState) -> bool:
        """Nothing heard for so long that what is out there should have told by now."""
        quiet = [
            (self.now - max(engine.last_heard_at, a.sent_at), q, a) for q, a in engine.in_flight.values()
        ]
        hazard = math.fsum(gap / max(q.run_time, self.now - a.sent_at - gap) for gap, q, a in quiet)
        return hazard > SILENT and max(gap for gap, _, _ in quiet) > SILENT_LEAST

    def _sign(self, engine: EngineState) -> None:
        engine.last_heard_at = self.now
        if engine.on_probation and self.now >= engine.ejected_until:
            if engine.unreachable:  # back from the dead before the list tells: take it for cold
                engine.started_at = engine.start_known_at = max(engine.started_at, self.now)
            engine.on_probation, engine.unreachable, engine.ejection_time = False, False, 0

    # ---- the guard that every send passes

    def _usable(self, engine: EngineState, q: QueryState) -> bool:
        """Fit to be chosen for `q`: on the list, placed right, not resting, within the query's repeats."""
        s = q.request_class.settings
        resting = self.now < engine.ejected_until and not self.all_shunned
        if resting or not engine.listed or engine.info.state is not EndpointState.UP:
            return False
        placed = s.allowed_zones is None or engine.info.zone in s.allowed_zones
        if not placed or (s.allowed_kinds is not None and engine.info.kind not in s.allowed_kinds):
            return False
        if s.idempotency is Idempotency.KEYED and q.executed:
            since, first = q.executed[0]
            near = (
                engine.info.zone == first.info.zone
                if s.deduplication_scope is DeduplicationScope.ZONE
                else engine.info.group == first.info.group
            )
            return self.now - since < s.deduplication_window and (
                near or s.deduplication_scope is DeduplicationScope.ALL
            )
        return True

    def _may_send(self, q: QueryState, engine: EngineState) -> bool:
        s = self.s
        if q.ended or self.now >= q.request.deadline or q.attempt_count >= q.max_attempts:
            return False
        if not self._usable(engine, q) or (
            q.request_class.settings.idempotency is Idempotency.NON_IDEMPOTENT and q.executed
        ):
            return False
        copy = bool(q.in_flight) and not (
            s.allows_hedging and q.request_class.settings.idempotency is not Idempotency.NON_IDEMPOTENT
        )
        if copy or not self._turn(q) or not self._cold_room(engine, q.request_class):
            return False
        if q.attempt_count and s.retry_allowance is not None:
            since = self.now - s.retry_window
            for seen in (self.taken, self.extra):
                while seen and seen[0] <= since:
                    seen.popleft()
            return len(self.extra) + 1 <= s.retry_allowance + s.retries_per_request * len(self.taken)
        return True

    def _in_turn(self, q: QueryState) -> bool:
        return q.request_class.settings.ordered_by_key and q.request.key is not None

    def _good_late(self, q: QueryState) -> bool:
        """Late as its key had to wait, which no refusal mends: it goes if those behind lose less by it."""
        line, ahead, lost = self.turns[q.request.key or ""] if self._in_turn(q) else [], 0.0, 0.0
        for h in line[1:] if line and line[0] is q else ():
            left = h.due_at - self.now - h.run_time - ahead
            lost += h.weight * (1 - h.request_class.settings.late_weight) * (0 < left <= q.run_time)
            ahead += h.run_time * (left > 0)
        calm = bool(line) and not any(
            self._pressed(e) for e in self.up if not e.in_slow_start
        )  # its place is free
        return calm and lost < q.weight * q.request_class.settings.late_weight

    def _turn(self, q: QueryState) -> bool:
        key = q.request.key or ""
        rested = q.attempt_count > 0 or self.now >= self.rest.get(key, 0)
        return not self._in_turn(q) or (self.turns[key][0] is q and rested)

    def _forget(self, q: QueryState) -> None:
        self.queries.pop(q.request.request_id, None)
        if q.request.key in self.turns:
            self.turns[q.request.key] = [h for h in self.turns[q.request.key] if h is not q]
            if not self.turns[q.request.key]:
                del self.turns[q.request.key]

    def _cold_room(self, engine: EngineState, c: ClassState) -> bool:
        """Room at an engine that started lately: all of us in turn have rights to what it can do by then."""
        s, age = self.s, self.now - engine.started_at
        if not engine.started_at or age >= s.slow_start_window or s.cold_overload_factor <= 0:
            return True
        rate = engine.cores * CAPACITY * min(1.0, s.cold_overload_factor * COLD_SHARE)
        work, grows = c.mean_work(), (1 - s.cold_capacity) / s.slow_start_window
        # Guards the budget against rights that all saved up until they knew, or until it bore a few so heavy
        bears = (
            work * COLD_PARTS / (engine.cores * CAPACITY * s.cold_overload_factor * s.cold_overload_window)
        )
        lapse = s.cold_overload_window * (COLD_LAPSE if c.is_long else 1)
        known = max(
            engine.start_known_at, self.born + s.cold_overload_window if engine.started_at < self.born else 0
        )
        opens = max(known - engine.started_at, (bears - s.cold_capacity) / max(grows, 1e-15), age - lapse)
        place = (s.instance_index + 0.5) / s.instance_count + crc32(engine.info.name.encode()) / 2**32

        def rights(age: float) -> int:
            done = rate * age * (s.cold_capacity + grows * age / 2) * c.work_share / work
            return math.floor(done * s.slow_start_share / s.instance_count + place)

        sent = sum(k is c for at, k in engine.recent_sends if at > self.now - lapse)
        return opens < age and sent < rights(age) - rights(opens)

    def _release(self) -> None:
        if not self.held:
            return
        stuck, held, self.held = list[bool](), self.held, []
        # Guards the CPU where many are held: between full looks, only until nothing more has room
        full = self.now >= self.released + HELD_AGE * len(held)
        if full:
            self.released = self.now
        for at, (order, q) in enumerate(held):
            if not full and (len(stuck) == 2 or at == FIRST):
                self.held.extend(held[at:])
                break
            engine = None
            # Guards against a client's time that runs out between two looks at what is held
            leaving = self.now + LOOKS * TICK >= q.request.deadline
            late = self.now + q.run_time * LAST_CALL >= q.due_at
            if not q.ended and (leaving or (late and not self._good_late(q))):
                self._end(q)  # given up on: answered at once
            elif not q.ended and (q.request_class.is_long not in stuck or self._in_turn(q)) and self._turn(q):
                engine = self._open_place(q)
                if engine is None and q.attempt_count == 0 and q.request_class.is_long not in stuck:
                    stuck.append(q.request_class.is_long)
            if q.queued_at and (q.ended or engine or not self._usable(q.queued_at, q)):
                q.queued_at.queue.remove((order, q))
                q.queued_at = None
            if engine:
                self._send(q, engine)
            elif not q.ended:
                self.held.append((order, q))

    def _open_place(self, q: QueryState) -> EngineState | None:
        """An engine with room, the query's own line or another: no place stays free while queries wait."""
        own = q.queued_at
        if own and q.start_at <= q.arrived_at == self.now and self._room(own, q) and self._may_send(q, own):
            return own  # chosen just now, among all, as the one of least start
        open_ = [e for e in self._candidates(q) if self._room(e, q) and self._may_send(q, e)]
        return min(open_, key=lambda e: self._run_at(e, q)) if open_ else None

    def _send(self, q: QueryState, engine: EngineState) -> None:
        self._terms(q, engine)
        self.acts.append(Forward(q.request.request_id, engine.info.name, 0))
        a = AttemptState(q.attempt_count, engine, self.now, self.now, q.request_class.is_long)
        self.extra.extend([self.now] * (q.attempt_count > 0))
        q.attempt_count, q.in_flight = q.attempt_count + 1, [*q.in_flight, a]
        engine.in_flight[q.request.request_id, a.number] = q, a
        if q.request_class.settings.locks_tables and q.request.table_group is not None:
            engine.table_locks.setdefault(q.request.table_group, []).append((q, a))
        self._count(q, a, q.request_class.settings.threads)
        engine.recent_sends.append((self.now, q.request_class))
        while (
            engine.recent_sends
            and engine.recent_sends[0][0] < self.now - self.s.cold_overload_window * COLD_LAPSE
        ):
            engine.recent_sends.popleft()
        if q.request.table_group is not None:
            engine.warm_table_groups = [
                *(w for w in engine.warm_table_groups if w != q.request.table_group),
                q.request.table_group,
            ][-WARM_GROUPS:]

    def _count(self, q: QueryState, a: AttemptState, threads: int) -> None:
        for used in (
            ()
            if a.lost
            else (a.engine.threads_in_use,)
            if a.engine.in_slow_start
            else (a.engine.threads_in_use, self.used)
        ):
            used[a.is_long] += threads

    def _terms(self, q: QueryState, engine: EngineState) -> None:
        # Where only what is in use counts, all is granted
        most = engine.memory_mb * self.s.max_grant_share
        wanted = most if self.s.memory_shortage is MemoryShortage.PAGE else min(most, self._grant(q))
        memory = wanted if self.s.takes_memory_grants else 0.0
        q.priority = self._priority(q)
        if memory or self.s.heeds_priorities:
            self.acts.append(SetTerms(q.request.request_id, round(memory, 1), q.priority))

    def _grant(self, q: QueryState) -> float:
        return q.request.memory_mb * math.exp(q.request_class.memory_error.value) * CLOSE_GRANT

    def _priority(self, q: QueryState) -> int:
        # Others wait for a load's tables and key
        return (
            0
            if self.now >= q.due_at
            else 1
            if q.request_class.is_long and not q.request_class.settings.locks_tables
            else 3
        )

    def _outcome(self, o: AttemptOutcome) -> None:
        q, engine = self.queries.get(o.request_id), self.engines.get(o.endpoint)
        a = next((a for a in q.in_flight if a.number == o.attempt_number), None) if q else None
        if q is None or engine is None or a is None:
            return
        q.in_flight.remove(a)
        if engine.in_flight.pop((o.request_id, o.attempt_number), None):
            self._count(q, a, -q.request_class.settings.threads)
        if q.request.table_group in engine.table_locks:
            engine.table_locks[q.request.table_group] = [
                (h, b) for h, b in engine.table_locks[q.request.table_group] if b is not a
            ]
            if not engine.table_locks[q.request.table_group]:
                del engine.table_locks[q.request.table_group]
        if load := self._load(engine, dict(zip(self.s.load_report_fields, o.load_report, strict=False))):
            engine.reported_load, engine.reported_at = load, self.now
            self.told.add(load, self.now, LOAD_MEMORY)
        if o.code not in NEVER_RAN:
            q.executed.append((a.sent_at, engine))
        if (
            o.code in (OutcomeCode.TIMEOUT, OutcomeCode.RESET, OutcomeCode.CANCELLED)
            and q.request.key
            and q.request_class.settings.ordered_by_key
        ):
            self.rest[q.request.key] = self.now + self.s.key_quarantine
        self._judge(engine, q, a, o)
        if o.final:
            self._over(q)
        elif not q.ended and not q.in_flight:
            self._again(q)
        if q.ended and not q.in_flight:
            self._forget(q)

    def _load(self, engine: EngineState, told: dict[str, float]) -> float:
        """What is in use of an engine, 1 when that is all of it, from whatever it tells of itself."""
        threads = told.get("active", 0.0) * self.width / engine.cores / FULL_THREADS
        return max(threads, *(told.get(name, 0.0) for name in ("cpu", "x0", "x1")))

    def _judge(self, engine: EngineState, q: QueryState, a: AttemptState, o: AttemptOutcome) -> None:
        """What an outcome says of its engine and, if served, of its class."""
        if o.code in (OutcomeCode.OK, OutcomeCode.ERROR):
            self._sign(engine)
            weight = max(
                FAULT_WEIGHT, 1 / (2 + engine.log_slowdown.weight)
            )  # where answers are few, each says more
            # Guards engines against queries that none can serve: the second engine that errs clears the first
            if o.code is OutcomeCode.OK or not q.failed_at or q.failed_at[0] is engine:
                engine.fault_rate += weight * ((o.code is OutcomeCode.ERROR) - engine.fault_rate)
            elif len(q.failed_at) == 1:
                q.failed_at[0].fault_rate = max(0.0, (q.failed_at[0].fault_rate - weight) / (1 - weight))
            if o.code is OutcomeCode.ERROR:
                q.failed_at.append(engine)
                self._rate_illness(engine)
            if engine.fault_rate > FAULTY:
                self._shun(engine)
        elif o.code is OutcomeCode.RESET and not engine.on_probation:
            # Guards a sound engine against resting for one connection that broke: what died refuses the next
            engine.begin_probation(self.now)
        elif o.code in NEVER_RAN[:2] or (o.code is OutcomeCode.RESET and a.sent_at >= engine.probation_since):
            # Guards a sound engine against being taken for cold: a process that has died says nothing
            engine.unreachable |= (
                o.code is OutcomeCode.CONNECT_FAILED and self.now - engine.last_heard_at > SILENT_LEAST
            )
            self._shun(engine)
        if o.code is not OutcomeCode.OK:
            return
        c, run = q.request_class, max(1.0, float(o.duration))
        told = bool(o.work or q.request.estimated_work)
        # Guards against wrong estimates of a class being taken for pressure: where no answer tells the true
        # work, run times on engines that are not full stand in for it
        if q.request.estimated_work and (o.work or engine.load <= PRESSED_BUSY):
            c.estimate_error.add(
                math.log((o.work or run * c.settings.threads) / q.request.estimated_work), MEAN_WEIGHT
            )
        mended = (
            q.request.estimated_work * math.exp(c.estimate_error.value)
            if q.request.estimated_work
            else run * c.settings.threads
        )
        work = float(o.work or mended)
        if told or not self._pressed(engine) or c.work.count < LEARNED:
            c.work.add(work, MEAN_WEIGHT)
            c.log_work.add(math.log(max(1.0, work)), MEAN_WEIGHT)
        if o.memory_mb and q.request.memory_mb:
            c.memory_error.add(math.log(o.memory_mb / q.request.memory_mb), MEAN_WEIGHT)
        base = (work if told else c.mean_work()) / c.settings.threads
        c.run_time_error.add(math.log(run / q.run_time), MEAN_WEIGHT)
        self._pace_add(engine, c, run / max(1.0, base))

    def _again(self, q: QueryState) -> None:
        """No attempt is out and no answer given: another try where allowed and in time, else the end."""
        s = q.request_class.settings
        keyed = s.idempotency is Idempotency.KEYED and (
            not q.executed or self.now - q.executed[0][0] < s.deduplication_window
        )
        safe = not q.executed or s.idempotency is Idempotency.IDEMPOTENT or keyed
        if safe and q.attempt_count < q.max_attempts and self.now + q.run_time < q.due_at:
            self._admit(q)
        else:
            self._end(q)

    def _note(self, n: ProgressNote) -> None:
        q = self.queries.get(n.request_id)
        for a in q.in_flight if q else ():
            if q and a.number == n.attempt_number and not a.cancelled:
                self._sign(a.engine)
                a.last_heard_at = self.now
                if n.kind is ProgressKind.PROGRESS:
                    # Guards against hearing of slow runs only when they end, where our part of it is small
                    if a.engine.cores < self.s.instance_count and a.progress <= 0 < n.level:
                        base = n.level * q.work / q.request_class.settings.threads
                        self._pace_add(a.engine, q.request_class, (self.now - a.sent_at) / max(1.0, base))
                    a.progress, a.progress_at = n.level, self.now
                elif n.kind is ProgressKind.SPILLING and q.request.memory_mb:  # the estimate was too low
                    q.request_class.memory_error.add(
                        math.log((self._grant(q) + n.level) / q.request.memory_mb), MEAN_WEIGHT
                    )

    def _gone(self, event: RequestAbandoned) -> None:
        q = self.queries.get(event.request_id)
        if q is not None and not q.ended:
            self._over(q)
            self._drop(q)

    def _end(self, q: QueryState, start: float = 0.0) -> None:
        """Refuse where that is true, else fail; what is out is called off."""
        if q.ended:
            return
        never, s = not q.executed and not q.in_flight, q.request_class.settings
        if (
            never
            or s.idempotency is Idempotency.IDEMPOTENT
            or (s.idempotency is Idempotency.KEYED and s.deduplication_scope is DeduplicationScope.ALL)
        ):
            wait = min(self.s.max_retry_after, max(TICK, int(start)))
            self.acts.append(Reject(q.request.request_id, wait if self.s.allows_retry_after else 0))
        else:
            self.acts.append(Fail(q.request.request_id))
        late = self.now >= q.due_at or not never
        if not q.request.is_retry:
            self._cost(0.0, 0.0 if late else q.weight, q.weight if late else 0.0)
        q.ended = True
        self._drop(q)

    def _over(self, q: QueryState) -> None:
        """The request ended by an outcome or by its client."""
        if not q.ended and self.now > q.due_at and not q.request.is_retry:
            self._cost(0.0, 0.0, q.weight)
        q.ended = True

    def _drop(self, q: QueryState) -> None:
        for a in q.in_flight:
            self._cancel(q, a)
        if not q.in_flight:
            self._forget(q)

    def _cancel(self, q: QueryState, a: AttemptState) -> None:
        if self.s.allows_cancellation and not a.cancelled:
            a.cancelled = True
            self.acts.append(Cancel(q.request.request_id, a.number))

    def _tick(self, _: TimerFired) -> None:
        self.armed = False
        if self.stalled:
            return
        for engine in self.engines.values():
            if engine.in_flight and self._silent(engine):
                self._shun(engine)
        for q in [q for q in self.queries.values() if q.in_flight and not q.ended]:
            self._look(q, q.in_flight[-1])

    def _look(self, q: QueryState, a: AttemptState) -> None:
        """Let an attempt run, begin it anew, or end it: by progress, chance of finishing and work wasted."""
        s = q.request_class.settings
        if a.cancelled or not self.s.allows_cancellation:
            return
        limit = q.request.deadline if s.late_weight > 0 else q.due_at
        left = self._remaining(q, a)
        ill = (
            self.now < a.engine.ejected_until and a.sent_at < a.engine.probation_since
        ) or not a.engine.listed
        age, fresh = self.now - a.sent_at, q.run_time
        # Guards against answers that never come from an engine that answers others: they take no place
        lost = self.s.progress_interval > 0 and self.now - a.last_heard_at > LOST * self.s.progress_interval
        if lost and not a.lost:
            self._count(q, a, -q.request_class.settings.threads)
            a.lost = True
            a.engine.fault_rate += FAULT_WEIGHT * (1 - a.engine.fault_rate)
            self._rate_illness(a.engine)
        known = q.request_class.run_time_error.count / (q.request_class.run_time_error.count + LEARNED)
        # Guards against a class that never ends a run, so never shows its scatter, and fills all engines
        scatter = SCATTER + known * (math.sqrt(q.request_class.run_time_error.variance) - SCATTER)
        spread = math.exp(OVERDUE * scatter + max(0.0, a.engine.slowdown - self.pace))
        blind = (
            not self.s.progress_interval
        )  # where notes tell how far a run is, only what has proved odd is overdue
        odd = age > q.run_time * spread + self.s.extra_run_time
        overdue = not a.progress and odd and (blind or q.request_class.run_time_error.count >= LEARNED)
        wrong = q.restarts == 0 and (overdue or (a.progress > 0 and left > RESTART * fresh))
        safe = s.idempotency is Idempotency.IDEMPOTENT
        if (
            safe
            and q.attempt_count < q.max_attempts
            and self.now + fresh < q.due_at
            and (ill or lost or wrong)
        ):
            q.restarts += not ill
            return self._cancel(q, a)
        hopeless = a.progress > 0 and left > HOPELESS * (limit - self.now)
        if safe and (lost or (overdue and blind) or hopeless or self.now >= limit):
            self._end(q)
        elif self.s.heeds_priorities and (priority := self._priority(q)) != q.priority:
            q.priority = priority
            self.acts.append(SetTerms(q.request.request_id, 0.0, priority))

    # ---- controller (paper 3.2)

    def _cost(self, asked: float, refused: float, late: float) -> None:
        for told, x in zip(self.costs, (asked, refused, late), strict=True):
            told.add(x, self.now, COST_MEMORY)

    def _controller(self) -> None:
        asked, refused, late = (told.total for told in self.costs)
        refused, late = (refused / asked, late / asked) if asked > 0 else (0.0, 0.0)
        metric = 1 - refused - late
        if self.now - self.checked_at < GRACE and self.metric - metric <= DROP:
            return
        if self.s.allows_gossip and self.counts and self.now - self.told_at >= GRACE:
            peers = [p for p in range(self.s.instance_count) if p != self.s.instance_index]
            data = ",".join(str(round(self._asked(t))) for t in range(len(self.counts)))
            self.acts.extend(SendGossip(data, p) for p in self.random.sample(peers, min(TOLD, len(peers))))
            self.told_at = self.now
        self.checked_at, self.metric = self.now, metric
        if max(refused, late) > COST_FLOOR:
            lag = self.lag * STEP if late > refused else self.lag / STEP
            self.lag = min(max(lag, LAG_RANGE[0]), LAG_RANGE[1])
