"""Log lines of a router, each kind at most once in an interval: a fault that hits every call logs once."""

from __future__ import annotations

import math

from cedarthread.model.actions import LogMessage

LOG_INTERVAL_MS = 5000.0  # ms between two log lines of one kind


class LogThrottle:
    """When each kind of line was logged last."""

    def __init__(self) -> None:
        self.logged_at_ms: dict[str, float] = {}

    def line(self, now: float, kind: str, text: str) -> LogMessage | None:
        """The line to log, or nothing where one of its kind was logged a short time ago."""
        if now - self.logged_at_ms.get(kind, -math.inf) < LOG_INTERVAL_MS:
            return None
        self.logged_at_ms[kind] = now
        return LogMessage(f"{kind}: {text}")
