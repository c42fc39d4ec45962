"""The start of accepting clients.

    STARTING --begin--> SERVING

A gateway without a predecessor begins at once. A successor waits for the first answer of the discovery
service, so that it does not forward requests to engines that were drained or removed after its configuration
was written. It begins without that answer `DISCOVERY_TIMEOUT_SECONDS` after its start, or when its
predecessor has ended. The state is `Readiness.started` and is lost with the process.
"""

from collections.abc import Sequence

from query_gateway.forwarder.readiness import Readiness
from query_gateway.lifecycle.hot_upgrade import HotUpgrade
from query_gateway.net.listener import Listener
from query_gateway.net.loop import Loop

DISCOVERY_TIMEOUT_SECONDS = 2.5  # how long a successor waits for the first answer of the discovery service


class Startup:
    """Starts to accept clients, once; see the module docstring."""

    def __init__(self, loop: Loop, readiness: Readiness, hot_upgrade: HotUpgrade | None) -> None:
        """`hot_upgrade` is None if this process can be neither successor nor predecessor."""
        self.loop, self.readiness, self.hot_upgrade = loop, readiness, hot_upgrade
        self._inherited_listeners: list[Listener] = []

    def wait_as_successor(self, inherited_listeners: Sequence[Listener]) -> None:
        """Schedule the start; until then the inherited listeners accept no clients."""
        self._inherited_listeners = list(inherited_listeners)
        self.loop.call_at(self.loop.now() + DISCOVERY_TIMEOUT_SECONDS, self.begin)

    def begin(self) -> None:
        """Start to accept clients; further calls have no effect."""
        if self.readiness.started:
            return
        # A predecessor that shuts down stops accepting on the ready message. This process accepts before it
        # sends that message, so that there is no time in which neither process accepts.
        for listener in self._inherited_listeners:
            listener.resume()
        self.readiness.start()
        if self.hot_upgrade:
            self.hot_upgrade.announce_ready()
