"""Estimators: a running mean and an average whose samples decay with time."""

import math
from dataclasses import dataclass


@dataclass(slots=True)
class RunningMean:
    """A running mean and variance: plain at first, decaying later."""

    value: float = 0.0
    variance: float = 0.0
    count: int = 0

    def add(self, x: float, weight: float) -> None:
        self.count += 1
        w = max(weight, 1 / self.count)
        d = x - self.value
        self.value += w * d
        self.variance += w * (d * d * (1 - w) - self.variance)


@dataclass(slots=True)
class DecayedAverage:
    """A running mean whose samples fade with time."""

    total: float = 0.0
    weight: float = 0.0
    updated_at: int = 0

    def add(self, x: float, now: int, memory: float) -> None:
        fade = math.exp(-(now - self.updated_at) / memory)
        self.total, self.weight, self.updated_at = self.total * fade + x, self.weight * fade + 1, now

    def weight_at(self, now: int, memory: float) -> float:
        return self.weight * math.exp(-(now - self.updated_at) / memory)

    def mean(self, now: int, memory: float, prior: float, weight: float) -> float:
        fade = math.exp(-(now - self.updated_at) / memory)
        return (self.total * fade + prior * weight) / (self.weight * fade + weight)
