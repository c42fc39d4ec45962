"""The overlap of a hot upgrade: two processes form one gateway and divide its budgets.

`hot_upgrade` documents which process accepts and answers at each step. The budgets at the same steps:

    step                       client connections   slow-start share (`slow_start_share`)
                               of each process      predecessor   successor
    offer sent                 half                 1.0           0.5, not used yet
    successor ready            half                 0.5           0.5
    predecessor draining       half                 0.1           0.9, after the overload window
    one of the two has ended   all for the other    1.0 for the other, after the overload window

The overload window is the setting `slow_start_overload_window`; `SlowStartShare.change_after_window` explains
the wait.

Until the predecessor drains, it alone serves requests with a key, and the successor rejects them. After that
the successor queues them until the setting `key_quarantine` has passed since the end of the predecessor. By
then the attempts that the predecessor left behind can no longer be running.

The successor also inherits the learned state of the predecessor's scheduler and statement classifier, as of
the time of the offer. State that the predecessor learns later is lost with it.
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
    DRAINING_SHARE,
    FULL_SHARE,
    OVERLAP_SHARE,
    SlowStartShare,
)
from query_gateway.lifecycle.startup import Startup
from query_gateway.lifecycle.upgrade_messages import FLIGHT_FRONT, HTTP_FRONT, Offer
from query_gateway.net.listener import ListenerState
from query_gateway.net.log import log
from query_gateway.net.steady_clock import wall_clock_offset_ns
from query_gateway.planner.learned_state import export_state, restore_state

OVERLAP_CONNECTION_SHARE = 0.5  # of the maximum client connections, for each process during the overlap
MAX_OFFERED_SHAPES = 256  # maximum number of normalized statements whose costs a successor inherits


@dataclass(slots=True, frozen=True)
class OverlapParts:
    """The parts of the gateway that the overlap changes; `Overlap` owns none of them."""

    forwarder: Forwarder
    fronts: ClientFronts
    planners: PlannerLinks
    active: ActiveConfiguration
    slow_start_share: SlowStartShare
    startup: Startup
    shutdown: Shutdown
    announcer: RouteAnnouncer


class Overlap:
    """Implements `hot_upgrade.UpgradeHost`: applies each event of the upgrade protocol to this gateway."""

    def __init__(self, parts: OverlapParts, max_connections: int) -> None:
        """`max_connections`: the connection limit of each front outside an overlap."""
        self.parts, self.max_connections = parts, max_connections

    # ---- the start of a successor

    def start_as_successor(self, inherited: InheritedState) -> None:
        """Begin the overlap with the serving predecessor; this process does not accept clients yet."""
        self.begin_overlap()
        self.parts.forwarder.predecessor_fence.on_serving()
        # The planner needs the endpoint list before the learned state of the engines is restored
        self.parts.planners.run_local()
        self.restore_scheduler(inherited.scheduler_state)
        self.parts.startup.wait_as_successor(self.parts.fronts.listeners)

    # ---- what is transferred

    def offer(self) -> OfferWithListeners:
        """Return the state for a successor; the listening sockets stay open in this process as well.

        Closed listeners are left out: the successor binds their addresses itself.
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
        """Restore the learned state of the predecessor's scheduler, all of it or nothing; None: no state."""
        if scheduler_state is not None and not restore_state(
            self.parts.planners.planner.scheduler,
            self._class_numbers(),
            scheduler_state,
            wall_clock_offset_ns(),
        ):
            log("upgrade", "the scheduler state of the predecessor is not usable here; ignored")

    def _class_numbers(self) -> dict[str, int]:
        return {name: request_class.index for name, request_class in self.parts.active.classes.items()}

    def receive_connection(self, sock: socket.socket, peer: str, has_sent_request: bool) -> None:
        """Serve an idle client connection that the predecessor has transferred."""
        self.parts.fronts.http_server.add_connection(sock, peer, has_sent_request)

    # ---- division of the budgets

    def begin_overlap(self) -> None:
        """Divide the client connections with the other process of this gateway."""
        max_connections = max(1, int(self.max_connections * OVERLAP_CONNECTION_SHARE))
        self.parts.fronts.set_max_connections(max_connections)

    def on_successor_ready(self) -> None:
        """Divide the slow-start budget; a shutdown that waits for the successor continues at once."""
        self.parts.slow_start_share.change(OVERLAP_SHARE)
        if self.parts.shutdown.state is not ShutdownState.SERVING:
            self.parts.shutdown.transfer_to_successor()

    def on_predecessor_draining(self) -> None:
        """Use all of the slow-start budget but the predecessor's share, and queue requests with a key."""
        self.parts.slow_start_share.change_after_window(FULL_SHARE - DRAINING_SHARE)
        self.parts.forwarder.predecessor_fence.on_draining()

    def end_overlap(self) -> None:
        """Use all budgets again after the other process, predecessor or successor, has ended."""
        self.parts.fronts.set_max_connections(self.max_connections)
        self.parts.slow_start_share.change_after_window(FULL_SHARE)
        self.parts.forwarder.predecessor_fence.on_ended()
        # If a predecessor dies before its successor is ready, no process accepts clients, and those in the
        # accept queue would time out. So the successor begins at once; in a process that serves already,
        # `begin` has no effect.
        self.parts.startup.begin()
        if self.parts.shutdown.state is not ShutdownState.SERVING:
            self.parts.shutdown.continue_without_successor()
        else:
            # Two BGP sessions with the same identifier collide and the router drops both, so a successor
            # starts its session only after its predecessor has ended
            self.parts.announcer.start_and_update()
