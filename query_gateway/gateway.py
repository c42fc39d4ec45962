"""The composition root: builds and connects the parts of one gateway, which other modules implement."""

import signal
from typing import TYPE_CHECKING

from query_gateway.admin.gateway_figures import FigureSources, GatewayFigures
from query_gateway.admin.server import AdminServer
from query_gateway.composition import (
    FrontOptions,
    GatewayOptions,
    SharedParts,
    build_engine_pool,
    build_flight_pool,
    build_flight_server,
    build_forwarder,
    build_http_server,
    build_planner_links,
    build_statements,
)
from query_gateway.configuration.operator_file import OperatorSettings
from query_gateway.configuration.platform import Configuration
from query_gateway.discovery.endpoint_feed import EndpointFeed
from query_gateway.discovery.start_times import StartTimes
from query_gateway.discovery.watch_client import EndpointWatchClient, WatchCallbacks
from query_gateway.forwarder.messages import Verdict
from query_gateway.forwarder.readiness import Readiness
from query_gateway.lifecycle.active_configuration import ActiveConfiguration
from query_gateway.lifecycle.client_fronts import ClientFronts
from query_gateway.lifecycle.descriptor_reclaim import DescriptorReclaim
from query_gateway.lifecycle.hot_upgrade import HotUpgrade
from query_gateway.lifecycle.overlap import Overlap, OverlapParts
from query_gateway.lifecycle.planner_settings import PlannerSettingsPublisher
from query_gateway.lifecycle.reload import ConfigurationReload, ReloadParts
from query_gateway.lifecycle.request_classes import RequestClassRegistry
from query_gateway.lifecycle.route_announcer import RouteAnnouncer
from query_gateway.lifecycle.shutdown import Shutdown, ShutdownParts
from query_gateway.lifecycle.slow_start_share import FULL_SHARE, OVERLAP_SHARE, SlowStartShare
from query_gateway.lifecycle.startup import Startup
from query_gateway.net.log import log
from query_gateway.net.loop import Loop
from query_gateway.net.receive_budget import limit_for_memory, resident_bytes
from query_gateway.net.steady_clock import steady_now_ns, wall_clock_offset_ns
from query_gateway.planner.planner import Planner

if TYPE_CHECKING:
    from query_gateway.flight.server import FlightServer

ANNOUNCING_FORWARDER_INDEX = 0  # of several forwarders, the one that runs the BGP session


class Gateway:
    """A forwarder with a planner in the same process, or one forwarder that uses planner processes.

    Owns the loop and every part. Parts are built in the order of their dependencies: engine clients, planners
    and the endpoint list; then the fronts; then the lifecycle, which starts to accept clients.
    """

    def __init__(
        self,
        config: Configuration,
        operator: OperatorSettings,
        signals: bool = True,
        options: GatewayOptions | None = None,
    ) -> None:
        """Listen; `run` accepts clients. Raises OSError if an address is in use.

        `signals`: whether to handle SIGTERM, SIGINT and SIGHUP, which is possible only in the main thread.
        """
        self.options = options or GatewayOptions()
        self.active = ActiveConfiguration(config, operator, config.classes)
        self.loop, self.readiness = Loop(), Readiness()
        path = self.options.upgrade_path
        self.hot_upgrade = HotUpgrade(self.loop, path) if path else None
        self.startup = Startup(self.loop, self.readiness, self.hot_upgrade)
        self.forwarder = build_forwarder(self.loop, self.active)
        parts = SharedParts(self.loop, self.readiness, self.forwarder, self.active, self.options)
        self._build_engine_pool_and_planners(parts)
        self._build_fronts(parts, signals)
        self._build_announcer_and_admin_server()
        self._build_lifecycle()
        # Last, as clients may use what the parts above have left of the memory
        self.loop.receive_budget.limit_bytes = limit_for_memory(
            config.memory_mb, resident_bytes(), self.max_connections * len(self.fronts.listeners)
        )
        self._start()
        if signals:
            self._handle_signals()

    # ---- building the parts, in this order

    def _build_engine_pool_and_planners(self, parts: SharedParts) -> None:
        self.engine_pool = build_engine_pool(parts)
        share = OVERLAP_SHARE if self.options.inherited else FULL_SHARE
        self.settings_publisher = PlannerSettingsPublisher(self.forwarder, self.active, share)
        self.planner_links = build_planner_links(parts, share)
        # The planners are notified of the endpoint list before the fronts accept requests: a request accepted
        # before that would find no engine and wait in the scheduler's queue
        config = self.active.config
        start_times = StartTimes(steady_now_ns, wall_clock_offset_ns)
        self.endpoint_feed = EndpointFeed(self.forwarder, config.zones_and_kinds, start_times)
        self.endpoint_feed.apply_initial_list(config.initial_endpoints)

    def _build_fronts(self, parts: SharedParts, handles_signals: bool) -> None:
        config = self.active.config
        self.statements = build_statements(parts)
        front_options = FrontOptions.of(parts, handles_signals, self.statements)
        self.max_connections = front_options.max_connections
        self.http_server = build_http_server(parts, front_options)
        self.watch_client = EndpointWatchClient(
            self.loop,
            config.discovery_address,
            self.endpoint_feed.position,
            WatchCallbacks(
                self.endpoint_feed.apply_answer, self.startup.begin if self.options.inherited else None
            ),
            config.seed,
        )
        self.flight_pool = build_flight_pool(parts)
        self.flight_server: FlightServer | None = build_flight_server(parts, front_options)
        self.fronts = ClientFronts(self.forwarder, self.http_server, self.flight_server, self.statements)
        reclaim = DescriptorReclaim(self.engine_pool, self.http_server)
        for listener in self.fronts.listeners:
            listener.on_descriptors_exhausted = reclaim.reclaim

    def _build_announcer_and_admin_server(self) -> None:
        config, operator = self.active.config, self.active.operator
        bgp = operator.bgp if self.options.forwarder_index == ANNOUNCING_FORWARDER_INDEX else None
        self.announcer = RouteAnnouncer(self.loop, bgp, self.readiness, self.hot_upgrade)
        # Two BGP sessions with the same identifier collide and the router drops both, so a successor starts
        # its session only after its predecessor has ended
        if not self.options.inherited:
            self.announcer.start()
        self.readiness.watchers.append(self.announcer.update)
        figure_sources = FigureSources(
            self.loop, self.forwarder, self.watch_client, self.planner_links.ejected_endpoints,
            self.statements, self.fronts.listeners,
        )  # fmt: skip
        self.gateway_figures = GatewayFigures(figure_sources)
        self.admin_server = (
            AdminServer(self.loop, config.admin_address, self.readiness, self.gateway_figures.lines)
            if config.admin_address
            else None
        )
        self.planner_links.update_readiness()

    def _build_lifecycle(self) -> None:
        registry = RequestClassRegistry(
            self.loop, self.forwarder, self.fronts, self.settings_publisher, self.active
        )
        reload_parts = ReloadParts(
            self.forwarder, self.fronts, registry, self.watch_client, self.engine_pool, self.flight_pool,
            self.active,
        )  # fmt: skip
        self.configuration_reload = ConfigurationReload(reload_parts, self.options.sources)
        share = SlowStartShare(self.loop, self.settings_publisher)
        shutdown_parts = ShutdownParts(
            self.loop, self.readiness, self.forwarder, self.fronts, self.announcer, share, self.active,
            self.hot_upgrade,
        )  # fmt: skip
        self.shutdown = Shutdown(shutdown_parts)
        overlap_parts = OverlapParts(
            self.forwarder, self.fronts, self.planner_links, self.active, share, self.startup, self.shutdown,
            self.announcer,
        )  # fmt: skip
        self.overlap = Overlap(overlap_parts, self.max_connections)
        if self.hot_upgrade:
            self.hot_upgrade.start(self.overlap, self.options.inherited)

    def _start(self) -> None:
        if inherited := self.options.inherited:
            self.overlap.start_as_successor(inherited)
        else:
            self.startup.begin()

    def _handle_signals(self) -> None:
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, lambda *_: self._on_stop_signal())
        signal.signal(signal.SIGHUP, lambda *_: self.loop.call_soon(self.reload))

    def _on_stop_signal(self) -> None:
        signalled_at = self.loop.now()
        self.loop.call_soon(lambda: self.shutdown.begin(signalled_at))

    # ---- the interface of a running gateway

    @property
    def config(self) -> Configuration:
        """The active configuration."""
        return self.active.config

    @property
    def planner(self) -> Planner:
        """The planner in this process. Raises AttributeError if the planners are separate processes."""
        return self.planner_links.planner

    def reload(self) -> None:
        """Reload the configuration, as at SIGHUP."""
        self.configuration_reload.reload()

    def begin_shutdown(self) -> None:
        """Shut down gracefully, as at SIGTERM; `run` returns when all requests are answered."""
        self.shutdown.begin(self.loop.now())

    def run(self) -> None:
        """Serve until a shutdown has finished, then release resources that would outlive the process."""
        host, port = self.http_server.listener.address
        log("start", f"{self.config.name} listens on {host}:{port}")
        self.loop.run()
        self._close()
        counters = self.forwarder.counters
        totals = ", ".join(f"{counters.total(verdict)} {verdict.value}" for verdict in Verdict)
        log("shutdown", f"all requests answered: {totals}")

    def _close(self) -> None:
        if self.hot_upgrade:
            self.hot_upgrade.close()
        self.watch_client.stop()
        if self.statements:
            self.statements.stop()
        self.planner_links.stop()
