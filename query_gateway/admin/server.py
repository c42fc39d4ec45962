"""The second address: a caller sends one line and gets its answer, then the connection ends."""

import socket
from collections.abc import Callable, Generator

from query_gateway.forwarder.readiness import Readiness
from query_gateway.net.listener import Listener
from query_gateway.net.log import log
from query_gateway.net.loop import Loop
from query_gateway.net.stream import Reason, Stream

CALLERS = 16  # connections at most
ROOM = CALLERS + 1  # descriptors kept for them and the listener
LINE = 256  # bytes of a call
CALL_TIME = 10.0  # seconds in which a call must have come and its answer been read
LINGER = 1.0


class Caller:
    def __init__(self, server: "Server", sock: socket.socket, peer: str) -> None:
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
        self.stream.close(reason)
        self.server.callers.pop(self, None)
        self.task.wake()

    def _serve(self) -> Generator[float | None, None, Reason]:
        until = self.loop.now() + CALL_TIME
        stream = self.stream
        while b"\n" not in stream.inbox and len(stream.inbox) <= LINE:
            if stream.is_over:
                return Reason.RESET if stream.reset else Reason.PEER_CLOSED
            if self.loop.now() >= until:
                return Reason.UNRESPONSIVE
            yield until
        line, _, _ = bytes(stream.inbox).partition(b"\n")
        stream.write(self.server.answer(line).encode())
        while stream.outbox and not (stream.reset or stream.closed) and self.loop.now() < until:
            yield until
        stream.half_close()  # guards the answer: a close with unread input would reset it
        until = self.loop.now() + LINGER
        while not stream.eof and self.loop.now() < until:
            stream.take_inbox()
            yield until
        return Reason.DONE


class Server:
    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        readiness: Readiness,
        figures: Callable[[], list[str]],
    ) -> None:
        self.loop, self.readiness, self.figures = loop, readiness, figures
        self.callers: dict[Caller, None] = {}  # the longest here first
        self.listener = Listener(loop, address, self._taken)

    def _taken(self, sock: socket.socket, peer: str) -> None:
        if len(self.callers) >= CALLERS:  # guards prompt callers against those who finish no call
            next(iter(self.callers)).drop(Reason.TOO_MANY)
        self.callers[Caller(self, sock, peer)] = None

    def answer(self, line: bytes) -> str:
        call = line.rstrip(b"\r").decode("latin-1") if len(line) <= LINE else ""
        match call:
            case "READY":
                phase = self.readiness.phase.value
                return f"{200 if self.readiness.ready else 400} {phase}\n"
            case "STATS":
                return "\n".join(["200 figures", *self.figures(), "EOF"]) + "\n"
            case "DRAIN" | "UNDRAIN":
                done = self.readiness.drain() if call == "DRAIN" else self.readiness.undrain()
                log("ops", f"{call}: {self.readiness.phase.value}")
                return f"{200 if done else 400} {self.readiness.phase.value}\n"
            case _:
                return "400 unknown call\n"

    def close(self) -> None:
        self.listener.close()
        for caller in list(self.callers):
            caller.drop(Reason.STOPPING)
