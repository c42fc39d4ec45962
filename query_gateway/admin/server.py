"""The admin server: a caller sends one line and gets its answer, then the connection ends."""

import socket
from collections.abc import Callable, Generator

from query_gateway.forwarder.readiness import Readiness
from query_gateway.net.listener import Listener
from query_gateway.net.log import log
from query_gateway.net.loop import Loop
from query_gateway.net.stream import Reason, Stream

MAX_CONNECTIONS = 16
RESERVED_DESCRIPTORS = MAX_CONNECTIONS + 1  # for the connections and the listener
MAX_CALL_BYTES = 256
CALL_TIMEOUT_SECONDS = 10.0  # until a call has come and its answer has been read
LINGER_SECONDS = 1.0  # how long input is still read behind our half close


class AdminConnection:
    """One caller, served in a coroutine; owns its stream."""

    def __init__(self, server: "AdminServer", sock: socket.socket, peer: str) -> None:
        """Begin to read the call."""
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
        """Close at once; the coroutine finds its stream closed when it next runs, and ends."""
        self.stream.close(reason)
        self.server.connections.pop(self, None)
        self.task.wake()

    def _serve(self) -> Generator[float | None, None, Reason]:
        deadline = self.loop.now() + CALL_TIMEOUT_SECONDS
        stream = self.stream
        while b"\n" not in stream.inbox and len(stream.inbox) <= MAX_CALL_BYTES:
            if stream.is_over:
                return Reason.RESET if stream.reset else Reason.PEER_CLOSED
            if self.loop.now() >= deadline:
                return Reason.UNRESPONSIVE
            yield deadline
        line, _, _ = bytes(stream.inbox).partition(b"\n")
        stream.write(self.server.answer(line).encode())
        while stream.outbox and not (stream.reset or stream.closed) and self.loop.now() < deadline:
            yield deadline
        yield from stream.close_gracefully(LINGER_SECONDS)
        return Reason.DONE


class AdminServer:
    """Accepts callers and answers their calls; owns their connections and the listener."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        readiness: Readiness,
        figures: Callable[[], list[str]],
    ) -> None:
        """Listen; raises OSError if the address cannot be used. `figures` renders them at each call."""
        self.loop, self.readiness, self.figures = loop, readiness, figures
        self.connections: dict[AdminConnection, None] = {}  # the oldest first
        self.listener = Listener(loop, address, self._on_accept)

    def _on_accept(self, sock: socket.socket, peer: str) -> None:
        # Callers that connect and send nothing would keep operators out until their timeout. So the
        # connection that is open longest gives way to a new one.
        if len(self.connections) >= MAX_CONNECTIONS:
            next(iter(self.connections)).drop(Reason.TOO_MANY)
        self.connections[AdminConnection(self, sock, peer)] = None

    def answer(self, line: bytes) -> str:
        """Carry out one call, a line without its line feed; the answer with its line ends."""
        call = line.rstrip(b"\r").decode("latin-1") if len(line) <= MAX_CALL_BYTES else ""
        match call:
            case "READY":
                return self._state_line(self.readiness.ready)
            case "STATS":
                return "\n".join(["200 figures", *self.figures(), "EOF"]) + "\n"
            case "DRAIN" | "UNDRAIN":
                done = self.readiness.drain() if call == "DRAIN" else self.readiness.undrain()
                log("admin", f"{call}: {self.readiness.phase.value}")
                return self._state_line(done)
            case _:
                return "400 unknown call\n"

    def _state_line(self, succeeded: bool) -> str:
        return f"{200 if succeeded else 400} {self.readiness.phase.value}\n"

    def close(self) -> None:
        """Accept no more and end every call."""
        self.listener.close()
        for connection in list(self.connections):
            connection.drop(Reason.STOPPING)
