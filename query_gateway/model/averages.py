"""Estimators: a running mean, and an average whose samples decay exponentially with time."""

import math
from dataclasses import dataclass


@dataclass(slots=True)
class RunningMean:
    """A running mean and variance: unweighted at first, exponentially weighted per sample later."""

    value: float = 0.0
    variance: float = 0.0
    count: int = 0

    def add(self, sample: float, weight: float) -> None:
        """Add a sample; it weighs `1 / count`, as in an unweighted mean, but at least `weight`."""
        self.count += 1
        sample_weight = max(weight, 1 / self.count)
        difference = sample - self.value
        self.value += sample_weight * difference
        self.variance += sample_weight * (difference * difference * (1 - sample_weight) - self.variance)

    def standard_deviation(self, prior: float, prior_samples: int) -> float:
        """The standard deviation, shrunk towards a prior that counts as `prior_samples` samples."""
        sample_weight = self.count / (self.count + prior_samples)
        return prior + sample_weight * (math.sqrt(self.variance) - prior)


@dataclass(slots=True)
class DecayedAverage:
    """An average that weights each sample by `exp(-age / decay)`. Times are in nanoseconds."""

    total: float = 0.0
    weight: float = 0.0
    updated_at: int = 0  # clock time

    def add(self, sample: float, now: int, decay: float) -> None:
        """Add a sample of weight 1."""
        factor = math.exp(-(now - self.updated_at) / decay)
        self.total, self.weight, self.updated_at = self.total * factor + sample, self.weight * factor + 1, now

    def weight_at(self, now: int, decay: float) -> float:
        """Total weight of the samples at a clock time: about the number of samples within `decay`."""
        return self.weight * math.exp(-(now - self.updated_at) / decay)

    def mean(self, now: int, decay: float, prior: float, prior_weight: float) -> float:
        """The average at a clock time, shrunk towards `prior`, which counts as `prior_weight` new samples."""
        factor = math.exp(-(now - self.updated_at) / decay)
        return (self.total * factor + prior * prior_weight) / (self.weight * factor + prior_weight)
