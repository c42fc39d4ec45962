"""Collects the figures that the second address tells."""

from typing import TYPE_CHECKING

from query_gateway.admin.figures import rendered
from query_gateway.forwarder.exchange import Forwarder
from query_gateway.planner.planner_links import PlannerLinks

if TYPE_CHECKING:
    from query_gateway.parsing.service import Statements


class GatewayFigures:
    """Reads each figure where it is counted, when it is asked for."""

    def __init__(self, forwarder: Forwarder, planners: PlannerLinks, statements: "Statements | None") -> None:
        """`statements` is None where statements are not read; then there are no figures of them."""
        self.forwarder, self.planners, self.statements = forwarder, planners, statements

    def lines(self) -> list[str]:
        """The figures as they are now, one a line."""
        endpoints = self.forwarder.endpoints
        ejected_count = sum(name in endpoints for name in self.planners.ejected_endpoints())
        lines = rendered(
            self.forwarder.counters, self.forwarder.open_request_count, len(endpoints), ejected_count
        )
        return lines + (self.statements.figures() if self.statements else [])
