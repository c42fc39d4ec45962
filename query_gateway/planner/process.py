"""The planner process: one instance of the decision module for all forwarders that connect to it.

Each connected forwarder has a session, which owns the list of the forwarder's open requests:

    QUEUED --Forward--> IN_FLIGHT --outcome, not final--> QUEUED
    QUEUED --Reject, Fail, abandoned--> removed
    IN_FLIGHT --outcome, final--> removed

A request that is rejected, failed or abandoned while IN_FLIGHT stays IN_FLIGHT until its final outcome: the
attempt is still running at its engine, and the module must be notified of its end.

If this process dies, the sessions, the queues and the learned state are lost. The forwarders see their
connections end and answer the requests themselves (`lifecycle/planner_links.py`), and the supervisor starts
another process. `on_session_ended` handles the death of a forwarder.
"""

import signal
import socket
from collections.abc import Callable
from dataclasses import dataclass, replace

from query_gateway.model.actions import Action, Cancel, Fail, Forward, Reject, SetTerms
from query_gateway.model.events import (
    LAST_ATTEMPT,
    AttemptOutcome,
    Event,
    OutcomeCode,
    Request,
    RequestAbandoned,
)
from query_gateway.model.settings import Settings
from query_gateway.net.listener import Listener
from query_gateway.net.log import log
from query_gateway.net.loop import Loop, Timer
from query_gateway.net.steady_clock import loop_time_of, steady_now_ns
from query_gateway.net.stream import Reason, Stream
from query_gateway.planner.arrival_merge import ArrivalMerge
from query_gateway.planner.ipc import IpcConnection, Steps
from query_gateway.planner.ipc_codec import EVENT_TYPES, ArrivalQuery, ArrivalReply, EjectedEndpoints
from query_gateway.planner.planner import Planner

MAX_FORWARDERS = 64  # limit of connections
EJECTION_POLL_INTERVAL_S = 0.2  # interval of checks for changes of the ejected endpoints
RequestAction = Forward | Reject | Fail | Cancel | SetTerms  # actions on one request, sent to its forwarder


@dataclass(slots=True)
class OpenRequest:
    """A forwarder's request that has not ended, as far as this process has been notified."""

    attempt_count: int = 0
    in_flight: Forward | None = None  # the attempt whose outcome is pending

    @property
    def last_attempt_number(self) -> int:
        """The number of the last attempt; 0 if there was none."""
        return max(0, self.attempt_count - 1)


class PlannerSession:
    """The session of a connected forwarder; owns the connection and the list of open requests."""

    def __init__(self, process: "PlannerProcess", sock: socket.socket, peer: str) -> None:
        """Take ownership of an accepted socket; `peer` is the remote address for the log."""
        self.process = process
        self.open_requests: dict[int, OpenRequest] = {}  # by request id
        stream = Stream(process.loop, sock, f"forwarder {peer}")
        self.connection = IpcConnection(stream, EVENT_TYPES, self.on_event)
        self.task = process.loop.spawn(self._run())
        stream.on_activity = self.task.wake
        stream.start()

    def _run(self) -> Steps:
        reason = Reason.FAULT
        try:
            reason = yield from self.connection.receive()
        finally:
            self.connection.stream.close(reason)
            self.process.on_session_ended(self)

    def on_event(self, event: Event | ArrivalReply) -> None:
        """Update the list of open requests and pass the event to the planner.

        A request with a key is passed on by `ArrivalMerge`, in arrival order.
        """
        if isinstance(event, ArrivalReply):
            self.process.arrival_merge.on_reply(self, event.request_id)
            return
        if isinstance(event, Request):
            self.open_requests[event.request_id] = OpenRequest()
            self.process.sessions_by_request[event.request_id] = self
            if event.key:
                self.process.arrival_merge.add(self, event, self.process.sessions - {self})
                return
        elif isinstance(event, AttemptOutcome):
            event = self._record_outcome(event)
        elif isinstance(event, RequestAbandoned):
            request = self.open_requests.get(event.request_id)
            self.process.arrival_merge.remove(event.request_id)
            # With an attempt in flight, the request is removed at the outcome of the attempt
            if request is None or request.in_flight is None:
                self.remove(event.request_id)
        self.process.planner.notify(event)

    def _record_outcome(self, outcome: AttemptOutcome) -> AttemptOutcome:
        """Update the request, and return the outcome with its attempt number filled in.

        The forwarder does not know the number if it received the `Forward` after it had ended the request.
        """
        request = self.open_requests.get(outcome.request_id)
        if outcome.attempt_number == LAST_ATTEMPT:
            outcome = replace(outcome, attempt_number=request.last_attempt_number if request else 0)
        if outcome.final:
            self.remove(outcome.request_id)
        elif request:
            request.in_flight = None
        return outcome

    def remove(self, request_id: int) -> None:
        """Remove a request that has ended."""
        self.open_requests.pop(request_id, None)
        self.process.sessions_by_request.pop(request_id, None)

    def query_arrivals(self, request: Request) -> None:
        """Ask the forwarder to reply once it has passed on all requests that arrived before `request`.

        `request` was received from another forwarder.
        """
        self.connection.send(ArrivalQuery(request.request_id, request.received_at))

    def send_action(self, action: RequestAction) -> None:
        """Send an action on one of the forwarder's open requests."""
        request = self.open_requests[action.request_id]
        if isinstance(action, Forward):
            request.in_flight = action
            request.attempt_count += 1
        self.connection.send(action)
        if isinstance(action, Reject | Fail) and request.in_flight is None:
            self.remove(action.request_id)


class PlannerProcess:
    """The planner with its event loop, its listener and a session for each connected forwarder."""

    def __init__(self, settings: Settings, seed: int, address: tuple[str, int]) -> None:
        """Listen on `address`; raises OSError if that fails. The loop is run by `run` or by the caller."""
        self.loop = Loop()
        self.planner = Planner(settings, seed, steady_now_ns, self._call_at)
        self.sessions_by_request: dict[int, PlannerSession] = {}  # by request id
        self.sessions: set[PlannerSession] = set()
        self.arrival_merge = ArrivalMerge[PlannerSession](
            lambda session, request: session.query_arrivals(request), self.planner.notify
        )
        self.listener = Listener(self.loop, address, self._on_accepted)
        self.loop.turn_hooks.append(self.run_planner)
        self.ejected = EjectedEndpoints(())
        self._poll_ejected_endpoints()

    def _call_at(self, due_at_ns: int, callback: Callable[[], None]) -> Timer:
        return self.loop.call_at(loop_time_of(due_at_ns), callback)

    def _on_accepted(self, sock: socket.socket, peer: str) -> None:
        if len(self.sessions) >= MAX_FORWARDERS:  # a bound is needed: any program may connect to the port
            Stream(self.loop, sock, f"forwarder {peer}").close(Reason.TOO_MANY)
            return
        session = PlannerSession(self, sock, peer)
        self.sessions.add(session)
        session.connection.send(self.ejected)

    def _poll_ejected_endpoints(self) -> None:
        """Send the ejected endpoints to all forwarders if they have changed."""
        ejected = EjectedEndpoints(self.planner.ejected_endpoints())
        if ejected != self.ejected:
            self.ejected = ejected
            for session in self.sessions:
                session.connection.send(ejected)
        self.loop.call_at(self.loop.now() + EJECTION_POLL_INTERVAL_S, self._poll_ejected_endpoints)

    def on_session_ended(self, session: PlannerSession) -> None:
        """End the open requests of a forwarder whose connection has ended.

        The forwarder has died, or considers this planner lost and has answered its requests itself. The
        outcomes of its attempts will never arrive: the module would count the attempts as running forever,
        overestimate the load of the engines and send them less and less. Each request is therefore reported
        as abandoned, and each attempt as cancelled.
        """
        self.sessions.discard(session)
        self.arrival_merge.on_disconnected(session)
        for request_id, request in list(session.open_requests.items()):
            self.planner.notify(RequestAbandoned(request_id))
            if request.in_flight:
                self.planner.notify(self._cancelled_outcome(request_id, request, request.in_flight.endpoint))
            session.remove(request_id)

    @staticmethod
    def _cancelled_outcome(request_id: int, request: OpenRequest, endpoint: str) -> AttemptOutcome:
        return AttemptOutcome(
            request_id=request_id,
            final=True,
            code=OutcomeCode.CANCELLED,
            duration=0,
            attempt_number=request.last_attempt_number,
            endpoint=endpoint,
            work=None,
            memory_mb=None,
            load_report=(),
        )

    def run_planner(self) -> bool:
        """Process all pending events and send the resulting actions; True if more events are pending.

        If the module raises an error, the process exits, as the state may be inconsistent: the forwarders
        answer the open requests, and the supervisor starts another process.
        """
        try:
            actions = self.planner.decide()
        except Exception as error:
            log("planner", f"a planner broke and ends: {error!r}")
            raise SystemExit(1) from error
        for action in actions:
            self._send_action(action)
        return bool(self.planner.pending_events)

    def _send_action(self, action: Action) -> None:
        """Send an action to the forwarder of its request; dropped if the forwarder has disconnected."""
        if isinstance(action, RequestAction) and (session := self.sessions_by_request.get(action.request_id)):
            session.send_action(action)

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT. Ignores SIGHUP: new settings are received from the forwarders."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self.loop.stop())
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        host, port = self.listener.address
        log("start", f"planner listens on {host}:{port}")
        self.loop.run()
