"""Log lines of a router, each event at most once in an interval: a fault that hits every call logs once.

The simulator's wire carries these lines; their wording is part of its golden files and stays.
"""

from __future__ import annotations

import math

from cedarthread.model.actions import LogMessage

LOG_INTERVAL_MS = 5000.0  # ms between two log lines of one event


class LogThrottle:
    """When each event was logged last."""

    def __init__(self) -> None:
        self.logged_at_ms: dict[str, float] = {}

    def line(self, now: float, event: str, text: str) -> LogMessage | None:
        """The line to log, or nothing where the event was logged a short time ago."""
        if now - self.logged_at_ms.get(event, -math.inf) < LOG_INTERVAL_MS:
            return None
        self.logged_at_ms[event] = now
        return LogMessage(f"{event}: {text}")
