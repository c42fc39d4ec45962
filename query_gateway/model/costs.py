"""Costs that the lag ratio controller compares: priority weight lost to rejections and to late answers."""

from dataclasses import dataclass, field

from query_gateway.model.averages import DecayedAverage


@dataclass(slots=True, frozen=True)
class CostShares:
    """Rejected and late weight, as shares of the priority weight requested."""

    rejected: float
    late: float


@dataclass(slots=True)
class CostTotals:
    """Decayed sums of priority weight, updated together, so that their ratios hold between updates."""

    requested: DecayedAverage = field(default_factory=DecayedAverage)
    rejected: DecayedAverage = field(default_factory=DecayedAverage)
    late: DecayedAverage = field(default_factory=DecayedAverage)

    def add(self, requested: float, rejected: float, late: float, now: int, decay: int) -> None:
        """Add weights at clock time `now`; `now` and `decay` are in nanoseconds."""
        self.requested.add(requested, now, decay)
        self.rejected.add(rejected, now, decay)
        self.late.add(late, now, decay)

    def shares(self) -> CostShares:
        """The shares of the requested weight that were rejected and answered late."""
        if self.requested.total <= 0:
            return CostShares(0.0, 0.0)
        requested = self.requested.total
        return CostShares(self.rejected.total / requested, self.late.total / requested)
