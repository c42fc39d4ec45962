"""Builds the parts of a gateway from its configuration; `gateway.py` connects them."""

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


HTTP_WIRE, FLIGHT_WIRE = "web", "flight"  # names of the engine protocols in exchanges and endpoints


@dataclass(slots=True, frozen=True)
class GatewayOptions:
    """Options that depend on how the process was started, not on its configuration."""

    forwarder_index: int = 0  # of this process among several forwarders
    upgrade_path: str | None = None  # of the hot upgrade socket; None: no upgrade is possible
    inherited: InheritedState | None = None  # from a predecessor that is still running
    sources: ConfigurationSources = field(default_factory=ConfigurationSources)


@dataclass(slots=True, frozen=True)
class SharedParts:
    """The objects that most parts use."""

    loop: Loop
    readiness: Readiness
    forwarder: Forwarder
    active: ActiveConfiguration
    options: GatewayOptions


@dataclass(slots=True, frozen=True)
class FrontOptions:
    """The options that both fronts share."""

    max_connections: int
    shares_port: bool  # with other processes that listen at the same address
    inherited_listeners: dict[str, socket.socket]  # by front
    statements: "StatementService | None"

    @staticmethod
    def of(
        parts: SharedParts, handles_signals: bool, statements: "StatementService | None"
    ) -> "FrontOptions":
        """Derive the options; `handles_signals` is True only if the process runs nothing but this gateway."""
        active, options = parts.active, parts.options
        # A successor that cannot inherit the listeners must be able to bind the same addresses
        successor_must_bind = (
            handles_signals and options.upgrade_path is None and not active.operator.planner_addresses
        )
        return FrontOptions(
            max_connections_per_front(active.config, active.operator),
            active.operator.forwarder_count > 1 or successor_must_bind,
            options.inherited.listeners if options.inherited else {},
            statements,
        )


def steady_clock_scheduler(loop: Loop) -> Callable[[int, Callable[[], None]], Timer]:
    """Return a function that schedules a callback at a steady clock time in nanoseconds."""

    def call_at(clock_time: int, callback: Callable[[], None]) -> Timer:
        """Call `callback` once at the steady clock time `clock_time`; the timer can be cancelled."""
        return loop.call_at(loop_time_of(clock_time), callback)

    return call_at


class ClockWatermark:
    """The loop's arrival watermark (`net.arrival_watermark`), converted to the forwarder's clock."""

    def __init__(self, loop: Loop) -> None:
        """Use the watermark of `loop`."""
        self.loop = loop

    @property
    def read_through(self) -> int:
        """The clock time up to which all arrived requests have been read."""
        return clock_time_of(self.loop.watermark.read_through)

    def await_progress(self, is_awaited: bool) -> None:
        """Keep the loop turning without sleeping while the watermark is awaited and can advance."""
        self.loop.watermark.is_awaited = is_awaited
        if is_awaited and not self.loop.watermark.is_blocked:
            self.release_soon()

    def release_soon(self) -> None:
        """Have the hooks run again after this turn without a sleep."""
        self.loop.call_at(self.loop.now(), lambda: None)


def _add_arrival_order_hook(loop: Loop, forwarder: Forwarder) -> None:
    """Release requests held for arrival order at the end of each turn, before a local planner decides."""
    order = forwarder.keep_arrival_order(ClockWatermark(loop))

    def release() -> bool:
        """Turn hook; returns False, as there is no further work in the same turn."""
        order.release()
        return False

    loop.turn_hooks.append(release)


def build_forwarder(loop: Loop, active: ActiveConfiguration) -> Forwarder:
    """Build the forwarder, with counters for every class."""
    config = active.config
    # A planner process outlives its forwarders. If the request ids of each forwarder started at the same
    # value, the planner would confuse a new request with an old one of the same id. They start at the time of
    # the steady clock, which never goes back.
    first_request_id = steady_now_ns()
    forwarder = Forwarder(
        config.settings, steady_now_ns, steady_clock_scheduler(loop), max_exchanges(config), first_request_id
    )
    _add_arrival_order_hook(loop, forwarder)
    forwarder.slow_start_budgets.process_count = active.operator.forwarder_count
    forwarder.invariants.on_violation = lambda invariant, details: log(
        "invariant", f"{invariant.value} is violated: {details}"
    )
    forwarder.context.request_trace = open_request_trace(os.environ)
    for name in config.classes:
        forwarder.counters.add_class(name)
    return forwarder


def build_engine_pool(parts: SharedParts) -> ConnectionPool:
    """Build the connection pool for engines over the line protocol, which the HTTP front uses."""
    config = parts.active.config
    pool = ConnectionPool(parts.loop, steady_now_ns, connection_limits(config))
    parts.forwarder.engine_clients[HTTP_WIRE] = pool
    return pool


def build_planner_links(parts: SharedParts, slow_start_share: float) -> PlannerLinks:
    """Build the link to one local planner, or to each planner process."""
    config, operator = parts.active.config, parts.active.operator
    links = PlannerLinks(parts.loop, parts.forwarder, parts.readiness)
    # Planners that several forwarders share read their settings themselves, and no forwarder sends any
    is_only_forwarder = operator.forwarder_count == 1
    for planner_index, address in enumerate(operator.planner_addresses):
        settings = planner_settings(config, operator, planner_index)
        links.add_remote(address, settings if is_only_forwarder else None)
    if not operator.planner_addresses:
        settings = replace(planner_settings(config, operator), slow_start_share=slow_start_share)
        links.add_local(Planner(settings, config.seed, steady_now_ns, steady_clock_scheduler(parts.loop)))
    return links


def build_statements(parts: SharedParts) -> "StatementService | None":
    """Build the statement service, which is imported only if it is enabled."""
    operator, inherited = parts.active.operator, parts.options.inherited
    settings = operator.statements
    if settings is None:
        return None
    from query_gateway.parsing.service import StatementService

    idempotent = idempotent_classes(parts.active.config)
    statements = StatementService(
        parts.loop, settings.rules, idempotent, settings.parser_count, settings.max_shapes
    )
    path = settings.snapshot_path
    if path and operator.forwarder_count > 1:
        path = f"{path}.{parts.options.forwarder_index}"
    statements.restore(path, inherited.statement_costs if inherited else None)
    parts.forwarder.context.observer = statements
    return statements


def build_http_server(parts: SharedParts, options: FrontOptions) -> HttpServer:
    """Build the HTTP front, which classifies statements only if the operator's file enables it."""
    config, settings = parts.active.config, parts.active.operator.statements
    server_options = HttpServerOptions(
        address=config.listen_address,
        classes=config.classes,
        max_connections=options.max_connections,
        readiness=parts.readiness,
        shared=options.shares_port,
        inherited_socket=options.inherited_listeners.get(HTTP_FRONT),
        statements=options.statements if settings and settings.covers_http else None,
    )
    return HttpServer(parts.loop, parts.forwarder, server_options)


def build_flight_pool(parts: SharedParts) -> "FlightConnectionPool | None":
    """Build the connection pool for engines over Flight, which is imported only if it is enabled."""
    if not parts.active.operator.flight_address:
        return None
    from query_gateway.flight.engines import FlightConnectionPool

    pool = FlightConnectionPool(parts.loop, steady_now_ns, parts.active.config.dial_timeout)
    parts.forwarder.engine_clients[FLIGHT_WIRE] = pool
    pool.update_endpoints(list(parts.forwarder.endpoints.values()), True)
    return pool


def build_flight_server(parts: SharedParts, options: FrontOptions) -> "FlightServer | None":
    """Build the Flight SQL front, which is imported only if it is enabled."""
    config, operator = parts.active.config, parts.active.operator
    if not operator.flight_address:
        return None
    from query_gateway.flight.server import FlightServer, FlightServerSettings

    settings = FlightServerSettings(
        address=operator.flight_address,
        classes=config.classes,
        query_class=operator.query_class,
        update_class=operator.update_class,
        max_connections=options.max_connections,
        shares_port=options.shares_port,
        inherited_socket=options.inherited_listeners.get(FLIGHT_FRONT),
    )
    return FlightServer(parts.loop, parts.forwarder, parts.readiness, settings, options.statements)
