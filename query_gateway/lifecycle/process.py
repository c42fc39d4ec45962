"""The process entry point: reads the configuration, and builds and runs this process's part.

    process                                           part
    not a worker, no [processes] in operator's file   the whole gateway, possibly as a successor
    not a worker, [processes]                         the supervisor of worker processes
    a worker process started by the supervisor        one planner or one forwarder

A failed start prints one line and exits with code 2.
"""

import contextlib
import gc
import os
import signal
import socket
import sys
from typing import NoReturn

from query_gateway.composition import GatewayOptions
from query_gateway.configuration.errors import ConfigurationError, ContradictionError
from query_gateway.configuration.operator_file import OperatorSettings, read_operator_settings
from query_gateway.configuration.platform import Configuration, read_configuration
from query_gateway.gateway import Gateway
from query_gateway.lifecycle.inherited_state import request_inherited_state
from query_gateway.lifecycle.planner_settings import planner_settings
from query_gateway.lifecycle.upgrade_socket import is_served, reserve_path, upgrade_socket_path
from query_gateway.net.log import log
from query_gateway.planner.process_part import (
    PROCESS_PART_VARIABLE,
    ProcessKind,
    ProcessPart,
    parse_process_part,
)

EXIT_CANNOT_START = 2


def serve() -> None:
    """Run the process and exit with its code; a failed start prints one line and exits with code 2."""
    try:
        sys.exit(start(os.environ.get(PROCESS_PART_VARIABLE, "")))
    except ConfigurationError as error:
        _exit_with_error(f"query-gateway: configuration: {error}")
    except OSError as error:
        _exit_with_error(f"query-gateway: cannot listen: {error.strerror}")


def _exit_with_error(line: str) -> NoReturn:
    """Print an error line and exit; exits also if the line cannot be written."""
    with contextlib.suppress(OSError):
        print(line, file=sys.stderr, flush=True)
    sys.exit(EXIT_CANNOT_START)


def start(part_name: str) -> int:
    """Run this process's part and return the exit code; `part_name` is empty without a supervisor."""
    early_sighups: list[int] = []
    # If a SIGHUP arrives while the configuration is read, the files read may be outdated, and they are read
    # again once the gateway runs. The handler is therefore installed before the first read.
    signal.signal(signal.SIGHUP, lambda *_: early_sighups.append(1))
    config = read_configuration(os.environ)
    operator = read_operator_settings(os.environ, config)
    part = parse_process_part(part_name)
    if operator.planner_addresses and not part:
        return _run_supervisor(config, operator)
    if part and part.kind is ProcessKind.PLANNER:
        return _run_planner(config, operator, part.index)
    return _run_gateway(config, operator, part, early_sighups)


def _run_supervisor(config: Configuration, operator: OperatorSettings) -> int:
    from query_gateway.planner.supervisor import Supervisor

    path = upgrade_socket_path(os.environ, config.listen_address)
    if path and is_served(path):
        raise ContradictionError(
            "a gateway already serves this address, and several processes cannot follow it; stop it first"
        )
    reserved = _reserve_path(path) if path else None
    code = Supervisor(len(operator.planner_addresses), operator.forwarder_count).run()
    if reserved:
        reserved.close()
    return code


def _reserve_path(path: str) -> socket.socket | None:
    """Reserve the hot upgrade socket path; if that fails, the gateway starts without the reservation."""
    try:
        return reserve_path(path)
    except OSError as error:
        log("upgrade", f"cannot reserve this address against other gateways: {error.strerror}")
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


def _run_gateway(
    config: Configuration, operator: OperatorSettings, part: ProcessPart | None, early_sighups: list[int]
) -> int:
    # Worker processes cannot be upgraded
    path = None if part else upgrade_socket_path(os.environ, config.listen_address)
    # A predecessor's listening sockets are inherited, because its addresses cannot be bound a second time
    inherited = request_inherited_state(path) if path else None
    options = GatewayOptions(
        forwarder_index=part.index if part else 0, upgrade_path=path, inherited=inherited
    )
    gateway = Gateway(config, operator, options=options)
    if part:
        from query_gateway.planner.supervisor import stop_with_supervisor

        stop_with_supervisor(gateway.loop, gateway.begin_shutdown)
    if early_sighups:
        gateway.loop.call_soon(gateway.reload)
    gc.freeze()  # startup objects live until the process ends, so later collections can skip them
    gateway.run()
    return 0
