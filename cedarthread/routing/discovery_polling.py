"""When a router subscribes to the endpoint list: at the first update, after a failure with backoff."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cedarthread.model.settings import DiscoveryMode

if TYPE_CHECKING:
    import random

FIRST_BACKOFF_FRACTION = 1 / 16  # of the longest backoff: the first one
BACKOFF_JITTER = 0.5, 1.0  # parts of the backoff between which the delay is drawn


class DiscoveryPolling:
    """The subscription of one router, and the backoff between its polls. Times are ms."""

    def __init__(self) -> None:
        self.is_subscribed = False
        self.backoff_ms = 0.0
        self.poll_at_ms = math.inf

    def on_failure(self, now_ms: float, max_poll_delay_ms: float, rng: random.Random) -> float:
        """A poll failed: when to try again."""
        shortest_ms = max_poll_delay_ms * FIRST_BACKOFF_FRACTION
        self.backoff_ms = min(max(2 * self.backoff_ms, shortest_ms), max_poll_delay_ms)
        self.poll_at_ms = now_ms + self.backoff_ms * rng.uniform(*BACKOFF_JITTER)
        return self.poll_at_ms

    def on_update(self) -> None:
        """A list came: the next failure backs off anew."""
        self.backoff_ms = 0.0

    def should_subscribe(self, now_ms: float, mode: DiscoveryMode) -> bool:
        """Whether to subscribe as soon as possible: once, where the list has to be polled."""
        if mode is not DiscoveryMode.POLL or self.is_subscribed:
            return False
        self.poll_at_ms = now_ms
        return True

    def is_due(self, now_ms: float) -> bool:
        """Whether the subscription is to be sent now."""
        if now_ms < self.poll_at_ms:
            return False
        self.poll_at_ms = math.inf
        self.is_subscribed = True
        return True
