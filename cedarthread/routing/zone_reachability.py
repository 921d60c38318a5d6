"""Zone reachability: detects an unreachable zone from missing responses to all calls to the zone together.

A router in a large fleet calls each worker only every few seconds, so an unresponsive worker may be detected
only when the outage of its zone is over. The calls to a zone together show the outage sooner. The suspicion
level follows the phi accrual failure detector (Hayashibara et al., 2004): each call in flight adds its age
since the last response from the zone, in units of the expected time of a call. All times are ms on the
monotonic clock, passed in by the caller.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cedarthread.statistics import Ewma

if TYPE_CHECKING:
    from collections.abc import Iterable

# Negative natural logarithm of a probability: a reachable zone exceeds it by chance once in 400.
SUSPICION_THRESHOLD = 6.0
MAX_WORKER_SUSPICION = 3.0  # upper bound of one worker's suspicion, because the fault may be its own
# Lower bound of the suspicion of a zone to count among zones that are unresponsive together.
MIN_SHARED_SUSPICION = 1.0
CONNECT_FAILURE_SUSPICION = 3.0  # suspicion added by one failed connect
DEVIATION_MULTIPLE = 1.0  # mean deviations added to the expected time, because cold starts cause a long tail
MIN_EXPECTED_MS = 100.0  # lower bound of the expected time: a shorter gap may be a pause of this process
MIN_RESPONSES = 10  # responses needed before any zone counts as unreachable
BASE_TRIAL_DELAY_MS = 1000.0  # time until a trial, doubled after each lost trial
MAX_TRIAL_DELAY_MS = 8000.0
MAX_LOST_ATTEMPTS = 64  # number of ended attempts without a response that are kept

AttemptId = tuple[int, int]  # request id and attempt index


@dataclass(slots=True)
class _TrackedAttempt:
    """An attempt in flight, or one that ended without a response."""

    worker_id: int
    zone: int
    started_at_ms: float
    expected_ms: float  # expected response time with a warm instance
    ended_at_ms: float = math.inf
    has_connect_failed: bool = False


@dataclass(slots=True)
class _UnreachableZone:
    """An unreachable zone and its trials."""

    trial_at_ms: float  # time from which a trial may be sent
    trial_delay_ms: float = BASE_TRIAL_DELAY_MS
    trial_attempt: AttemptId | None = None  # the trial in flight; None: no trial


class ZoneReachability:
    """The reachability of each zone from one router, and the router's attempts there.

    Args:
        own_zone: The zone of the router.
    """

    def __init__(self, own_zone: int) -> None:
        self.own_zone = own_zone
        self.in_flight: dict[AttemptId, _TrackedAttempt] = {}
        self.lost_attempts: deque[_TrackedAttempt] = deque(maxlen=MAX_LOST_ATTEMPTS)
        self.last_response_at_ms: dict[int, float] = {}
        self.unreachable: dict[int, _UnreachableZone] = {}
        self.mean_ratio = Ewma()  # mean ratio of response times to expected times
        self.ratio_deviation = Ewma()  # mean absolute deviation of the ratio from mean_ratio

    def on_attempt_started(
        self, now_ms: float, attempt: AttemptId, worker_id: int, zone: int, expected_ms: float
    ) -> None:
        """Record an attempt that was sent; if the zone is due for a trial, the attempt is that trial.

        Args:
            now_ms: Current time.
            attempt: The attempt.
            worker_id: Its worker.
            zone: The zone of the worker.
            expected_ms: The expected time with a warm instance.
        """
        self.in_flight[attempt] = _TrackedAttempt(worker_id, zone, now_ms, max(expected_ms, MIN_EXPECTED_MS))
        self.last_response_at_ms.setdefault(zone, now_ms)
        outage = self.unreachable.get(zone)
        if outage is not None and outage.trial_attempt is None and now_ms >= outage.trial_at_ms:
            outage.trial_attempt = attempt

    def on_response(self, now_ms: float, zone: int) -> bool:
        """Record a response from the zone; return whether the zone was unreachable."""
        self.last_response_at_ms[zone] = now_ms
        return self.unreachable.pop(zone, None) is not None

    def on_attempt_ended(
        self,
        now_ms: float,
        attempt: AttemptId,
        latency_ms: float,
        *,
        is_response: bool,
        has_connect_failed: bool,
    ) -> bool:
        """Record the end of an attempt; return whether its zone was unreachable and has now responded."""
        ended = self.in_flight.pop(attempt, None)
        if ended is None:
            return False
        if is_response:
            ratio = latency_ms / ended.expected_ms
            self.mean_ratio.add(ratio)
            self.ratio_deviation.add(abs(ratio - self.mean_ratio.mean))
            return self.on_response(now_ms, ended.zone)
        ended.ended_at_ms = now_ms
        ended.has_connect_failed = has_connect_failed
        self.lost_attempts.append(ended)
        outage = self.unreachable.get(ended.zone)
        if outage is not None and outage.trial_attempt == attempt:
            self._back_off(outage, now_ms)
        return False

    def on_worker_restarted(self, zone: int) -> None:
        """Drop the lost attempts of a zone with a restarted worker and make the zone reachable."""
        self.unreachable.pop(zone, None)
        others = (lost for lost in self.lost_attempts if lost.zone != zone)
        self.lost_attempts = deque(others, MAX_LOST_ATTEMPTS)

    def may_send(self, now_ms: float, zone: int, *, is_idempotent: bool) -> bool:
        """Return whether a call may be sent to the zone: it is reachable, or this call may be a trial.

        An idempotent call may be a trial at once when one is due, any other ``MAX_TRIAL_DELAY_MS`` later.
        """
        outage = self.unreachable.get(zone)
        if outage is None:
            return True
        trial_at_ms = outage.trial_at_ms + (0.0 if is_idempotent else MAX_TRIAL_DELAY_MS)
        return outage.trial_attempt is None and now_ms >= trial_at_ms

    def find_unreachable(self, now_ms: float) -> list[int]:
        """Mark zones as unreachable; return these and the unreachable zones in which a trial got no response.

        A zone is unreachable if its suspicion level reaches the threshold; several zones other than the
        router's own are unreachable if the sum of their suspicion levels does.
        """
        if self.mean_ratio.count < MIN_RESPONSES:
            return []
        # At least 1, because a tolerance below 1 would undercut ``MIN_EXPECTED_MS``.
        tolerance = max(1.0, self.mean_ratio.mean + DEVIATION_MULTIPLE * self.ratio_deviation.mean)
        newly_unreachable: list[int] = []
        for zone, outage in self.unreachable.items():
            if outage.trial_attempt is not None and self._is_trial_lost(
                now_ms, outage.trial_attempt, tolerance
            ):
                self._back_off(outage, now_ms)
                newly_unreachable.append(zone)
        suspicions = {
            zone: self._zone_suspicion(now_ms, zone, tolerance)
            for zone in self.last_response_at_ms
            if zone not in self.unreachable
        }
        other_zones = {
            zone: suspicion
            for zone, suspicion in suspicions.items()
            if zone != self.own_zone and suspicion >= MIN_SHARED_SUSPICION
        }
        are_others_unresponsive = sum(other_zones.values()) >= SUSPICION_THRESHOLD
        for zone, suspicion in suspicions.items():
            if suspicion >= SUSPICION_THRESHOLD or (are_others_unresponsive and zone in other_zones):
                newly_unreachable.append(zone)
                self.unreachable[zone] = _UnreachableZone(now_ms + BASE_TRIAL_DELAY_MS)
        return newly_unreachable

    def _is_trial_lost(self, now_ms: float, attempt: AttemptId, tolerance: float) -> bool:
        """Return whether the trial in flight has been without a response for too long."""
        return self._suspicion_level(now_ms, [self.in_flight[attempt]], tolerance) >= MAX_WORKER_SUSPICION

    def _zone_suspicion(self, now_ms: float, zone: int, tolerance: float) -> float:
        """Return a zone's suspicion level; 0 until the expected time of a call passes without response."""
        responded_at_ms = self.last_response_at_ms[zone]
        if now_ms - responded_at_ms < MIN_EXPECTED_MS * tolerance:
            return 0.0
        attempts = [
            attempt
            for attempt in (*self.in_flight.values(), *self.lost_attempts)
            if attempt.zone == zone and attempt.ended_at_ms > responded_at_ms
        ]
        unanswered_since_ms = min(
            (max(attempt.started_at_ms, responded_at_ms) for attempt in attempts), default=now_ms
        )
        expected_ms = sum(attempt.expected_ms for attempt in attempts) / max(1, len(attempts))
        if now_ms - unanswered_since_ms < expected_ms * tolerance:
            return 0.0
        return self._suspicion_level(now_ms, attempts, tolerance, responded_at_ms)

    def _suspicion_level(
        self,
        now_ms: float,
        attempts: Iterable[_TrackedAttempt],
        tolerance: float,
        responded_at_ms: float = -math.inf,
    ) -> float:
        """Return the suspicion level of unanswered attempts, summed over workers and bounded for each."""
        by_worker: dict[int, float] = {}
        for attempt in attempts:
            if attempt.has_connect_failed:
                suspicion = CONNECT_FAILURE_SUSPICION
            else:
                age_ms = min(now_ms, attempt.ended_at_ms) - max(attempt.started_at_ms, responded_at_ms)
                suspicion = age_ms / (attempt.expected_ms * tolerance)
            by_worker[attempt.worker_id] = by_worker.get(attempt.worker_id, 0.0) + suspicion
        return sum(min(suspicion, MAX_WORKER_SUSPICION) for suspicion in by_worker.values())

    @staticmethod
    def _back_off(outage: _UnreachableZone, now_ms: float) -> None:
        """Schedule the next trial with a longer delay, because the last one was lost."""
        outage.trial_delay_ms = min(2 * outage.trial_delay_ms, MAX_TRIAL_DELAY_MS)
        outage.trial_at_ms = now_ms + outage.trial_delay_ms
        outage.trial_attempt = None
