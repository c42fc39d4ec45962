"""The overlap of a hot upgrade: two processes are one gateway, and divide its budgets.

`hot_upgrade` says which process accepts and answers at each step. The budgets at the same steps:

    step                       client connections   slow-start share (`slow_start_share`)
                               of each process      predecessor   successor
    offer sent                 half                 1.0           0.5, of which it uses nothing yet
    successor ready            half                 0.5           0.5
    predecessor draining       half                 0.1           0.9, after the overload window
    one of the two has ended   all for the other    1.0 for the other, after the overload window

Requests with a key are the predecessor's alone until it drains: the successor rejects them before that, then
holds them until the predecessor has ended and what it gave up last cannot run any more.

The successor also inherits what the predecessor's scheduler and statement classifier have learned, as it was
when the offer was sent. What the predecessor learns later is lost with it.
"""

import socket
from dataclasses import dataclass

from query_gateway.forwarder.forwarder import Forwarder
from query_gateway.lifecycle.active_configuration import ActiveConfiguration
from query_gateway.lifecycle.client_fronts import ClientFronts
from query_gateway.lifecycle.hot_upgrade import OfferWithListeners
from query_gateway.lifecycle.inherited_state import InheritedState
from query_gateway.lifecycle.planner_links import PlannerLinks
from query_gateway.lifecycle.route_announcer import RouteAnnouncer
from query_gateway.lifecycle.shutdown import Shutdown, ShutdownState
from query_gateway.lifecycle.slow_start_share import (
    FULL_SHARE,
    LEAVING_SHARE,
    OVERLAP_SHARE,
    SlowStartShare,
)
from query_gateway.lifecycle.startup import Startup
from query_gateway.lifecycle.upgrade_messages import FLIGHT_FRONT, HTTP_FRONT, Offer
from query_gateway.net.listener import ListenerState
from query_gateway.net.log import log
from query_gateway.net.steady_clock import wall_clock_offset_ns
from query_gateway.planner.learned_state import export_state, restore_state

OVERLAP_CONNECTION_SHARE = 0.5  # of the client connections, for each process during the overlap
MAX_OFFERED_SHAPES = 256  # normalized statements whose costs a successor inherits


@dataclass(slots=True, frozen=True)
class OverlapParts:
    """What both processes share, or what begins and ends with the overlap; nothing of it is owned here."""

    forwarder: Forwarder
    fronts: ClientFronts
    planners: PlannerLinks
    active: ActiveConfiguration
    slow_start_share: SlowStartShare
    startup: Startup
    shutdown: Shutdown
    announcer: RouteAnnouncer


class Overlap:
    """The gateway's side of the hot upgrade: what each message of the protocol changes here."""

    def __init__(self, parts: OverlapParts, max_connections: int) -> None:
        """`max_connections`: how many clients each front may serve while there is no overlap."""
        self.parts, self.max_connections = parts, max_connections

    # ---- the start of a successor

    def join_as_successor(self, inherited: InheritedState) -> None:
        """Begin the overlap with the predecessor that still serves; this process accepts no clients yet."""
        self.begin_overlap()
        self.parts.forwarder.predecessor_fence.on_serving()
        # The planner must know the endpoint list before it is given what the predecessor learned of engines
        self.parts.planners.run_local()
        self.restore_scheduler(inherited.scheduler_state)
        self.parts.startup.wait_as_successor(self.parts.fronts.listeners)

    # ---- what is transferred

    def offer(self) -> OfferWithListeners:
        """What a successor inherits; the listening sockets stay this process's as well.

        One that starts after a listener here was closed listens at that address by itself.
        """
        fronts = self.parts.fronts
        listeners = {HTTP_FRONT: fronts.http_server.listener}
        if fronts.flight_server:
            listeners[FLIGHT_FRONT] = fronts.flight_server.listener
        sockets = {
            front: listener.socket
            for front, listener in listeners.items()
            if listener.state is not ListenerState.CLOSED
        }
        statement_costs = None
        if fronts.statements:
            statement_costs = fronts.statements.classifier.costs.snapshot(max_entries=MAX_OFFERED_SHAPES)
        scheduler_state = export_state(
            self.parts.planners.planner.scheduler, self._class_numbers(), wall_clock_offset_ns()
        )
        message = Offer(tuple(sockets), scheduler_state, statement_costs)
        return OfferWithListeners(message, tuple(sockets.values()))

    def restore_scheduler(self, scheduler_state: object) -> None:
        """Restore what the predecessor's scheduler learned, all of it or nothing; None: there is none."""
        if scheduler_state is not None and not restore_state(
            self.parts.planners.planner.scheduler,
            self._class_numbers(),
            scheduler_state,
            wall_clock_offset_ns(),
        ):
            log("upgrade", "what the predecessor's scheduler learned cannot be used here")

    def _class_numbers(self) -> dict[str, int]:
        return {name: request_class.index for name, request_class in self.parts.active.classes.items()}

    def receive_connection(self, sock: socket.socket, peer: str, has_sent_request: bool) -> None:
        """Serve a client whose idle connection the predecessor has transferred."""
        self.parts.fronts.http_server.add_connection(sock, peer, has_sent_request)

    # ---- who uses which budget

    def begin_overlap(self) -> None:
        """Another process of this gateway runs: the two divide the client connections."""
        max_connections = max(1, int(self.max_connections * OVERLAP_CONNECTION_SHARE))
        self.parts.fronts.set_max_connections(max_connections)

    def on_successor_ready(self) -> None:
        """The successor accepts clients as well; a shutdown that waited for that goes on at once."""
        self.parts.slow_start_share.change(OVERLAP_SHARE)
        if self.parts.shutdown.state is not ShutdownState.SERVING:
            self.parts.shutdown.transfer_to_successor()

    def on_predecessor_draining(self) -> None:
        """The predecessor accepts no more clients: all but its last share is ours."""
        self.parts.slow_start_share.change_after_window(FULL_SHARE - LEAVING_SHARE)
        self.parts.forwarder.predecessor_fence.on_draining()

    def end_overlap(self) -> None:
        """The other process has ended: this one has all budgets again, whichever of the two it was."""
        self.parts.fronts.set_max_connections(self.max_connections)
        self.parts.slow_start_share.change_after_window(FULL_SHARE)
        self.parts.forwarder.predecessor_fence.on_ended()
        # A predecessor may die before its successor is ready: then nobody accepts clients, and those in the
        # accept queue time out. The successor begins at once; where this process serves already, `begin`
        # changes nothing.
        self.parts.startup.begin()
        if self.parts.shutdown.state is not ShutdownState.SERVING:
            self.parts.shutdown.continue_without_successor()
        else:
            # Two BGP sessions under one identifier collide and the router drops both, so a successor's begins
            # only now
            self.parts.announcer.start_and_update()
