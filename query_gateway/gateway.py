"""One gateway on one loop: the forwarder's desk, its fronts and engine clients, and a planner beside it."""

import os
import signal
import socket
import time
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from query_gateway.admin.figures import rendered
from query_gateway.admin.server import ROOM
from query_gateway.admin.server import Server as OpsServer
from query_gateway.bgp.session import Session as BgpSession
from query_gateway.configuration.platform import (
    Configuration,
    ConfigurationError,
    OperatorSettings,
    check_kept,
    read,
    read_operator,
    safe_classes,
)
from query_gateway.discovery.endpoint_list import (
    EndpointListError,
    EndpointListEvent,
    EndpointTombstones,
    changes_of,
    follow,
)
from query_gateway.discovery.watch_client import EndpointWatchClient
from query_gateway.engine_protocol.client import ConnectionPool
from query_gateway.forwarder.class_numbers import laid_out, numbered
from query_gateway.forwarder.exchange import Forwarder
from query_gateway.forwarder.messages import EjectedEndpoints, RequestClass, RequestClasses, Verdict
from query_gateway.forwarder.readiness import Readiness
from query_gateway.http.server import Server
from query_gateway.lifecycle.hot_upgrade import HotUpgrade, InheritedState
from query_gateway.model.settings import Idempotency, Settings
from query_gateway.net.log import log
from query_gateway.net.loop import Loop, Timer
from query_gateway.net.stream import Listener
from query_gateway.planner.ipc import PlannerClient
from query_gateway.planner.learned_state import export_state, restore_state
from query_gateway.planner.planner import Planner

if TYPE_CHECKING:
    from query_gateway.flight.engines import Pool as FlightPool
    from query_gateway.flight.server import Server as FlightServer
    from query_gateway.parsing.service import Statements
    from query_gateway.statements.messages import Rules

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


def settings_for(config: Configuration, operator: OperatorSettings, planner: int = 0) -> Settings:
    """What a planner is told: each of several counts as an instance of its own."""
    settings, many = config.settings, max(1, len(operator.planner_addresses))
    # The Flight wire brings no notes, so with it the module must not take their absence for a loss
    progress = 0 if operator.flight_address else settings.progress_interval
    # A call of that wire may take some 50 ms for a connect alone, which is no sign of a bad run
    patience = PATIENCE if operator.flight_address else settings.extra_run_time
    me, instances = settings.instance_index * many + planner, settings.instance_count * many
    places = max(1, config.max_descriptors // CLIENTS // many)
    return replace(
        settings,
        progress_interval=progress,
        instance_index=me,
        instance_count=instances,
        max_client_connections=places,
        extra_run_time=patience,
    )


class Gateway:
    """A forwarder with a planner beside it, or one of several whose planners are other processes."""

    position = 0  # the journal's last event that we hold
    newest: EndpointListEvent | None = None  # and that event
    anew = False  # its service counts anew, and has not told the whole list yet
    last_call = 0.0  # told to stop, until when requests still come
    given_up = False  # told to stop, and so late that nothing is begun any more
    flight_pool: "FlightPool | None" = None
    planner: Planner  # only where it shares our process

    def __init__(
        self,
        config: Configuration,
        operator: OperatorSettings,
        signals: bool = True,
        read_again: Callable[[], Configuration] = lambda: read(os.environ),
        operator_again: Callable[[Configuration], OperatorSettings] = lambda config: read_operator(
            os.environ, config
        ),
        number: int = 0,
        meeting: str | None = None,
        legacy: InheritedState | None = None,
    ) -> None:
        """`meeting`: where elder and successor find each other; `legacy`: what our elder leaves."""
        self.config, self.loop, self.read_again = config, Loop(), read_again
        self.operator_again = operator_again
        self.operator, self.classes, self.number = operator, config.classes, number
        # Classes that were dropped, and until when each is still taken
        self.leaving: dict[str, tuple[RequestClass, float]] = {}
        self.share = PAIR_SHARE if legacy else 1.0
        self.shares = 0  # changes of it asked for
        given = legacy.listeners if legacy else {}
        self.readiness = Readiness()
        loop = self.loop
        most = min(config.max_open_requests, MOST_OPEN)
        # Numbers of requests go on from the clock, so that no planner meets one twice after our restart
        self.forwarder = Forwarder(config.settings, time.time_ns, self.alarm, most, first_xid=time.time_ns())
        for name in config.classes:
            self.forwarder.counters.add_class(name)
        period = config.settings.progress_interval / 1e9
        limits = config.streams_per_connection, config.dial_timeout, config.connection_idle_timeout
        self.engine_pool = ConnectionPool(loop, time.time_ns, *limits, period)
        self.forwarder.engine_clients["web"] = self.engine_pool
        self.avoided: dict[int, tuple[str, ...]] = {}  # by planner, where they are processes of their own
        self.planner_clients = [self._remote(link, at) for link, at in enumerate(operator.planner_addresses)]
        if not self.planner_clients:
            settings = replace(settings_for(config, operator), slow_start_share=self.share)
            self.planner = Planner(settings, config.seed, time.time_ns, self.alarm)
            self.forwarder.add_planner(self.planner.notify, True)
            loop.turn_hooks.append(self.turn)
        last, changes = changes_of(config.initial_endpoints, config.zones_and_kinds)
        news = follow(0, last, changes)
        self.ends = EndpointTombstones()
        self.ends.record(news.endpoints, news.is_snapshot, {})
        self.forwarder.update_endpoints(news.endpoints, news.is_snapshot)
        self._hold(last, changes)  # as the configuration says: the service is asked for what comes after
        # Engines, the journal and the loop keep a part of the descriptors; a second front halves the rest
        sockets = config.max_descriptors // max(1, operator.forwarder_count)
        clients = sockets - min(sockets // 2, max(64, sockets // 4)) - (ROOM if config.admin_address else 0)
        fronts = 2 if operator.flight_address else 1
        most = self.most = max(1, clients // fronts)
        # Where a successor cannot be given our listener, it must be able to listen beside it
        alone = signals and meeting is None and not operator.planner_addresses
        shared = operator.forwarder_count > 1 or alone
        self.statements = self._statements(legacy.statement_costs if legacy else None)
        reads = self.statements if operator.statements and operator.statements.covers_http else None
        web = config.listen_address, config.classes, most, self.readiness, shared, given.get("web"), reads
        self.http_server = Server(loop, self.forwarder, *web)
        caught_up = self._begin if legacy else None
        self.watch_client = EndpointWatchClient(
            loop, config.discovery_address, self.position, self.take_list, caught_up, config.seed
        )
        self.flight_server = (
            self._flight(operator, most, shared, given.get("flight")) if operator.flight_address else None
        )
        self.given = self._listeners() if legacy else []
        # Two sessions under one identifier would collide: a successor's begins when its elder has ended
        self.bgp = None if legacy else self._bgp()
        self.readiness.watchers.append(self._announce)
        self.admin_server = (
            OpsServer(loop, config.admin_address, self.readiness, self.figures)
            if config.admin_address
            else None
        )
        self.readiness.set_planner_available(any(self.forwarder.planner_connected))
        self.hot_upgrade = HotUpgrade(loop, meeting, self, legacy) if meeting else None
        if legacy:
            self.set_overlapping(True)
            self.turn()  # the list, so that the engines are known
            if legacy.scheduler_state is not None and not self._adopt(legacy.scheduler_state):
                log("handover", "what the elder's module learned cannot be used here")
            self.loop.call_at(self.loop.now() + CATCH_UP, self._begin)
        else:
            self._begin()
        if signals:
            self._signals()

    def _listeners(self) -> list[Listener]:
        return [self.http_server.listener, *([self.flight_server.listener] if self.flight_server else [])]

    def _begin(self) -> None:
        """From here on we take requests."""
        if self.readiness.started:
            return
        for listener in self.given:
            listener.resume()
        self.readiness.start()
        if self.hot_upgrade:
            self.hot_upgrade.announce_ready()

    def _bgp(self) -> BgpSession | None:
        return BgpSession(self.loop, self.operator.bgp) if self.operator.bgp and self.number == 0 else None

    def _remote(self, link: int, address: tuple[str, int]) -> PlannerClient:
        def born() -> None:
            self.forwarder.on_planner_connected(link)
            self.readiness.set_planner_available(True)

        def died() -> None:
            self.avoided.pop(link, None)
            self.forwarder.on_planner_lost(link)
            self.readiness.set_planner_available(any(self.forwarder.planner_connected))

        def act(action: Any) -> None:
            if isinstance(action, EjectedEndpoints):
                self.avoided[link] = action.names
            else:
                self.forwarder.apply(action, link)

        remote = PlannerClient(self.loop, address, act, born, died)
        alone = self.operator.forwarder_count == 1
        tuned = settings_for(self.config, self.operator, link) if alone else None
        self.forwarder.add_planner(remote.notify, False, tuned)
        return remote

    def _announce(self) -> None:
        """Our addresses are announced while we are ready."""
        if self.bgp:
            # While a successor serves behind the same addresses, they stay announced to our end
            follows = self.readiness.stopping and self.hot_upgrade and self.hot_upgrade.successor_ready
            self.bgp.announce(self.readiness.ready or bool(follows))

    def figures(self) -> list[str]:
        avoided = {name for names in self.avoided.values() for name in names}
        if not self.planner_clients:
            avoided |= set(self.planner.ejected_endpoints())
        listed = self.forwarder.endpoints
        ejected = sum(name in listed for name in avoided)
        told = rendered(self.forwarder.counters, self.forwarder.open_request_count, len(listed), ejected)
        return told + (self.statements.figures() if self.statements else [])

    def alarm(self, when: int, call: Any) -> Timer:
        return self.loop.call_at(self.loop.now() + (when - time.time_ns()) / 1e9, call)

    def take_list(self, raw: Any, again: bool = False) -> int:
        """An answer of the journal; `again`: to a call for the event that we hold last, and what follows."""
        try:
            last, changes = changes_of(raw, self.config.zones_and_kinds)
        except EndpointListError as bad:
            raise ValueError(str(bad)) from None
        news = follow(self.position, last, changes, self.newest if again else None)
        self.anew |= news.anomaly == "began-anew"
        targets = self.ends.apply(news.endpoints) if self.anew else news.endpoints
        if news.is_snapshot or targets:
            self.ends.record(targets, news.is_snapshot, self.forwarder.endpoints)
            self.forwarder.update_endpoints(targets, news.is_snapshot)
        self.anew &= not news.is_snapshot
        if news.anomaly:
            log("journal", f"{news.anomaly}: held {self.position}, told to {last}; held now {news.position}")
        self._hold(news.position, changes)
        return self.position

    def _hold(self, position: int, changes: list[EndpointListEvent]) -> None:
        self.position = position
        self.newest = next((c for c in reversed(changes) if c[0] == position), self.newest)

    def turn(self) -> bool:
        """Let the planner decide on what has come; True if there is more at once."""
        try:
            actions = self.planner.decide()
        except Exception as fault:
            log("planner", f"a planner broke and is begun anew: {fault!r}")
            self.planner.restart()
            self.forwarder.on_planner_lost(0)
            self.planner.pending_events.clear()
            self.forwarder.on_planner_connected(0)
            return True
        for action in actions:
            self.forwarder.apply(action)
        return bool(self.planner.pending_events)

    def _flight(
        self, operator: OperatorSettings, most: int, shared: bool, given: socket.socket | None
    ) -> "FlightServer":
        """The second front; what it needs is not even loaded where it is off."""
        from query_gateway.flight.engines import Pool as FlightPool
        from query_gateway.flight.server import Server as FlightServer
        from query_gateway.flight.server import classes_of

        config = self.config
        classes = classes_of(config.classes, config.settings)
        pool = self.flight_pool = FlightPool(self.loop, time.time_ns, config.dial_timeout)
        self.forwarder.engine_clients["flight"] = pool
        pool.update_endpoints(list(self.forwarder.endpoints.values()), True)
        assert operator.flight_address
        names = operator.query_class, operator.update_class
        return FlightServer(
            self.loop, self.forwarder, operator.flight_address, classes, *names, most, self.readiness,
            shared, given,
            self.statements,
        )  # fmt: skip

    def _statements(self, legacy: Any) -> "Statements | None":
        """What reads bare SQL; not even loaded where it is off."""
        reading = self.operator.statements
        if reading is None:
            return None
        from query_gateway.parsing.service import Statements

        safe = safe_classes(self.config)
        statements = Statements(self.loop, reading.rules, safe, reading.parser_count, reading.max_shapes)
        path = reading.snapshot_path
        if path and self.operator.forwarder_count > 1:
            path = f"{path}.{self.number}"
        statements.restore(path, legacy)
        self.forwarder.observer = statements
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
        except ConfigurationError as bad:
            self.forwarder.counters.reloads_rejected += 1
            log("reload", f"the old configuration stays in force: {bad}")
            return
        self.forwarder.counters.reloads_applied += 1
        old = self.config
        fixed = (
            old.name,
            old.listen_address,
            old.admin_address,
            old.max_descriptors,
            old.zones_and_kinds.zones,
            old.zones_and_kinds.kinds,
        )
        now = (
            config.name,
            config.listen_address,
            config.admin_address,
            config.max_descriptors,
            config.zones_and_kinds.zones,
            config.zones_and_kinds.kinds,
        )
        more = "" if now == fixed else "; what it says of name, addresses, sockets and zones needs a restart"
        log("reload", f"journal {config.discovery_address}, classes {' '.join(config.classes)}{more}")
        self.config = replace(
            config,
            name=old.name,
            listen_address=old.listen_address,
            admin_address=old.admin_address,
            zones_and_kinds=old.zones_and_kinds,
        )
        self._limits()
        if config.settings != old.settings or list(config.classes) != list(old.classes):
            self._retune(rules)
        elif self.statements and rules:
            self.statements.update_rules(rules, safe_classes(config))
        self.watch_client.set_address(config.discovery_address)

    def _limits(self) -> None:
        """What of the limits is ours to keep, not the module's."""
        config = self.config
        self.forwarder.max_exchanges = min(config.max_open_requests, MOST_OPEN)
        progress = config.settings.progress_interval / 1e9
        self.engine_pool.update_limits(
            config.streams_per_connection, config.dial_timeout, config.connection_idle_timeout, progress
        )
        if self.flight_pool:
            self.flight_pool.dial_timeout = config.dial_timeout

    def _rules_again(self, config: Configuration) -> "Rules | None":
        """How statements are to be read from now on; the rest of that file needs a restart."""
        if self.statements is None:
            return None
        told = self.operator_again(config).statements
        return told.rules if told else self.statements.classifier.rules

    def _check_usable(self, config: Configuration, rules: "Rules | None") -> None:
        operator, lines = self.operator, self.forwarder.counters.answers
        if operator.forwarder_count > 1 and config.settings != self.config.settings:
            raise ConfigurationError(
                "new settings need one forwarder: several would number the classes apart"
            )
        named = [operator.query_class, operator.update_class] if operator.flight_address else []
        named += [name for name in (rules.lookup, rules.report, rules.load) if name] if rules else []
        for name in named:
            if name not in config.classes:
                raise ConfigurationError(f"the operator's file names class {name!r}, which the settings lack")
        for name in (rules.lookup, rules.report) if rules else ():
            if name not in safe_classes(config):
                raise ConfigurationError(
                    f"statements are read as {name!r}, whose requests could not run twice then"
                )
        if rules and rules.load in safe_classes(config):
            raise ConfigurationError(f"writes run as {rules.load!r}, whose requests could run twice then")
        if len({*lines, *config.classes}) > MOST_LINES:
            raise ConfigurationError(f"the figures have lines for {MOST_LINES} classes; more need a restart")

    def _retune(self, reading: "Rules | None" = None) -> None:
        """Switch fronts, core and module in one step; what is open keeps the rules that it came under."""
        config, old = self.config, self.classes
        held = {e.request.class_index for e in self.forwarder.exchanges.values()}
        held |= {c.index for c in self.http_server.classes.values()}
        numbers = numbered(config.classes, {name: c.index for name, c in old.items()}, held)
        self.classes = {name: replace(told, index=numbers[name]) for name, told in config.classes.items()}
        rules = {numbers[name]: config.settings.classes[told.index] for name, told in config.classes.items()}
        settings = replace(config.settings, classes=laid_out(self.forwarder.settings.classes, rules))
        for name in self.classes:
            self.forwarder.counters.add_class(name)
        self._tell_rules(settings, tuple(n for name, n in numbers.items() if name not in old))
        # Guards requests that cross: a class that was dropped is taken for a while, under its old rules
        if self.statements and reading:
            self.statements.update_rules(reading, self.statements.classifier.safe)
        until = self.loop.now() + CROSSING
        self.leaving |= {name: (told, until) for name, told in old.items()}
        self._cross()
        self.loop.call_at(until, self._cross)

    def _cross(self) -> None:
        """Each class that was dropped has its own time: another reload neither ends nor lengthens it."""
        now = self.loop.now()
        for name in [n for n, (_, until) in self.leaving.items() if until <= now or n in self.classes]:
            del self.leaving[name]
        self._fronts({name: told for name, (told, _) in self.leaving.items()} | self.classes)

    def _tell_rules(self, settings: Settings, fresh: tuple[int, ...] = ()) -> None:
        told = replace(self.config, settings=settings)
        tuned = [
            settings_for(told, self.operator, link) for link in range(len(self.forwarder.notify_planners))
        ]
        self.forwarder.update_settings(
            settings, [replace(t, slow_start_share=self.share) for t in tuned], fresh
        )

    def _fronts(self, classes: RequestClasses) -> None:
        self.http_server.classes = classes
        if self.statements:
            rules = self.forwarder.settings.classes
            safe = {
                name
                for name, told in classes.items()
                if rules[told.index].idempotency is Idempotency.IDEMPOTENT
            }
            self.statements.update_rules(self.statements.classifier.rules, safe)
        if self.flight_server:
            from query_gateway.flight.server import classes_of

            self.flight_server.classes = classes_of(classes, self.forwarder.settings)

    def drain(self) -> None:
        if self.readiness.stopping:
            return
        log("stop", f"told to stop with {self.forwarder.open_request_count} requests open")
        self.readiness.stop()  # addresses withdrawn: clients go elsewhere first; what still comes is served
        followed = bool(self.hot_upgrade and self.hot_upgrade.successor)
        longest = max(c.timeout for c in self.config.settings.classes) / 1e9  # a dropped class counts no more
        most = min(longest, ELDER_AT if followed else KILLED_AT) + GIVEN_UP
        self.loop.call_at(self.loop.now() + most, self._give_up)
        self.last_call = self.loop.now() + ACCEPTING
        if followed:
            self._hand_on()
        else:
            self.loop.call_at(self.last_call, self._close)

    # ---- the handover, from either side

    def offer(self) -> tuple[dict[str, Any], list[socket.socket]]:
        fronts = {"web": self.http_server.listener.socket}
        if self.flight_server:
            fronts["flight"] = self.flight_server.listener.socket
        numbers = {name: told.index for name, told in self.classes.items()}
        known = export_state(self.planner.scheduler, numbers)
        told = {"fronts": list(fronts), "learned": known}
        if self.statements:
            told["statements"] = self.statements.classifier.costs.snapshot(most=256)
        return told, list(fronts.values())

    def _adopt(self, raw: Any) -> bool:
        return restore_state(
            self.planner.scheduler, {name: told.index for name, told in self.classes.items()}, raw
        )

    def set_overlapping(self, on: bool) -> None:
        """Two processes of one gateway share descriptors and what a cold engine may be sent."""
        self.http_server.max_connections = max(1, int(self.most * (PAIR_SHARE if on else 1.0)))
        if self.flight_server:
            self.flight_server.max_connections = self.http_server.max_connections
        if on:
            return
        self._take_share(1.0, True)
        if not self.readiness.started:
            self._begin()
        if self.readiness.stopping:
            # Guards who still comes: with nobody to follow it is a plain stop again, to the same time
            self.http_server.transfer = None
            for listener in self._listeners():
                listener.resume()
            self.loop.call_at(self.last_call, self._close)
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
                self._tell_rules(self.forwarder.settings)

        wait = self.forwarder.settings.cold_overload_window / 1e9 if settled else 0.0
        self.loop.call_at(self.loop.now() + wait, take)

    def on_predecessor_leaving(self) -> None:
        self._take_share(1.0 - REST_SHARE, True)

    def receive_connection(self, sock: socket.socket, peer: str, asked: bool) -> None:
        self.http_server.take(sock, peer, asked)

    def on_successor_ready(self) -> None:
        self._take_share(PAIR_SHARE)
        if self.readiness.stopping:
            self._hand_on()

    def _hand_on(self) -> None:
        """Accept nothing more; what is open is answered here, what rests goes on with the successor."""
        assert self.hot_upgrade
        for listener in self._listeners():
            # Guards who waits to be accepted: while the successor may yet die, nobody else could take them
            if self.hot_upgrade.successor_ready:
                listener.release()
            else:
                listener.pause()
        if not self.hot_upgrade.successor_ready:
            return
        self._take_share(REST_SHARE)
        self.hot_upgrade.notify_leaving()
        self.http_server.start_transfer(self.hot_upgrade.transfer)
        if self.flight_server:
            self.flight_server.close()
        self._leave_when_done()

    def _give_up(self) -> None:
        """Guards clients of what is still open: they hear of it before we are killed, and may ask again."""
        self.given_up = self.http_server.refuses = True
        for exchange in list(self.forwarder.exchanges.values()):
            exchange.end_without_planner()
        if not (self.hot_upgrade and self.hot_upgrade.successor_ready):
            self._close()  # a successor that never said yes: who waits to be accepted hears it from us

    def _close(self) -> None:
        if self.hot_upgrade and self.hot_upgrade.successor and not self.given_up:  # it came meanwhile
            return self._hand_on()
        self.http_server.close()
        if self.flight_server:
            self.flight_server.close()
        if self.bgp:
            self.bgp.stop()
        self._leave_when_done()

    def _leave_when_done(self) -> None:
        if self._leave not in self.loop.turn_hooks:
            self.loop.turn_hooks.append(self._leave)

    def _leave(self) -> bool:
        """Leave once all that was taken is answered and the answers are read."""
        fronts = self.http_server.is_idle and (not self.flight_server or self.flight_server.is_idle)
        if not self.forwarder.exchanges and fronts:
            if self.bgp:
                self.bgp.stop()
            if not self.bgp or self.bgp.quiet:
                self.loop.stop()
        return False

    def run(self) -> None:
        host, port = self.http_server.listener.address
        log("start", f"{self.config.name} listens on {host}:{port}")
        self.loop.run()
        if self.hot_upgrade:
            self.hot_upgrade.close()
        self.watch_client.stop()
        if self.statements:
            self.statements.stop()
        for remote in self.planner_clients:
            remote.stop()
        told = ", ".join(f"{self.forwarder.counters.total(v)} {v.value}" for v in Verdict)
        log("stop", f"all answered: {told}")
