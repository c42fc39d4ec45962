"""The handover of an upgrade: an elder passes its listeners and resting connections on to its successor.

They meet at a Unix socket in $TMPDIR, a JSON object a packet, some with descriptors:

    successor: {"hello": VERSION}   {"ready": true}
    elder:     {"fronts": [...], "learned": {...}, "statements": {...}} with its listeners   {"leaving": true}
               {"client": PEER, "asked": BOOL} with its connection
"""

import contextlib
import json
import os
import socket
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from query_gateway.net.log import log
from query_gateway.net.loop import IN, Loop

VERSION = 1
PACKET = 200_000  # bytes of a message
FDS = 8  # descriptors with one
MEET = 2.0  # seconds in which an elder must answer


@dataclass(slots=True)
class InheritedState:
    """What an elder left or leaves: its listeners by front, what its module learned, and the link to it."""

    connection: socket.socket
    listeners: dict[str, socket.socket] = field(default_factory=dict)
    scheduler_state: Any = None
    statement_costs: Any = None  # and what it learned of statements' costs


class UpgradeHost(Protocol):
    """What the handover asks of the gateway."""

    def offer(self) -> tuple[dict[str, Any], list[socket.socket]]: ...

    def set_overlapping(self, on: bool) -> None:
        """Another process of this gateway lives, or has ended."""

    def receive_connection(self, sock: socket.socket, peer: str, asked: bool) -> None:
        """A client's connection comes over."""

    def on_successor_ready(self) -> None:
        """The successor says yes."""

    def on_predecessor_leaving(self) -> None:
        """The elder takes nothing more."""


def path_of(environ: Mapping[str, str], listen: tuple[str, int]) -> str | None:
    """Where the two meet, or None where no socket can be made there."""
    folder = environ.get("TMPDIR")
    if not folder:
        return None
    path = os.path.join(folder, f"mothknot-{listen[0]}-{listen[1]}")
    try:
        _listener(path).close()
        os.unlink(_own(path))
    except OSError as bad:
        log("handover", f"not possible in $TMPDIR: {bad.strerror or bad}")
        return None
    return path


def _own(path: str) -> str:
    return f"{path}.{os.getpid()}"


def _listener(path: str) -> socket.socket:
    """A listener under our own name, which is then put in place of the path."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        with contextlib.suppress(FileNotFoundError):
            os.unlink(_own(path))
        sock.bind(_own(path))
        os.chmod(_own(path), 0o600)
        sock.listen(4)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


def occupied(path: str) -> bool:
    """Whether a gateway is to be met there."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
        return sock.connect_ex(path) == 0


def occupy(path: str) -> socket.socket:
    """For a gateway that cannot be handed over: whoever would follow it finds the place taken."""
    sock = _listener(path)
    os.rename(_own(path), path)
    return sock


def meet(path: str) -> InheritedState | None:
    """Ask an elder for what it leaves; None if there is none, or if it ends meanwhile."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.settimeout(MEET)
    try:
        sock.connect(path)
        sock.send(json.dumps({"hello": VERSION}).encode())
        data, fds, _, _ = socket.recv_fds(sock, PACKET, FDS)
        listeners = [socket.socket(fileno=fd) for fd in fds]
        told = json.loads(data)
        fronts = dict(zip(told["fronts"], listeners, strict=True))
    except (OSError, ValueError, KeyError, TypeError) as bad:
        if not isinstance(bad, FileNotFoundError | ConnectionRefusedError):
            log("handover", f"no elder to follow: {bad!r}")
        sock.close()
        return None
    for listener in listeners:
        listener.setblocking(False)
    sock.setblocking(False)
    return InheritedState(sock, fronts, told.get("learned"), told.get("statements"))


class UpgradeConnection:
    """One end of the link between the two processes."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        got: Callable[[Any, list[int]], None],
        ended: Callable[[], None],
    ) -> None:
        self.loop, self.sock, self.on_message, self.on_closed = loop, sock, got, ended
        self.closed = False
        loop.watch(sock, IN, self._ready)

    def send(self, message: dict[str, Any], fds: Sequence[int] = ()) -> bool:
        """False if the other end takes nothing now."""
        if self.closed:
            return False
        try:
            socket.send_fds(self.sock, [json.dumps(message).encode()], fds)
        except BlockingIOError:
            return False
        except OSError:
            self.close()
            return False
        return True

    def _ready(self) -> None:
        while not self.closed:
            try:
                data, fds, _, _ = socket.recv_fds(self.sock, PACKET, FDS)
            except BlockingIOError:
                return
            except OSError:
                return self.close()
            if not data:
                return self.close()
            try:
                message = json.loads(data)
                if not isinstance(message, dict):
                    raise ValueError("no object")
            except (ValueError, RecursionError):
                for fd in fds:
                    os.close(fd)
                return self.close()
            self.on_message(message, fds)

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.loop.dispose(self.sock)
            self.on_closed()


class HotUpgrade:
    """This process's part: successor of an elder at its start, later perhaps the elder of a successor."""

    def __init__(self, loop: Loop, path: str, host: UpgradeHost, legacy: InheritedState | None) -> None:
        self.loop, self.path, self.host = loop, path, host
        self.listener: socket.socket | None = None
        self.socket_identity: tuple[int, int] | None = None  # what our name in $TMPDIR stands for
        self.successor: UpgradeConnection | None = None
        self.successor_ready = False  # the successor has said yes
        self.predecessor = (
            UpgradeConnection(loop, legacy.connection, self._from_elder, self._elder_ended)
            if legacy
            else None
        )

    def announce_ready(self) -> None:
        """Ready: tell the elder, and be found by who comes next."""
        if self.predecessor:
            self.predecessor.send({"ready": True})
        self._take_place()

    def _take_place(self) -> None:
        try:
            if self.listener is None:
                self.listener = _listener(self.path)
                self.loop.watch(self.listener, IN, self._knock)
                told = os.stat(_own(self.path))
                self.socket_identity = told.st_dev, told.st_ino
                os.rename(_own(self.path), self.path)
            elif self._placed() != self.socket_identity:  # a successor that died had it
                self.loop.dispose(self.listener)
                self.listener = None
                self._take_place()
        except OSError as bad:
            log("handover", f"cannot be found by a successor: {bad.strerror}")

    def _placed(self) -> tuple[int, int] | None:
        with contextlib.suppress(OSError):
            told = os.stat(self.path)
            return told.st_dev, told.st_ino
        return None

    def close(self) -> None:
        """The end of this process: its name goes, unless it is another's by now."""
        if self.socket_identity and self._placed() == self.socket_identity:
            with contextlib.suppress(OSError):
                os.unlink(self.path)

    def transfer(self, sock: socket.socket, peer: str, asked: bool) -> bool:
        """Pass a resting connection on; False if that cannot be done now."""
        link = self.successor if self.successor_ready else None
        return link is not None and link.send({"client": peer, "asked": asked}, [sock.fileno()])

    def notify_leaving(self) -> None:
        if self.successor:
            self.successor.send({"leaving": True})

    # ---- as the elder

    def _knock(self) -> None:
        assert self.listener
        with contextlib.suppress(OSError):
            sock, _ = self.listener.accept()
            sock.setblocking(False)
            if self.successor:  # one at a time; the other finds its address in use and ends
                sock.close()
                return
            self.successor = UpgradeConnection(self.loop, sock, self._from_successor, self._successor_ended)

    def _from_successor(self, message: dict[str, Any], fds: list[int]) -> None:
        for fd in fds:
            os.close(fd)
        link = self.successor
        if link is None:
            return
        if message.get("hello") == VERSION:
            told, listeners = self.host.offer()
            for part in ("statements", "learned"):
                if len(json.dumps(told)) > PACKET:
                    told.pop(part, None)
            if link.send(told, [listener.fileno() for listener in listeners]):
                log("handover", "a successor starts")
                self.host.set_overlapping(True)
                return
            link.close()
        elif message.get("ready") is True:
            log("handover", "the successor is ready")
            self.successor_ready = True
            self.host.on_successor_ready()
        else:
            link.close()

    def _successor_ended(self) -> None:
        log("handover", "the successor has ended")
        self.successor, self.successor_ready = None, False
        self.host.set_overlapping(False)
        self._take_place()

    # ---- as the successor

    def _from_elder(self, message: dict[str, Any], fds: list[int]) -> None:
        peer, asked = message.get("client"), message.get("asked")
        if len(fds) == 1 and isinstance(peer, str) and isinstance(asked, bool):
            self.host.receive_connection(socket.socket(fileno=fds[0]), peer, asked)
            return
        for fd in fds:
            os.close(fd)
        if message.get("leaving") is True:
            self.host.on_predecessor_leaving()

    def _elder_ended(self) -> None:
        log("handover", "the elder has ended")
        self.predecessor = None
        self.host.set_overlapping(False)
