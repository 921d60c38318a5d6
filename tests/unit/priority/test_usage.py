"""The token bucket of a quota with a changing rate."""

from __future__ import annotations

import random

from cedarthread.priority.usage import QuotaBucket

MAX_DEPTH_TOKENS = 50.0  # depth of the bucket at the highest rate


def test_quota_bucket_never_exceeds_its_rate_by_more_than_its_depth() -> None:
    rng = random.Random(3)
    bucket = QuotaBucket()
    consumed_tokens = 0
    earned_tokens = 0.0
    now_ms = 0.0
    rate = 5000  # in units of 1/1000 call per second
    for _ in range(5000):
        step_ms = rng.uniform(0.0, 400.0)
        next_rate = rng.choice([0, 500, 5000, 50_000])
        earned_tokens += min(rate, next_rate) / 1000.0 * step_ms / 1000.0
        now_ms += step_ms
        rate = next_rate
        bucket.refill(now_ms, rate)
        while bucket.try_take():
            consumed_tokens += 1
        assert consumed_tokens <= earned_tokens + MAX_DEPTH_TOKENS
    assert consumed_tokens > 1000
