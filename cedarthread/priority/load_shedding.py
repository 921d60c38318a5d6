"""How load shedding under cluster overload is weighted by priority: which calls are rejected, not how many.

The overload estimator decides what part of all calls to reject, and that stays as it is, so the workers
stay as busy. First rejected are the calls of least value for their time, weighted by priority (the greedy
rule of the fractional knapsack problem, Dantzig 1957): it recovers in value what protecting the first tier
costs.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections import deque
from typing import NamedTuple

from cedarthread.model.call_priority import OVER_QUOTA_OFFSET, CallPriority

SAMPLE_CALLS = 400  # recent calls from which the distribution of scores is known
RESORT_INTERVAL_CALLS = 40  # after which the sample is sorted anew
TIER_FACTOR = 0.8  # weight of a call's value for each tier down
MAX_TIER_STEPS = 3  # tiers down past which the weight falls no more
OVER_QUOTA_FACTOR = 0.7  # weight of a call's value over quota
VALUE_BAND = 0.05  # relative difference of value within which calls are rejected alike: it is all jitter
SMOOTHING_MS = 400.0  # time constant of the shed probability
MAX_SHED_PROBABILITY = 0.95  # the rest is always admitted: it shows when the overload is over


class SheddingScore(NamedTuple):
    """The place of a call among those that may be rejected, by comparison; the least is rejected first."""

    is_protected: bool  # highest priority, or its tenant is at its floor
    weighted_value: float


def shedding_score(priority: CallPriority, value: float, is_at_floor: bool) -> SheddingScore:
    """The score of a call of this value for its time. ``is_at_floor``: its tenant may lose no more calls."""
    if priority.is_highest() or is_at_floor:
        return SheddingScore(True, value)
    over_quota, tier_index = divmod(priority.position, OVER_QUOTA_OFFSET)
    weight = TIER_FACTOR ** min(tier_index, MAX_TIER_STEPS)
    return SheddingScore(False, value * weight * OVER_QUOTA_FACTOR**over_quota)


class SheddingOrder:
    """The distribution of the scores of recent calls, and from it each call's shed probability."""

    def __init__(self) -> None:
        self.recent_scores: deque[SheddingScore] = deque(maxlen=SAMPLE_CALLS)
        self.sorted_scores: list[SheddingScore] = []
        self.calls_since_sort = 0
        self.smoothed_shed_probability, self.smoothed_at_ms = 0.0, 0.0

    def smooth(self, now_ms: float, shed_probability: float) -> float:
        """The shed probability without short random peaks, so that the order of the calls is kept."""
        gain = 1.0 - math.exp((self.smoothed_at_ms - now_ms) / SMOOTHING_MS)
        self.smoothed_shed_probability += gain * (shed_probability - self.smoothed_shed_probability)
        self.smoothed_at_ms = now_ms
        return self.smoothed_shed_probability

    def record_arrival(self, score: SheddingScore) -> None:
        """Add a call to the sample."""
        self.recent_scores.append(score)
        self.calls_since_sort += 1
        if self.calls_since_sort >= RESORT_INTERVAL_CALLS or len(self.sorted_scores) < RESORT_INTERVAL_CALLS:
            self.sorted_scores, self.calls_since_sort = sorted(self.recent_scores), 0

    def shed_probability(self, shed_probability: float, score: SheddingScore) -> float:
        """The probability to reject a call of this score, where ``shed_probability`` of all are to be."""
        if not self.sorted_scores:
            return min(MAX_SHED_PROBABILITY, shed_probability)
        is_protected, value = score
        sample_size = len(self.sorted_scores)
        band_start = SheddingScore(is_protected, value * (1.0 - VALUE_BAND))
        band_end = SheddingScore(is_protected, value * (1.0 + VALUE_BAND))
        low = bisect_left(self.sorted_scores, band_start) / sample_size
        high = bisect_right(self.sorted_scores, band_end) / sample_size
        if is_protected:  # not before more must be rejected than all others together: the estimate is noisy
            low, high = 1.0 + low, 1.0 + high
        high = max(high, low + 1.0 / sample_size)
        return min(MAX_SHED_PROBABILITY, max(0.0, (shed_probability - low) / (high - low)))
