"""Figures computed from recorded times: peaks, value served per second, and time to full service."""

from __future__ import annotations

from bisect import bisect_left
from statistics import fmean
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

PEAK_WINDOW_MS = 250.0
RATE_WINDOW_S = 1.0  # Length of the windows of value rates.
RATE_STEP_MS = 250.0  # Time from the start of one window to the start of the next.


class ServedValue(NamedTuple):
    """The time at which a call was served, and the value of its class."""

    at_ms: float
    value: float


def peak_count(times_ms: Sequence[float], window_ms: float = PEAK_WINDOW_MS) -> int:
    """Return the maximum number of events within any window. The times must be in order."""
    return max(
        (index + 1 - bisect_left(times_ms, at_ms - window_ms) for index, at_ms in enumerate(times_ms)),
        default=0,
    )


def value_rates(served: Sequence[ServedValue], end_ms: float, step_ms: float = RATE_STEP_MS) -> list[float]:
    """Return the value served per second, in windows of 1 s that start every ``step_ms``."""
    steps = [0.0] * int(end_ms // step_ms)
    for at_ms, value in served:
        if 0.0 <= at_ms < len(steps) * step_ms:
            steps[int(at_ms // step_ms)] += value
    return window_sums(steps, round(1000.0 * RATE_WINDOW_S / step_ms))


def window_sums(steps: Sequence[float], width: int) -> list[float]:
    """Return the sums of each ``width`` successive values."""
    return [sum(steps[start : start + width]) for start in range(len(steps) - width + 1)]


def time_to_full_service(
    value_rates: Sequence[float],
    last_crash_s: float,
    required_share: float = 0.95,
    stable_s: float = 5.0,
    undisturbed_rate: float | None = None,
    step_s: float = 0.25,
) -> float | None:
    """Return the seconds from the last crash to the end of the first window of a stable period.

    A period is stable if it lasts ``stable_s`` and each of its windows of 1 s, which start every ``step_s``,
    reaches ``required_share`` of the undisturbed rate. Without ``undisturbed_rate``, the undisturbed rate is
    the mean of all windows that ended before the last crash, which is correct only if there was no earlier
    crash. None means that no period was stable.
    """
    if undisturbed_rate is None:
        before_crash = [
            rate for index, rate in enumerate(value_rates) if index * step_s + RATE_WINDOW_S <= last_crash_s
        ]
        undisturbed_rate = fmean(before_crash) if before_crash else 0.0
    required_rate = required_share * undisturbed_rate
    required_windows = round(stable_s / step_s)
    good_windows = 0
    for index, rate in enumerate(value_rates):
        is_good = rate >= required_rate and index * step_s >= last_crash_s
        good_windows = good_windows + 1 if is_good else 0
        if good_windows >= required_windows:
            first = index - required_windows + 1
            return max(0.0, first * step_s + RATE_WINDOW_S - last_crash_s)
    return None
