"""The admin server: one command line and its response per connection."""

import socket
from collections.abc import Callable, Generator

from query_gateway.forwarder.readiness import Readiness
from query_gateway.net.listener import Listener
from query_gateway.net.log import log
from query_gateway.net.loop import Loop
from query_gateway.net.stream import Reason, Stream

MAX_CONNECTIONS = 16
RESERVED_DESCRIPTORS = MAX_CONNECTIONS + 1  # file descriptors for the connections and the listener
MAX_COMMAND_BYTES = 256
COMMAND_TIMEOUT_SECONDS = 10.0  # for reading the command and sending the response
LINGER_SECONDS = 1.0  # how long input is still read after our half-close


class AdminConnection:
    """The connection of one admin client, served by a coroutine; owns its stream."""

    def __init__(self, server: "AdminServer", sock: socket.socket, peer: str) -> None:
        """Start the coroutine that reads and executes the command."""
        self.server, self.loop = server, server.loop
        self.stream = Stream(server.loop, sock, f"caller {peer}")
        self.task = server.loop.spawn(self._run())
        self.stream.on_activity = self.task.wake
        self.stream.start()

    def _run(self) -> Generator[float | None, None, None]:
        reason = Reason.FAULT
        try:
            reason = yield from self._serve()
        finally:
            self.drop(reason)

    def drop(self, reason: Reason) -> None:
        """Close at once; the coroutine is woken and ends, as it finds its stream closed."""
        self.stream.close(reason)
        self.server.connections.pop(self, None)
        self.task.wake()

    def _serve(self) -> Generator[float | None, None, Reason]:
        deadline = self.loop.now() + COMMAND_TIMEOUT_SECONDS
        stream = self.stream
        while b"\n" not in stream.inbox and len(stream.inbox) <= MAX_COMMAND_BYTES:
            if stream.is_over:
                return Reason.RESET if stream.reset else Reason.PEER_CLOSED
            if self.loop.now() >= deadline:
                return Reason.UNRESPONSIVE
            yield deadline
        line, _, _ = bytes(stream.inbox).partition(b"\n")
        stream.write(self.server.execute(line).encode())
        while stream.outbox and not (stream.reset or stream.closed) and self.loop.now() < deadline:
            yield deadline
        yield from stream.close_gracefully(LINGER_SECONDS)
        return Reason.DONE


class AdminServer:
    """Accepts admin clients and executes their commands; owns the connections and the listener."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        readiness: Readiness,
        figures: Callable[[], list[str]],
    ) -> None:
        """Listen on `address`; raises OSError if it cannot be used.

        `figures` returns the lines of the current figures and is called for each STATS command.
        """
        self.loop, self.readiness, self.figures = loop, readiness, figures
        self.connections: dict[AdminConnection, None] = {}  # oldest first
        self.listener = Listener(loop, address, self._on_accept)

    def _on_accept(self, sock: socket.socket, peer: str) -> None:
        # Clients that connect and send nothing would lock operators out until they time out. So at the limit
        # the oldest connection is evicted in favour of the new one.
        if len(self.connections) >= MAX_CONNECTIONS:
            next(iter(self.connections)).drop(Reason.TOO_MANY)
        self.connections[AdminConnection(self, sock, peer)] = None

    def execute(self, line: bytes) -> str:
        """Execute a command, given without its line feed, and return the response with its line feeds."""
        command = line.rstrip(b"\r").decode("latin-1") if len(line) <= MAX_COMMAND_BYTES else ""
        match command:
            case "READY":
                return self._phase_line(self.readiness.ready)
            case "STATS":
                return "\n".join(["200 figures", *self.figures(), "EOF"]) + "\n"
            case "DRAIN" | "UNDRAIN":
                succeeded = self.readiness.drain() if command == "DRAIN" else self.readiness.undrain()
                log("admin", f"{command}: {self.readiness.phase.value}")
                return self._phase_line(succeeded)
            case _:
                return "400 unknown call\n"

    def _phase_line(self, succeeded: bool) -> str:
        return f"{200 if succeeded else 400} {self.readiness.phase.value}\n"

    def close(self) -> None:
        """Stop accepting connections and close the open ones."""
        self.listener.close()
        for connection in list(self.connections):
            connection.drop(Reason.STOPPING)
