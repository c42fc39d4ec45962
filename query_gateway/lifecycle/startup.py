"""When a process begins to accept clients.

    STARTING --begin--> SERVING

A gateway without a predecessor begins at once. A successor waits for the first answer of the discovery
service, so that it does not forward requests to engines that drained or were removed since its configuration
was written. It begins without that answer `CATCH_UP_SECONDS` after its start, or when its predecessor has
ended. The state is `Readiness.started` and is lost with the process.
"""

from collections.abc import Sequence

from query_gateway.forwarder.readiness import Readiness
from query_gateway.lifecycle.hot_upgrade import HotUpgrade
from query_gateway.net.listener import Listener
from query_gateway.net.loop import Loop

CATCH_UP_SECONDS = 2.5  # that a successor waits for the discovery service


class Startup:
    """Begins to accept clients, once: see the module."""

    def __init__(self, loop: Loop, readiness: Readiness, hot_upgrade: HotUpgrade | None) -> None:
        """`hot_upgrade` is None where this process can be neither successor nor predecessor."""
        self.loop, self.readiness, self.hot_upgrade = loop, readiness, hot_upgrade
        self._inherited_listeners: list[Listener] = []

    def wait_as_successor(self, inherited_listeners: Sequence[Listener]) -> None:
        """Accept nothing at the predecessor's listeners before this process is ready to serve."""
        self._inherited_listeners = list(inherited_listeners)
        self.loop.call_at(self.loop.now() + CATCH_UP_SECONDS, self.begin)

    def begin(self) -> None:
        """Accept clients from here on; a second call changes nothing."""
        if self.readiness.started:
            return
        # A predecessor that shuts down closes its listeners at the ready message. If this process accepted
        # only after that message, for a moment nobody would: so it accepts first.
        for listener in self._inherited_listeners:
            listener.resume()
        self.readiness.start()
        if self.hot_upgrade:
            self.hot_upgrade.announce_ready()
