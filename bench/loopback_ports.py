"""Ports of loopback for processes that listen at an address which they are told.

A port that is free when it is chosen may be chosen again before the process listens there. So each is
reserved until its owner gives it back. The lock is an abstract Unix socket named after the port (unix(7)),
which every process of the network namespace sees.
"""

import contextlib
import random
import socket

PORTS = range(10_000, 32_000)  # below those that Linux gives to dials
LOCK_NAME_PREFIX = "\0query-gateway-port-"
MAX_ATTEMPTS = 1_000


class NoFreePortError(Exception):
    """Every port that was tried is reserved or in use."""


class PortReservations:
    """Ports that nobody else who asks here is given, in this process or another, until `close`."""

    def __init__(self) -> None:
        """Begin without a port."""
        self._locks: list[socket.socket] = []

    def reserve(self) -> int:
        """Return a port that nothing listens at and no dial takes; raises NoFreePortError."""
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
        """Give all ports back."""
        for lock in self._locks:
            lock.close()
        self._locks.clear()


_process_reservations = PortReservations()


def free_port() -> int:
    """Return a port that is reserved until this process ends; raises NoFreePortError."""
    return _process_reservations.reserve()


def _lock_port(port: int) -> socket.socket | None:
    """Return the lock of a port; None if another holds it."""
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
