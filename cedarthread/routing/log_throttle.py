"""Log lines of a router, each event at most once in an interval: a fault that hits every call logs once."""

from __future__ import annotations

import math

from cedarthread.logs import format_event
from cedarthread.model.actions import LogMessage

LOG_INTERVAL_MS = 5000.0  # ms between two log lines of one event


class LogThrottle:
    """When each event was logged last."""

    def __init__(self) -> None:
        self.logged_at_ms: dict[str, float] = {}

    def line(self, now_ms: float, event: str, **fields: object) -> LogMessage | None:
        """The line to log, or nothing where the event was logged a short time ago."""
        if now_ms - self.logged_at_ms.get(event, -math.inf) < LOG_INTERVAL_MS:
            return None
        self.logged_at_ms[event] = now_ms
        return LogMessage(format_event(event, **fields))
