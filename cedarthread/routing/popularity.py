"""The popularity of functions: a function's fraction of the fleet's calls, estimated from own calls.

A router with few calls needs a longer window: with a dozen calls in the window, two of one function would
count as a sixth of all calls, and hundreds of routers with such estimates would load far more instances than
the calls need.
"""

from __future__ import annotations

import math

from cedarthread.statistics import DecayingCounter

CALLS_IN_WINDOW = 80.0  # target number of own calls in the window, within its bounds
MIN_WINDOW_MS = 5000.0
MAX_WINDOW_MS = 30_000.0
MIN_CALL_COUNT = 40.0  # lower bound of the count of all calls; missing calls count as other functions'


class Popularity:
    """The window length of one router and the count of its calls in the window; times are ms."""

    def __init__(self) -> None:
        self.window_ms = MIN_WINDOW_MS
        self.all_calls = DecayingCounter(MIN_WINDOW_MS)

    def on_call(self, now_ms: float, calls: DecayingCounter, calls_per_ms: float) -> None:
        """Count a call of the function that owns ``calls``, and adapt the window to the call rate."""
        self.window_ms = MIN_WINDOW_MS
        if calls_per_ms > 0.0:
            self.window_ms = min(max(CALLS_IN_WINDOW / calls_per_ms, MIN_WINDOW_MS), MAX_WINDOW_MS)
        self.all_calls.time_constant_ms = self.window_ms
        calls.time_constant_ms = self.window_ms
        self.all_calls.add(now_ms, 1.0)
        calls.add(now_ms, 1.0)

    def call_fraction(self, now_ms: float, calls: DecayingCounter) -> float:
        """Return the function's fraction of all calls, less one standard deviation of its count."""
        count = calls.read(now_ms)
        return max(0.0, count - math.sqrt(count)) / max(self.all_calls.read(now_ms), MIN_CALL_COUNT)
