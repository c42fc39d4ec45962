"""A planner as a process of its own: one instance of the module for the forwarders that dial it."""

import signal
import socket
import time
from collections.abc import Generator
from dataclasses import replace
from typing import Any

from query_gateway.forwarder.exchange import LAST
from query_gateway.forwarder.messages import EjectedEndpoints
from query_gateway.model.actions import Action, Cancel, Fail, Forward, Reject, SetTerms
from query_gateway.model.events import AttemptOutcome, Event, OutcomeCode, Request, RequestAbandoned
from query_gateway.model.settings import Settings
from query_gateway.net.listener import Listener
from query_gateway.net.log import log
from query_gateway.net.loop import Loop
from query_gateway.net.stream import Reason, Stream
from query_gateway.planner.ipc import IpcConnection
from query_gateway.planner.ipc_codec import EVENTS
from query_gateway.planner.planner import Planner

FORWARDERS = 64  # connections at most
LOOK = 0.2  # seconds between two looks at which engines are avoided
RequestAction = Forward | Reject | Fail | Cancel | SetTerms  # what concerns one request, so one forwarder


class PlannerSession:
    """A forwarder here, with its requests and the attempt of each that is out."""

    def __init__(self, home: "PlannerProcess", sock: socket.socket, peer: str) -> None:
        self.process = home
        self.forwarded: dict[int, Forward | None] = {}
        self.attempt_numbers: dict[int, int] = {}
        stream = Stream(home.loop, sock, f"forwarder {peer}")
        self.connection = IpcConnection(stream, EVENTS, self.on_event)
        self.task = home.loop.spawn(self._run())
        stream.on_activity = self.task.wake
        stream.start()

    def _run(self) -> Generator[float | None, None, None]:
        reason = Reason.FAULT
        try:
            reason = yield from self.connection.receive()
        finally:
            self.connection.stream.close(reason)
            self.process.on_session_ended(self)

    def on_event(self, event: Event) -> None:
        if isinstance(event, Request):
            self.forwarded[event.request_id] = None
            self.process.owners[event.request_id] = self
        elif isinstance(event, AttemptOutcome):
            if event.attempt_number == LAST:  # the forwarder had ended the request before the send came
                event = replace(event, attempt_number=self.attempt_numbers.get(event.request_id, 0))
            if event.final:
                self.forget(event.request_id)
            elif event.request_id in self.forwarded:
                self.forwarded[event.request_id] = None
        elif isinstance(event, RequestAbandoned) and self.forwarded.get(event.request_id) is None:
            self.forget(event.request_id)
        self.process.planner.notify(event)

    def forget(self, xid: int) -> None:
        self.forwarded.pop(xid, None)
        self.attempt_numbers.pop(xid, None)
        self.process.owners.pop(xid, None)

    def send_action(self, action: Action) -> None:
        if isinstance(action, Forward):
            self.forwarded[action.request_id] = action
            self.attempt_numbers[action.request_id] = self.attempt_numbers.get(action.request_id, -1) + 1
        self.connection.send(action)
        if isinstance(action, Reject | Fail) and self.forwarded[action.request_id] is None:
            self.forget(action.request_id)


class PlannerProcess:
    def __init__(self, settings: Settings, seed: int, address: tuple[str, int]) -> None:
        self.loop = Loop()
        self.planner = Planner(settings, seed, time.time_ns, self._later)
        self.owners: dict[int, PlannerSession] = {}
        self.sessions: set[PlannerSession] = set()
        self.listener = Listener(self.loop, address, self._taken)
        self.loop.turn_hooks.append(self.run_planner)
        self.ejected = EjectedEndpoints(())
        self._look()

    def _later(self, when: int, call: Any) -> object:
        return self.loop.call_at(self.loop.now() + (when - time.time_ns()) / 1e9, call)

    def _taken(self, sock: socket.socket, peer: str) -> None:
        if len(self.sessions) >= FORWARDERS:  # guards the table against whoever else dials
            Stream(self.loop, sock, f"forwarder {peer}").close(Reason.TOO_MANY)
            return
        self.sessions.add(seat := PlannerSession(self, sock, peer))
        seat.connection.send(self.ejected)

    def _look(self) -> None:
        avoided = EjectedEndpoints(self.planner.ejected_endpoints())
        if avoided != self.ejected:
            self.ejected = avoided
            for seat in self.sessions:
                seat.connection.send(avoided)
        self.loop.call_at(self.loop.now() + LOOK, self._look)

    def on_session_ended(self, seat: PlannerSession) -> None:
        """Guards the module's view of the engines: what a forwarder had out ended with it."""
        self.sessions.discard(seat)
        for xid, sent in list(seat.forwarded.items()):
            self.planner.notify(RequestAbandoned(xid))
            if sent:
                copy = seat.attempt_numbers.get(xid, 0)
                ended = AttemptOutcome(
                    xid, True, OutcomeCode.CANCELLED, 0, copy, sent.endpoint, None, None, ()
                )
                self.planner.notify(ended)
            seat.forget(xid)

    def run_planner(self) -> bool:
        """A module that breaks ends the process: its forwarders settle all, and the parent starts another."""
        try:
            actions = self.planner.decide()
        except Exception as fault:
            log("planner", f"a planner broke and ends: {fault!r}")
            raise SystemExit(1) from fault
        for action in actions:
            if isinstance(action, RequestAction) and (seat := self.owners.get(action.request_id)):
                seat.send_action(action)
        return bool(self.planner.pending_events)

    def run(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self.loop.stop())
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        host, port = self.listener.address
        log("start", f"planner listens on {host}:{port}")
        self.loop.run()
