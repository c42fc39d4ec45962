"""Collects the figures that the second address reports."""

from collections.abc import Callable, Collection
from typing import TYPE_CHECKING

from query_gateway.admin.figures import Gauges, render_figures
from query_gateway.forwarder.forwarder import Forwarder
from query_gateway.net.listener import Listener

if TYPE_CHECKING:
    from query_gateway.parsing.service import StatementService


class GatewayFigures:
    """Reads each figure where it is counted, at the time of a call."""

    def __init__(
        self,
        forwarder: Forwarder,
        ejected_endpoints: Callable[[], Collection[str]],
        statements: "StatementService | None",
        listeners: Collection[Listener],
    ) -> None:
        """Nothing is counted here.

        `ejected_endpoints` gives the names of those that planners have ejected; `statements` is None where
        statements are not classified, and then there are no figures about them. `listeners` are those that
        clients connect to.
        """
        self.listeners = listeners
        self.forwarder, self.statements = forwarder, statements
        self.ejected_endpoints = ejected_endpoints

    def lines(self) -> list[str]:
        """The figures as they are now, one a line."""
        endpoints = self.forwarder.endpoints
        ejected_count = sum(name in endpoints for name in self.ejected_endpoints())
        gauges = Gauges(
            self.forwarder.open_request_count,
            len(endpoints),
            ejected_count,
            self.forwarder.held_for_order_count,
            sum(listener.accept_failures for listener in self.listeners),
        )
        lines = render_figures(self.forwarder.counters, gauges)
        return lines + (self.statements.figures() if self.statements else [])
