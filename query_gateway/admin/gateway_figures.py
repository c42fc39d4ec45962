"""Collects the figures that the admin server reports."""

import math
from collections.abc import Callable, Collection
from typing import TYPE_CHECKING

from query_gateway.admin.figures import Gauges, render_figures
from query_gateway.forwarder.forwarder import Forwarder
from query_gateway.net.listener import Listener
from query_gateway.net.loop import MAX_TURN_SECONDS, Loop

if TYPE_CHECKING:
    from query_gateway.parsing.service import StatementService


MS_PER_SECOND = 1_000


class GatewayFigures:
    """Reads the current value of each figure from the component that maintains it."""

    def __init__(
        self,
        loop: Loop,
        forwarder: Forwarder,
        ejected_endpoints: Callable[[], Collection[str]],
        statements: "StatementService | None",
        listeners: Collection[Listener],
    ) -> None:
        """Keep references to the sources of the figures; no figure is counted here.

        `ejected_endpoints` returns the names of the endpoints that the planners have ejected. `statements` is
        None if statements are not classified; their figures are then left out. `listeners` are the listeners
        for clients.
        """
        self.loop, self.listeners = loop, listeners
        self.forwarder, self.statements = forwarder, statements
        self.ejected_endpoints = ejected_endpoints

    def lines(self) -> list[str]:
        """Format the current figures, one per line."""
        endpoints, budget = self.forwarder.endpoints, self.loop.receive_budget
        ejected_count = sum(name in endpoints for name in self.ejected_endpoints())
        gauges = Gauges(
            self.forwarder.open_request_count,
            len(endpoints),
            ejected_count,
            self.forwarder.held_for_order_count,
            sum(listener.accept_failures for listener in self.listeners),
            math.ceil(self.loop.longest_turn * MS_PER_SECOND),
            self.loop.slow_turns,
            math.ceil(MAX_TURN_SECONDS * MS_PER_SECOND),
            budget.held_bytes,
            budget.most_held_bytes,
            budget.limit_bytes,
            budget.waiting_count,
            len(self.loop.paused_tasks),
        )
        lines = render_figures(self.forwarder.counters, gauges)
        return lines + (self.statements.figures() if self.statements else [])
