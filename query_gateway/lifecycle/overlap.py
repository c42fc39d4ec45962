"""The overlap of a hot upgrade: two processes are one gateway, and share its budgets.

Each uses half of the descriptors until the other has ended. The slow-start budget goes over in steps: all of
it is the predecessor's until the successor is ready, then half of it, and a tenth once it leaves.
"""

import socket
from dataclasses import dataclass

from query_gateway.lifecycle.active_configuration import ActiveConfiguration
from query_gateway.lifecycle.client_fronts import ClientFronts
from query_gateway.lifecycle.planner_links import PlannerLinks
from query_gateway.lifecycle.route_announcer import RouteAnnouncer
from query_gateway.lifecycle.shutdown import Shutdown, ShutdownState
from query_gateway.lifecycle.slow_start_share import (
    DRAINING_SHARE,
    FULL_SHARE,
    OVERLAP_SHARE,
    SlowStartShare,
)
from query_gateway.lifecycle.startup import Startup
from query_gateway.lifecycle.upgrade_messages import Offer
from query_gateway.net.log import log
from query_gateway.net.steady_clock import wall_clock_offset_ns
from query_gateway.planner.learned_state import export_state, restore_state

DESCRIPTOR_SHARE = 0.5  # of each process during the overlap
MAX_OFFERED_SHAPES = 256  # of statements, whose costs a successor inherits
HTTP_FRONT, FLIGHT_FRONT = "web", "flight"  # names of the fronts in an offer: a stored form


@dataclass(slots=True, frozen=True)
class OverlapParts:
    """What both processes share, or what begins and ends with the overlap; nothing of it is owned here."""

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

    # ---- what goes over

    def offer(self) -> tuple[Offer, list[socket.socket]]:
        """What a successor inherits, and the listeners in the order of the offer's fronts."""
        fronts = self.parts.fronts
        listeners = {HTTP_FRONT: fronts.http_server.listener.socket}
        if fronts.flight_server:
            listeners[FLIGHT_FRONT] = fronts.flight_server.listener.socket
        statement_costs = None
        if fronts.statements:
            statement_costs = fronts.statements.classifier.costs.snapshot(max_entries=MAX_OFFERED_SHAPES)
        scheduler_state = export_state(
            self.parts.planners.planner.scheduler, self._class_numbers(), wall_clock_offset_ns()
        )
        return Offer(tuple(listeners), scheduler_state, statement_costs), list(listeners.values())

    def restore_scheduler(self, scheduler_state: object) -> None:
        """Take over what the predecessor's scheduler learned, all of it or nothing; None: there is none."""
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
        """Serve a client whose idle connection the predecessor has passed on."""
        self.parts.fronts.http_server.add_connection(sock, peer, has_sent_request)

    # ---- who takes what

    def begin_overlap(self) -> None:
        """Another process of this gateway runs: the two share the descriptors."""
        self.parts.fronts.set_max_connections(max(1, int(self.max_connections * DESCRIPTOR_SHARE)))

    def on_successor_ready(self) -> None:
        """The successor takes requests as well; a shutdown that has begun here goes on at once."""
        self.parts.slow_start_share.change(OVERLAP_SHARE)
        if self.parts.shutdown.state is not ShutdownState.SERVING:
            self.parts.shutdown.transfer_to_successor()

    def on_predecessor_draining(self) -> None:
        """The predecessor takes no more requests: the rest of its share is ours."""
        self.parts.slow_start_share.change_after_window(FULL_SHARE - DRAINING_SHARE)

    def end_overlap(self) -> None:
        """The other process has ended: this one goes on with all, whichever of the two it was."""
        self.parts.fronts.set_max_connections(self.max_connections)
        self.parts.slow_start_share.change_after_window(FULL_SHARE)
        # A successor whose predecessor died before it was ready: nobody else takes requests now
        self.parts.startup.begin()
        if self.parts.shutdown.state is not ShutdownState.SERVING:
            self.parts.shutdown.continue_without_successor()
        else:
            # Only now: two sessions under one identifier would collide, so a successor's waited
            self.parts.announcer.start_and_update()
