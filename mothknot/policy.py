"""Every decision of mothknot: which query goes to which engine, when, on what terms, or is refused.

Types: `mothknot/interface.py`; times are nanoseconds. UNIT (2.3, 3.2, 3.3): what is held leaves each
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

from mothknot.interface import (  # isort: skip
    Action, Cancel, Code, Entry, Event, Fail, Gone, ListChange, ListScope, Message, Note, NoteKind,
    Outcome, Post, Refuse, Repeat, Request, Retune, Scope, Send, SetTimer, Settings, Short, State,
    Terms, Timer, Watch,
)
from mothknot.records import Ahead, Attempt, Class, Ends, Engine, Fading, Query

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
ORDER = {ListChange: 0, Request: 2, Gone: 2, Retune: 2, Timer: 3}
Line = list[tuple[tuple[int, int], Query]]  # by earliest deadline
NEVER_RAN = (Code.FULL, Code.CONNECT_FAILED, Code.MOOT)


class Gateway:
    def __init__(self, settings: Settings, seed: int) -> None:
        settings.check()
        self.s = settings
        self.random = Random(seed)
        self.jitter = self.random.random()
        self.classes: list[Class] = []
        self.engines: dict[str, Engine] = {}
        self.queries: dict[int, Query] = {}
        self.held: Line = []
        self.up, self.cold = list[Engine](), list[Engine]()
        self.turns: dict[str, list[Query]] = {}  # by key, in the order taken
        self.rest: dict[str, int] = {}
        self.taken, self.extra = deque[int](), deque[int]()
        self.heard: dict[int, tuple[int, list[int]]] = {}  # by peer: when, and its requests by tenant
        self.lag = self.metric = 1.0
        self.costs = Fading(), Fading(), Fading()  # worth asked, refused and late
        self.now = self.born = self.checked_at = self.watch_again = self.told_at = self.surveyed = 0
        self.armed = self.watching = self.all_shunned = self.stalled = False
        self.paces, self.told = Fading(), Fading()  # over the fleet
        self.used = [0, 0]  # threads of ours that run, of short and of long classes
        self.usual = self.pace = self.common = 0.0  # our usual threads; fleet's log pace; engines' median one
        self.width, self.tight, self.part_lot = 1.0, 1.0, (-1, 0.0)
        self.cores, self.gap = 1.0, 0.0  # of what is up and fit; time between answers of one engine
        self.acts: list[Action] = []
        self.ends: list[Ends | None] = [None, None]
        self.ahead: Ahead | None = None
        self.released = 0
        self.steps: dict[type, Callable[[Any], None]] = {
            Request: self._arrive, Outcome: self._outcome, Note: self._note, ListChange: self._list,
            Gone: self._gone, Message: self._message, Timer: self._tick, Retune: self._retune,
        }
        self._retune(Retune(settings, ()))

    def _retune(self, r: Retune) -> None:
        s, old = r.settings, self.classes
        made = [Class(c, c.give_up * PRIOR_WORK * c.threads) for c in s.classes]
        kept = [i for i in range(len(old)) if i not in r.fresh]
        self.classes = [old[i].renewed(c.s) if i in kept else c for i, c in enumerate(made)]
        self.locking = any(c.loads for c in s.classes) and any(c.waits for c in s.classes)
        if not old or s.quotas != self.s.quotas:
            self.counts = [Fading() for _ in s.quotas]
            self.tenants = [(q / s.instances, 0) for q in s.quotas]
        self.s = s

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        self.acts, self.born = [], self.born or now
        # Guards against our own stalls: answers and list first, and no engine is blamed for our silence
        self.stalled, self.now = self.armed and now - self.now > STALL, now
        self._survey()
        events = sorted(events, key=lambda e: ORDER.get(type(e), 1)) if len(events) > 1 else events
        for event in events:
            self.steps.get(type(event), lambda _: None)(event)
        if self.s.asks_list and not self.watching and now >= self.watch_again:
            self.watching = True
            self.acts.append(Watch(True))
        self._controller()
        self._release()
        if (self.queries or (self.s.asks_list and not self.watching)) and not self.armed:
            self.armed = True
            self.acts.append(SetTimer(TICK, 0))
        return self.acts

    def _survey(self, force: bool = False) -> None:
        """What is read over the whole fleet: now and then, or when the list or an engine's rest changes."""
        past = self.now - self.surveyed
        if past < SURVEY and not force:
            return
        self.surveyed, n = self.now, self.s.instances
        # Guards the memory against every engine that ever was
        self.engines = {n: e for n, e in self.engines.items() if e.known or e.out or e.line}
        self.up = [e for e in self.engines.values() if e.known and e.e.state is State.UP]
        fit = [e for e in self.up if self.now >= e.shun_until]
        self.all_shunned = not fit  # then no engine is to blame
        for e in self.engines.values():
            e.cold = e.launch > 0 and self.now - e.launch < self.s.cold and self.s.overload_factor > 0
        # Rights bound what cold engines have of ours: neither they nor it count beside the others, which jam
        self.cold = [e for e in self.up if e.cold]
        self.cores = float(sum(e.cores for e in fit or self.up if not e.cold)) or 1.0
        self.used = [sum(e.used[long] for e in self.engines.values() if not e.cold) for long in (0, 1)]
        works = [k.mean_work() for k in self.classes]
        weights = [(k.work.n + 1) * k.mean_work() for k in self.classes]  # threads of one query in hand
        for k, w in zip(self.classes, weights, strict=True):
            k.share = w / math.fsum(weights)
            k.long = k.mean_work() > math.sqrt(min(works) * max(works)) * 1.001  # the geometric middle
        shares = [w / k.s.threads for w, k in zip(weights, self.classes, strict=True)]
        self.width = math.fsum(weights) / math.fsum(shares)
        # Others like us have each about what we have; what engines tell of their load says it better
        self.usual = sum(self.used) + math.exp(-past / LOAD_MEMORY) * (self.usual - sum(self.used))
        told = self.told.mean(self.now, LOAD_MEMORY, n * self.usual / self.cores, PACE_PRIOR)
        self.gap = len(self.up) * PACE_MEMORY / max(1.0, self.paces.count(self.now, PACE_MEMORY))
        self.pace = self.paces.mean(self.now, PACE_MEMORY, 0.0, PACE_PRIOR)
        for e in self.up:
            e.rate = e.pace.mean(self.now, PACE_MEMORY + PACE_SAMPLES * self.gap, self.pace, PACE_PRIOR)
            fresh = math.exp(-(self.now - e.told_at) / LOAD_MEMORY) if e.told_at else 0.0
            e.load = told + fresh * (e.told - told)
            e.tense = e.rate > math.log(PRESSED_SLOW) or (self.told.n > 0 and e.load > PRESSED_BUSY)
            e.others = (1 - 1 / n) * (e.load - fresh * sum(e.used) / e.cores)
            slack = CHANCE * math.sqrt((n - 1) * e.cores)
            e.room = PRESSED_LOAD * e.cores + slack - (n - 1) * self.usual * e.cores / self.cores
        rates = sorted(e.rate for e in self.up if not e.cold)
        self.common = rates[(len(rates) - 1) // 2] if rates else 0.0
        # Guards against a jam that all of us keep up, each with "one query at least"; where no load is told
        # the pace shows it, and whether among many, who draw unevenly, there is room for more than our part
        slow = max(min(1.0, max(self.s.cores, default=1) / n), math.exp(self.common) / PRESSED_SLOW)
        self.tight = max(1.0, told) if self.told.n else slow
        for e in self.up:
            self._rate_illness(e)

    def avoided(self, now: int) -> tuple[str, ...]:
        return tuple(e.e.engine for e in self.up if now < e.shun_until)

    def _list(self, change: ListChange) -> None:
        if change.scope is ListScope.FAILED:
            self.watching, self.watch_again = False, self.now + GRACE
            return
        if change.scope is not ListScope.CHANGES:
            named = {e.engine for e in change.entries}
            for engine in self.engines.values():
                engine.known = engine.known and engine.e.engine in named
        for entry in change.entries:
            self._entry(entry)
        self._survey(True)

    def _entry(self, entry: Entry) -> None:
        old = self.engines.get(entry.engine)
        if old is None:
            s, k = self.s, entry.kind
            size = (s.cores[k], s.memory_mb[k]) if k < len(s.cores) else (max(s.cores, default=1), 0.0)
            old = Engine(entry, *size, sign=self.now, tie=self.random.random())
            self.engines[entry.engine] = old
        if entry.launched > old.launch:  # a restart: cold, nothing warm, and its past says nothing
            old.launch, old.cold_at = entry.launched, self.now
            old.warm.clear()
            old.pace, old.faults = Fading(), 0.0
            old.shun_until = old.shun = 0
        old.e = entry
        old.known = entry.state is not State.GONE

    # ---- admission (paper 3.3)

    def _arrive(self, r: Request) -> None:
        if r.xid in self.queries or r.cls >= len(self.classes):
            return
        c = self.classes[r.cls]
        if self.s.spare_attempts is not None:
            self.taken.append(self.now)
        left = r.give_up_at - self.now
        work = self._work(c, r)
        # Guards against refusing on what a jam long past has taught: what is not told anew is forgotten
        run = work / c.s.threads * c.rate.mean(self.now, PACE_MEMORY, math.exp(self.pace), PACE_PRIOR)
        aim = c.s.aim + int(c.s.aim_stretch * work / c.s.threads)
        if not r.retry:
            c.first_span = max(c.first_span, left)
        elif left < c.first_span - MS:  # its first try began so long ago: what is past of its aim is past
            aim -= max(0, c.s.give_up - left)
        deadline = min(self.now + aim, r.give_up_at)
        order = deadline, r.xid
        q = Query(r, c, self.now, self._worth(c, r), work, run, deadline, order, self.s.max_attempts)
        self.queries[r.xid] = q
        if r.key and c.s.in_turn:
            self.turns.setdefault(r.key, []).append(q)
        if not r.retry:
            self._cost(q.worth, 0.0, 0.0)
        self._admit(q)

    def _work(self, c: Class, r: Request) -> float:
        """Expected work: the class mean, moved by the told estimate as far as that has proved itself."""
        if not r.cost or r.cost <= 0:
            return c.mean_work()
        if c.hint.n < 5:
            return float(r.cost)
        trust = c.log_work.var / max(1e-9, c.log_work.var + c.hint.var)
        told = math.log(r.cost) + c.hint.value
        return math.exp(trust * told + (1 - trust) * c.log_work.value)

    def _worth(self, c: Class, r: Request) -> float:
        """Class worth; what a tenant asks beyond its share is worth what the site says."""
        if r.tenant >= len(self.tenants) or self.s.quotas[r.tenant] <= 0:
            return c.s.worth
        self.counts[r.tenant].add(1.0, self.now, HEARSAY)
        rate, (level, at) = self.s.quotas[r.tenant] * self._part(r.tenant), self.tenants[r.tenant]
        most = rate * SURGE + 1 + math.sqrt(rate * SURGE)  # a small part comes unevenly
        level = min(most, level + rate * (self.now - at) / SEC) if at else most
        over = level < 1
        self.tenants[r.tenant] = (level if over else level - 1, self.now)
        return c.s.worth * (self.s.over_share_worth if over else 1.0)

    def _part(self, tenant: int) -> float:
        """Our part of a tenant's traffic: by what peers told of theirs, else one of so many."""
        if not self.s.peers:
            return 1 / self.s.instances
        heard = sum(c[tenant] for at, c in self.heard.values() if self.now - at < HEARSAY)
        peers = self.s.instances - 1  # of whom only a few speak to us within that time
        mine = max(1.0, self._asked(tenant))
        return mine / (mine + heard * peers / max(1, min(peers, TOLD * HEARSAY / GRACE)))

    def _asked(self, tenant: int) -> float:
        """Requests in the time of HEARSAY; guards a controller just restarted against counting too few."""
        whole = 1 - math.exp(-(self.now - self.born + TICK) / HEARSAY)
        return self.counts[tenant].count(self.now, HEARSAY) / whole

    def _message(self, m: Message) -> None:
        told = m.data.split(",")
        if len(told) == len(self.counts) and all(c.isdigit() and len(c) < 10 for c in told):
            self.heard[m.sender] = self.now, [int(c) for c in told]

    def _admit(self, q: Query) -> None:
        """Deadline check, then the endangered-worth check; what passes is held for its engine."""
        start, engine = self._route(q) or (0.0, None)
        late = self.now + self.lag * start + q.run >= q.deadline
        # Guards clients who find no place: whoever is held keeps one, and only who gets in can be refused
        late |= start > 0 and 0 < self.s.places * CROWDED <= len(self.queries)
        # Guards the others against a tenant's surplus: worth little, and at a pressed engine it delays all
        late |= engine is not None and q.worth < q.c.s.worth and self._pressed(engine)
        if late or (engine and self._endangered(q, engine, start) > q.worth):
            self._end(q, start)
        else:
            q.held_at, q.start_at = engine, self.now + start
            for line in (self.held, engine.line) if engine else (self.held,):
                insort(line, (q.order, q))

    def _endangered(self, q: Query, engine: Engine, start: float) -> float:
        """Worth held behind `q` in its line that would come late because of it, and would not have."""
        if start <= 0:
            return 0.0
        push = q.run * q.c.s.threads / max(1.0, self._bound(engine.cores, q.c))
        place = bisect_left(engine.line, q.order, key=lambda held: held[0])
        behind = [h for _, h in engine.line[place:] if h.c.long == q.c.long]
        return math.fsum(h.worth for h in behind if 0 < h.deadline - h.start_at - h.run <= push)

    def _route(self, q: Query) -> tuple[float, Engine] | None:
        """The engine of least start; what ties there goes by the run time to expect."""
        rated = []
        fleet = self._fleet_start(q)
        for engine in self._candidates(q):
            start = self._start(engine, q)
            start = max(start, fleet) if fleet and not engine.cold and self._pressed(engine) else start
            rated.append((start + self._run_at(engine, q), start, engine))
        return min(rated, key=lambda r: r[0])[1:] if rated else None

    def _candidates(self, q: Query) -> list[Engine]:
        """A few engines by lot, so that many alike do not run to the same one."""
        drawn = self.up if len(self.up) <= TRIED else self.random.sample(self.up, TRIED)
        # Guards a cold engine's few rights against not being drawn in the moment that they last
        drawn = drawn + [e for e in self.cold if e not in drawn and self._cold_room(e, q.c)]
        return [e for e in drawn if self._usable(e, q)] or [e for e in self.up if self._usable(e, q)]

    def _run_at(self, engine: Engine, q: Query) -> float:
        """Run time to expect there, with the prices of crossing zones and of keeping off what just failed."""
        # What of ours is still out there tells of the engine beyond its own weight: others fare alike
        used = engine.used[0] + engine.used[1]
        load = (used * self.s.instances + q.c.s.threads) / engine.cores + engine.others
        cost = engine.illness * (1 + LOAD_COST * load) + 0.01 * engine.tie
        if q.r.tables in engine.warm and not q.c.s.loads:
            cost -= WARM_GAIN
        # Guards readers against other controllers' loads, which nobody tells: a table's loads have the same
        # engines at all controllers, and its readers prefer the others
        if q.r.tables is not None and (q.c.s.loads or q.c.s.waits) and self.locking:
            kept = engine.kept.get(q.r.tables)
            if kept is None:
                kept = crc32(f"{engine.e.engine} {q.r.tables}".encode()) % LOAD_PARTS == 0
                if len(engine.kept) < TABLES:
                    engine.kept[q.r.tables] = kept
            cost += LOAD_APART * (kept != q.c.s.loads)
        if engine.e.zone != self.s.my_zone:
            cost += ZONE_COST * self.s.cross_zone_fee
        if not (engine.cold and self._cold_room(engine, q.c)):
            cost += COLD_FIRST
        cost += 1.0 if q.ran and any(engine is e for _, e in q.ran) else 0.0
        return q.run * cost + self._locked(engine, q)

    def _locked(self, engine: Engine, q: Query) -> float:
        """Time until our loads on the query's tables there should end, for those that wait for loads."""
        if q.r.tables is None or not (q.c.s.loads or q.c.s.waits):
            return 0.0
        return math.fsum(self._remaining(o, a) for o, a in engine.loads.get(q.r.tables, ()) if o is not q)

    def _start(self, engine: Engine, q: Query) -> float:
        """Earliest start: now if the class bound has room, else when enough of ours before it should end."""
        if not self._cold_room(engine, q.c):
            return self.s.tip_after / 2
        if not (engine.line and self._ahead(engine.line, q, engine)) and self._room(engine, q):
            return 0.0
        return self._ends(engine.ends, engine, self._bound(engine.cores, q.c), engine.line, q)

    def _fleet_start(self, q: Query) -> float:
        """The same over all engines: our part of one may be under a query, so that only that bound binds."""
        if self._in_part(q) or self._in_turn(q):
            return 0.0
        return self._ends(self.ends, None, self._share(self.cores, q.c) / self.tight, self.held, q)

    def _ahead(self, line: Line, q: Query, engine: Engine | None) -> int:
        if len(line) > FIRST:
            return self._ahead_of_many(line, q, engine)
        threads = 0
        for order, h in line:
            if order >= q.order:
                break
            threads += h.c.s.threads * (h.c.long == q.c.long)
        return threads

    def _ahead_of_many(self, line: Line, q: Query, engine: Engine | None) -> int:
        """Guards the CPU: a long line is summed up once in a while that grows with its length."""
        kept = engine.ahead if engine else self.ahead
        grown = kept is not None and abs(len(line) - len(kept.orders)) * 8 > len(line)
        if kept is None or grown or self.now >= kept.until:
            sums: tuple[list[int], list[int]] = ([0], [0])
            for _, h in line:
                for long in (0, 1):
                    sums[long].append(sums[long][-1] + h.c.s.threads * (h.c.long == long))
            kept = Ahead(self.now + HELD_AGE * len(line), [order for order, _ in line], sums)
            if engine:
                engine.ahead = kept
            else:
                self.ahead = kept
        return kept.threads[q.c.long][bisect_left(kept.orders, q.order)]

    def _ends(
        self, kept: list[Ends | None], engine: Engine | None, free: float, line: Line, q: Query
    ) -> float:
        """When enough of ours, there or everywhere, end that `q` has room behind those ahead of it."""
        ends = kept[q.c.long]
        if ends is None or self.now >= ends.until or len(ends.at) <= FIRST:  # short ones are always exact
            where = [engine] if engine else list(self.engines.values())
            out = [oa for e in where for oa in e.out.values() if oa[0].c.long == q.c.long]
            alike = sorted((self._remaining(o, a), o.c.s.threads) for o, a in out)
            # Guards the CPU: the order is kept for a while that grows with what it costs to find
            until = self.now + 1 + ENDS_AGE * len(alike)
            freed = list(accumulate(threads for _, threads in alike))
            ends = kept[q.c.long] = Ends(until, [self.now + int(t) for t, _ in alike], freed)
        used = (engine or self).used[q.c.long]
        need = self._ahead(line, q, engine) + q.c.s.threads - free + used
        if not ends.at:
            return max(0.0, need) / max(1.0, free) * q.run
        # What has been sent or has ended since moves the place in that order by its threads
        place = bisect_left(ends.freed, need + ends.freed[-1] - max(used, 0))
        if place < len(ends.at):
            return max(0.0, float(ends.at[place] - self.now))
        return max(0.0, ends.at[-1] - self.now) + max(0.0, need - used) / max(1.0, free) * q.run

    def _remaining(self, q: Query, a: Attempt) -> float:
        age = self.now - a.sent
        if a.share > 0.02:
            return max(0.0, (a.share_at - a.sent) / a.share - age)
        return q.run - age if age < q.run * 0.7 else 0.5 * age

    def _bound(self, cores: float, c: Class) -> float:
        return max(float(c.s.threads), self._share(cores, c))

    def _share(self, cores: float, c: Class) -> float:
        share = cores / self.s.instances
        chance = CHANCE * math.sqrt(share * (1 - 1 / self.s.instances) * c.s.threads)  # others draw unevenly
        return share * (SMALL if c.long else WIDE) + chance

    def _room(self, engine: Engine, q: Query) -> bool:
        if engine.trial and engine.out and not self.all_shunned:
            return False
        if not self._pressed(engine) or self._in_turn(q):
            return True  # what has its turn keeps a whole line of its key waiting: no bound on top of that
        mine = engine.used[q.c.long]
        fits = not mine or mine + q.c.s.threads <= self._bound(engine.cores, q.c)
        return fits and (engine.cold or self._in_part(q))

    def _in_part(self, q: Query) -> bool:
        """Guards against "one query at least" of each of many, unless engines let wait what lacks memory."""
        if self.s.when_short is Short.WAIT:
            return True
        slot = math.floor(self.now / GRACE - self.jitter)
        if slot != self.part_lot[0]:
            self.part_lot = slot, self.random.random()
        threads = q.c.s.threads
        queries = math.floor(self._share(self.cores, q.c) / self.tight / threads + self.part_lot[1])
        return self.used[q.c.long] + threads <= max(queries, self.tight <= 1) * threads

    def _pressed(self, engine: Engine) -> bool:
        return engine.tense or engine.used[0] + engine.used[1] >= engine.room

    def _pace_add(self, engine: Engine, c: Class, ratio: float) -> None:
        """Of run time to the uncontended one; few answers from an engine leave it like its peers."""
        c.rate.add(min(ratio, 20.0), self.now, PACE_MEMORY)
        x = min(max(math.log(max(ratio, 0.01)), PACE_SPAN[0]), PACE_SPAN[1])
        engine.pace.add(x, self.now, PACE_MEMORY + PACE_SAMPLES * self.gap)
        if not engine.cold:  # slow by its start, which says nothing of its peers
            self.paces.add(x, self.now, PACE_MEMORY)

    def _rate_illness(self, engine: Engine) -> None:
        """1 when well: slower than the peers at this time, or failing, makes it more."""
        slow = math.exp(max(0.0, engine.rate - self.common - SLACK_PACE))
        engine.illness = slow / max(0.1, 1 - engine.faults)

    def _shun(self, engine: Engine) -> None:
        """Rest an engine that failed; each trial that fails doubles the rest."""
        if self.now < engine.shun_until:
            return
        engine.shun = int(min(max(SHUN[0], engine.shun * 2), SHUN[1] + self.gap))
        engine.shun_until = self.now + int(engine.shun * (0.75 + self.random.random() / 2))  # not all at once
        engine.begin_trial(self.now)
        self._survey(True)

    def _silent(self, engine: Engine) -> bool:
        """Nothing heard for so long that what is out there should have told by now."""
        quiet = [(self.now - max(engine.sign, a.sent), q, a) for q, a in engine.out.values()]
        hazard = math.fsum(gap / max(q.run, self.now - a.sent - gap) for gap, q, a in quiet)
        return hazard > SILENT and max(gap for gap, _, _ in quiet) > SILENT_LEAST

    def _sign(self, engine: Engine) -> None:
        engine.sign = self.now
        if engine.trial and self.now >= engine.shun_until:
            if engine.down:  # back from the dead before the list tells: take it for cold
                engine.launch = engine.cold_at = max(engine.launch, self.now)
            engine.trial, engine.down, engine.shun = False, False, 0

    # ---- the guard that every send passes

    def _usable(self, engine: Engine, q: Query) -> bool:
        """Fit to be chosen for `q`: on the list, placed right, not resting, within the query's repeats."""
        s = q.c.s
        resting = self.now < engine.shun_until and not self.all_shunned
        if resting or not engine.known or engine.e.state is not State.UP:
            return False
        placed = s.stays_in is None or engine.e.zone in s.stays_in
        if not placed or (s.bound_to is not None and engine.e.kind not in s.bound_to):
            return False
        if s.repeat is Repeat.KEYED and q.ran:
            since, first = q.ran[0]
            near = engine.e.zone == first.e.zone if s.scope is Scope.ZONE else engine.e.group == first.e.group
            return self.now - since < s.memory_span and (near or s.scope is Scope.ALL)
        return True

    def _may_send(self, q: Query, engine: Engine) -> bool:
        s = self.s
        if q.ended or self.now >= q.r.give_up_at or q.sends >= q.most:
            return False
        if not self._usable(engine, q) or (q.c.s.repeat is Repeat.UNSAFE and q.ran):
            return False
        copy = bool(q.out) and not (s.second_copies and q.c.s.repeat is not Repeat.UNSAFE)
        if copy or not self._turn(q) or not self._cold_room(engine, q.c):
            return False
        if q.sends and s.spare_attempts is not None:
            since = self.now - s.counted_over
            for seen in (self.taken, self.extra):
                while seen and seen[0] <= since:
                    seen.popleft()
            return len(self.extra) + 1 <= s.spare_attempts + s.extra_per_request * len(self.taken)
        return True

    def _in_turn(self, q: Query) -> bool:
        return q.c.s.in_turn and q.r.key is not None

    def _good_late(self, q: Query) -> bool:
        """Late as its key had to wait, which no refusal mends: it goes if those behind lose less by it."""
        line, ahead, lost = self.turns[q.r.key or ""] if self._in_turn(q) else [], 0.0, 0.0
        for h in line[1:] if line and line[0] is q else ():
            left = h.deadline - self.now - h.run - ahead
            lost += h.worth * (1 - h.c.s.late_value) * (0 < left <= q.run)
            ahead += h.run * (left > 0)
        calm = bool(line) and not any(self._pressed(e) for e in self.up if not e.cold)  # its place is free
        return calm and lost < q.worth * q.c.s.late_value

    def _turn(self, q: Query) -> bool:
        key = q.r.key or ""
        rested = q.sends > 0 or self.now >= self.rest.get(key, 0)
        return not self._in_turn(q) or (self.turns[key][0] is q and rested)

    def _forget(self, q: Query) -> None:
        self.queries.pop(q.r.xid, None)
        if q.r.key in self.turns:
            self.turns[q.r.key] = [h for h in self.turns[q.r.key] if h is not q]
            if not self.turns[q.r.key]:
                del self.turns[q.r.key]

    def _cold_room(self, engine: Engine, c: Class) -> bool:
        """Room at an engine that started lately: all of us in turn have rights to what it can do by then."""
        s, age = self.s, self.now - engine.launch
        if not engine.launch or age >= s.cold or s.overload_factor <= 0:
            return True
        rate = engine.cores * CAPACITY * min(1.0, s.overload_factor * COLD_SHARE)
        work, grows = c.mean_work(), (1 - s.start_capacity) / s.cold
        # Guards the budget against rights that all saved up until they knew, or until it bore a few so heavy
        bears = work * COLD_PARTS / (engine.cores * CAPACITY * s.overload_factor * s.tip_after)
        lapse = s.tip_after * (COLD_LAPSE if c.long else 1)
        known = max(engine.cold_at, self.born + s.tip_after if engine.launch < self.born else 0)
        opens = max(known - engine.launch, (bears - s.start_capacity) / max(grows, 1e-15), age - lapse)
        place = (s.me + 0.5) / s.instances + crc32(engine.e.engine.encode()) / 2**32

        def rights(age: float) -> int:
            done = rate * age * (s.start_capacity + grows * age / 2) * c.share / work
            return math.floor(done * s.cold_share / s.instances + place)

        sent = sum(k is c for at, k in engine.sends if at > self.now - lapse)
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
            leaving = self.now + LOOKS * TICK >= q.r.give_up_at
            late = self.now + q.run * LAST_CALL >= q.deadline
            if not q.ended and (leaving or (late and not self._good_late(q))):
                self._end(q)  # given up on: answered at once
            elif not q.ended and (q.c.long not in stuck or self._in_turn(q)) and self._turn(q):
                engine = self._open_place(q)
                if engine is None and q.sends == 0 and q.c.long not in stuck:
                    stuck.append(q.c.long)
            if q.held_at and (q.ended or engine or not self._usable(q.held_at, q)):
                q.held_at.line.remove((order, q))
                q.held_at = None
            if engine:
                self._send(q, engine)
            elif not q.ended:
                self.held.append((order, q))

    def _open_place(self, q: Query) -> Engine | None:
        """An engine with room, the query's own line or another: no place stays free while queries wait."""
        own = q.held_at
        if own and q.start_at <= q.at == self.now and self._room(own, q) and self._may_send(q, own):
            return own  # chosen just now, among all, as the one of least start
        open_ = [e for e in self._candidates(q) if self._room(e, q) and self._may_send(q, e)]
        return min(open_, key=lambda e: self._run_at(e, q)) if open_ else None

    def _send(self, q: Query, engine: Engine) -> None:
        self._terms(q, engine)
        self.acts.append(Send(q.r.xid, engine.e.engine, 0))
        a = Attempt(q.sends, engine, self.now, self.now, q.c.long)
        self.extra.extend([self.now] * (q.sends > 0))
        q.sends, q.out = q.sends + 1, [*q.out, a]
        engine.out[q.r.xid, a.number] = q, a
        if q.c.s.loads and q.r.tables is not None:
            engine.loads.setdefault(q.r.tables, []).append((q, a))
        self._count(q, a, q.c.s.threads)
        engine.sends.append((self.now, q.c))
        while engine.sends and engine.sends[0][0] < self.now - self.s.tip_after * COLD_LAPSE:
            engine.sends.popleft()
        if q.r.tables is not None:
            engine.warm = [*(w for w in engine.warm if w != q.r.tables), q.r.tables][-WARM_GROUPS:]

    def _count(self, q: Query, a: Attempt, threads: int) -> None:
        for used in () if a.lost else (a.engine.used,) if a.engine.cold else (a.engine.used, self.used):
            used[a.long] += threads

    def _terms(self, q: Query, engine: Engine) -> None:
        # Where only what is in use counts, all is granted
        most = engine.memory * self.s.most_grant
        wanted = most if self.s.when_short is Short.PAGE else min(most, self._grant(q))
        memory = wanted if self.s.grants else 0.0
        q.priority = self._priority(q)
        if memory or self.s.priorities:
            self.acts.append(Terms(q.r.xid, round(memory, 1), q.priority))

    def _grant(self, q: Query) -> float:
        return q.r.need_mb * math.exp(q.c.memory.value) * CLOSE_GRANT

    def _priority(self, q: Query) -> int:
        # Others wait for a load's tables and key
        return 0 if self.now >= q.deadline else 1 if q.c.long and not q.c.s.loads else 3

    def _outcome(self, o: Outcome) -> None:
        q, engine = self.queries.get(o.xid), self.engines.get(o.engine)
        a = next((a for a in q.out if a.number == o.copy), None) if q else None
        if q is None or engine is None or a is None:
            return
        q.out.remove(a)
        if engine.out.pop((o.xid, o.copy), None):
            self._count(q, a, -q.c.s.threads)
        if q.r.tables in engine.loads:
            engine.loads[q.r.tables] = [(h, b) for h, b in engine.loads[q.r.tables] if b is not a]
            if not engine.loads[q.r.tables]:
                del engine.loads[q.r.tables]
        if load := self._load(engine, dict(zip(self.s.report_fields, o.report, strict=False))):
            engine.told, engine.told_at = load, self.now
            self.told.add(load, self.now, LOAD_MEMORY)
        if o.code not in NEVER_RAN:
            q.ran.append((a.sent, engine))
        if o.code in (Code.TIMEOUT, Code.RESET, Code.CANCELLED) and q.r.key and q.c.s.in_turn:
            self.rest[q.r.key] = self.now + self.s.settle
        self._judge(engine, q, a, o)
        if o.final:
            self._over(q)
        elif not q.ended and not q.out:
            self._again(q)
        if q.ended and not q.out:
            self._forget(q)

    def _load(self, engine: Engine, told: dict[str, float]) -> float:
        """What is in use of an engine, 1 when that is all of it, from whatever it tells of itself."""
        threads = told.get("active", 0.0) * self.width / engine.cores / FULL_THREADS
        return max(threads, *(told.get(name, 0.0) for name in ("cpu", "x0", "x1")))

    def _judge(self, engine: Engine, q: Query, a: Attempt, o: Outcome) -> None:
        """What an outcome says of its engine and, if served, of its class."""
        if o.code in (Code.OK, Code.ERROR):
            self._sign(engine)
            weight = max(FAULT_WEIGHT, 1 / (2 + engine.pace.n))  # where answers are few, each says more
            # Guards engines against queries that none can serve: the second engine that errs clears the first
            if o.code is Code.OK or not q.erred or q.erred[0] is engine:
                engine.faults += weight * ((o.code is Code.ERROR) - engine.faults)
            elif len(q.erred) == 1:
                q.erred[0].faults = max(0.0, (q.erred[0].faults - weight) / (1 - weight))
            if o.code is Code.ERROR:
                q.erred.append(engine)
                self._rate_illness(engine)
            if engine.faults > FAULTY:
                self._shun(engine)
        elif o.code is Code.RESET and not engine.trial:
            # Guards a sound engine against resting for one connection that broke: what died refuses the next
            engine.begin_trial(self.now)
        elif o.code in NEVER_RAN[:2] or (o.code is Code.RESET and a.sent >= engine.tried_at):
            # Guards a sound engine against being taken for cold: a process that has died says nothing
            engine.down |= o.code is Code.CONNECT_FAILED and self.now - engine.sign > SILENT_LEAST
            self._shun(engine)
        if o.code is not Code.OK:
            return
        c, run = q.c, max(1.0, float(o.took))
        told = bool(o.work or q.r.cost)
        # Guards against wrong estimates of a class being taken for pressure: where no answer tells the true
        # work, run times on engines that are not full stand in for it
        if q.r.cost and (o.work or engine.load <= PRESSED_BUSY):
            c.hint.add(math.log((o.work or run * c.s.threads) / q.r.cost), MEAN_WEIGHT)
        mended = q.r.cost * math.exp(c.hint.value) if q.r.cost else run * c.s.threads
        work = float(o.work or mended)
        if told or not self._pressed(engine) or c.work.n < LEARNED:
            c.work.add(work, MEAN_WEIGHT)
            c.log_work.add(math.log(max(1.0, work)), MEAN_WEIGHT)
        if o.memory_mb and q.r.need_mb:
            c.memory.add(math.log(o.memory_mb / q.r.need_mb), MEAN_WEIGHT)
        base = (work if told else c.mean_work()) / c.s.threads
        c.scatter.add(math.log(run / q.run), MEAN_WEIGHT)
        self._pace_add(engine, c, run / max(1.0, base))

    def _again(self, q: Query) -> None:
        """No attempt is out and no answer given: another try where allowed and in time, else the end."""
        s = q.c.s
        keyed = s.repeat is Repeat.KEYED and (not q.ran or self.now - q.ran[0][0] < s.memory_span)
        safe = not q.ran or s.repeat is Repeat.SAFE or keyed
        if safe and q.sends < q.most and self.now + q.run < q.deadline:
            self._admit(q)
        else:
            self._end(q)

    def _note(self, n: Note) -> None:
        q = self.queries.get(n.xid)
        for a in q.out if q else ():
            if q and a.number == n.copy and not a.cancelled:
                self._sign(a.engine)
                a.sign = self.now
                if n.kind is NoteKind.PROGRESS:
                    # Guards against hearing of slow runs only when they end, where our part of it is small
                    if a.engine.cores < self.s.instances and a.share <= 0 < n.level:
                        base = n.level * q.work / q.c.s.threads
                        self._pace_add(a.engine, q.c, (self.now - a.sent) / max(1.0, base))
                    a.share, a.share_at = n.level, self.now
                elif n.kind is NoteKind.SPILLS and q.r.need_mb:  # the estimate was too low
                    q.c.memory.add(math.log((self._grant(q) + n.level) / q.r.need_mb), MEAN_WEIGHT)

    def _gone(self, event: Gone) -> None:
        q = self.queries.get(event.xid)
        if q is not None and not q.ended:
            self._over(q)
            self._drop(q)

    def _end(self, q: Query, start: float = 0.0) -> None:
        """Refuse where that is true, else fail; what is out is called off."""
        if q.ended:
            return
        never, s = not q.ran and not q.out, q.c.s
        if never or s.repeat is Repeat.SAFE or (s.repeat is Repeat.KEYED and s.scope is Scope.ALL):
            wait = min(self.s.max_retry_after, max(TICK, int(start)))
            self.acts.append(Refuse(q.r.xid, wait if self.s.retry_after else 0))
        else:
            self.acts.append(Fail(q.r.xid))
        late = self.now >= q.deadline or not never
        if not q.r.retry:
            self._cost(0.0, 0.0 if late else q.worth, q.worth if late else 0.0)
        q.ended = True
        self._drop(q)

    def _over(self, q: Query) -> None:
        """The request ended by an outcome or by its client."""
        if not q.ended and self.now > q.deadline and not q.r.retry:
            self._cost(0.0, 0.0, q.worth)
        q.ended = True

    def _drop(self, q: Query) -> None:
        for a in q.out:
            self._cancel(q, a)
        if not q.out:
            self._forget(q)

    def _cancel(self, q: Query, a: Attempt) -> None:
        if self.s.cancelling and not a.cancelled:
            a.cancelled = True
            self.acts.append(Cancel(q.r.xid, a.number))

    def _tick(self, _: Timer) -> None:
        self.armed = False
        if self.stalled:
            return
        for engine in self.engines.values():
            if engine.out and self._silent(engine):
                self._shun(engine)
        for q in [q for q in self.queries.values() if q.out and not q.ended]:
            self._look(q, q.out[-1])

    def _look(self, q: Query, a: Attempt) -> None:
        """Let an attempt run, begin it anew, or end it: by progress, chance of finishing and work wasted."""
        s = q.c.s
        if a.cancelled or not self.s.cancelling:
            return
        limit = q.r.give_up_at if s.late_value > 0 else q.deadline
        left = self._remaining(q, a)
        ill = (self.now < a.engine.shun_until and a.sent < a.engine.tried_at) or not a.engine.known
        age, fresh = self.now - a.sent, q.run
        # Guards against answers that never come from an engine that answers others: they take no place
        lost = self.s.progress > 0 and self.now - a.sign > LOST * self.s.progress
        if lost and not a.lost:
            self._count(q, a, -q.c.s.threads)
            a.lost = True
            a.engine.faults += FAULT_WEIGHT * (1 - a.engine.faults)
            self._rate_illness(a.engine)
        known = q.c.scatter.n / (q.c.scatter.n + LEARNED)
        # Guards against a class that never ends a run, so never shows its scatter, and fills all engines
        scatter = SCATTER + known * (math.sqrt(q.c.scatter.var) - SCATTER)
        spread = math.exp(OVERDUE * scatter + max(0.0, a.engine.rate - self.pace))
        blind = not self.s.progress  # where notes tell how far a run is, only what has proved odd is overdue
        odd = age > q.run * spread + self.s.patience
        overdue = not a.share and odd and (blind or q.c.scatter.n >= LEARNED)
        wrong = q.restarts == 0 and (overdue or (a.share > 0 and left > RESTART * fresh))
        safe = s.repeat is Repeat.SAFE
        if safe and q.sends < q.most and self.now + fresh < q.deadline and (ill or lost or wrong):
            q.restarts += not ill
            return self._cancel(q, a)
        hopeless = a.share > 0 and left > HOPELESS * (limit - self.now)
        if safe and (lost or (overdue and blind) or hopeless or self.now >= limit):
            self._end(q)
        elif self.s.priorities and (priority := self._priority(q)) != q.priority:
            q.priority = priority
            self.acts.append(Terms(q.r.xid, 0.0, priority))

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
        if self.s.peers and self.counts and self.now - self.told_at >= GRACE:
            peers = [p for p in range(self.s.instances) if p != self.s.me]
            data = ",".join(str(round(self._asked(t))) for t in range(len(self.counts)))
            self.acts.extend(Post(data, p) for p in self.random.sample(peers, min(TOLD, len(peers))))
            self.told_at = self.now
        self.checked_at, self.metric = self.now, metric
        if max(refused, late) > COST_FLOOR:
            lag = self.lag * STEP if late > refused else self.lag / STEP
            self.lag = min(max(lag, LAG_RANGE[0]), LAG_RANGE[1])
