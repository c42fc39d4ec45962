"""Ports of loopback for the processes of a run."""

import contextlib
import random
import socket

PORTS = 10_000, 32_000  # below those that Linux gives to dials


def free_port() -> int:
    """A port of loopback that is not in use, and that no dial takes as its local port later."""
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port
