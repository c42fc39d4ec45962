"""A planner in a process of its own: one instance of the decision module for the forwarders that connect.

Each connected forwarder has a session, which owns the list of the forwarder's open requests:

    QUEUED --Forward--> IN_FLIGHT --outcome, not final--> QUEUED
    QUEUED --Reject, Fail, abandoned--> forgotten
    IN_FLIGHT --outcome, final--> forgotten

A request that is rejected, failed or abandoned while IN_FLIGHT stays so until its final outcome: the attempt
still runs at its engine, and the module must be notified of its end.

If this process dies, all of this is lost, and with it the queues and what the module learned. The forwarders
see their connections end and answer the requests themselves (`lifecycle/planner_links.py`); the supervisor
starts another process. If a forwarder dies, see `on_session_ended`.
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

MAX_FORWARDERS = 64  # connections
EJECTION_POLL_INTERVAL_S = 0.2  # between two looks for changes of the ejected endpoints
RequestAction = Forward | Reject | Fail | Cancel | SetTerms  # concerns one request, so one forwarder


@dataclass(slots=True)
class OpenRequest:
    """A request of a forwarder that has not ended, as far as this process knows."""

    attempt_count: int = 0
    in_flight: Forward | None = None  # the attempt whose outcome has not been received

    @property
    def last_attempt_number(self) -> int:
        """The number of the last attempt; 0 where there was none."""
        return max(0, self.attempt_count - 1)


class PlannerSession:
    """One connected forwarder; owns its connection and the list of its open requests, and ends with it."""

    def __init__(self, process: "PlannerProcess", sock: socket.socket, peer: str) -> None:
        """Take over an accepted socket; `peer` is its address for the log."""
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
        """Update the list of open requests, and pass the event to the planner."""
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
            # With an attempt in flight the request is forgotten at its outcome
            if request is None or request.in_flight is None:
                self.forget(event.request_id)
        self.process.planner.notify(event)

    def _record_outcome(self, outcome: AttemptOutcome) -> AttemptOutcome:
        """Update the request; the outcome with its attempt's number, which the forwarder may not know.

        It does not if the `Forward` reached it only after it had ended the request.
        """
        request = self.open_requests.get(outcome.request_id)
        if outcome.attempt_number == LAST_ATTEMPT:
            outcome = replace(outcome, attempt_number=request.last_attempt_number if request else 0)
        if outcome.final:
            self.forget(outcome.request_id)
        elif request:
            request.in_flight = None
        return outcome

    def forget(self, request_id: int) -> None:
        """Drop a request that has ended."""
        self.open_requests.pop(request_id, None)
        self.process.sessions_by_request.pop(request_id, None)

    def query_arrivals(self, request: Request) -> None:
        """Have the forwarder reply once it has passed on all that came before another one's request."""
        self.connection.send(ArrivalQuery(request.request_id, request.received_at))

    def send_action(self, action: RequestAction) -> None:
        """Send the forwarder an action on one of its open requests."""
        request = self.open_requests[action.request_id]
        if isinstance(action, Forward):
            request.in_flight = action
            request.attempt_count += 1
        self.connection.send(action)
        if isinstance(action, Reject | Fail) and request.in_flight is None:
            self.forget(action.request_id)


class PlannerProcess:
    """The planner with its loop, its listener and a session for each forwarder that connects."""

    def __init__(self, settings: Settings, seed: int, address: tuple[str, int]) -> None:
        """Listen at `address`; raises OSError if that is not possible. `run` or the caller runs the loop."""
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
        if len(self.sessions) >= MAX_FORWARDERS:  # bounds the table: any program may connect to the port
            Stream(self.loop, sock, f"forwarder {peer}").close(Reason.TOO_MANY)
            return
        session = PlannerSession(self, sock, peer)
        self.sessions.add(session)
        session.connection.send(self.ejected)

    def _poll_ejected_endpoints(self) -> None:
        """Send all forwarders the ejected endpoints when these have changed."""
        ejected = EjectedEndpoints(self.planner.ejected_endpoints())
        if ejected != self.ejected:
            self.ejected = ejected
            for session in self.sessions:
                session.connection.send(ejected)
        self.loop.call_at(self.loop.now() + EJECTION_POLL_INTERVAL_S, self._poll_ejected_endpoints)

    def on_session_ended(self, session: PlannerSession) -> None:
        """End the requests of a forwarder whose connection has ended.

        The forwarder has died, or takes this planner for lost and has answered its requests itself. The
        outcomes of its attempts will never be received: the module would count them as running for ever, take
        the engines for busy and send them less and less. So each request is reported as abandoned, and each
        attempt as cancelled.
        """
        self.sessions.discard(session)
        self.arrival_merge.on_disconnected(session)
        for request_id, request in list(session.open_requests.items()):
            self.planner.notify(RequestAbandoned(request_id))
            if request.in_flight:
                self.planner.notify(self._cancelled_outcome(request_id, request, request.in_flight.endpoint))
            session.forget(request_id)

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
        """Let the module decide on all pending events and send its actions; True if there are more already.

        A module that raises an error ends the process, as its state may be inconsistent: the forwarders
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
        """Send an action to the forwarder of its request; if that has disconnected, drop it."""
        if isinstance(action, RequestAction) and (session := self.sessions_by_request.get(action.request_id)):
            session.send_action(action)

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT. SIGHUP is ignored: new settings come from the forwarders."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self.loop.stop())
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        host, port = self.listener.address
        log("start", f"planner listens on {host}:{port}")
        self.loop.run()
