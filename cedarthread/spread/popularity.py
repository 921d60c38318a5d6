"""The part of the fleet's calls that a function gets, as one router's own calls show it.

A router that sees few calls must look back further: of a dozen calls in view, two of one function would pass
for a sixth of them all, and hundreds of routers that guess so have far more copies loaded than calls need.
"""

from __future__ import annotations

import math

from cedarthread.measures import Fading

CALLS = 80.0  # own calls that are to be in view
LEAST, MOST = 5000.0, 30_000.0  # ms of the view, least and most
PRIOR = 40.0  # calls that a view is taken to hold at least: those unseen are of other functions


class Popularity:
    """How far one router looks back, and all its calls in that view."""

    def __init__(self) -> None:
        self.time = LEAST
        self.total = Fading(LEAST)

    def called(self, now: float, calls: Fading, rate: float) -> None:
        """A call came of the function with these calls; ``rate``: own calls a ms, as known before it."""
        self.time = min(max(CALLS / rate, LEAST), MOST) if rate > 0.0 else LEAST
        self.total.time = calls.time = self.time
        self.total.add(now, 1.0)
        calls.add(now, 1.0)

    def part(self, now: float, calls: Fading) -> float:
        """Its part of all calls, 0 to 1, less one standard deviation of what was counted."""
        count = calls.read(now)
        return max(0.0, count - math.sqrt(count)) / max(self.total.read(now), PRIOR)
