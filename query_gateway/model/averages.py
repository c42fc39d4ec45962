"""Estimators: a running mean and an average whose samples decay with time."""

import math
from dataclasses import dataclass


@dataclass(slots=True)
class RunningMean:
    """A running mean and variance: plain at first, decaying with each sample later."""

    value: float = 0.0
    variance: float = 0.0
    count: int = 0

    def add(self, sample: float, weight: float) -> None:
        """Add a sample; its weight is at least `weight`, and that of a plain mean while this is more."""
        self.count += 1
        share = max(weight, 1 / self.count)
        difference = sample - self.value
        self.value += share * difference
        self.variance += share * (difference * difference * (1 - share) - self.variance)

    def standard_deviation(self, prior: float, prior_samples: int) -> float:
        """The standard deviation, drawn to a prior one that counts as so many samples."""
        trust = self.count / (self.count + prior_samples)
        return prior + trust * (math.sqrt(self.variance) - prior)


@dataclass(slots=True)
class DecayedAverage:
    """An average whose samples lose weight with time, by `exp(-age / decay)`. Times are nanoseconds."""

    total: float = 0.0
    weight: float = 0.0
    updated_at: int = 0  # clock time

    def add(self, sample: float, now: int, decay: float) -> None:
        """Add a sample of weight 1."""
        factor = math.exp(-(now - self.updated_at) / decay)
        self.total, self.weight, self.updated_at = self.total * factor + sample, self.weight * factor + 1, now

    def weight_at(self, now: int, decay: float) -> float:
        """Weight of all samples at a clock time: about how many fall within `decay`."""
        return self.weight * math.exp(-(now - self.updated_at) / decay)

    def mean(self, now: int, decay: float, prior: float, prior_weight: float) -> float:
        """The average at a clock time, drawn to a prior one of so much weight."""
        factor = math.exp(-(now - self.updated_at) / decay)
        return (self.total * factor + prior * prior_weight) / (self.weight * factor + prior_weight)
