"""The wall clock as far as it can be trusted: followed slowly, compared with others, never by its jumps.

Windows are wall-clock. The clock here runs on the steady one and moves toward the host's wall clock by no
more than the rate error that both may have, so that a step shows as a gap and opens nothing. Offsets from
others come from a question and its answer, as in NTP (Mills, RFC 5905); their median tells who is off.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from cedarthread.change_freeze.window import MAX_WINDOW_MS

STEP_THRESHOLD_MS = (
    100.0  # ms of a gap under which it is no step: the two clocks are read one after the other
)
SAMPLE_LIFETIME_MS = 120_000.0  # ms for which a comparison with another is used: its clock drifts meanwhile
MAX_QUORUM = 9  # routers, this one too, whose clocks are enough for a median; a majority where that is fewer
MAX_ROUND_TRIP_MS = 60_000.0  # ms between question and answer beyond which a comparison says nothing


@dataclass(frozen=True, slots=True)
class _OffsetSample:
    offset_ms: float  # their wall clock less this one's steady clock, ms
    uncertainty_ms: float  # ms by which that may be wrong either way
    received_at_ms: float


class WallClock:
    """Wall time on the steady clock. Unix ms and steady ms; nothing raises.

    ``error``: ms by which wall clocks may differ. ``rate``: part by which a clock runs fast or slow."""

    def __init__(self, router_count: int, max_error_ms: float, max_drift_rate: float) -> None:
        self.router_count, self.max_error_ms, self.max_drift_rate = router_count, max_error_ms, max_drift_rate
        self.followed_offset_ms: float | None = None  # followed wall less steady
        self.read_at_ms = 0.0  # steady, when it was last told
        self.unfollowed_offset_ms: float | None = (
            None  # host's wall less steady, where that is a step that is not followed
        )
        self.stepped_at_ms = 0.0  # when that was first seen
        self.samples: dict[int, _OffsetSample] = {}
        self.step_count = self.invalid_sample_count = 0

    def on_host_reading(self, now: float, unix_ms: float, has_window: bool) -> str | None:
        """The host's wall clock. ``held``: a window is known, so that no step is followed that others do not
        confirm. A line to log where a step came, was confirmed or went back."""
        if not math.isfinite(unix_ms):
            return None
        offset_ms = unix_ms - now
        if self.followed_offset_ms is None:
            self.followed_offset_ms, self.read_at_ms = offset_ms, now
            return None
        allowed_drift_ms = self.max_drift_rate * max(0.0, now - self.read_at_ms) * 2.0
        self.read_at_ms = now
        gap_ms = offset_ms - self.followed_offset_ms
        if abs(gap_ms) <= STEP_THRESHOLD_MS + allowed_drift_ms:
            self.followed_offset_ms += min(max(gap_ms, -allowed_drift_ms), allowed_drift_ms)
            is_back, self.unfollowed_offset_ms = self.unfollowed_offset_ms is not None, None
            return "the wall clock is back where it was" if is_back else None
        is_new_step = (
            self.unfollowed_offset_ms is None
            or abs(offset_ms - self.unfollowed_offset_ms) > STEP_THRESHOLD_MS + allowed_drift_ms
        )
        if is_new_step:
            self.stepped_at_ms, self.step_count = now, self.step_count + 1
        self.unfollowed_offset_ms = offset_ms
        if not has_window or self._is_step_confirmed(now, offset_ms):
            self.followed_offset_ms, self.unfollowed_offset_ms = offset_ms, None
            return f"the wall clock stepped by {gap_ms / 1000.0:+.1f} s, followed"
        return f"the wall clock stepped by {gap_ms / 1000.0:+.1f} s, not followed" if is_new_step else None

    def unix_ms(self, now: float) -> float:
        """The wall time that is followed; what others are told. NaN before any was told."""
        return now + self.followed_offset_ms if self.followed_offset_ms is not None else math.nan

    # Comparing.

    def add_sample(self, now: float, sender: int, unix_ms: float, sent_at_ms: float) -> None:
        """Another router's answer: ``wall`` is the time that it follows, ``sent`` when it was asked (steady
        ms). The answer was made between then and now, so half of that is what the offset may be wrong by."""
        round_trip_ms = now - sent_at_ms
        if not (
            0 <= sender < self.router_count
            and math.isfinite(unix_ms)
            and 0.0 <= round_trip_ms <= MAX_ROUND_TRIP_MS
        ):
            self.invalid_sample_count += 1
            return
        self.samples[sender] = _OffsetSample(unix_ms - (sent_at_ms + now) / 2.0, round_trip_ms / 2.0, now)

    def peer_offset_bounds_ms(self, now: float) -> tuple[float, float]:
        """How far others are ahead of this one, ms: least and greatest as the median may be; 0, 0 where too
        few were heard. With one other nobody can tell who of both is off: both may be."""
        if self.followed_offset_ms is None:
            return 0.0, 0.0
        return self._median_offset_bounds_ms(now, self.followed_offset_ms)

    def _median_offset_bounds_ms(self, now: float, own_offset_ms: float) -> tuple[float, float]:
        for sender in [
            s for s, sample in self.samples.items() if now - sample.received_at_ms > SAMPLE_LIFETIME_MS
        ]:
            del self.samples[sender]
        if len(self.samples) + 1 < min(MAX_QUORUM, self.router_count // 2 + 1):
            return 0.0, 0.0
        lower_offsets = sorted(
            [
                0.0,
                *(s.offset_ms - own_offset_ms - self._uncertainty_ms(now, s) for s in self.samples.values()),
            ]
        )
        upper_offsets = sorted(
            [
                0.0,
                *(s.offset_ms - own_offset_ms + self._uncertainty_ms(now, s) for s in self.samples.values()),
            ]
        )
        return lower_offsets[(len(lower_offsets) - 1) // 2], upper_offsets[len(upper_offsets) // 2]

    def _uncertainty_ms(self, now: float, sample: _OffsetSample) -> float:
        return sample.uncertainty_ms + 2.0 * self.max_drift_rate * (now - sample.received_at_ms)

    def _is_step_confirmed(self, now: float, offset_ms: float) -> bool:
        """Most others tell the time that this one stepped to. They tell what they follow: a step that came
        to all at once, from one bad source, is confirmed by nobody."""
        agreeing = sum(
            abs(s.offset_ms - offset_ms) <= self.max_error_ms + self._uncertainty_ms(now, s)
            for s in self.samples.values()
        )
        self._median_offset_bounds_ms(now, offset_ms)  # drops what is old
        return len(self.samples) + 1 >= min(MAX_QUORUM, self.router_count // 2 + 1) and 2 * agreeing > len(
            self.samples
        )

    # What windows go by.

    def deviation_ms(self, now: float) -> float:
        """ms by which this router's clock is off from most others beyond the stated error; 0: it is not."""
        lower, upper = self.peer_offset_bounds_ms(now)
        worst = lower if abs(lower) > abs(upper) else upper
        return worst if lower > self.max_error_ms or upper < -self.max_error_ms else 0.0

    def unix_ms_bounds(self, now: float) -> tuple[float, float]:
        """Wall time as it may be, Unix ms, least and most: a window begins by the most and ends by the least.

        The stated error widens both ways. A clock that is off by more widens by how far it is off; past the
        longest window it is no evidence, and the others' alone counts. A step that is not followed may make
        a window begin earlier, never end later: what is in force ends at its end by the steady clock."""
        if self.followed_offset_ms is None:
            return -math.inf, math.inf
        unix_ms, error_ms = self.unix_ms(now), self.max_error_ms
        earliest = latest = unix_ms
        if self.deviation_ms(now) != 0.0:
            low, high = self.peer_offset_bounds_ms(now)
            is_far_off = max(abs(low), abs(high)) > MAX_WINDOW_MS
            earliest = unix_ms + low if is_far_off else unix_ms + min(0.0, low)
            latest = unix_ms + high if is_far_off else unix_ms + max(0.0, high)
        if self.unfollowed_offset_ms is not None:
            error_ms += 2.0 * self.max_drift_rate * (now - self.stepped_at_ms)
            latest = max(latest, min(self.unfollowed_offset_ms + now, unix_ms + MAX_WINDOW_MS))
        return earliest - error_ms, latest + error_ms
