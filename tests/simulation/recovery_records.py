"""The records of the simulated fleet in ``recovery_fleet.py``, and the metrics derived from them."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_RECOVERY_MS = 25_000.0


@dataclass
class FleetRecords:
    """Everything that the tests evaluate. Times are in ms of the virtual clock."""

    load_times: list[float] = field(default_factory=list)
    connection_times: dict[int, list[float]] = field(default_factory=lambda: defaultdict(list))
    """Times of new connections, by worker."""
    sent_datagrams: dict[int, list[float]] = field(default_factory=lambda: defaultdict(list))
    """Times at which datagrams were sent, by sender."""
    call_values: dict[int, list[float]] = field(default_factory=lambda: defaultdict(list))
    """Values of calls, by the tenth of a second of arrival: 1 if answered in time, 0.2 if late, 0 if lost."""
    stale_decisions: int = 0
    """Calls that were expected warm at a worker that has since restarted or is draining."""
    last_seen_warm_ms: dict[tuple[int, int], float] = field(default_factory=dict)
    """The last time at which any router saw an instance, by worker and function."""

    def mean_value(self, since_ms: float, until_ms: float) -> float:
        """Return the mean value of the calls that arrived in an interval."""
        tenths = range(round(since_ms / 100.0), round(until_ms / 100.0))
        values = [value for tenth in tenths for value in self.call_values[tenth]]
        return sum(values) / max(1, len(values))

    def recovery_ms(self, killed_at_ms: float, value_before: float) -> float:
        """Return the time after the last kill until the value is at least 0.95 of the earlier value for 5 s.

        The value is the mean over windows of 1 s, of which 41 that start every 100 ms cover 5 s.
        """
        good_windows = 0
        for step in range(250):
            start_ms = killed_at_ms + 100.0 * step
            is_good = self.mean_value(start_ms, start_ms + 1000.0) >= 0.95 * value_before
            good_windows = good_windows + 1 if is_good else 0
            if good_windows == 41:
                return start_ms - 4000.0 - killed_at_ms
        return MAX_RECOVERY_MS


def peak(times_ms: Iterable[float], since_ms: float = 0.0) -> int:
    """Return the maximum number of events in any 250 ms."""
    sorted_times_ms = sorted(time_ms for time_ms in times_ms if time_ms >= since_ms)
    first = 0
    most = 0
    for last, time_ms in enumerate(sorted_times_ms):
        while time_ms - sorted_times_ms[first] >= 250.0:
            first += 1
        most = max(most, last - first + 1)
    return most
