"""The costs that the controller of the lag ratio compares: the weight of rejections and of late answers."""

from dataclasses import dataclass, field

from query_gateway.model.averages import DecayedAverage


@dataclass(slots=True, frozen=True)
class CostShares:
    """Shares of the priority weight requested."""

    rejected: float
    late: float


@dataclass(slots=True)
class CostTotals:
    """Decayed sums of priority weight, all of the same age."""

    requested: DecayedAverage = field(default_factory=DecayedAverage)
    rejected: DecayedAverage = field(default_factory=DecayedAverage)
    late: DecayedAverage = field(default_factory=DecayedAverage)

    def add(self, requested: float, rejected: float, late: float, now: int, decay: int) -> None:
        """Add weights at a clock time; `decay` and the time are nanoseconds."""
        self.requested.add(requested, now, decay)
        self.rejected.add(rejected, now, decay)
        self.late.add(late, now, decay)

    def shares(self) -> CostShares:
        """The shares of the weight requested that were rejected and that came late."""
        if self.requested.total <= 0:
            return CostShares(0.0, 0.0)
        requested = self.requested.total
        return CostShares(self.rejected.total / requested, self.late.total / requested)
