"""How many preloads one router may request: its part of what the fleet may load at once, and rule 5's ration.

Pure; all times are ms of the clock that is handed in.
"""

from __future__ import annotations

from collections import deque

from cedarthread.model.settings import RuleParameters

PRELOADS_PER_WORKER = 0.5  # preloads in flight at most by all routers, for each worker there is


def record_request(rules: RuleParameters, request_times: deque[float], now: float) -> None:
    """A request came: it earns preloads while the window of rule 5 lasts."""
    request_times.append(now)
    _drop_expired(rules, request_times, now)


def may_preload(
    rules: RuleParameters,
    now: float,
    in_flight: int,
    workers_per_router: float,
    preload_times: deque[float],
    request_times: deque[float],
) -> bool:
    """Whether one more preload may be requested now.

    ``in_flight``: own preloads under way. From ``preload_times``, when preloads were requested, and
    ``request_times``, when requests came, what has left the window is dropped here."""
    if in_flight >= max(1.0, PRELOADS_PER_WORKER * workers_per_router):
        return False
    if rules.preload_window_ms <= 0:
        return True
    for times in (preload_times, request_times):
        _drop_expired(rules, times, now)
    return len(preload_times) + 1 <= rules.preload_allowance + rules.preload_share * len(request_times)


def _drop_expired(rules: RuleParameters, times: deque[float], now: float) -> None:
    while times and times[0] <= now - rules.preload_window_ms:
        times.popleft()
