"""The links from the forwarder to its planners: one in this process, or several separate processes.

The states of a planner as seen by this process; a local planner is replaced and CONNECTED again at once:

    LOST --connection established--> CONNECTED --connection closed, or its scheduler raised an error--> LOST

When a planner is lost, its queues, its view of the engines and its learned state are lost with it. The
forwarder ends all of the planner's open requests at once (`Forwarder.on_planner_lost`): a request is rejected
if its client can safely retry it, otherwise it fails. Requests with a key are then held back for a while
(`KeyQuarantine`), because an engine may still run an earlier request with the same key. New requests for that
planner are rejected until it is connected again; without any planner the gateway is not ready. A planner that
connects is sent its settings and the endpoint list.
"""

from collections.abc import Callable
from typing import Any

from query_gateway.forwarder.forwarder import Forwarder
from query_gateway.forwarder.readiness import Readiness
from query_gateway.model.settings import Settings
from query_gateway.net.log import log
from query_gateway.net.loop import Loop
from query_gateway.planner.ipc import PlannerClient
from query_gateway.planner.ipc_codec import ArrivalQuery, ArrivalReply, EjectedEndpoints
from query_gateway.planner.planner import Planner

LOCAL_PLANNER_INDEX = 0


class PlannerLinks:
    """Connects planners to the forwarder and applies their actions; owns the connections."""

    planner: Planner  # set only if the planner runs in this process

    def __init__(self, loop: Loop, forwarder: Forwarder, readiness: Readiness) -> None:
        """Start without planners; `add_local` and `add_remote` add them."""
        self.loop, self.forwarder, self.readiness = loop, forwarder, readiness
        self.clients: list[PlannerClient] = []
        # Names of the engines that each planner in a separate process has ejected, by planner index
        self._ejected_by_planner: dict[int, tuple[str, ...]] = {}

    # ---- a planner in this process

    def add_local(self, planner: Planner) -> None:
        """Add a planner that decides at the end of every loop turn."""
        self.planner = planner
        self.forwarder.add_planner(planner.notify, True)
        self.loop.turn_hooks.append(self.run_local)

    def run_local(self) -> bool:
        """Let the planner decide on all pending events; returns True if this produced new ones."""
        try:
            actions = self.planner.decide()
        except Exception as error:
            log("planner", f"a planner broke and is restarted: {error!r}")
            self._restart_local()
            return True
        for action in actions:
            self.forwarder.apply(action)
        return bool(self.planner.pending_events)

    def _restart_local(self) -> None:
        """Replace the planner's scheduler, which has raised an error, and end its open requests."""
        self.planner.restart()
        # Pending events concern requests that the new scheduler has never seen, so they are dropped
        self.forwarder.on_planner_lost(LOCAL_PLANNER_INDEX)
        self.planner.pending_events.clear()
        self.forwarder.on_planner_connected(LOCAL_PLANNER_INDEX)

    # ---- planners in separate processes

    def add_remote(self, address: tuple[str, int], settings: Settings | None) -> None:
        """Keep a connection to a planner process; `settings`, if any, are sent after every connect."""
        planner_index = len(self.clients)
        client = PlannerClient(
            self.loop,
            address,
            self._action_handler(planner_index),
            lambda: self._on_connected(planner_index),
            lambda: self._on_disconnected(planner_index),
        )
        self.clients.append(client)
        self.forwarder.add_planner(client.notify, False, settings)

    def _action_handler(self, planner_index: int) -> Callable[[Any], None]:
        def on_action(action: Any) -> None:
            """Store the ejected endpoints, answer an arrival query, or apply any other action."""
            if isinstance(action, EjectedEndpoints):
                self._ejected_by_planner[planner_index] = action.names
            elif isinstance(action, ArrivalQuery):
                reply, client = ArrivalReply(action.request_id), self.clients[planner_index]
                self.forwarder.call_in_order(action.received_at, lambda: client.notify(reply))
            else:
                self.forwarder.apply(action, planner_index)

        return on_action

    def _on_connected(self, planner_index: int) -> None:
        self.forwarder.on_planner_connected(planner_index)
        self.readiness.set_planner_available(True)

    def _on_disconnected(self, planner_index: int) -> None:
        self._ejected_by_planner.pop(planner_index, None)
        self.forwarder.on_planner_lost(planner_index)
        self.update_readiness()

    # ---- all planners

    def update_readiness(self) -> None:
        """Update the readiness: without any connected planner the gateway is not ready."""
        self.readiness.set_planner_available(self.forwarder.router.any_connected)

    def ejected_endpoints(self) -> set[str]:
        """The names of the engines that at least one planner has ejected."""
        ejected = {name for names in self._ejected_by_planner.values() for name in names}
        if not self.clients:
            ejected |= set(self.planner.ejected_endpoints())
        return ejected

    def stop(self) -> None:
        """Close the connections to planner processes."""
        for client in self.clients:
            client.stop()
