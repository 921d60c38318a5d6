"""How many preloads one router may request: its part of what the fleet may load at once, and rule 5's ration.

All times are ms of the clock that is handed in.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarthread.model.settings import RuleParameters

PRELOADS_PER_WORKER = 0.5  # preloads in flight at most by all routers, for each worker there is


class PreloadBudget:
    """The requests and preloads of one router in the window of rule 5; what has left it is dropped."""

    def __init__(self) -> None:
        self.request_times = deque[float]()
        self.preload_times = deque[float]()

    def on_request(self, now_ms: float, rules: RuleParameters) -> None:
        """A request came: it earns preloads while the window lasts."""
        self.request_times.append(now_ms)
        _drop_expired(now_ms, rules, self.request_times)

    def on_preload(self, now_ms: float) -> None:
        """A preload is requested."""
        self.preload_times.append(now_ms)

    def may_preload(
        self, now_ms: float, rules: RuleParameters, in_flight: int, workers_per_router: float
    ) -> bool:
        """Whether one more preload may be requested now; ``in_flight``: own ones under way."""
        if in_flight >= max(1.0, PRELOADS_PER_WORKER * workers_per_router):
            return False
        if rules.preload_window_ms <= 0:
            return True
        for times in (self.preload_times, self.request_times):
            _drop_expired(now_ms, rules, times)
        earned = rules.preload_allowance + rules.preload_share * len(self.request_times)
        return len(self.preload_times) + 1 <= earned


def _drop_expired(now_ms: float, rules: RuleParameters, times: deque[float]) -> None:
    while times and times[0] <= now_ms - rules.preload_window_ms:
        times.popleft()
