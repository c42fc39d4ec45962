"""Builds the parts of a gateway that depend on much of the configuration; `gateway.py` joins them."""

import os
import socket
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from query_gateway.configuration.platform import idempotent_classes
from query_gateway.engine_protocol.pool import ConnectionPool
from query_gateway.forwarder.forwarder import Forwarder
from query_gateway.forwarder.readiness import Readiness
from query_gateway.http.server import HttpServer, HttpServerOptions
from query_gateway.lifecycle.active_configuration import (
    ActiveConfiguration,
    connection_limits,
    max_exchanges,
)
from query_gateway.lifecycle.client_fronts import max_connections_per_front
from query_gateway.lifecycle.inherited_state import InheritedState
from query_gateway.lifecycle.planner_links import PlannerLinks
from query_gateway.lifecycle.planner_settings import planner_settings
from query_gateway.lifecycle.reload import ConfigurationSources
from query_gateway.lifecycle.request_trace import open_request_trace
from query_gateway.lifecycle.upgrade_messages import FLIGHT_FRONT, HTTP_FRONT
from query_gateway.net.log import log
from query_gateway.net.loop import Loop, Timer
from query_gateway.net.steady_clock import clock_time_of, loop_time_of, steady_now_ns
from query_gateway.planner.planner import Planner

if TYPE_CHECKING:
    from query_gateway.flight.engines import FlightConnectionPool
    from query_gateway.flight.server import FlightServer
    from query_gateway.parsing.service import StatementService


HTTP_WIRE, FLIGHT_WIRE = "web", "flight"  # as exchanges and endpoints name the wires to the engines


@dataclass(slots=True, frozen=True)
class GatewayOptions:
    """What follows from how the process was started, rather than from its configuration."""

    number: int = 0  # of this forwarder, where there are several
    upgrade_path: str | None = None  # of the hot upgrade's socket; None: no upgrade is possible
    inherited: InheritedState | None = None  # from a predecessor that still serves
    sources: ConfigurationSources = field(default_factory=ConfigurationSources)


@dataclass(slots=True, frozen=True)
class Core:
    """What nearly every part uses."""

    loop: Loop
    readiness: Readiness
    forwarder: Forwarder
    active: ActiveConfiguration
    options: GatewayOptions


@dataclass(slots=True, frozen=True)
class FrontOptions:
    """What both fronts have in common."""

    max_connections: int
    shares_port: bool  # with other processes, which listen at the same address
    inherited_listeners: dict[str, socket.socket]  # by front
    statements: "StatementService | None"

    @staticmethod
    def of(core: Core, takes_signals: bool, statements: "StatementService | None") -> "FrontOptions":
        """Derive them from the configuration; `takes_signals`: whether the gateway is a complete process."""
        active, options = core.active, core.options
        # A successor that cannot inherit our listeners must be able to listen at the same address
        is_alone = takes_signals and options.upgrade_path is None and not active.operator.planner_addresses
        return FrontOptions(
            max_connections_per_front(active.config, active.operator),
            active.operator.forwarder_count > 1 or is_alone,
            options.inherited.listeners if options.inherited else {},
            statements,
        )


def clock_alarm(loop: Loop) -> Callable[[int, Callable[[], None]], Timer]:
    """A function that calls at a time of the steady clock, in nanoseconds."""

    def call_at(clock_time: int, callback: Callable[[], None]) -> Timer:
        """Call once, at `clock_time` of the steady clock; the timer can be cancelled."""
        return loop.call_at(loop_time_of(clock_time), callback)

    return call_at


class ClockWatermark:
    """The loop's watermark in the forwarder's clock."""

    def __init__(self, loop: Loop) -> None:
        """Nobody awaits it yet."""
        self.loop = loop

    @property
    def read_through(self) -> int:
        """Every request that came before this clock time is known."""
        return clock_time_of(self.loop.watermark.read_through)

    def await_progress(self, is_awaited: bool) -> None:
        """Have the loop turn on without a sleep while the watermark can move and somebody waits for it."""
        self.loop.watermark.is_awaited = is_awaited
        if is_awaited and not self.loop.watermark.is_blocked:
            self.loop.call_at(self.loop.now(), lambda: None)


def _keep_arrival_order(loop: Loop, forwarder: Forwarder) -> None:
    """Release what waits at the end of each turn, before a planner in this process decides."""
    order = forwarder.keep_arrival_order(ClockWatermark(loop))

    def release() -> bool:
        """Run as a hook of the loop; nothing more is to be done in the same turn."""
        order.release()
        return False

    loop.turn_hooks.append(release)


def build_forwarder(loop: Loop, active: ActiveConfiguration) -> Forwarder:
    """The table of exchanges, with a line of figures for each class."""
    config = active.config
    # A planner process outlives its forwarders. If the ids began anew with each forwarder, it would take a
    # new request for an old one of the same id; the steady clock only goes forward.
    first_request_id = steady_now_ns()
    forwarder = Forwarder(
        config.settings, steady_now_ns, clock_alarm(loop), max_exchanges(config), first_request_id
    )
    _keep_arrival_order(loop, forwarder)
    forwarder.slow_start_budgets.process_count = active.operator.forwarder_count
    forwarder.invariants.on_violation = lambda invariant, details: log(
        "invariant", f"{invariant.value} is violated: {details}"
    )
    forwarder.context.request_trace = open_request_trace(os.environ)
    for name in config.classes:
        forwarder.counters.add_class(name)
    return forwarder


def build_engine_pool(core: Core) -> ConnectionPool:
    """The connections to engines on the platform's wire."""
    config = core.active.config
    pool = ConnectionPool(core.loop, steady_now_ns, connection_limits(config))
    core.forwarder.engine_clients[HTTP_WIRE] = pool
    return pool


def build_planner_links(core: Core, slow_start_share: float) -> PlannerLinks:
    """One planner in this process, or a connection to each planner process."""
    config, operator = core.active.config, core.active.operator
    links = PlannerLinks(core.loop, core.forwarder, core.readiness)
    # Several forwarders share their planners: a planner reads its settings itself, and none of them sends any
    is_only_forwarder = operator.forwarder_count == 1
    for planner_index, address in enumerate(operator.planner_addresses):
        settings = planner_settings(config, operator, planner_index)
        links.add_remote(address, settings if is_only_forwarder else None)
    if not operator.planner_addresses:
        settings = replace(planner_settings(config, operator), slow_start_share=slow_start_share)
        links.add_local(Planner(settings, config.seed, steady_now_ns, clock_alarm(core.loop)))
    return links


def build_statements(core: Core) -> "StatementService | None":
    """The statement service; not even imported where it is off."""
    operator, inherited = core.active.operator, core.options.inherited
    settings = operator.statements
    if settings is None:
        return None
    from query_gateway.parsing.service import StatementService

    idempotent = idempotent_classes(core.active.config)
    statements = StatementService(
        core.loop, settings.rules, idempotent, settings.parser_count, settings.max_shapes
    )
    path = settings.snapshot_path
    if path and operator.forwarder_count > 1:
        path = f"{path}.{core.options.number}"
    statements.restore(path, inherited.statement_costs if inherited else None)
    core.forwarder.context.observer = statements
    return statements


def build_http_server(core: Core, options: FrontOptions) -> HttpServer:
    """The HTTP front; it classifies statements only where the operator's file says so."""
    config, settings = core.active.config, core.active.operator.statements
    server_options = HttpServerOptions(
        address=config.listen_address,
        classes=config.classes,
        max_connections=options.max_connections,
        readiness=core.readiness,
        shared=options.shares_port,
        inherited_socket=options.inherited_listeners.get(HTTP_FRONT),
        statements=options.statements if settings and settings.covers_http else None,
    )
    return HttpServer(core.loop, core.forwarder, server_options)


def build_flight_pool(core: Core) -> "FlightConnectionPool | None":
    """The connections to engines on the Flight wire; not even imported where it is off."""
    if not core.active.operator.flight_address:
        return None
    from query_gateway.flight.engines import FlightConnectionPool

    pool = FlightConnectionPool(core.loop, steady_now_ns, core.active.config.dial_timeout)
    core.forwarder.engine_clients[FLIGHT_WIRE] = pool
    pool.update_endpoints(list(core.forwarder.endpoints.values()), True)
    return pool


def build_flight_server(core: Core, options: FrontOptions) -> "FlightServer | None":
    """The Flight SQL front; not even imported where it is off."""
    config, operator = core.active.config, core.active.operator
    if not operator.flight_address:
        return None
    from query_gateway.flight.requests import build_flight_classes
    from query_gateway.flight.server import FlightServer, FlightServerSettings

    settings = FlightServerSettings(
        address=operator.flight_address,
        classes=build_flight_classes(config.classes, config.settings),
        query_class=operator.query_class,
        update_class=operator.update_class,
        max_connections=options.max_connections,
        shares_port=options.shares_port,
        inherited_socket=options.inherited_listeners.get(FLIGHT_FRONT),
    )
    return FlightServer(core.loop, core.forwarder, core.readiness, settings, options.statements)
