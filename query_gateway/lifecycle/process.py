"""The entry of a process: reads the configuration, starts this process's part, and runs it to its end."""

import contextlib
import gc
import os
import signal
import socket
import sys
from typing import NoReturn

from query_gateway.composition import GatewayOptions
from query_gateway.configuration.operator_file import OperatorSettings, read_operator_settings
from query_gateway.configuration.platform import Configuration, ConfigurationError, read_configuration
from query_gateway.gateway import Gateway
from query_gateway.lifecycle.planner_settings import planner_settings
from query_gateway.lifecycle.upgrade_socket import (
    claim,
    is_served,
    request_inherited_state,
    upgrade_socket_path,
)
from query_gateway.net.log import log

EXIT_CANNOT_START = 2
PART_VARIABLE = "QUERY_GATEWAY_PART"  # what the supervisor names: "planner N" or "forwarder N"


def serve() -> None:
    """Start and end the process; whatever keeps it from starting is one plain line and code 2."""
    try:
        sys.exit(start(os.environ.get(PART_VARIABLE, "")))
    except ConfigurationError as error:
        _exit_with(f"query-gateway: configuration: {error}")
    except OSError as error:
        _exit_with(f"query-gateway: cannot listen: {error.strerror}")


def _exit_with(line: str) -> NoReturn:
    """End the start with one line, even where that line cannot be written."""
    with contextlib.suppress(OSError):
        print(line, file=sys.stderr, flush=True)
    sys.exit(EXIT_CANNOT_START)


def start(part: str) -> int:
    """Run this process's part, all of it if `part` is empty, and return its exit code."""
    hangups: list[int] = []
    # Before the configuration is read: a SIGHUP meanwhile means that what is read may be old already
    signal.signal(signal.SIGHUP, lambda *_: hangups.append(1))
    config = read_configuration(os.environ)
    operator = read_operator_settings(os.environ, config)
    kind, _, number = part.partition(" ")
    if operator.planner_addresses and not part:
        return _run_supervisor(config, operator)
    if kind == "planner":
        return _run_planner(config, operator, int(number))
    return _run_gateway(config, operator, part, hangups)


def _run_supervisor(config: Configuration, operator: OperatorSettings) -> int:
    from query_gateway.planner.supervisor import Supervisor

    path = upgrade_socket_path(os.environ, config.listen_address)
    if path and is_served(path):
        raise ConfigurationError(
            "a gateway serves here, and several processes cannot follow it; stop it first"
        )
    claimed = _claim(path) if path else None  # stays claimed until this process ends
    code = Supervisor(len(operator.planner_addresses), operator.forwarder_count).run()
    if claimed:
        claimed.close()
    return code


def _claim(path: str) -> socket.socket | None:
    """Claim the place of upgrades; where its folder fails the gateway starts all the same."""
    try:
        return claim(path)
    except OSError as error:
        log("upgrade", f"cannot keep other gateways from this address: {error.strerror}")
        return None


def _run_planner(config: Configuration, operator: OperatorSettings, planner_index: int) -> int:
    from query_gateway.planner.process import PlannerProcess
    from query_gateway.planner.supervisor import stop_with_supervisor

    process = PlannerProcess(
        planner_settings(config, operator, planner_index),
        config.seed + planner_index,
        operator.planner_addresses[planner_index],
    )
    stop_with_supervisor(process.loop, process.loop.stop)
    process.run()
    return 0


def _run_gateway(config: Configuration, operator: OperatorSettings, part: str, hangups: list[int]) -> int:
    number = int(part.partition(" ")[2] or 0)
    # One of several processes cannot be upgraded
    path = None if part else upgrade_socket_path(os.environ, config.listen_address)
    # Before our listeners are made: what a predecessor listens at is taken over, not bound again
    inherited = request_inherited_state(path) if path else None
    options = GatewayOptions(number=number, upgrade_path=path, inherited=inherited)
    gateway = Gateway(config, operator, options=options)
    if part:
        from query_gateway.planner.supervisor import stop_with_supervisor

        stop_with_supervisor(gateway.loop, gateway.begin_shutdown)
    if hangups:
        gateway.loop.call_soon(gateway.reload)
    gc.freeze()  # what the start made stays; later collections pass it over
    gateway.run()
    return 0
