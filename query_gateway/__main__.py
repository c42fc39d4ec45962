"""`python -m query_gateway`: without words a gateway, as the deploy file starts it, else the command line."""

import signal
import sys

if __name__ == "__main__":
    # Guards the start against a SIGHUP, which would end the process: it comes before the imports, which take
    # long. Nothing is read yet, so nothing that a reload would change is missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from query_gateway.lifecycle.process import serve


def main() -> None:
    """Run what the command line says; the plain start loads nothing of the command line's parser."""
    if len(sys.argv) > 1:
        from query_gateway.cli import main as command_line

        command_line(prog_name="query-gateway")
    serve()


if __name__ == "__main__":
    main()
