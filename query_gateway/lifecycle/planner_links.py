"""The planners of one gateway: one in this process, or several that are processes of their own.

The states of a planner as this process sees it; one in this process is replaced and CONNECTED again at once:

    LOST --connection up--> CONNECTED --connection ended, or the module raised an error--> LOST

When a planner is lost, its queues, its view of the engines and what it learned are lost with it. The
forwarder ends all of its open requests at once (`Forwarder.on_planner_lost`): each is rejected where its
client may safely send it again, else it fails. Requests with a key then wait for a while (`KeyQuarantine`),
since an engine may still run an earlier one of the same key. New requests for that planner are rejected until
it is connected again; without any planner the gateway is not ready. A planner that connects gets its settings
and the endpoint list.
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
    """Joins planners to the forwarder and carries out their actions; owns the connections to them."""

    planner: Planner  # only where it shares this process

    def __init__(self, loop: Loop, forwarder: Forwarder, readiness: Readiness) -> None:
        """There is no planner before `add_local` or `add_remote`."""
        self.loop, self.forwarder, self.readiness = loop, forwarder, readiness
        self.clients: list[PlannerClient] = []
        self._ejected_by_planner: dict[int, tuple[str, ...]] = {}  # of planner processes, by planner index

    # ---- a planner in this process

    def add_local(self, planner: Planner) -> None:
        """Let this planner decide at the end of every turn of the loop."""
        self.planner = planner
        self.forwarder.add_planner(planner.notify, True)
        self.loop.turn_hooks.append(self.run_local)

    def run_local(self) -> bool:
        """Let the planner decide on all pending events; True if there are more already."""
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
        """Replace the instance of the decision module that raised an error, and end its open requests."""
        self.planner.restart()
        # Events that came before the error are about requests that the new instance has never seen; they are
        # dropped
        self.forwarder.on_planner_lost(LOCAL_PLANNER_INDEX)
        self.planner.pending_events.clear()
        self.forwarder.on_planner_connected(LOCAL_PLANNER_INDEX)

    # ---- planners in processes of their own

    def add_remote(self, address: tuple[str, int], settings: Settings | None) -> None:
        """Keep connected to a planner process; `settings`, if any, are sent to it at each connect."""
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
            """Carry out an action of this planner."""
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

    # ---- all of them

    def update_readiness(self) -> None:
        """Without any planner the gateway is not ready."""
        self.readiness.set_planner_available(self.forwarder.router.any_connected)

    def ejected_endpoints(self) -> set[str]:
        """The engines that at least one planner has ejected."""
        ejected = {name for names in self._ejected_by_planner.values() for name in names}
        if not self.clients:
            ejected |= set(self.planner.ejected_endpoints())
        return ejected

    def stop(self) -> None:
        """Close the connections to planner processes."""
        for client in self.clients:
            client.stop()
