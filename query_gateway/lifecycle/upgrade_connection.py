"""The connection between the two processes of a hot upgrade: one packet per message, with descriptors."""

import os
import socket
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

from query_gateway.lifecycle.upgrade_messages import (
    MAX_DESCRIPTORS,
    MAX_PACKET_BYTES,
    Packet,
    UpgradeMessage,
    UpgradeMessageError,
    decode_packet,
    encode,
)
from query_gateway.net.loop import IN, Loop

Received = TypeVar("Received")


@dataclass(slots=True, frozen=True)
class ConnectionHandler(Generic[Received]):
    """The callbacks of one end. `on_message` takes ownership of the descriptors passed to it."""

    decode: Callable[[Packet], Received]
    on_message: Callable[[Received, list[int]], None]
    on_closed: Callable[[], None]


class UpgradeConnection(Generic[Received]):
    """One end of the connection between the two processes; owns its socket."""

    def __init__(self, loop: Loop, sock: socket.socket, handler: ConnectionHandler[Received]) -> None:
        """`sock` must be non-blocking."""
        self.loop, self.sock, self.handler = loop, sock, handler
        self.closed = False
        loop.watch(sock, IN, self._on_readable)

    def send(self, message: UpgradeMessage, descriptors: Sequence[int] = ()) -> bool:
        """Send a message; returns False if the socket's buffer is full or the connection is closed."""
        if self.closed:
            return False
        try:
            socket.send_fds(self.sock, [encode(message)], descriptors)
        except BlockingIOError:
            return False
        except OSError:
            self.close()
            return False
        return True

    def _on_readable(self) -> None:
        while not self.closed:
            try:
                data, descriptors, _, _ = socket.recv_fds(self.sock, MAX_PACKET_BYTES, MAX_DESCRIPTORS)
            except BlockingIOError:
                return
            except OSError:
                return self.close()
            if not data:
                return self.close()
            self._on_packet(data, descriptors)

    def _on_packet(self, data: bytes, descriptors: list[int]) -> None:
        try:
            packet = decode_packet(data)
        except UpgradeMessageError:
            close_descriptors(descriptors)
            return self.close()
        self.handler.on_message(self.handler.decode(packet), descriptors)

    def close(self) -> None:
        """Close the connection and notify the handler; further calls have no effect."""
        if not self.closed:
            self.closed = True
            self.loop.dispose(self.sock)
            self.handler.on_closed()


def close_descriptors(descriptors: Sequence[int]) -> None:
    """Close unused descriptors that were received with a packet."""
    for descriptor in descriptors:
        os.close(descriptor)
