"""One gateway on one loop: the forwarder's desk, its fronts and engine clients, and a planner beside it."""

import os
import signal
import socket
import time
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from mothknot.bgp.session import Session as BgpSession
from mothknot.config import BadConfig, Config, Operator, check_kept, read, read_operator, safe_classes
from mothknot.core.classes import laid_out, numbered
from mothknot.core.exchange import Desk
from mothknot.core.learned import adopt, learned
from mothknot.core.messages import Avoids, Verdict
from mothknot.core.planner import Planner
from mothknot.core.readiness import Readiness
from mothknot.handover import Handover, Legacy
from mothknot.interface import Repeat, Settings
from mothknot.local.link import Remote
from mothknot.net.log import log
from mothknot.net.loop import Loop, Timer
from mothknot.net.stream import Listener
from mothknot.ops.figures import rendered
from mothknot.ops.server import ROOM
from mothknot.ops.server import Server as OpsServer
from mothknot.targets import BadList, Change, Ends, changes_of, follow
from mothknot.web.engines import Pool
from mothknot.web.journal import Journal
from mothknot.web.server import Server

if TYPE_CHECKING:
    from mothknot.flight.engines import Pool as FlightPool
    from mothknot.flight.server import Server as FlightServer
    from mothknot.reading.service import Statements
    from mothknot.statements.messages import Rules

ACCEPTING = 0.8  # seconds after SIGTERM in which requests still come: 0.4 s, 0.2 s more, and slack
CATCH_UP = 2.5  # seconds in which a successor says yes, though the journal has not answered
PAIR_SHARE = 0.5  # of the budgets, while two processes are one gateway
REST_SHARE = 0.1  # of the cold budget, for an elder told to stop: it sends only what it still holds
KILLED_AT = 3.0  # seconds after SIGTERM, and 0.7 more, that a gateway has at most for what is open
ELDER_AT = 5.0  # and an elder that a successor follows
GIVEN_UP = 0.4  # seconds past these, or past the longest deadline if that is less, until the rest is given up
CROSSING = 1.5  # seconds in which a class that was dropped is still taken: clients hear of it late
MOST_LINES = 256  # classes that the figures have lines for
PATIENCE = 500_000_000  # nanoseconds that an attempt of the Flight wire may take beyond its run
CLIENTS = 3  # clients hold one in so many of the descriptors at most
MOST_OPEN = 4_000  # requests held at once, whatever the settings allow: what the memory bears


def settings_for(config: Config, operator: Operator, planner: int = 0) -> Settings:
    """What a planner is told: each of several counts as an instance of its own."""
    settings, many = config.settings, max(1, len(operator.planners))
    # The Flight wire brings no notes, so with it the module must not take their absence for a loss
    progress = 0 if operator.flight else settings.progress
    # A call of that wire may take some 50 ms for a connect alone, which is no sign of a bad run
    patience = PATIENCE if operator.flight else settings.patience
    me, instances = settings.me * many + planner, settings.instances * many
    places = max(1, config.sockets // CLIENTS // many)
    return replace(
        settings, progress=progress, me=me, instances=instances, places=places, patience=patience
    )


class Gateway:
    """A forwarder with a planner beside it, or one of several whose planners are other processes."""

    position = 0  # the journal's last event that we hold
    newest: Change | None = None  # and that event
    anew = False  # its service counts anew, and has not told the whole list yet
    last_call = 0.0  # told to stop, until when requests still come
    given_up = False  # told to stop, and so late that nothing is begun any more
    flight_pool: "FlightPool | None" = None
    planner: Planner  # only where it shares our process

    def __init__(
        self,
        config: Config,
        operator: Operator,
        signals: bool = True,
        read_again: Callable[[], Config] = lambda: read(os.environ),
        operator_again: Callable[[Config], Operator] = lambda config: read_operator(os.environ, config),
        number: int = 0,
        meeting: str | None = None,
        legacy: Legacy | None = None,
    ) -> None:
        """`meeting`: where elder and successor find each other; `legacy`: what our elder leaves."""
        self.config, self.loop, self.read_again = config, Loop(), read_again
        self.operator_again = operator_again
        self.operator, self.classes, self.number = operator, config.classes, number
        # Classes that were dropped, and until when each is still taken
        self.leaving: dict[str, tuple[tuple[int, bool, bool], float]] = {}
        self.share = PAIR_SHARE if legacy else 1.0
        self.shares = 0  # changes of it asked for
        given = legacy.fronts if legacy else {}
        self.readiness = Readiness()
        loop = self.loop
        most = min(config.most_held, MOST_OPEN)
        # Numbers of requests go on from the clock, so that no planner meets one twice after our restart
        self.desk = Desk(config.settings, time.time_ns, self.alarm, most, first_xid=time.time_ns())
        for name in config.classes:
            self.desk.counters.know(name)
        period = config.settings.progress / 1e9
        limits = config.streams, config.dial_timeout, config.conn_idle
        self.pool = Pool(loop, time.time_ns, *limits, period)
        self.desk.engines["web"] = self.pool
        self.avoided: dict[int, tuple[str, ...]] = {}  # by planner, where they are processes of their own
        self.remotes = [self._remote(link, at) for link, at in enumerate(operator.planners)]
        if not self.remotes:
            settings = replace(settings_for(config, operator), cold_share=self.share)
            self.planner = Planner(settings, config.seed, time.time_ns, self.alarm)
            self.desk.add_planner(self.planner.tell, True)
            loop.after.append(self.turn)
        last, changes = changes_of(config.known, config.names)
        news = follow(0, last, changes)
        self.ends = Ends()
        self.ends.note(news.targets, news.whole, {})
        self.desk.listed(news.targets, news.whole)
        self._hold(last, changes)  # as the configuration says: the service is asked for what comes after
        # Engines, the journal and the loop keep a part of the descriptors; a second front halves the rest
        sockets = config.sockets // max(1, operator.forwarders)
        clients = sockets - min(sockets // 2, max(64, sockets // 4)) - (ROOM if config.ops else 0)
        fronts = 2 if operator.flight else 1
        most = self.most = max(1, clients // fronts)
        # Where a successor cannot be given our listener, it must be able to listen beside it
        alone = signals and meeting is None and not operator.planners
        shared = operator.forwarders > 1 or alone
        self.statements = self._statements(legacy.statements if legacy else None)
        reads = self.statements if operator.statements and operator.statements.web else None
        web = config.listen, config.classes, most, self.readiness, shared, given.get("web"), reads
        self.server = Server(loop, self.desk, *web)
        caught_up = self._begin if legacy else None
        self.journal = Journal(loop, config.journal, self.position, self.take_list, caught_up, config.seed)
        self.flight = self._flight(operator, most, shared, given.get("flight")) if operator.flight else None
        self.given = self._listeners() if legacy else []
        # Two sessions under one identifier would collide: a successor's begins when its elder has ended
        self.bgp = None if legacy else self._bgp()
        self.readiness.watchers.append(self._announce)
        self.ops = OpsServer(loop, config.ops, self.readiness, self.figures) if config.ops else None
        self.readiness.planners(any(self.desk.live))
        self.handover = Handover(loop, meeting, self, legacy) if meeting else None
        if legacy:
            self.paired(True)
            self.turn()  # the list, so that the engines are known
            if legacy.learned is not None and not self._adopt(legacy.learned):
                log("handover", "what the elder's module learned cannot be used here")
            self.loop.at(self.loop.now() + CATCH_UP, self._begin)
        else:
            self._begin()
        if signals:
            self._signals()

    def _listeners(self) -> list[Listener]:
        return [self.server.listener, *([self.flight.listener] if self.flight else [])]

    def _begin(self) -> None:
        """From here on we take requests."""
        if self.readiness.begun:
            return
        for listener in self.given:
            listener.begin()
        self.readiness.begin()
        if self.handover:
            self.handover.open()

    def _bgp(self) -> BgpSession | None:
        return BgpSession(self.loop, self.operator.bgp) if self.operator.bgp and self.number == 0 else None

    def _remote(self, link: int, address: tuple[str, int]) -> Remote:
        def born() -> None:
            self.desk.planner_born(link)
            self.readiness.planners(True)

        def died() -> None:
            self.avoided.pop(link, None)
            self.desk.planner_died(link)
            self.readiness.planners(any(self.desk.live))

        def act(action: Any) -> None:
            if isinstance(action, Avoids):
                self.avoided[link] = action.engines
            else:
                self.desk.act(action, link)

        remote = Remote(self.loop, address, act, born, died)
        alone = self.operator.forwarders == 1
        tuned = settings_for(self.config, self.operator, link) if alone else None
        self.desk.add_planner(remote.tell, False, tuned)
        return remote

    def _announce(self) -> None:
        """Our addresses are announced while we are ready."""
        if self.bgp:
            # While a successor serves behind the same addresses, they stay announced to our end
            follows = self.readiness.ending and self.handover and self.handover.follows
            self.bgp.announce(self.readiness.ready or bool(follows))

    def figures(self) -> list[str]:
        avoided = {name for names in self.avoided.values() for name in names}
        if not self.remotes:
            avoided |= set(self.planner.avoided())
        listed = self.desk.targets
        ejected = sum(name in listed for name in avoided)
        told = rendered(self.desk.counters, self.desk.outstanding, len(listed), ejected)
        return told + (self.statements.figures() if self.statements else [])

    def alarm(self, when: int, call: Any) -> Timer:
        return self.loop.at(self.loop.now() + (when - time.time_ns()) / 1e9, call)

    def take_list(self, raw: Any, again: bool = False) -> int:
        """An answer of the journal; `again`: to a call for the event that we hold last, and what follows."""
        try:
            last, changes = changes_of(raw, self.config.names)
        except BadList as bad:
            raise ValueError(str(bad)) from None
        news = follow(self.position, last, changes, self.newest if again else None)
        self.anew |= news.fault == "began-anew"
        targets = self.ends.kept(news.targets) if self.anew else news.targets
        if news.whole or targets:
            self.ends.note(targets, news.whole, self.desk.targets)
            self.desk.listed(targets, news.whole)
        self.anew &= not news.whole
        if news.fault:
            log("journal", f"{news.fault}: held {self.position}, told to {last}; held now {news.position}")
        self._hold(news.position, changes)
        return self.position

    def _hold(self, position: int, changes: list[Change]) -> None:
        self.position = position
        self.newest = next((c for c in reversed(changes) if c[0] == position), self.newest)

    def turn(self) -> bool:
        """Let the planner decide on what has come; True if there is more at once."""
        try:
            actions = self.planner.turn()
        except Exception as fault:
            log("planner", f"a planner broke and is begun anew: {fault!r}")
            self.planner.restart()
            self.desk.planner_died(0)
            self.planner.events.clear()
            self.desk.planner_born(0)
            return True
        for action in actions:
            self.desk.act(action)
        return bool(self.planner.events)

    def _flight(
        self, operator: Operator, most: int, shared: bool, given: socket.socket | None
    ) -> "FlightServer":
        """The second front; what it needs is not even loaded where it is off."""
        from mothknot.flight.engines import Pool as FlightPool
        from mothknot.flight.server import Server as FlightServer
        from mothknot.flight.server import classes_of

        config = self.config
        classes = classes_of(config.classes, config.settings)
        pool = self.flight_pool = FlightPool(self.loop, time.time_ns, config.dial_timeout)
        self.desk.engines["flight"] = pool
        pool.listed(list(self.desk.targets.values()), True)
        assert operator.flight
        names = operator.query_class, operator.update_class
        return FlightServer(
            self.loop, self.desk, operator.flight, classes, *names, most, self.readiness, shared, given,
            self.statements,
        )  # fmt: skip

    def _statements(self, legacy: Any) -> "Statements | None":
        """What reads bare SQL; not even loaded where it is off."""
        reading = self.operator.statements
        if reading is None:
            return None
        from mothknot.reading.service import Statements

        safe = safe_classes(self.config)
        statements = Statements(self.loop, reading.rules, safe, reading.parsers, reading.shapes)
        path = reading.snapshot
        if path and self.operator.forwarders > 1:
            path = f"{path}.{self.number}"
        statements.remember(path, legacy)
        self.desk.observer = statements
        return statements

    # ---- a new configuration, and the planned stop

    def _signals(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self.loop.call_soon(self.drain))
        signal.signal(signal.SIGHUP, lambda *_: self.loop.call_soon(self.reload))

    def reload(self) -> None:
        """Check the new file whole; a bad one leaves the old in force."""
        try:
            config = self.read_again()
            check_kept(self.config, config)
            rules = self._rules_again(config)
            self._check_usable(config, rules)
        except BadConfig as bad:
            self.desk.counters.rejected += 1
            log("reload", f"the old configuration stays in force: {bad}")
            return
        self.desk.counters.applied += 1
        old = self.config
        fixed = (old.name, old.listen, old.ops, old.sockets, old.names.zones, old.names.kinds)
        now = (config.name, config.listen, config.ops, config.sockets, config.names.zones, config.names.kinds)
        more = "" if now == fixed else "; what it says of name, addresses, sockets and zones needs a restart"
        log("reload", f"journal {config.journal}, classes {' '.join(config.classes)}{more}")
        self.config = replace(config, name=old.name, listen=old.listen, ops=old.ops, names=old.names)
        self._limits()
        if config.settings != old.settings or list(config.classes) != list(old.classes):
            self._retune(rules)
        elif self.statements and rules:
            self.statements.retune(rules, safe_classes(config))
        self.journal.move(config.journal)

    def _limits(self) -> None:
        """What of the limits is ours to keep, not the module's."""
        config = self.config
        self.desk.most = min(config.most_held, MOST_OPEN)
        progress = config.settings.progress / 1e9
        self.pool.retune(config.streams, config.dial_timeout, config.conn_idle, progress)
        if self.flight_pool:
            self.flight_pool.dial_timeout = config.dial_timeout

    def _rules_again(self, config: Config) -> "Rules | None":
        """How statements are to be read from now on; the rest of that file needs a restart."""
        if self.statements is None:
            return None
        told = self.operator_again(config).statements
        return told.rules if told else self.statements.classifier.rules

    def _check_usable(self, config: Config, rules: "Rules | None") -> None:
        operator, lines = self.operator, self.desk.counters.answers
        if operator.forwarders > 1 and config.settings != self.config.settings:
            raise BadConfig("new settings need one forwarder: several would number the classes apart")
        named = [operator.query_class, operator.update_class] if operator.flight else []
        named += [name for name in (rules.lookup, rules.report, rules.load) if name] if rules else []
        for name in named:
            if name not in config.classes:
                raise BadConfig(f"the operator's file names class {name!r}, which the settings lack")
        for name in (rules.lookup, rules.report) if rules else ():
            if name not in safe_classes(config):
                raise BadConfig(f"statements are read as {name!r}, whose requests could not run twice then")
        if rules and rules.load in safe_classes(config):
            raise BadConfig(f"writes run as {rules.load!r}, whose requests could run twice then")
        if len({*lines, *config.classes}) > MOST_LINES:
            raise BadConfig(f"the figures have lines for {MOST_LINES} classes; more need a restart")

    def _retune(self, reading: "Rules | None" = None) -> None:
        """Switch fronts, core and module in one step; what is open keeps the rules that it came under."""
        config, old = self.config, self.classes
        held = {e.query.cls for e in self.desk.exchanges.values()}
        held |= {c[0] for c in self.server.classes.values()}
        numbers = numbered(config.classes, {name: c[0] for name, c in old.items()}, held)
        self.classes = {name: (numbers[name], *told[1:]) for name, told in config.classes.items()}
        rules = {numbers[name]: config.settings.classes[told[0]] for name, told in config.classes.items()}
        settings = replace(config.settings, classes=laid_out(self.desk.settings.classes, rules))
        for name in self.classes:
            self.desk.counters.know(name)
        self._tell_rules(settings, tuple(n for name, n in numbers.items() if name not in old))
        # Guards requests that cross: a class that was dropped is taken for a while, under its old rules
        if self.statements and reading:
            self.statements.retune(reading, self.statements.classifier.safe)
        until = self.loop.now() + CROSSING
        self.leaving |= {name: (told, until) for name, told in old.items()}
        self._cross()
        self.loop.at(until, self._cross)

    def _cross(self) -> None:
        """Each class that was dropped has its own time: another reload neither ends nor lengthens it."""
        now = self.loop.now()
        for name in [n for n, (_, until) in self.leaving.items() if until <= now or n in self.classes]:
            del self.leaving[name]
        self._fronts({name: told for name, (told, _) in self.leaving.items()} | self.classes)

    def _tell_rules(self, settings: Settings, fresh: tuple[int, ...] = ()) -> None:
        told = replace(self.config, settings=settings)
        tuned = [settings_for(told, self.operator, link) for link in range(len(self.desk.tell))]
        self.desk.retune(settings, [replace(t, cold_share=self.share) for t in tuned], fresh)

    def _fronts(self, classes: dict[str, tuple[int, bool, bool]]) -> None:
        self.server.classes = classes
        if self.statements:
            rules = self.desk.settings.classes
            safe = {name for name, told in classes.items() if rules[told[0]].repeat is Repeat.SAFE}
            self.statements.retune(self.statements.classifier.rules, safe)
        if self.flight:
            from mothknot.flight.server import classes_of

            self.flight.classes = classes_of(classes, self.desk.settings)

    def drain(self) -> None:
        if self.readiness.ending:
            return
        log("stop", f"told to stop with {self.desk.outstanding} requests open")
        self.readiness.stop()  # addresses withdrawn: clients go elsewhere first; what still comes is served
        followed = bool(self.handover and self.handover.successor)
        longest = max(c.give_up for c in self.config.settings.classes) / 1e9  # a dropped class counts no more
        most = min(longest, ELDER_AT if followed else KILLED_AT) + GIVEN_UP
        self.loop.at(self.loop.now() + most, self._give_up)
        self.last_call = self.loop.now() + ACCEPTING
        if followed:
            self._hand_on()
        else:
            self.loop.at(self.last_call, self._close)

    # ---- the handover, from either side

    def offer(self) -> tuple[dict[str, Any], list[socket.socket]]:
        fronts = {"web": self.server.listener.sock}
        if self.flight:
            fronts["flight"] = self.flight.listener.sock
        numbers = {name: told[0] for name, told in self.classes.items()}
        known = learned(self.planner.module, numbers)
        told = {"fronts": list(fronts), "learned": known}
        if self.statements:
            told["statements"] = self.statements.classifier.costs.snapshot(most=256)
        return told, list(fronts.values())

    def _adopt(self, raw: Any) -> bool:
        return adopt(self.planner.module, {name: told[0] for name, told in self.classes.items()}, raw)

    def paired(self, on: bool) -> None:
        """Two processes of one gateway share descriptors and what a cold engine may be sent."""
        self.server.most = max(1, int(self.most * (PAIR_SHARE if on else 1.0)))
        if self.flight:
            self.flight.most = self.server.most
        if on:
            return
        self._take_share(1.0, True)
        if not self.readiness.begun:
            self._begin()
        if self.readiness.ending:
            # Guards who still comes: with nobody to follow it is a plain stop again, to the same time
            self.server.give = None
            for listener in self._listeners():
                listener.begin()
            self.loop.at(self.last_call, self._close)
        elif self.bgp is None:
            self.bgp = self._bgp()
            self._announce()

    def _take_share(self, share: float, settled: bool = False) -> None:
        """Our part of the cold budget; `settled`: once what the other has sent no longer counts."""
        self.shares += 1
        number = self.shares

        def take() -> None:
            if number == self.shares:
                self.share = share
                self._tell_rules(self.desk.settings)

        wait = self.desk.settings.tip_after / 1e9 if settled else 0.0
        self.loop.at(self.loop.now() + wait, take)

    def elder_leaves(self) -> None:
        self._take_share(1.0 - REST_SHARE, True)

    def handed(self, sock: socket.socket, peer: str, asked: bool) -> None:
        self.server.take(sock, peer, asked)

    def succeeded(self) -> None:
        self._take_share(PAIR_SHARE)
        if self.readiness.ending:
            self._hand_on()

    def _hand_on(self) -> None:
        """Accept nothing more; what is open is answered here, what rests goes on with the successor."""
        assert self.handover
        for listener in self._listeners():
            # Guards who waits to be accepted: while the successor may yet die, nobody else could take them
            if self.handover.follows:
                listener.release()
            else:
                listener.pause()
        if not self.handover.follows:
            return
        self._take_share(REST_SHARE)
        self.handover.tell_leaving()
        self.server.hand_on(self.handover.give)
        if self.flight:
            self.flight.close()
        self._leave_when_done()

    def _give_up(self) -> None:
        """Guards clients of what is still open: they hear of it before we are killed, and may ask again."""
        self.given_up = self.server.refuses = True
        for exchange in list(self.desk.exchanges.values()):
            exchange.end_without_planner()
        if not (self.handover and self.handover.follows):
            self._close()  # a successor that never said yes: who waits to be accepted hears it from us

    def _close(self) -> None:
        if self.handover and self.handover.successor and not self.given_up:  # it came meanwhile
            return self._hand_on()
        self.server.close()
        if self.flight:
            self.flight.close()
        if self.bgp:
            self.bgp.stop()
        self._leave_when_done()

    def _leave_when_done(self) -> None:
        if self._leave not in self.loop.after:
            self.loop.after.append(self._leave)

    def _leave(self) -> bool:
        """Leave once all that was taken is answered and the answers are read."""
        fronts = self.server.quiet and (not self.flight or self.flight.quiet)
        if not self.desk.exchanges and fronts:
            if self.bgp:
                self.bgp.stop()
            if not self.bgp or self.bgp.quiet:
                self.loop.stop()
        return False

    def run(self) -> None:
        host, port = self.server.listener.address
        log("start", f"{self.config.name} listens on {host}:{port}")
        self.loop.run()
        if self.handover:
            self.handover.leave()
        self.journal.stop()
        if self.statements:
            self.statements.stop()
        for remote in self.remotes:
            remote.stop()
        told = ", ".join(f"{self.desk.counters.total(v)} {v.value}" for v in Verdict)
        log("stop", f"all answered: {told}")
