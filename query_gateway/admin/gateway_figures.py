"""Collects the figures that the admin server reports."""

import math
from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import TYPE_CHECKING

from query_gateway.admin.figures import Gauges, render_figures
from query_gateway.discovery.watch_client import MAX_LIST_AGE_SECONDS, EndpointWatchClient
from query_gateway.forwarder.forwarder import Forwarder
from query_gateway.net.listener import Listener
from query_gateway.net.loop import MAX_TURN_SECONDS, Loop

if TYPE_CHECKING:
    from query_gateway.parsing.service import StatementService


MS_PER_SECOND = 1_000


@dataclass(slots=True, frozen=True)
class FigureSources:
    """The components that maintain the figures."""

    loop: Loop
    forwarder: Forwarder
    watch_client: EndpointWatchClient
    ejected_endpoints: Callable[[], Collection[str]]  # names of those that the planners have ejected
    statements: "StatementService | None"  # None if statements are not classified; their figures are left out
    listeners: Collection[Listener]  # for clients


class GatewayFigures:
    """Reads the current value of each figure from the component that maintains it."""

    def __init__(self, sources: FigureSources) -> None:
        """Keep references to the sources of the figures; no figure is counted here."""
        self.sources = sources

    def lines(self) -> list[str]:
        """Format the current figures, one per line."""
        endpoints, budget = self.sources.forwarder.endpoints, self.sources.loop.receive_budget
        ejected_count = sum(name in endpoints for name in self.sources.ejected_endpoints())
        gauges = Gauges(
            self.sources.forwarder.open_request_count,
            len(endpoints),
            ejected_count,
            self.sources.forwarder.held_for_order_count,
            sum(listener.accept_failures for listener in self.sources.listeners),
            math.ceil(self.sources.watch_client.list_age * MS_PER_SECOND),
            math.ceil(MAX_LIST_AGE_SECONDS * MS_PER_SECOND),
            math.ceil(self.sources.loop.longest_turn * MS_PER_SECOND),
            self.sources.loop.slow_turns,
            math.ceil(MAX_TURN_SECONDS * MS_PER_SECOND),
            budget.held_bytes,
            budget.most_held_bytes,
            budget.limit_bytes,
            budget.waiting_count,
            len(self.sources.loop.paused_tasks),
        )
        lines = render_figures(self.sources.forwarder.counters, gauges)
        return lines + (self.sources.statements.figures() if self.sources.statements else [])
