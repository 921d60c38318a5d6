"""Quantities that fade by time: averages, counters, maxima, and a token bucket.

Pure, with the time passed in: ms of any clock that does not go back. A time constant is the ms in which a
value fades to 1/e.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

EWMA_GAIN = 0.1  # weight of a new value: the mean is of about the last ten


@dataclass(slots=True)
class Ewma:
    """An exponentially weighted moving average, by count of values; the first ones weigh alike."""

    mean: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        """One value."""
        self.count += 1
        self.mean += max(EWMA_GAIN, 1.0 / self.count) * (value - self.mean)


@dataclass(slots=True)
class DecayingCounter:
    """A value that fades by itself; as a sum of events it is a rate times the time constant."""

    time_constant_ms: float
    value: float = 0.0
    updated_at_ms: float = 0.0

    def read(self, now_ms: float) -> float:
        """The value now."""
        if not self.value:
            return 0.0
        return self.value * math.exp((self.updated_at_ms - now_ms) / self.time_constant_ms)

    def add(self, now_ms: float, amount: float) -> None:
        """An event of so much."""
        self.value, self.updated_at_ms = self.read(now_ms) + amount, now_ms

    def move_towards(self, now_ms: float, gain: float, target: float) -> None:
        """Move the value by this part (0 to 1) of the way to another."""
        before = self.read(now_ms)
        self.value, self.updated_at_ms = before + gain * (target - before), now_ms


@dataclass(slots=True)
class WindowedMaximum:
    """The highest of a quantity's values; one that it has fallen from fades by time."""

    time_constant_ms: float = 1.0
    value: float = 0.0
    updated_at_ms: float = 0.0

    def read(self, now_ms: float) -> float:
        """The highest, faded since the quantity fell from it."""
        if not self.value:
            return 0.0
        return self.value * math.exp((self.updated_at_ms - now_ms) / self.time_constant_ms)

    def on_change(self, now_ms: float, value: float, new_value: float) -> None:
        """The quantity was at ``value`` until now, and is at another: only a fall is remembered."""
        if new_value < value and value > self.read(now_ms):
            self.value, self.updated_at_ms = value, now_ms


@dataclass(slots=True)
class DecayingMean:
    """A mean of values that fade by time, drawn to a prior by its weight."""

    time_constant_ms: float
    total: float = 0.0
    count: float = 0.0
    updated_at_ms: float = 0.0

    def read(self, now_ms: float, prior_count: float, prior: float = 0.0) -> float:
        """The mean now; with few values, near the prior, which weighs as much as ``prior_count`` values."""
        if not self.count:
            return prior_count * prior / prior_count
        remaining = math.exp((self.updated_at_ms - now_ms) / self.time_constant_ms)
        return (self.total * remaining + prior_count * prior) / (self.count * remaining + prior_count)

    def add(self, now_ms: float, value: float, time_constant_ms: float) -> None:
        """One value; from now on all of them fade with this time constant."""
        remaining = math.exp((self.updated_at_ms - now_ms) / self.time_constant_ms) if self.count else 0.0
        self.total = self.total * remaining + value
        self.count = self.count * remaining + 1.0
        self.updated_at_ms, self.time_constant_ms = now_ms, time_constant_ms


@dataclass(slots=True)
class TokenBucket:
    """Tokens that come at a rate, and are saved up to a capacity."""

    rate_per_second: float
    capacity: float
    tokens: float
    updated_at_ms: float

    def refill(self, now_ms: float) -> float:
        """The tokens there are now."""
        earned = self.rate_per_second * max(0.0, now_ms - self.updated_at_ms) / 1000.0
        self.tokens = min(self.capacity, self.tokens + earned)
        self.updated_at_ms = max(self.updated_at_ms, now_ms)
        return self.tokens

    def take(self, now_ms: float, amount: float = 1.0) -> bool:
        """Take so many, or none where there are less."""
        if self.refill(now_ms) < amount:
            return False
        self.tokens -= amount
        return True
