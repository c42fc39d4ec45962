"""The real gateway: reads its configuration, wires the parts up, and runs until it is told to stop."""

import gc
import os
import signal
import sys

if __name__ == "__main__":  # guards the start against a SIGHUP, which would end it; nothing is read yet
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from query_gateway.configuration.platform import ConfigurationError, read, read_operator
from query_gateway.gateway import Gateway, settings_for
from query_gateway.lifecycle.hot_upgrade import meet, occupied, occupy, path_of


def start(part: str) -> int:
    """Run this process's part: all of it, or what the parent of several processes named."""
    hangups: list[int] = []  # come while we start: what is read by then may be old already
    signal.signal(signal.SIGHUP, lambda *_: hangups.append(1))
    config = read(os.environ)
    operator = read_operator(os.environ, config)
    kind, _, number = part.partition(" ")
    if operator.planner_addresses and not part:
        from query_gateway.planner.supervisor import Supervisor

        place = path_of(os.environ, config.listen_address)
        if place and occupied(place):
            raise ConfigurationError(
                "a gateway serves here, and several processes cannot follow it; stop it first"
            )
        kept = occupy(place) if place else None  # held to our end
        code = Supervisor(len(operator.planner_addresses), operator.forwarder_count).run()
        if kept:
            kept.close()
        return code
    if kind == "planner":
        from query_gateway.planner.process import PlannerProcess
        from query_gateway.planner.supervisor import stop_with_supervisor

        at = int(number)
        process = PlannerProcess(
            settings_for(config, operator, at), config.seed + at, operator.planner_addresses[at]
        )
        stop_with_supervisor(process.loop, process.loop.stop)
        process.run()
        return 0
    meeting = None if part else path_of(os.environ, config.listen_address)
    legacy = meet(meeting) if meeting else None
    gateway = Gateway(config, operator, number=int(number or 0), meeting=meeting, legacy=legacy)
    if part:
        from query_gateway.planner.supervisor import stop_with_supervisor

        stop_with_supervisor(gateway.loop, gateway.drain)
    if hangups:
        gateway.loop.call_soon(gateway.reload)
    gc.freeze()  # what the start made stays; later collections pass it over
    gateway.run()
    return 0


def serve() -> None:
    """Start and end the process; whatever keeps it from starting is one plain line and code 2."""
    try:
        sys.exit(start(os.environ.get("QUERY_GATEWAY_PART", "")))
    except ConfigurationError as bad:
        print(f"query-gateway: configuration: {bad}", file=sys.stderr)
        sys.exit(2)
    except OSError as bad:
        print(f"query-gateway: cannot listen: {bad.strerror}", file=sys.stderr)
        sys.exit(2)


def main() -> None:
    """With words the command line; without any a gateway, as the deploy file starts it."""
    if len(sys.argv) > 1:
        from query_gateway.cli import main as command

        command(prog_name="query-gateway")
    serve()


if __name__ == "__main__":
    main()
