"""The memory for what clients send: bytes in inboxes, in incomplete messages and in open statements.

Over its memory limit the platform kills the process, with every request that is open. A long message
therefore reserves its length before it is received, and waits for its turn if the budget is used up; flow
control keeps its client from sending more. Other input is counted as it comes: while much of the budget is in
use, it is read ahead of its turn only up to a small size.
"""

import os
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

BYTES_PER_MB = 1_048_576
# Of the memory that the process has left after its start. A received byte is in memory at most twice: in its
# buffer and its statement, then there and in its encoding for an engine. The rest is for all other growth
SHARE_OF_MEMORY_LEFT = 1 / 3
MIN_LIMIT_BYTES = BYTES_PER_MB
CONNECTION_BYTES = 8_192  # of the objects of a client's connection, without what it sends
UNLIMITED_BYTES = 1 << 62
# The inbox of a connection, by how much of the budget is in use without a reservation. Only a connection
# whose request is incomplete is kept to the least size
MAX_INBOX_BYTES = 262_144
MAX_INBOX_UNDER_PRESSURE_BYTES = 16_384  # over a quarter
MAX_INCOMPLETE_REQUEST_UNDER_PRESSURE_BYTES = 2_048  # over half


def limit_for_memory(memory_mb: float | None, resident_bytes: int, max_connections: int = 0) -> int:
    """The budget in bytes of a process that may use `memory_mb` and now has `resident_bytes`.

    The objects of `max_connections` clients are subtracted. Without a limit if `memory_mb` is None.
    """
    if memory_mb is None:
        return UNLIMITED_BYTES
    left = memory_mb * BYTES_PER_MB - resident_bytes - max_connections * CONNECTION_BYTES
    return max(MIN_LIMIT_BYTES, int(left * SHARE_OF_MEMORY_LEFT))


def resident_bytes() -> int:
    """The memory of this process that is resident now; 0 if the kernel does not tell."""
    try:
        with open("/proc/self/statm", "rb") as statm:
            return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return 0


@dataclass(slots=True, eq=False)
class Reservation:
    """A part of the budget that one message has, or waits for."""

    size: int
    on_granted: Callable[[], None]
    is_granted: bool = False
    is_released: bool = False


class ReceiveBudget:
    """Counts the bytes that are held, and grants reservations in the order in which they were asked for."""

    def __init__(self, limit_bytes: int = UNLIMITED_BYTES) -> None:
        """Start with nothing held."""
        self.limit_bytes = limit_bytes
        self.held_bytes = self.most_held_bytes = 0
        self._reserved_bytes = 0  # of the held bytes
        self._waiting: deque[Reservation] = deque()

    @property
    def waiting_count(self) -> int:
        """The number of reservations that are not granted yet."""
        return sum(not reservation.is_released for reservation in self._waiting)

    @property
    def unreserved_bytes(self) -> int:
        """The bytes that are held without a reservation."""
        return self.held_bytes - self._reserved_bytes

    @property
    def is_overdrawn(self) -> bool:
        """Whether more is held without a reservation than the budget has."""
        return self.unreserved_bytes > self.limit_bytes

    @property
    def is_unreserved_part_used_up(self) -> bool:
        """Whether so much is held without a reservation that no incomplete request may grow."""
        return 2 * self.unreserved_bytes > self.limit_bytes

    def max_inbox_bytes(self, is_incomplete: bool) -> int:
        """Unconsumed bytes at which reading from a client pauses; `is_incomplete`: of an unread request."""
        unreserved_bytes = self.held_bytes - self._reserved_bytes
        if 4 * unreserved_bytes <= self.limit_bytes:
            return MAX_INBOX_BYTES
        if is_incomplete and 2 * unreserved_bytes > self.limit_bytes:
            return MAX_INCOMPLETE_REQUEST_UNDER_PRESSURE_BYTES
        return MAX_INBOX_UNDER_PRESSURE_BYTES

    def count(self, size: int) -> None:
        """Add `size` bytes that are held without a reservation; negative: they are held no longer."""
        self.held_bytes += size
        self.most_held_bytes = max(self.most_held_bytes, self.held_bytes)
        if size < 0:
            self._grant_waiting()

    def reserve(self, size: int, on_granted: Callable[[], None]) -> Reservation:
        """Reserve `size` bytes; `on_granted` is called if they are granted after the return of this call."""
        reservation = Reservation(size, on_granted)
        if not self._waiting and self._fits(size):
            self._grant(reservation)
        else:
            self._waiting.append(reservation)
        return reservation

    def release(self, reservation: Reservation) -> None:
        """Return a reservation, or withdraw it if it is not granted; further calls have no effect."""
        if reservation.is_released:
            return
        reservation.is_released = True
        if reservation.is_granted:
            self._reserved_bytes -= reservation.size
            self.held_bytes -= reservation.size
        self._grant_waiting()

    def _fits(self, size: int) -> bool:
        # At most half is kept free for unreserved input: what clients send in pieces must not keep back those
        # whose length is known for ever
        unreserved_bytes = min(self.unreserved_bytes, self.limit_bytes // 2)
        return self._reserved_bytes + unreserved_bytes + size <= self.limit_bytes or not self._reserved_bytes

    def _grant(self, reservation: Reservation) -> None:
        reservation.is_granted = True
        self._reserved_bytes += reservation.size
        self.held_bytes += reservation.size
        self.most_held_bytes = max(self.most_held_bytes, self.held_bytes)

    def _grant_waiting(self) -> None:
        while self._waiting:
            first = self._waiting[0]
            if not first.is_released:
                if not self._fits(first.size):
                    return
                self._grant(first)
            self._waiting.popleft()
            if not first.is_released:
                first.on_granted()
