"""A planner as a process of its own: one instance of the module for the forwarders that dial it."""

import signal
import socket
import time
from collections.abc import Generator
from dataclasses import replace
from typing import Any

from mothknot.core.exchange import LAST
from mothknot.core.messages import Avoids
from mothknot.core.planner import Planner
from mothknot.interface import (
    Action,
    Cancel,
    Code,
    Event,
    Fail,
    Gone,
    Outcome,
    Refuse,
    Request,
    Send,
    Settings,
    Terms,
)
from mothknot.local.codec import EVENTS
from mothknot.local.link import Link
from mothknot.net.log import log
from mothknot.net.loop import Loop
from mothknot.net.stream import Listener, Reason, Stream

FORWARDERS = 64  # connections at most
LOOK = 0.2  # seconds between two looks at which engines are avoided
Told = Send | Refuse | Fail | Cancel | Terms  # what concerns one request, so one forwarder


class Seat:
    """A forwarder here, with its requests and the attempt of each that is out."""

    def __init__(self, home: "Process", sock: socket.socket, peer: str) -> None:
        self.home = home
        self.requests: dict[int, Send | None] = {}
        self.copies: dict[int, int] = {}
        stream = Stream(home.loop, sock, f"forwarder {peer}")
        self.link = Link(stream, EVENTS, self.got)
        self.task = home.loop.spawn(self._run())
        stream.woken = self.task.wake
        stream.start()

    def _run(self) -> Generator[float | None, None, None]:
        reason = Reason.FAULT
        try:
            reason = yield from self.link.talk()
        finally:
            self.link.stream.close(reason)
            self.home.left(self)

    def got(self, event: Event) -> None:
        if isinstance(event, Request):
            self.requests[event.xid] = None
            self.home.owners[event.xid] = self
        elif isinstance(event, Outcome):
            if event.copy == LAST:  # the forwarder had ended the request before the send came
                event = replace(event, copy=self.copies.get(event.xid, 0))
            if event.final:
                self.forget(event.xid)
            elif event.xid in self.requests:
                self.requests[event.xid] = None
        elif isinstance(event, Gone) and self.requests.get(event.xid) is None:
            self.forget(event.xid)
        self.home.planner.tell(event)

    def forget(self, xid: int) -> None:
        self.requests.pop(xid, None)
        self.copies.pop(xid, None)
        self.home.owners.pop(xid, None)

    def act(self, action: Action) -> None:
        if isinstance(action, Send):
            self.requests[action.xid] = action
            self.copies[action.xid] = self.copies.get(action.xid, -1) + 1
        self.link.tell(action)
        if isinstance(action, Refuse | Fail) and self.requests[action.xid] is None:
            self.forget(action.xid)


class Process:
    def __init__(self, settings: Settings, seed: int, address: tuple[str, int]) -> None:
        self.loop = Loop()
        self.planner = Planner(settings, seed, time.time_ns, self._later)
        self.owners: dict[int, Seat] = {}
        self.seats: set[Seat] = set()
        self.listener = Listener(self.loop, address, self._taken)
        self.loop.after.append(self.turn)
        self.avoided = Avoids(())
        self._look()

    def _later(self, when: int, call: Any) -> object:
        return self.loop.at(self.loop.now() + (when - time.time_ns()) / 1e9, call)

    def _taken(self, sock: socket.socket, peer: str) -> None:
        if len(self.seats) >= FORWARDERS:  # guards the table against whoever else dials
            Stream(self.loop, sock, f"forwarder {peer}").close(Reason.TOO_MANY)
            return
        self.seats.add(seat := Seat(self, sock, peer))
        seat.link.tell(self.avoided)

    def _look(self) -> None:
        avoided = Avoids(self.planner.avoided())
        if avoided != self.avoided:
            self.avoided = avoided
            for seat in self.seats:
                seat.link.tell(avoided)
        self.loop.at(self.loop.now() + LOOK, self._look)

    def left(self, seat: Seat) -> None:
        """Guards the module's view of the engines: what a forwarder had out ended with it."""
        self.seats.discard(seat)
        for xid, sent in list(seat.requests.items()):
            self.planner.tell(Gone(xid))
            if sent:
                copy = seat.copies.get(xid, 0)
                ended = Outcome(xid, True, Code.CANCELLED, 0, copy, sent.engine, None, None, ())
                self.planner.tell(ended)
            seat.forget(xid)

    def turn(self) -> bool:
        """A module that breaks ends the process: its forwarders settle all, and the parent starts another."""
        try:
            actions = self.planner.turn()
        except Exception as fault:
            log("planner", f"a planner broke and ends: {fault!r}")
            raise SystemExit(1) from fault
        for action in actions:
            if isinstance(action, Told) and (seat := self.owners.get(action.xid)):
                seat.act(action)
        return bool(self.planner.events)

    def run(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self.loop.stop())
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        host, port = self.listener.address
        log("start", f"planner listens on {host}:{port}")
        self.loop.run()
