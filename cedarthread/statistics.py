"""Statistics of recent events: moving averages, decaying counters and maxima, and a token bucket.

The classes do not read a clock: callers pass the time of a monotonic clock in ms. A time constant is the time
in ms in which a value decays to 1/e.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

EWMA_GAIN = 0.1  # weight of a new value, so that the mean covers about the last ten values


@dataclass(slots=True)
class Ewma:
    """An exponentially weighted moving average over a number of values, not over time.

    The first ten values have equal weights, so that the first value does not dominate.
    """

    mean: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        """Add one value."""
        self.count += 1
        self.mean += max(EWMA_GAIN, 1.0 / self.count) * (value - self.mean)


@dataclass(slots=True)
class DecayingCounter:
    """A value that decays exponentially.

    If each event adds an amount, the value approaches the rate of these amounts times the time constant.
    """

    time_constant_ms: float
    value: float = 0.0
    updated_at_ms: float = 0.0

    def read(self, now_ms: float) -> float:
        """Return the decayed value."""
        if not self.value:
            return 0.0
        return self.value * math.exp((self.updated_at_ms - now_ms) / self.time_constant_ms)

    def add(self, now_ms: float, amount: float) -> None:
        """Add the amount of one event."""
        self.value = self.read(now_ms) + amount
        self.updated_at_ms = now_ms

    def move_towards(self, now_ms: float, gain: float, target: float) -> None:
        """Move the value towards a target by the fraction ``gain`` (0 to 1) of their difference."""
        before = self.read(now_ms)
        self.value = before + gain * (target - before)
        self.updated_at_ms = now_ms


@dataclass(slots=True)
class DecayingMaximum:
    """The recent peak of a quantity, which decays exponentially after the quantity falls.

    The current value of the quantity is not part of the peak.
    """

    time_constant_ms: float = 1.0
    value: float = 0.0
    updated_at_ms: float = 0.0

    def read(self, now_ms: float) -> float:
        """Return the peak, decayed since the quantity fell below it."""
        if not self.value:
            return 0.0
        return self.value * math.exp((self.updated_at_ms - now_ms) / self.time_constant_ms)

    def on_change(self, now_ms: float, old_value: float, new_value: float) -> None:
        """Store ``old_value`` as the peak if the quantity falls below it and it exceeds the decayed peak."""
        if new_value < old_value and old_value > self.read(now_ms):
            self.value = old_value
            self.updated_at_ms = now_ms


@dataclass(slots=True)
class DecayingMean:
    """A mean of values whose weights decay exponentially, combined with a prior mean."""

    time_constant_ms: float
    total: float = 0.0
    count: float = 0.0
    updated_at_ms: float = 0.0

    def read(self, now_ms: float, prior_count: float, prior: float = 0.0) -> float:
        """Return the mean, in which ``prior`` has the weight of ``prior_count`` recent values."""
        if not self.count:
            return prior_count * prior / prior_count
        remaining = math.exp((self.updated_at_ms - now_ms) / self.time_constant_ms)
        return (self.total * remaining + prior_count * prior) / (self.count * remaining + prior_count)

    def add(self, now_ms: float, value: float, time_constant_ms: float) -> None:
        """Add one value, and let all values decay with this time constant from now on."""
        remaining = math.exp((self.updated_at_ms - now_ms) / self.time_constant_ms) if self.count else 0.0
        self.total = self.total * remaining + value
        self.count = self.count * remaining + 1.0
        self.updated_at_ms = now_ms
        self.time_constant_ms = time_constant_ms


@dataclass(slots=True)
class TokenBucket:
    """A token bucket that refills at a constant rate up to its capacity."""

    rate_per_second: float
    capacity: float
    tokens: float
    updated_at_ms: float

    def refill(self, now_ms: float) -> float:
        """Add the tokens earned since the last refill, and return the number of available tokens."""
        earned = self.rate_per_second * max(0.0, now_ms - self.updated_at_ms) / 1000.0
        self.tokens = min(self.capacity, self.tokens + earned)
        self.updated_at_ms = max(self.updated_at_ms, now_ms)
        return self.tokens

    def take(self, now_ms: float, amount: float = 1.0) -> bool:
        """Take ``amount`` tokens and return True, or take none and return False if fewer are available."""
        if self.refill(now_ms) < amount:
            return False
        self.tokens -= amount
        return True
