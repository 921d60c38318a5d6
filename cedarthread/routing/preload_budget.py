"""How many loads one router may order: its part of what the fleet may load at once, and rule 5's ration."""

from __future__ import annotations

from collections import deque

from cedarthread.model.settings import RuleParameters

PRELOADS_PER_WORKER = 0.5  # loads under way at most by all gateways, for each worker there is


def record_request(rules: RuleParameters, times: deque[float], now: float) -> None:
    """A request came: it earns orders while the window of rule 5 lasts."""
    times.append(now)
    _drop_expired(rules, times, now)


def may_preload(
    rules: RuleParameters,
    now: float,
    in_flight: int,
    workers_per_router: float,
    preload_times: deque[float],
    request_times: deque[float],
) -> bool:
    """Whether one more load may be ordered now.

    ``out``: own loads under way; ``workers``: workers for each gateway; then when loads were ordered, and
    requests taken, which are dropped here as they leave the window."""
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
