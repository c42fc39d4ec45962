"""The planners of one gateway: one in this process, or several that are processes of their own."""

from collections.abc import Callable
from typing import Any

from query_gateway.forwarder.forwarder import Forwarder
from query_gateway.forwarder.readiness import Readiness
from query_gateway.model.settings import Settings
from query_gateway.net.log import log
from query_gateway.net.loop import Loop
from query_gateway.planner.ipc import PlannerClient
from query_gateway.planner.ipc_codec import EjectedEndpoints
from query_gateway.planner.planner import Planner

LOCAL_PLANNER_INDEX = 0


class PlannerLinks:
    """Joins planners to the forwarder and carries out what they decide; owns the connections to them."""

    planner: Planner  # only where it shares this process

    def __init__(self, loop: Loop, forwarder: Forwarder, readiness: Readiness) -> None:
        """No planner is there before `add_local` or `add_remote`."""
        self.loop, self.forwarder, self.readiness = loop, forwarder, readiness
        self.clients: list[PlannerClient] = []
        self._ejected_by_planner: dict[int, tuple[str, ...]] = {}  # where they are processes of their own

    # ---- a planner in this process

    def add_local(self, planner: Planner) -> None:
        """Let this planner decide, once in every turn of the loop."""
        self.planner = planner
        self.forwarder.add_planner(planner.notify, True)
        self.loop.turn_hooks.append(self.run_local)

    def run_local(self) -> bool:
        """Let the planner decide on what has come; True if there is more at once."""
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
        self.planner.restart()
        # The requests of the broken one are settled; the events about that mean nothing to the new one
        self.forwarder.on_planner_lost(LOCAL_PLANNER_INDEX)
        self.planner.pending_events.clear()
        self.forwarder.on_planner_connected(LOCAL_PLANNER_INDEX)

    # ---- planners in processes of their own

    def add_remote(self, address: tuple[str, int], settings: Settings | None) -> None:
        """Connect to a planner process, again and again; `settings`: what it gets from us at each connect."""
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
            """Carry out what this planner has decided."""
            if isinstance(action, EjectedEndpoints):
                self._ejected_by_planner[planner_index] = action.names
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
        """The engines that at least one planner gives nothing for now."""
        ejected = {name for names in self._ejected_by_planner.values() for name in names}
        if not self.clients:
            ejected |= set(self.planner.ejected_endpoints())
        return ejected

    def stop(self) -> None:
        """Close the connections to planner processes."""
        for client in self.clients:
            client.stop()
