"""`python -m query_gateway`: a gateway, as the deploy file starts it; with arguments the command line."""

import signal
import sys

if __name__ == "__main__":
    # A SIGHUP that comes while the imports run would end the process, as nothing handles it yet. Ignored, it
    # loses nothing: no file has been read that it could ask to be read again.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from query_gateway.lifecycle.process import serve


def main() -> None:
    """Run the command line, or without arguments a gateway, which loads no parser of command lines."""
    if len(sys.argv) > 1:
        from query_gateway.cli import main as command_line

        command_line(prog_name="query-gateway")
    serve()


if __name__ == "__main__":
    main()
