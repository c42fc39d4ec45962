"""The fault proxy process in front of one engine: relays, records every request and injects faults.

    python -m bench.fault_soak.proxy PORT ENGINE_PORT ENGINE_NAME EVENT_FILE [opaque]

With `opaque` it relays bytes without parsing them, and records no requests.

Commands are lines on standard input: `pass`, `stall` (connections stay open and nothing is relayed), `unread`
(nothing is read from the gateways), `late` (no connection is accepted), `reset` (all present connections are
reset), `idle-close` (all present idle connections are closed). Events are appended to the file as JSON lines
of `records.EngineEvent`.
"""

import asyncio
import contextlib
import socket
import struct
import sys
import time
from collections.abc import Callable

from bench.fault_soak.event_file import EventFile
from bench.fault_soak.records import EngineEventKind

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER with which closing a socket sends RST
BACKLOG = 8
BACKLOG_FILLERS = 12
REFILL_AFTER_S = 0.02
READ_SIZE = 65_536
# The last word of these lines is not a body length, even if it is a number or an id without letters, such
# as 6402819666044852
COMMANDS_WITHOUT_BODY = ("NICE", "FETCH", "STOP", "END")
FINAL_OUTCOMES = ("ok", "refused", "error", "stale")


class FrameObserver:
    """Parses the frames of one direction of a connection and reports each with its start time."""

    def __init__(self, on_frame: Callable[[list[str], float], None]) -> None:
        """`on_frame(words, began_at)` is called for each line once its body is complete."""
        self.on_frame = on_frame
        self.buffer = bytearray()
        self.began_at = 0.0

    def feed(self, data: bytes) -> None:
        """Parse bytes that have just been read."""
        if not self.buffer:
            self.began_at = time.monotonic()
        self.buffer += data
        while self._take_frame():
            self.began_at = time.monotonic()

    def _take_frame(self) -> bool:
        end = self.buffer.find(b"\n")
        if end < 0:
            return False
        words = self.buffer[:end].decode("ascii", "replace").split()
        has_body = bool(words) and words[-1].isdigit() and words[0] not in COMMANDS_WITHOUT_BODY
        length = int(words[-1]) if has_body else 0
        frame_length = end + 1 + (length + 2 if length else 0)
        if len(self.buffer) < frame_length:
            return False
        del self.buffer[:frame_length]
        if words:
            self.on_frame(words, self.began_at)
        return True


class RelayedConnection:
    """A relayed connection and the requests in flight on it."""

    def __init__(self, proxy: "Proxy", gateway: asyncio.StreamWriter, engine: asyncio.StreamWriter) -> None:
        """Keep the writers to the gateway and to the engine; `Proxy.relay` moves the data."""
        self.proxy, self.gateway, self.engine = proxy, gateway, engine
        self.open_requests: set[str] = set()
        self.closed = False

    def on_request_frame(self, words: list[str], began_at: float) -> None:
        """Record a request or a cancellation that the gateway has sent."""
        if words[0] == "REQ":
            self.open_requests.add(words[1])
            fields = dict(pair.split("=") for pair in words[2].split(",") if "=" in pair)
            self.proxy.events.write(
                EngineEventKind.REQUEST,
                words[1],
                budget=float(fields.get("budget", 0)) / 1000,
                idempotency_key=fields.get("uniq", ""),
                began_at=began_at,
            )
        elif words[0] == "STOP" and words[1] in self.open_requests:
            self.open_requests.discard(words[1])
            self.proxy.events.write(EngineEventKind.STOP, words[1])

    def on_answer_frame(self, words: list[str], _: float) -> None:
        """Record a final answer of the engine, just before it is relayed."""
        if len(words) > 1 and words[1] in FINAL_OUTCOMES and words[0] in self.open_requests:
            self.open_requests.discard(words[0])
            self.proxy.events.write(EngineEventKind.END, words[0], outcome=words[1])

    def close(self, reset: bool = False) -> None:
        """Close both sides of the connection; requests in flight on it are recorded as broken."""
        if self.closed:
            return
        self.closed = True
        for client_request_id in self.open_requests:
            self.proxy.events.write(EngineEventKind.BROKEN, client_request_id)
        self.proxy.connections.discard(self)
        if reset:
            sock = self.gateway.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.gateway.transport.abort()
        else:
            self.gateway.close()
        self.engine.transport.abort()


class Proxy:
    """Accepts gateway connections to one engine and relays them."""

    def __init__(self, port: int, engine_port: int, events: EventFile, observes: bool) -> None:
        """Start to listen; with `observes`, requests and their ends are parsed and recorded."""
        self.observes = observes
        self.engine_port, self.events = engine_port, events
        self.connections: set[RelayedConnection] = set()
        self.command = "pass"
        self.passing, self.reading, self.accepting = asyncio.Event(), asyncio.Event(), asyncio.Event()
        self.fillers: list[socket.socket] = []
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(BACKLOG)
        self.listener.setblocking(False)
        self.apply_command("pass")

    def apply_command(self, command: str) -> None:
        """Apply a command: change how connections are relayed, or break the present ones."""
        if command in ("reset", "idle-close"):
            for connection in list(self.connections):
                if command == "reset" or not connection.open_requests:
                    connection.close(reset=command == "reset")
            return
        self.command = command
        (self.passing.clear if command == "stall" else self.passing.set)()
        (self.reading.clear if command == "unread" else self.reading.set)()
        if command == "late":
            self.accepting.clear()
            self._fill_backlog()
            # An accept that is already waiting takes one connection from the backlog, which is then refilled
            asyncio.get_running_loop().call_later(REFILL_AFTER_S, self._fill_backlog)
        else:
            self.accepting.set()
            for filler in self.fillers:
                filler.close()
            self.fillers.clear()

    def _fill_backlog(self) -> None:
        if self.accepting.is_set():
            return
        for _ in range(BACKLOG_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())
            self.fillers.append(filler)

    async def accept(self) -> None:
        """Accept until cancelled, except while the command is `late`."""
        loop = asyncio.get_running_loop()
        while True:
            await self.accepting.wait()
            sock, _ = await loop.sock_accept(self.listener)
            asyncio.create_task(self.serve(sock))

    async def serve(self, sock: socket.socket) -> None:
        """Relay one connection."""
        reader, writer = await asyncio.open_connection(sock=sock, limit=READ_SIZE)
        try:
            engine_reader, engine_writer = await asyncio.open_connection("127.0.0.1", self.engine_port)
        except OSError:
            writer.transport.abort()
            return
        connection = RelayedConnection(self, writer, engine_writer)
        self.connections.add(connection)
        await asyncio.gather(
            self.relay(connection, reader, engine_writer, FrameObserver(connection.on_request_frame), True),
            self.relay(connection, engine_reader, writer, FrameObserver(connection.on_answer_frame), False),
        )

    async def relay(
        self, connection: RelayedConnection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter,
        observer: FrameObserver, from_gateway: bool,
    ) -> None:  # fmt: skip
        """Relay one direction until it ends.

        Frames of the gateway are recorded when they are read, those of the engine when they are relayed.
        """
        pending: asyncio.Queue[bytes] = asyncio.Queue()

        async def forward() -> None:
            """Write pending data except while connections are stalled."""
            while True:
                data = await pending.get()
                await self.passing.wait()
                if not from_gateway and self.observes:
                    observer.feed(data)
                with contextlib.suppress(OSError):
                    writer.write(data)
                    await writer.drain()

        forwarding = asyncio.create_task(forward())
        with contextlib.suppress(OSError):
            while not connection.closed:
                if from_gateway:
                    await self.reading.wait()
                data = await reader.read(READ_SIZE)
                if not data or connection.closed:
                    break
                if from_gateway and self.observes:
                    observer.feed(data)
                pending.put_nowait(data)
        while not from_gateway and not pending.empty() and not connection.closed:
            await asyncio.sleep(0.01)  # data that the engine wrote before it closed is still relayed
        forwarding.cancel()
        connection.close()


async def main() -> None:
    """Serve and apply the commands on standard input until it ends."""
    port, engine_port, engine, path = int(sys.argv[1]), int(sys.argv[2]), sys.argv[3], sys.argv[4]
    with open(path, "a", buffering=1) as file:
        events = EventFile(engine, file)
        proxy = Proxy(port, engine_port, events, "opaque" not in sys.argv)
        accepting = asyncio.create_task(proxy.accept())
        commands = asyncio.StreamReader()
        await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(commands), sys.stdin
        )
        while line := await commands.readline():
            proxy.apply_command(line.decode().strip())
        accepting.cancel()


if __name__ == "__main__":
    asyncio.run(main())
