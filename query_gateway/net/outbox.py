"""Bytes queued for writing to a connection, with callbacks that are called once they are sent."""

from collections.abc import Callable
from typing import NamedTuple


class _SentCallback(NamedTuple):
    end_position: int  # in bytes ever queued; the callback is due once all bytes up to it are sent
    callback: Callable[[], None]


class Outbox:
    """Unsent bytes in the order of sending; an empty outbox is falsy. Independent of the socket."""

    def __init__(self) -> None:
        """Start empty."""
        self.data = bytearray()
        self._queued_bytes = 0  # bytes ever queued, without those dropped
        self._callbacks: list[_SentCallback] = []  # few; an empty list is smaller than a deque

    def __len__(self) -> int:
        """Number of bytes that are not sent."""
        return len(self.data)

    def append(self, data: bytes) -> None:
        """Queue bytes after those already queued."""
        self.data += data
        self._queued_bytes += len(data)

    def call_when_sent(self, callback: Callable[[], None]) -> None:
        """Call `callback` once all bytes queued so far are sent; never, if they are dropped."""
        self._callbacks.append(_SentCallback(self._queued_bytes, callback))

    def remove_sent(self, count: int) -> None:
        """Remove the first `count` bytes, which were sent, and call the callbacks that are now due."""
        del self.data[:count]
        while self._callbacks and self._callbacks[0].end_position <= self._queued_bytes - len(self.data):
            self._callbacks.pop(0).callback()

    def drop(self) -> None:
        """Drop the bytes that are not sent; their callbacks are not called."""
        self._queued_bytes -= len(self.data)
        self.data.clear()
        self._callbacks.clear()
