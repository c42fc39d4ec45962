"""Reserves loopback ports for processes that are told which address to listen on.

A port that is free when it is chosen could be chosen again before the process listens there, so each port
stays reserved until its owner releases it. The lock is an abstract Unix socket named after the port
(unix(7)), which is visible to every process of the network namespace.
"""

import contextlib
import random
import socket

PORTS = range(10_000, 32_000)  # below Linux's default range of ephemeral ports
LOCK_NAME_PREFIX = "\0query-gateway-port-"
MAX_ATTEMPTS = 1_000


class NoFreePortError(Exception):
    """All ports that were tried are reserved or in use."""


class PortReservations:
    """Ports that no other reservation, in this process or another, receives until `close`."""

    def __init__(self) -> None:
        """Start without a reserved port."""
        self._locks: list[socket.socket] = []

    def reserve(self) -> int:
        """Return a port that nothing listens on and no outgoing connection uses; raises NoFreePortError."""
        for _ in range(MAX_ATTEMPTS):
            port = random.choice(PORTS)
            lock = _lock_port(port)
            if lock is None:
                continue
            if _is_unused(port):
                self._locks.append(lock)
                return port
            lock.close()
        raise NoFreePortError(f"no free port in {PORTS} after {MAX_ATTEMPTS} attempts")

    def close(self) -> None:
        """Release all ports."""
        for lock in self._locks:
            lock.close()
        self._locks.clear()


_process_reservations = PortReservations()


def free_port() -> int:
    """Return a port that is reserved until this process ends; raises NoFreePortError."""
    return _process_reservations.reserve()


def _lock_port(port: int) -> socket.socket | None:
    """Return the lock of a port; None if it is held by another reservation."""
    lock = socket.socket(socket.AF_UNIX)
    try:
        lock.bind(f"{LOCK_NAME_PREFIX}{port}")
    except OSError:
        lock.close()
        return None
    return lock


def _is_unused(port: int) -> bool:
    with socket.socket() as sock, contextlib.suppress(OSError):
        sock.bind(("127.0.0.1", port))
        return True
    return False
