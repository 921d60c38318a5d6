"""Load shedding by priority under cluster overload: which calls are rejected, not how many.

The overload estimator determines the fraction of calls to reject. This module does not change the fraction,
so worker utilization stays the same. The calls with the least value per time, weighted by priority, are
rejected first (the greedy rule of the fractional knapsack problem, Dantzig 1957). This order recovers the
value that the protection of the first tier costs.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections import deque
from typing import NamedTuple

from cedarthread.model.call_priority import OVER_QUOTA_OFFSET, CallPriority

SAMPLE_CALLS = 400  # recent calls that represent the distribution of scores
RESORT_INTERVAL_CALLS = 40  # number of calls between sorts of the sample
TIER_FACTOR = 0.8  # factor on a call's value for each tier below the first
MAX_TIER_STEPS = 3  # tiers below the first after which the factor is constant
OVER_QUOTA_FACTOR = 0.7  # factor on the value of a call over quota
VALUE_BAND = 0.05  # relative difference in value that counts as noise, so that such calls are rejected alike
SMOOTHING_MS = 400.0  # time constant of the shed probability
MAX_SHED_PROBABILITY = 0.95  # below 1, because the admitted calls show when the overload has ended


class SheddingScore(NamedTuple):
    """The rank of a call among those that may be rejected; the least score is rejected first."""

    is_protected: bool  # the call has the highest priority, or its tenant is at its floor
    weighted_value: float


def shedding_score(priority: CallPriority, value: float, *, is_at_floor: bool) -> SheddingScore:
    """Return the score of a call with this value per time.

    Args:
        priority: The call's priority.
        value: The call's value per time, relative to the mean of recent calls.
        is_at_floor: Whether a further rejection would violate the floor of the call's tenant.
    """
    if priority.is_highest() or is_at_floor:
        return SheddingScore(is_protected=True, weighted_value=value)
    over_quota, tier_index = divmod(priority.position, OVER_QUOTA_OFFSET)
    weight = TIER_FACTOR ** min(tier_index, MAX_TIER_STEPS)
    return SheddingScore(is_protected=False, weighted_value=value * weight * OVER_QUOTA_FACTOR**over_quota)


class SheddingOrder:
    """The distribution of the scores of recent calls, which determines the shed probability of each call."""

    def __init__(self) -> None:
        self.recent_scores: deque[SheddingScore] = deque(maxlen=SAMPLE_CALLS)
        self.sorted_scores: list[SheddingScore] = []
        self.calls_since_sort = 0
        self.smoothed_shed_probability = 0.0
        self.smoothed_at_ms = 0.0

    def smooth(self, now_ms: float, shed_probability: float) -> float:
        """Return the shed probability, smoothed so that short peaks do not reject calls out of order."""
        gain = 1.0 - math.exp((self.smoothed_at_ms - now_ms) / SMOOTHING_MS)
        self.smoothed_shed_probability += gain * (shed_probability - self.smoothed_shed_probability)
        self.smoothed_at_ms = now_ms
        return self.smoothed_shed_probability

    def record_arrival(self, score: SheddingScore) -> None:
        """Add a call to the sample."""
        self.recent_scores.append(score)
        self.calls_since_sort += 1
        if self.calls_since_sort >= RESORT_INTERVAL_CALLS or len(self.sorted_scores) < RESORT_INTERVAL_CALLS:
            self.sorted_scores = sorted(self.recent_scores)
            self.calls_since_sort = 0

    def shed_probability(self, shed_probability: float, score: SheddingScore) -> float:
        """Return the probability to reject a call of this score.

        Args:
            shed_probability: The fraction of all calls to reject.
            score: The call's score.
        """
        if not self.sorted_scores:
            return min(MAX_SHED_PROBABILITY, shed_probability)
        is_protected, value = score
        sample_size = len(self.sorted_scores)
        band_start = SheddingScore(is_protected, value * (1.0 - VALUE_BAND))
        band_end = SheddingScore(is_protected, value * (1.0 + VALUE_BAND))
        low = bisect_left(self.sorted_scores, band_start) / sample_size
        high = bisect_right(self.sorted_scores, band_end) / sample_size
        if is_protected:
            # Reject a protected call only if the estimated fraction is over 1, because the estimate is noisy.
            low = 1.0 + low
            high = 1.0 + high
        high = max(high, low + 1.0 / sample_size)
        return min(MAX_SHED_PROBABILITY, max(0.0, (shed_probability - low) / (high - low)))
