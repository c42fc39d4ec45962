"""The connection between the two processes of a hot upgrade: one packet a message, with file descriptors."""

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
    """What one end does with what it receives: `on_message` owns the descriptors that it is given."""

    decode: Callable[[Packet], Received]
    on_message: Callable[[Received, list[int]], None]
    on_closed: Callable[[], None]


class UpgradeConnection(Generic[Received]):
    """One end of the connection between the two processes; it owns its socket."""

    def __init__(self, loop: Loop, sock: socket.socket, handler: ConnectionHandler[Received]) -> None:
        """`sock` does not block."""
        self.loop, self.sock, self.handler = loop, sock, handler
        self.closed = False
        loop.watch(sock, IN, self._on_readable)

    def send(self, message: UpgradeMessage, descriptors: Sequence[int] = ()) -> bool:
        """Send a message; False if the other end takes nothing now."""
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
        """End the connection and notify the handler; a second call changes nothing."""
        if not self.closed:
            self.closed = True
            self.loop.dispose(self.sock)
            self.handler.on_closed()


def close_descriptors(descriptors: Sequence[int]) -> None:
    """Close descriptors that came with a packet and that nobody uses."""
    for descriptor in descriptors:
        os.close(descriptor)
