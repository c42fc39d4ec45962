"""The process entry: `python -m query_gateway` starts a gateway; with arguments it runs the command line."""

import signal
import sys

if __name__ == "__main__":
    # Until a handler is installed, a SIGHUP during the imports would terminate the process. Ignoring it loses
    # nothing, as no file has been read yet that a reload could read again.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from query_gateway.lifecycle.process import serve


def main() -> None:
    """Run the command line if there are arguments, else a gateway, without importing the argument parser."""
    if len(sys.argv) > 1:
        from query_gateway.cli import main as command_line

        command_line(prog_name="query-gateway")
    serve()


if __name__ == "__main__":
    main()
