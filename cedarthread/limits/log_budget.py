"""The budget of log lines that clients cause: a burst of each event is logged, the rest is counted.

The module does no I/O. Times are in ms of a monotonic clock.
"""

from __future__ import annotations

from collections import Counter

from cedarthread.statistics import TokenBucket

LINES_PER_SECOND = 5.0
BURST_LINES = 20.0


class LogBudget:
    """A token bucket for each event; the events are named by the program, never by clients."""

    def __init__(self) -> None:
        self.suppressed: Counter[str] = Counter()  # lines not logged since the last ``take_suppressed``
        self._buckets: dict[str, TokenBucket] = {}

    def allows(self, event: str, now_ms: float) -> bool:
        """Return whether a line of this event may be logged now; count it if not."""
        bucket = self._buckets.get(event)
        if bucket is None:
            bucket = TokenBucket(LINES_PER_SECOND, BURST_LINES, BURST_LINES, now_ms)
            self._buckets[event] = bucket
        is_allowed = bucket.take(now_ms)
        self.suppressed[event] += not is_allowed
        return is_allowed

    def take_suppressed(self) -> dict[str, int]:
        """Return the counts of suppressed lines by event, and start anew."""
        suppressed = {event: count for event, count in self.suppressed.items() if count}
        self.suppressed.clear()
        return suppressed
