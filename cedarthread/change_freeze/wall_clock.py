"""The wall clock as far as it can be trusted: slewed, and compared with other routers' clocks.

Freeze windows are declared in wall time. The clock here runs on the steady clock and slews toward the
host's wall clock by no more than the drift that both may have, so a step of the host's clock shows as a gap
and opens no window. Offsets to other routers come from a request and its response, as in NTP (Mills, RFC
5905); their median tells whose clock deviates. Design: docs/design/freeze.md, steps 17 to 19.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from cedarthread.change_freeze.window_entries import MAX_WINDOW_MS
from cedarthread.logs import format_event

STEP_THRESHOLD_MS = 100.0  # a smaller gap is no step: the two clocks are read one after the other
SAMPLE_LIFETIME_MS = 120_000.0  # for which a comparison is used: the other clock drifts meanwhile
MAX_QUORUM = 9  # clocks, the own one too, that are enough for a median; a majority where that is fewer
MAX_ROUND_TRIP_MS = 60_000.0  # over which a comparison says nothing


class OffsetBounds(NamedTuple):
    """A clock offset in ms, as the range that it may be in."""

    lower_ms: float
    upper_ms: float


NO_OFFSET = OffsetBounds(0.0, 0.0)


@dataclass(frozen=True, slots=True)
class _OffsetSample:
    """One comparison with another router's clock."""

    offset_ms: float  # its wall clock less this router's steady clock
    uncertainty_ms: float  # by which that may be wrong either way
    received_at_ms: float


class WallClock:
    """Wall time (Unix ms) on the steady clock (ms). Raises nothing.

    ``max_error_ms``: by which wall clocks may differ. ``max_drift_rate``: part by which a clock may run
    fast or slow.
    """

    def __init__(self, router_count: int, max_error_ms: float, max_drift_rate: float) -> None:
        self.router_count, self.max_error_ms, self.max_drift_rate = router_count, max_error_ms, max_drift_rate
        self.followed_offset_ms: float | None = None  # wall less steady clock; None: no reading came yet
        self.read_at_ms = 0.0  # of the host's last reading
        self.unfollowed_offset_ms: float | None = None  # the host's, while it has stepped unconfirmed
        self.stepped_at_ms = 0.0  # when that was first seen
        self.samples: dict[int, _OffsetSample] = {}  # by router
        self.step_count = self.invalid_sample_count = 0

    def on_host_reading(self, now_ms: float, unix_ms: float, has_window: bool) -> str | None:
        """Take a reading of the host's wall clock; a line to log where it stepped or went back.

        ``has_window``: a window is known, so a step is followed only if other routers confirm it.
        """
        if not math.isfinite(unix_ms):
            return None
        offset_ms = unix_ms - now_ms
        if self.followed_offset_ms is None:
            self.followed_offset_ms, self.read_at_ms = offset_ms, now_ms
            return None
        allowed_drift_ms = self.max_drift_rate * max(0.0, now_ms - self.read_at_ms) * 2.0
        self.read_at_ms = now_ms
        gap_ms = offset_ms - self.followed_offset_ms
        if abs(gap_ms) <= STEP_THRESHOLD_MS + allowed_drift_ms:
            self.followed_offset_ms += min(max(gap_ms, -allowed_drift_ms), allowed_drift_ms)
            is_back, self.unfollowed_offset_ms = self.unfollowed_offset_ms is not None, None
            return format_event("wall_clock_step_undone") if is_back else None
        is_new_step = (
            self.unfollowed_offset_ms is None
            or abs(offset_ms - self.unfollowed_offset_ms) > STEP_THRESHOLD_MS + allowed_drift_ms
        )
        if is_new_step:
            self.stepped_at_ms, self.step_count = now_ms, self.step_count + 1
        self.unfollowed_offset_ms = offset_ms
        step_s = f"{gap_ms / 1000.0:+.1f}"
        if not has_window or self._is_step_confirmed(now_ms, offset_ms):
            self.followed_offset_ms, self.unfollowed_offset_ms = offset_ms, None
            return format_event("wall_clock_stepped", step_s=step_s, followed=True)
        return format_event("wall_clock_stepped", step_s=step_s, followed=False) if is_new_step else None

    def unix_ms(self, now_ms: float) -> float:
        """The wall time that is followed, which other routers are told too. NaN before any reading."""
        return now_ms + self.followed_offset_ms if self.followed_offset_ms is not None else math.nan

    # Comparison with other routers.

    def add_sample(self, now_ms: float, sender: int, unix_ms: float, sent_at_ms: float) -> None:
        """Take another router's response: the wall time that it follows, as requested at ``sent_at_ms``.

        The response was made between the request and now, so the offset may be wrong by half of that time.
        """
        round_trip_ms = now_ms - sent_at_ms
        is_known_router = 0 <= sender < self.router_count
        if not (is_known_router and math.isfinite(unix_ms) and 0.0 <= round_trip_ms <= MAX_ROUND_TRIP_MS):
            self.invalid_sample_count += 1
            return
        midpoint_ms = (sent_at_ms + now_ms) / 2.0
        self.samples[sender] = _OffsetSample(unix_ms - midpoint_ms, round_trip_ms / 2.0, now_ms)

    def peer_offset_bounds_ms(self, now_ms: float) -> OffsetBounds:
        """How far the median of all clocks is ahead of this one; no offset where there are too few samples.

        With one other router nobody can tell whose clock deviates: both may.
        """
        if self.followed_offset_ms is None:
            return NO_OFFSET
        return self._median_offset_bounds_ms(now_ms, self.followed_offset_ms)

    def _median_offset_bounds_ms(self, now_ms: float, own_offset_ms: float) -> OffsetBounds:
        self._drop_old_samples(now_ms)
        if not self._has_quorum():
            return NO_OFFSET
        lower_offsets, upper_offsets = [0.0], [0.0]  # the own clock's
        for sample in self.samples.values():
            ahead_ms, uncertainty_ms = sample.offset_ms - own_offset_ms, self._uncertainty_ms(now_ms, sample)
            lower_offsets.append(ahead_ms - uncertainty_ms)
            upper_offsets.append(ahead_ms + uncertainty_ms)
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
        """Whether most other routers follow the time that this clock stepped to.

        They tell what they follow, so a step that one bad source gives to all at once is not confirmed.
        """
        agreeing = sum(
            abs(sample.offset_ms - offset_ms) <= self.max_error_ms + self._uncertainty_ms(now_ms, sample)
            for sample in self.samples.values()
        )
        self._drop_old_samples(now_ms)
        return self._has_quorum() and 2 * agreeing > len(self.samples)

    # What windows are decided by.

    def deviation_ms(self, now_ms: float) -> float:
        """How far most other clocks are ahead of this one, where that is over the stated error; else 0."""
        bounds = self.peer_offset_bounds_ms(now_ms)
        worst_ms = bounds.lower_ms if abs(bounds.lower_ms) > abs(bounds.upper_ms) else bounds.upper_ms
        is_over_error = bounds.lower_ms > self.max_error_ms or bounds.upper_ms < -self.max_error_ms
        return worst_ms if is_over_error else 0.0

    def unix_ms_bounds(self, now_ms: float) -> tuple[float, float]:
        """The range that the wall time is in: a window begins by the latest and ends by the earliest.

        The stated error widens the range both ways. A clock that deviates by more widens it by its
        deviation; past the longest window it is no evidence, and the others' alone count. A step that is
        not followed may make a window begin earlier, never end later: what is in force ends at its end by
        the steady clock.
        """
        if self.followed_offset_ms is None:
            return -math.inf, math.inf
        unix_ms, error_ms = self.unix_ms(now_ms), self.max_error_ms
        earliest = latest = unix_ms
        if self.deviation_ms(now_ms) != 0.0:
            lower_ms, upper_ms = self.peer_offset_bounds_ms(now_ms)
            is_far_off = max(abs(lower_ms), abs(upper_ms)) > MAX_WINDOW_MS
            earliest = unix_ms + lower_ms if is_far_off else unix_ms + min(0.0, lower_ms)
            latest = unix_ms + upper_ms if is_far_off else unix_ms + max(0.0, upper_ms)
        if self.unfollowed_offset_ms is not None:
            error_ms += 2.0 * self.max_drift_rate * (now_ms - self.stepped_at_ms)
            latest = max(latest, min(self.unfollowed_offset_ms + now_ms, unix_ms + MAX_WINDOW_MS))
        return earliest - error_ms, latest + error_ms
