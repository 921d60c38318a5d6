"""Quantities that fade by time, for the decisions: pure, with the time passed in."""

from __future__ import annotations

import math
from dataclasses import dataclass

GAIN = 0.1  # of an EWMA: about the last ten values


@dataclass(slots=True)
class Ewma:
    """An EWMA; the first values count in full."""

    mean: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        """One value."""
        self.count += 1
        self.mean += max(GAIN, 1.0 / self.count) * (value - self.mean)


@dataclass(slots=True)
class Fading:
    """A value that fades by itself; as a sum of events it is a rate times the time constant."""

    time: float
    value: float = 0.0
    at: float = 0.0

    def read(self, now: float) -> float:
        """The value now."""
        return self.value * math.exp((self.at - now) / self.time) if self.value else 0.0

    def add(self, now: float, amount: float) -> None:
        """An event of so much."""
        self.value, self.at = self.read(now) + amount, now

    def move(self, now: float, gain: float, to: float) -> None:
        """Draw the value towards another by a part of the way."""
        old = self.read(now)
        self.value, self.at = old + gain * (to - old), now


@dataclass(slots=True)
class Peak:
    """The highest of a quantity's values; one that it has fallen from fades by time."""

    time: float = 1.0
    value: float = 0.0
    at: float = 0.0

    def read(self, now: float) -> float:
        """The highest, faded since the quantity fell from it."""
        return self.value * math.exp((self.at - now) / self.time) if self.value else 0.0

    def went(self, now: float, value: float, to: float) -> None:
        """The quantity was at this value until now, and has gone to another: only a fall is kept."""
        if to < value and value > self.read(now):
            self.value, self.at = value, now


@dataclass(slots=True)
class Mean:
    """A mean of values that fade by time, drawn to a prior by its doubt."""

    total: Fading
    count: Fading

    @staticmethod
    def over(time: float) -> Mean:
        """A mean whose values fade with this time constant."""
        return Mean(Fading(time), Fading(time))

    def read(self, now: float, doubt: float, prior: float = 0.0) -> float:
        """The mean now; with few values, near the prior."""
        return (self.total.read(now) + doubt * prior) / (self.count.read(now) + doubt)

    def add(self, now: float, value: float, time: float) -> None:
        """One value, from now on fading with this time constant."""
        self.total.add(now, value)
        self.count.add(now, 1.0)
        self.total.time = self.count.time = time


@dataclass(slots=True)
class Bucket:
    """Tokens that come at a rate a second, and are saved up to a bound."""

    rate: float
    saved: float
    left: float
    at: float

    def fill(self, now: float) -> float:
        """What is there now."""
        self.left = min(self.saved, self.left + self.rate * max(0.0, now - self.at) / 1000.0)
        self.at = max(self.at, now)
        return self.left

    def take(self, now: float, amount: float = 1.0) -> bool:
        """Take so much, or nothing where there is less."""
        if self.fill(now) < amount:
            return False
        self.left -= amount
        return True
