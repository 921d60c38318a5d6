"""A wall clock that tolerates steps of the host's clock and detects its deviation from other routers' clocks.

Freeze windows are declared in wall time. ``WallClock`` runs on the monotonic clock and slews toward the
host's wall clock by no more than the drift that both clocks may have. A step of the host's clock
that may affect a declared window therefore does not end the window, and is applied only once other routers
confirm it; any other step is applied at once.

The offset to another router's clock is computed from a request and its response, as in NTP (Mills, RFC 5905);
the median offset shows whether this router's clock deviates. The change freeze component passes the readings
of the host's clock; ``FleetComponents`` passes the samples of other routers' clocks.
Design: docs/design/change-freeze.md, steps 17 to 19.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from cedarthread.change_freeze.window_entries import MAX_WINDOW_MS
from cedarthread.logs import format_event

# A smaller difference of the clocks is no step, because the clocks are read in turn.
STEP_THRESHOLD_MS = 100.0
# Age at which a sample expires, which limits the drift of the other clock since the comparison.
SAMPLE_LIFETIME_MS = 120_000.0
MAX_QUORUM = 9  # clocks, including this router's, that suffice for a median in a large fleet
MAX_ROUND_TRIP_MS = 60_000.0  # a comparison with a longer round trip is too inaccurate


class OffsetBounds(NamedTuple):
    """The range in ms that contains a clock offset."""

    lower_ms: float
    upper_ms: float


class UnixTimeBounds(NamedTuple):
    """The range in Unix ms that contains the wall time."""

    earliest_unix_ms: float
    latest_unix_ms: float


NO_OFFSET = OffsetBounds(0.0, 0.0)
UNKNOWN_TIME = UnixTimeBounds(-math.inf, math.inf)


@dataclass(frozen=True, slots=True)
class _OffsetSample:
    """A comparison of this router's clock with another router's clock."""

    offset_ms: float  # the other router's wall clock minus this router's monotonic clock
    uncertainty_ms: float  # maximum error of the offset in either direction
    received_at_ms: float


class WallClock:
    """The wall time (Unix ms) as a function of the monotonic clock (ms). No method raises.

    Args:
        router_count: Number of routers in the fleet, including this one.
        max_error_ms: Maximum difference between wall clocks that work correctly.
        max_drift_rate: Maximum fraction by which a clock runs fast or slow.
    """

    def __init__(self, router_count: int, max_error_ms: float, max_drift_rate: float) -> None:
        self.router_count = router_count
        self.max_error_ms = max_error_ms
        self.max_drift_rate = max_drift_rate
        self.applied_offset_ms: float | None = None  # wall clock minus monotonic clock; None: no reading yet
        self.read_at_ms = 0.0  # time of the last host reading
        # Offset of the host's clock after an unconfirmed step.
        self.unconfirmed_offset_ms: float | None = None
        self.stepped_at_ms = 0.0  # time at which the unconfirmed step was first seen
        self.samples: dict[int, _OffsetSample] = {}  # latest sample by router index
        self.step_count = 0
        self.invalid_sample_count = 0

    def on_host_reading(self, now_ms: float, unix_ms: float, *, requires_confirmation: bool) -> str | None:
        """Process a reading of the host's wall clock; return a log line at a step, or if a step was undone.

        Args:
            now_ms: The time on the monotonic clock.
            unix_ms: The host's wall time.
            requires_confirmation: Whether a step is applied only if other routers confirm it, because the
                step may affect a window.
        """
        if not math.isfinite(unix_ms):
            return None
        offset_ms = unix_ms - now_ms
        if self.applied_offset_ms is None:
            self.applied_offset_ms = offset_ms
            self.read_at_ms = now_ms
            return None
        allowed_drift_ms = self.max_drift_rate * max(0.0, now_ms - self.read_at_ms) * 2.0
        self.read_at_ms = now_ms
        gap_ms = offset_ms - self.applied_offset_ms
        if abs(gap_ms) <= STEP_THRESHOLD_MS + allowed_drift_ms:
            self.applied_offset_ms += min(max(gap_ms, -allowed_drift_ms), allowed_drift_ms)
            is_undone = self.unconfirmed_offset_ms is not None
            self.unconfirmed_offset_ms = None
            return format_event("wall_clock_step_undone") if is_undone else None
        is_new_step = (
            self.unconfirmed_offset_ms is None
            or abs(offset_ms - self.unconfirmed_offset_ms) > STEP_THRESHOLD_MS + allowed_drift_ms
        )
        if is_new_step:
            self.stepped_at_ms = now_ms
            self.step_count += 1
        self.unconfirmed_offset_ms = offset_ms
        step_s = f"{gap_ms / 1000.0:+.1f}"
        if not requires_confirmation or self._is_step_confirmed(now_ms, offset_ms):
            self.applied_offset_ms = offset_ms
            self.unconfirmed_offset_ms = None
            return format_event("wall_clock_stepped", step_s=step_s, followed=True)
        return format_event("wall_clock_stepped", step_s=step_s, followed=False) if is_new_step else None

    def unix_ms(self, now_ms: float) -> float:
        """Return the applied wall time, which is also sent to other routers; NaN before the first reading."""
        return now_ms + self.applied_offset_ms if self.applied_offset_ms is not None else math.nan

    # Comparison with other routers.

    def add_sample(self, now_ms: float, sender: int, unix_ms: float, sent_at_ms: float) -> None:
        """Store the applied wall time of another router, as reported in a response received now.

        The other router read its clock between ``sent_at_ms``, when the request was sent, and ``now_ms``, so
        the offset may be wrong by half of the round trip.
        """
        round_trip_ms = now_ms - sent_at_ms
        is_known_router = 0 <= sender < self.router_count
        if not (is_known_router and math.isfinite(unix_ms) and 0.0 <= round_trip_ms <= MAX_ROUND_TRIP_MS):
            self.invalid_sample_count += 1
            return
        midpoint_ms = (sent_at_ms + now_ms) / 2.0
        self.samples[sender] = _OffsetSample(unix_ms - midpoint_ms, round_trip_ms / 2.0, now_ms)

    def peer_offset_bounds_ms(self, now_ms: float) -> OffsetBounds:
        """Return by how much the median of all clocks is ahead of this one; no offset without a quorum.

        With only one other router, the samples cannot show which of the two clocks deviates.
        """
        if self.applied_offset_ms is None:
            return NO_OFFSET
        return self._median_offset_bounds_ms(now_ms, self.applied_offset_ms)

    def _median_offset_bounds_ms(self, now_ms: float, own_offset_ms: float) -> OffsetBounds:
        self._drop_old_samples(now_ms)
        if not self._has_quorum():
            return NO_OFFSET
        lower_offsets = [0.0]  # this router's clock
        upper_offsets = [0.0]
        for sample in self.samples.values():
            relative_offset_ms = sample.offset_ms - own_offset_ms
            uncertainty_ms = self._uncertainty_ms(now_ms, sample)
            lower_offsets.append(relative_offset_ms - uncertainty_ms)
            upper_offsets.append(relative_offset_ms + uncertainty_ms)
        lower_offsets.sort()
        upper_offsets.sort()
        return OffsetBounds(
            lower_offsets[(len(lower_offsets) - 1) // 2], upper_offsets[len(upper_offsets) // 2]
        )

    def _drop_old_samples(self, now_ms: float) -> None:
        for sender in [
            sender
            for sender, sample in self.samples.items()
            if now_ms - sample.received_at_ms > SAMPLE_LIFETIME_MS
        ]:
            del self.samples[sender]

    def _has_quorum(self) -> bool:
        return len(self.samples) + 1 >= min(MAX_QUORUM, self.router_count // 2 + 1)

    def _uncertainty_ms(self, now_ms: float, sample: _OffsetSample) -> float:
        return sample.uncertainty_ms + 2.0 * self.max_drift_rate * (now_ms - sample.received_at_ms)

    def _is_step_confirmed(self, now_ms: float, offset_ms: float) -> bool:
        """Return whether most samples of other routers agree with the time to which the host's clock stepped.

        Routers report the wall time that they apply, not the time of their hosts. A wrong time source that
        steps all hosts at once is therefore not confirmed.
        """
        agreeing_count = sum(
            abs(sample.offset_ms - offset_ms) <= self.max_error_ms + self._uncertainty_ms(now_ms, sample)
            for sample in self.samples.values()
        )
        self._drop_old_samples(now_ms)
        return self._has_quorum() and 2 * agreeing_count > len(self.samples)

    # Time bounds that determine when windows start and end.

    def deviation_ms(self, now_ms: float) -> float:
        """Return the offset of the median clock (positive: ahead) if it exceeds ``max_error_ms``; else 0."""
        bounds = self.peer_offset_bounds_ms(now_ms)
        worst_ms = bounds.lower_ms if abs(bounds.lower_ms) > abs(bounds.upper_ms) else bounds.upper_ms
        is_over_error = bounds.lower_ms > self.max_error_ms or bounds.upper_ms < -self.max_error_ms
        return worst_ms if is_over_error else 0.0

    def unix_ms_bounds(self, now_ms: float) -> UnixTimeBounds:
        """Return the range that contains the wall time.

        A window starts when the latest time of the range reaches its start, and ends when the earliest time
        reaches its end. ``max_error_ms`` widens the range in both directions. A larger deviation of this
        router's clock widens the range by the deviation. If the deviation exceeds the longest window, only
        the clocks of the other routers count. A step that is not applied only raises the latest time: a
        window may start earlier, but never ends later than its end by the monotonic clock.
        """
        if self.applied_offset_ms is None:
            return UNKNOWN_TIME
        unix_ms = self.unix_ms(now_ms)
        error_ms = self.max_error_ms
        earliest_unix_ms = unix_ms
        latest_unix_ms = unix_ms
        if self.deviation_ms(now_ms) != 0.0:
            lower_ms, upper_ms = self.peer_offset_bounds_ms(now_ms)
            exceeds_longest_window = max(abs(lower_ms), abs(upper_ms)) > MAX_WINDOW_MS
            earliest_unix_ms = unix_ms + lower_ms if exceeds_longest_window else unix_ms + min(0.0, lower_ms)
            latest_unix_ms = unix_ms + upper_ms if exceeds_longest_window else unix_ms + max(0.0, upper_ms)
        if self.unconfirmed_offset_ms is not None:
            error_ms += 2.0 * self.max_drift_rate * (now_ms - self.stepped_at_ms)
            latest_unix_ms = max(
                latest_unix_ms, min(self.unconfirmed_offset_ms + now_ms, unix_ms + MAX_WINDOW_MS)
            )
        return UnixTimeBounds(earliest_unix_ms - error_ms, latest_unix_ms + error_ms)
