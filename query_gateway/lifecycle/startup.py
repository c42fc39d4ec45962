"""When a process begins to take requests."""

from collections.abc import Sequence

from query_gateway.forwarder.readiness import Readiness
from query_gateway.lifecycle.hot_upgrade import HotUpgrade
from query_gateway.net.listener import Listener
from query_gateway.net.loop import Loop

CATCH_UP_SECONDS = 2.5  # a successor begins then, though the discovery service has not answered


class Startup:
    """Begins to take requests once.

    A gateway that stands alone begins at once. A successor begins when the discovery service has answered, or
    `CATCH_UP_SECONDS` after its start, or when its predecessor has ended, whichever comes first.
    """

    def __init__(self, loop: Loop, readiness: Readiness, hot_upgrade: HotUpgrade | None) -> None:
        """`hot_upgrade` is None where no other process can follow or be followed."""
        self.loop, self.readiness, self.hot_upgrade = loop, readiness, hot_upgrade
        self._inherited_listeners: list[Listener] = []

    def wait_as_successor(self, inherited_listeners: Sequence[Listener]) -> None:
        """Accept nothing at the predecessor's listeners before this process is ready to serve."""
        self._inherited_listeners = list(inherited_listeners)
        self.loop.call_at(self.loop.now() + CATCH_UP_SECONDS, self.begin)

    def begin(self) -> None:
        """Take requests from here on; a second call changes nothing."""
        if self.readiness.started:
            return
        # First accept, then send "ready": a predecessor that shuts down closes its listeners at that message
        for listener in self._inherited_listeners:
            listener.resume()
        self.readiness.start()
        if self.hot_upgrade:
            self.hot_upgrade.announce_ready()
