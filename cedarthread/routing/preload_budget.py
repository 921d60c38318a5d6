"""The preload budget of one router: its share of the fleet's concurrent preloads, and the limit of rule 5.

Rule 5 of the deployment allows a number of preloads per window, plus a fraction of the requests in the
window. All times are ms on the monotonic clock, passed in by the caller.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarthread.model.settings import RuleParameters

PRELOADS_PER_WORKER = 0.5  # preloads that all routers together may have in flight, per worker


class PreloadBudget:
    """The times of one router's requests and preloads in the window of rule 5."""

    def __init__(self) -> None:
        self.request_times = deque[float]()
        self.preload_times = deque[float]()

    def on_request(self, now_ms: float, rules: RuleParameters) -> None:
        """Record a request, which earns a fraction of a preload while it is in the window."""
        self.request_times.append(now_ms)
        _drop_expired(now_ms, rules, self.request_times)

    def on_preload(self, now_ms: float) -> None:
        """Record a preload that is started now."""
        self.preload_times.append(now_ms)

    def may_preload(
        self, now_ms: float, rules: RuleParameters, in_flight: int, workers_per_router: float
    ) -> bool:
        """Return whether one more preload may start now.

        Args:
            now_ms: Current time.
            rules: The parameters of rule 5.
            in_flight: Preloads of this router that have not ended.
            workers_per_router: Listed workers over routers alive.
        """
        if in_flight >= max(1.0, PRELOADS_PER_WORKER * workers_per_router):
            return False
        if rules.preload_window_ms <= 0:
            return True
        for times in (self.preload_times, self.request_times):
            _drop_expired(now_ms, rules, times)
        earned = rules.preload_allowance + rules.preload_share * len(self.request_times)
        return len(self.preload_times) + 1 <= earned


def _drop_expired(now_ms: float, rules: RuleParameters, times: deque[float]) -> None:
    """Drop the times that have left the window of rule 5."""
    while times and times[0] <= now_ms - rules.preload_window_ms:
        times.popleft()
