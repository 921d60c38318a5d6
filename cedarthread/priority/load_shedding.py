"""How refusals under cluster overload are bent by rank: who must be refused, not how many.

The part of all calls to refuse is found by the jam; it stays as it is, so the workers stay as full. Those go
first whose worth for their time, weighed by rank, is least (fractional knapsack, Dantzig 1957): it gives back
in worth what the protection of the first rank costs.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections import deque

from cedarthread.priority.call_priority import OVER_QUOTA_OFFSET, CallPriority

SAMPLE_CALLS, RESORT_INTERVAL_CALLS = (
    400,
    40,
)  # calls that the order is known by; calls after which it is read anew
TIER_FACTOR, OVER_QUOTA_FACTOR = (
    0.8,
    0.7,
)  # times that a call's worth counts, for each tier down and where beyond contract
VALUE_BAND = 0.05  # part by which worths may differ and still be refused alike: all jitter
SMOOTHING_MS = 400.0  # ms over which the strength of the jam is taken
MAX_SHED_PROBABILITY = 0.95  # the rest always passes: it shows when the jam is over

SheddingScore = tuple[bool, float]


def shedding_score(priority: CallPriority, value: float, is_at_floor: bool) -> SheddingScore:
    """The place of a call among those that may be refused; the least goes first. ``kept``: at its floor."""
    if priority.is_highest() or is_at_floor:
        return True, value
    over_quota, tier_index = divmod(priority.position, OVER_QUOTA_OFFSET)
    return False, value * TIER_FACTOR ** min(tier_index, 3) * OVER_QUOTA_FACTOR**over_quota


class SheddingOrder:
    """The order of the calls that came lately."""

    def __init__(self) -> None:
        self.recent_scores: deque[SheddingScore] = deque(maxlen=SAMPLE_CALLS)
        self.sorted_scores: list[SheddingScore] = []
        self.calls_since_sort = 0
        self.smoothed_shed_probability, self.smoothed_at_ms = 0.0, 0.0

    def smooth(self, now: float, shed_probability: float) -> float:
        """The strength of the jam without what chance adds for a moment, so that the order is kept to."""
        self.smoothed_shed_probability += (1.0 - math.exp((self.smoothed_at_ms - now) / SMOOTHING_MS)) * (
            shed_probability - self.smoothed_shed_probability
        )
        self.smoothed_at_ms = now
        return self.smoothed_shed_probability

    def record_arrival(self, score: SheddingScore) -> None:
        """A call came."""
        self.recent_scores.append(score)
        self.calls_since_sort += 1
        if self.calls_since_sort >= RESORT_INTERVAL_CALLS or len(self.sorted_scores) < RESORT_INTERVAL_CALLS:
            self.sorted_scores, self.calls_since_sort = sorted(self.recent_scores), 0

    def shed_probability(self, shed_probability: float, score: SheddingScore) -> float:
        """The part of calls like this to refuse where ``late`` of all must be."""
        if not self.sorted_scores:
            return min(MAX_SHED_PROBABILITY, shed_probability)
        is_protected, value = score
        low = bisect_left(self.sorted_scores, (is_protected, value * (1.0 - VALUE_BAND))) / len(
            self.sorted_scores
        )
        high = bisect_right(self.sorted_scores, (is_protected, value * (1.0 + VALUE_BAND))) / len(
            self.sorted_scores
        )
        if is_protected:  # not before the jam asks for more than all others can give: its strength is noisy
            low, high = 1.0 + low, 1.0 + high
        high = max(high, low + 1.0 / len(self.sorted_scores))
        return min(MAX_SHED_PROBABILITY, max(0.0, (shed_probability - low) / (high - low)))
