"""Log throttling: a router logs each event at most once per interval, so that no fault floods the log."""

from __future__ import annotations

import math

from cedarthread.logs import format_event
from cedarthread.model.actions import LogMessage

LOG_INTERVAL_MS = 5000.0  # minimum time between two log lines of the same event


class LogThrottle:
    """The throttle of one router's log, with the time of the last line of each event."""

    def __init__(self) -> None:
        self.logged_at_ms: dict[str, float] = {}

    def line(self, now_ms: float, event: str, **fields: object) -> LogMessage | None:
        """Return the line to log, or None if the event was logged less than the interval ago."""
        if now_ms - self.logged_at_ms.get(event, -math.inf) < LOG_INTERVAL_MS:
            return None
        self.logged_at_ms[event] = now_ms
        return LogMessage(format_event(event, **fields))
