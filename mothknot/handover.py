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

from mothknot.net.log import log
from mothknot.net.loop import IN, Loop

VERSION = 1
PACKET = 200_000  # bytes of a message
FDS = 8  # descriptors with one
MEET = 2.0  # seconds in which an elder must answer


@dataclass(slots=True)
class Legacy:
    """What an elder left or leaves: its listeners by front, what its module learned, and the link to it."""

    link: socket.socket
    fronts: dict[str, socket.socket] = field(default_factory=dict)
    learned: Any = None
    statements: Any = None  # and what it learned of statements' costs


class Host(Protocol):
    """What the handover asks of the gateway."""

    def offer(self) -> tuple[dict[str, Any], list[socket.socket]]: ...

    def paired(self, on: bool) -> None:
        """Another process of this gateway lives, or has ended."""

    def handed(self, sock: socket.socket, peer: str, asked: bool) -> None:
        """A client's connection comes over."""

    def succeeded(self) -> None:
        """The successor says yes."""

    def elder_leaves(self) -> None:
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


def meet(path: str) -> Legacy | None:
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
    return Legacy(sock, fronts, told.get("learned"), told.get("statements"))


class Link:
    """One end of the link between the two processes."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        got: Callable[[Any, list[int]], None],
        ended: Callable[[], None],
    ) -> None:
        self.loop, self.sock, self.got, self.ended = loop, sock, got, ended
        self.over = False
        loop.watch(sock, IN, self._ready)

    def tell(self, message: dict[str, Any], fds: Sequence[int] = ()) -> bool:
        """False if the other end takes nothing now."""
        if self.over:
            return False
        try:
            socket.send_fds(self.sock, [json.dumps(message).encode()], fds)
        except BlockingIOError:
            return False
        except OSError:
            self.end()
            return False
        return True

    def _ready(self) -> None:
        while not self.over:
            try:
                data, fds, _, _ = socket.recv_fds(self.sock, PACKET, FDS)
            except BlockingIOError:
                return
            except OSError:
                return self.end()
            if not data:
                return self.end()
            try:
                message = json.loads(data)
                if not isinstance(message, dict):
                    raise ValueError("no object")
            except (ValueError, RecursionError):
                for fd in fds:
                    os.close(fd)
                return self.end()
            self.got(message, fds)

    def end(self) -> None:
        if not self.over:
            self.over = True
            self.loop.dispose(self.sock)
            self.ended()


class Handover:
    """This process's part: successor of an elder at its start, later perhaps the elder of a successor."""

    def __init__(self, loop: Loop, path: str, host: Host, legacy: Legacy | None) -> None:
        self.loop, self.path, self.host = loop, path, host
        self.door: socket.socket | None = None
        self.place: tuple[int, int] | None = None  # what our name in $TMPDIR stands for
        self.successor: Link | None = None
        self.follows = False  # the successor has said yes
        self.elder = Link(loop, legacy.link, self._from_elder, self._elder_ended) if legacy else None

    def open(self) -> None:
        """Ready: tell the elder, and be found by who comes next."""
        if self.elder:
            self.elder.tell({"ready": True})
        self._take_place()

    def _take_place(self) -> None:
        try:
            if self.door is None:
                self.door = _listener(self.path)
                self.loop.watch(self.door, IN, self._knock)
                told = os.stat(_own(self.path))
                self.place = told.st_dev, told.st_ino
                os.rename(_own(self.path), self.path)
            elif self._placed() != self.place:  # a successor that died had it
                self.loop.dispose(self.door)
                self.door = None
                self._take_place()
        except OSError as bad:
            log("handover", f"cannot be found by a successor: {bad.strerror}")

    def _placed(self) -> tuple[int, int] | None:
        with contextlib.suppress(OSError):
            told = os.stat(self.path)
            return told.st_dev, told.st_ino
        return None

    def leave(self) -> None:
        """The end of this process: its name goes, unless it is another's by now."""
        if self.place and self._placed() == self.place:
            with contextlib.suppress(OSError):
                os.unlink(self.path)

    def give(self, sock: socket.socket, peer: str, asked: bool) -> bool:
        """Pass a resting connection on; False if that cannot be done now."""
        link = self.successor if self.follows else None
        return link is not None and link.tell({"client": peer, "asked": asked}, [sock.fileno()])

    def tell_leaving(self) -> None:
        if self.successor:
            self.successor.tell({"leaving": True})

    # ---- as the elder

    def _knock(self) -> None:
        assert self.door
        with contextlib.suppress(OSError):
            sock, _ = self.door.accept()
            sock.setblocking(False)
            if self.successor:  # one at a time; the other finds its address in use and ends
                sock.close()
                return
            self.successor = Link(self.loop, sock, self._from_successor, self._successor_ended)

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
            if link.tell(told, [listener.fileno() for listener in listeners]):
                log("handover", "a successor starts")
                self.host.paired(True)
                return
            link.end()
        elif message.get("ready") is True:
            log("handover", "the successor is ready")
            self.follows = True
            self.host.succeeded()
        else:
            link.end()

    def _successor_ended(self) -> None:
        log("handover", "the successor has ended")
        self.successor, self.follows = None, False
        self.host.paired(False)
        self._take_place()

    # ---- as the successor

    def _from_elder(self, message: dict[str, Any], fds: list[int]) -> None:
        peer, asked = message.get("client"), message.get("asked")
        if len(fds) == 1 and isinstance(peer, str) and isinstance(asked, bool):
            self.host.handed(socket.socket(fileno=fds[0]), peer, asked)
            return
        for fd in fds:
            os.close(fd)
        if message.get("leaving") is True:
            self.host.elder_leaves()

    def _elder_ended(self) -> None:
        log("handover", "the elder has ended")
        self.elder = None
        self.host.paired(False)
