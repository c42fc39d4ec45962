"""Announcement of the gateway's addresses over BGP.

    WITHDRAWN --ready--> ANNOUNCED --draining, stopping or no planner--> WITHDRAWN

A process that stops while a ready successor serves the same addresses stays ANNOUNCED until it ends, because
the successor starts its own session only then. The session and its routes are lost with the process.
"""

from typing import TYPE_CHECKING

from query_gateway.bgp.settings import BgpSettings
from query_gateway.forwarder.readiness import Readiness
from query_gateway.lifecycle.hot_upgrade import HotUpgrade
from query_gateway.net.loop import Loop

if TYPE_CHECKING:
    from query_gateway.bgp.session import BgpSession


class RouteAnnouncer:
    """Owns the BGP session, if BGP is enabled, and announces while the gateway is ready."""

    def __init__(
        self,
        loop: Loop,
        settings: BgpSettings | None,
        readiness: Readiness,
        hot_upgrade: HotUpgrade | None,
    ) -> None:
        """Create no session before `start`. `settings` is None if BGP is disabled."""
        self.loop, self.settings = loop, settings
        self.readiness, self.hot_upgrade = readiness, hot_upgrade
        self.session: BgpSession | None = None

    def start(self) -> None:
        """Start the session unless one exists.

        A successor must not call this before its predecessor has ended: two sessions with the same identifier
        collide, and the router drops both.
        """
        if self.session is None and self.settings is not None:
            from query_gateway.bgp.session import BgpSession

            self.session = BgpSession(self.loop, self.settings)

    def start_and_update(self) -> None:
        """Start the session and announce if ready; has no effect on an existing session."""
        if self.session is None:
            self.start()
            self.update()

    def update(self) -> None:
        """Announce or withdraw the addresses according to the current readiness."""
        if self.session:
            successor_serves = (
                self.readiness.stopping and self.hot_upgrade is not None and self.hot_upgrade.successor_ready
            )
            self.session.announce(self.readiness.ready or successor_serves)

    def stop(self) -> None:
        """Withdraw the addresses and end the session."""
        if self.session:
            self.session.stop()

    @property
    def is_finished(self) -> bool:
        """Whether there is no session, or it was stopped and its connection to the router is closed."""
        return self.session is None or self.session.is_finished
