"""The subscription of a router to the endpoint list, with exponential backoff after failures."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cedarthread.model.settings import DiscoveryMode

if TYPE_CHECKING:
    import random

FIRST_BACKOFF_FRACTION = 1 / 16  # the initial backoff, as a fraction of the maximum
BACKOFF_JITTER = 0.5, 1.0  # fractions of the backoff between which the delay is drawn


class DiscoveryPolling:
    """The state of one router's subscription and the backoff between polls; times are ms."""

    def __init__(self) -> None:
        self.is_subscribed = False
        self.backoff_ms = 0.0
        self.poll_at_ms = math.inf

    def on_failure(self, now_ms: float, max_poll_delay_ms: float, rng: random.Random) -> float:
        """Double the backoff after a failed poll, and return the time of the next one."""
        shortest_ms = max_poll_delay_ms * FIRST_BACKOFF_FRACTION
        self.backoff_ms = min(max(2 * self.backoff_ms, shortest_ms), max_poll_delay_ms)
        self.poll_at_ms = now_ms + self.backoff_ms * rng.uniform(*BACKOFF_JITTER)
        return self.poll_at_ms

    def on_update(self) -> None:
        """Reset the backoff, because an endpoint list arrived."""
        self.backoff_ms = 0.0

    def should_subscribe(self, now_ms: float, mode: DiscoveryMode) -> bool:
        """Return whether polling mode has no subscription yet; if so, make the subscription due now."""
        if mode is not DiscoveryMode.POLL or self.is_subscribed:
            return False
        self.poll_at_ms = now_ms
        return True

    def is_due(self, now_ms: float) -> bool:
        """Return whether the subscription must be sent now; if so, mark it as sent."""
        if now_ms < self.poll_at_ms:
            return False
        self.poll_at_ms = math.inf
        self.is_subscribed = True
        return True
