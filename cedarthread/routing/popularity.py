"""The part of the fleet's calls that a function gets, as one router's own calls show it.

A router that sees few calls must look back further: of a dozen calls in view, two of one function would pass
for a sixth of them all, and hundreds of routers that guess so have far more instances loaded than calls need.
"""

from __future__ import annotations

import math

from cedarthread.statistics import DecayingCounter

CALLS_IN_WINDOW = 80.0  # own calls that are to be in the window
MIN_WINDOW_MS, MAX_WINDOW_MS = 5000.0, 30_000.0
MIN_CALL_COUNT = 40.0  # calls that a window is taken to hold at least: those unseen are of other functions


class Popularity:
    """How far one router looks back, and all its calls in that window; ms of the clock that is handed in."""

    def __init__(self) -> None:
        self.window_ms = MIN_WINDOW_MS
        self.all_calls = DecayingCounter(MIN_WINDOW_MS)

    def on_call(self, now_ms: float, calls: DecayingCounter, calls_per_ms: float) -> None:
        """A call came of the function with these calls; ``calls_per_ms``: own rate as known before it."""
        self.window_ms = MIN_WINDOW_MS
        if calls_per_ms > 0.0:
            self.window_ms = min(max(CALLS_IN_WINDOW / calls_per_ms, MIN_WINDOW_MS), MAX_WINDOW_MS)
        self.all_calls.time_constant_ms = calls.time_constant_ms = self.window_ms
        self.all_calls.add(now_ms, 1.0)
        calls.add(now_ms, 1.0)

    def call_fraction(self, now_ms: float, calls: DecayingCounter) -> float:
        """The function's part of all calls, 0 to 1, less one standard deviation of what was counted."""
        count = calls.read(now_ms)
        return max(0.0, count - math.sqrt(count)) / max(self.all_calls.read(now_ms), MIN_CALL_COUNT)
