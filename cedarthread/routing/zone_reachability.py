"""Which zones can be reached, by the silence of all calls to them together.

A router that is one of many calls each worker every few seconds: that one is silent shows only after a time
that a whole cut lasts, that a zone is shows sooner. How surprising it is follows the phi accrual
failure detector (Hayashibara et al., 2004): each call that is out adds its age, since the zone was last
heard, in units of what calls take usually. All times are ms of the clock that is handed in."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from cedarthread.statistics import Ewma

UNREACHABLE_SURPRISE = 6.0  # surprise that is taken for a cut: chance alone brings it once in 400 times
MAX_WORKER_SURPRISE = 3.0  # most that one worker adds: its silence is its own
MIN_SHARED_SURPRISE = 1.0  # least that each of several zones adds that are silent together
CONNECT_FAILURE_SURPRISE = 3.0  # what a connection adds that did not come up
DEVIATIONS = 1.0  # deviations over the mean: calls that load a copy make a long tail
MIN_EXPECTED_MS = 100.0  # ms that a call is taken to need at least: less may be a pause of this process
MIN_RESPONSES = 10  # answers before which nothing is judged
BASE_TRIAL_DELAY_MS, MAX_TRIAL_DELAY_MS = (
    1000.0,
    8000.0,
)  # ms until a trial, doubled at each relapse up to the most
MAX_LOST_ATTEMPTS = 64  # calls without an answer that are remembered after they have ended


@dataclass(slots=True)
class _TrackedAttempt:
    worker_id: int
    zone: int
    started_at_ms: float
    expected_ms: float  # ms that it would take were it warm
    ended_at_ms: float = math.inf
    has_connect_failed: bool = False


@dataclass(slots=True)
class _UnreachableZone:
    trial_at_ms: float
    trial_delay_ms: float = BASE_TRIAL_DELAY_MS
    trial_attempt: tuple[int, int] | None = None  # the attempt that tries whether the zone answers


class ZoneReachability:
    """The zones of one router in zone ``home``, and its calls there."""

    def __init__(self, home: int) -> None:
        self.own_zone = home
        self.in_flight: dict[tuple[int, int], _TrackedAttempt] = {}
        self.lost_attempts: deque[_TrackedAttempt] = deque(maxlen=MAX_LOST_ATTEMPTS)
        self.last_heard_at_ms: dict[int, float] = {}
        self.unreachable: dict[int, _UnreachableZone] = {}
        self.mean_ratio, self.ratio_deviation = (
            Ewma(),
            Ewma(),
        )  # times of answers over the usual ones, and how far they are off

    def on_attempt_started(
        self, now: float, attempt: tuple[int, int], worker_id: int, zone: int, expected_ms: float
    ) -> None:
        """An attempt, by request and number, was sent; ``usual``: ms that such a call takes."""
        self.in_flight[attempt] = _TrackedAttempt(worker_id, zone, now, max(expected_ms, MIN_EXPECTED_MS))
        self.last_heard_at_ms.setdefault(zone, now)
        if (
            (gate := self.unreachable.get(zone)) is not None
            and gate.trial_attempt is None
            and now >= gate.trial_at_ms
        ):
            gate.trial_attempt = attempt

    def on_response(self, now: float, zone: int) -> bool:
        """Something came from there; true where the zone was held to be cut off."""
        self.last_heard_at_ms[zone] = now
        return self.unreachable.pop(zone, None) is not None

    def on_attempt_ended(
        self,
        now: float,
        attempt: tuple[int, int],
        is_response: bool,
        latency_ms: float,
        has_connect_failed: bool,
    ) -> bool:
        """An attempt has ended. ``dial``: its connection did not come up. True where its zone, held to be cut
        off, has answered."""
        one = self.in_flight.pop(attempt, None)
        if one is None:
            return False
        if is_response:
            ratio = latency_ms / one.expected_ms
            self.mean_ratio.add(ratio)
            self.ratio_deviation.add(abs(ratio - self.mean_ratio.mean))
            return self.on_response(now, one.zone)
        one.ended_at_ms, one.has_connect_failed = now, has_connect_failed
        self.lost_attempts.append(one)
        gate = self.unreachable.get(one.zone)
        if gate is not None and gate.trial_attempt == attempt:
            self._back_off(gate, now)
        return False

    def on_worker_restarted(self, zone: int) -> None:
        """The list tells of workers that have started there: what was lost before says nothing of them."""
        self.unreachable.pop(zone, None)
        self.lost_attempts = deque((one for one in self.lost_attempts if one.zone != zone), MAX_LOST_ATTEMPTS)

    def may_send(self, now: float, zone: int, is_idempotent: bool) -> bool:
        """May a call go there: the zone answers, or this one may try, a ``safe`` one first."""
        gate = self.unreachable.get(zone)
        return gate is None or (
            gate.trial_attempt is None
            and now >= gate.trial_at_ms + (0.0 if is_idempotent else MAX_TRIAL_DELAY_MS)
        )

    def find_unreachable(self, now: float) -> list[int]:
        """Zones that are newly held to be cut off, one by itself, or several but the own one together; and
        those where the call that was to try it has been silent too."""
        wide = max(
            1.0, self.mean_ratio.mean + DEVIATIONS * self.ratio_deviation.mean
        )  # or quick answers would undo ``LEAST``
        if self.mean_ratio.count < MIN_RESPONSES:
            return []
        found: list[int] = []
        for zone, gate in self.unreachable.items():
            if (
                gate.trial_attempt is not None
                and self._surprise(now, [self.in_flight[gate.trial_attempt]], wide) >= MAX_WORKER_SURPRISE
            ):
                self._back_off(gate, now)
                found.append(zone)
        silent = {
            zone: self._zone_surprise(now, zone, wide)
            for zone in self.last_heard_at_ms
            if zone not in self.unreachable
        }
        abroad = {
            zone: told
            for zone, told in silent.items()
            if zone != self.own_zone and told >= MIN_SHARED_SURPRISE
        }
        together = sum(abroad.values()) >= UNREACHABLE_SURPRISE
        for zone, told in silent.items():
            if told >= UNREACHABLE_SURPRISE or (together and zone in abroad):
                found.append(zone)
                self.unreachable[zone] = _UnreachableZone(now + BASE_TRIAL_DELAY_MS)
        return found

    def _zone_surprise(self, now: float, zone: int, wide: float) -> float:
        """How surprising it is that nothing came from a zone; nought until that has lasted."""
        heard = self.last_heard_at_ms[zone]
        if now - heard < MIN_EXPECTED_MS * wide:
            return 0.0
        calls = [
            one
            for one in (*self.in_flight.values(), *self.lost_attempts)
            if one.zone == zone and one.ended_at_ms > heard
        ]
        first = min((max(one.started_at_ms, heard) for one in calls), default=now)
        usual = sum(one.expected_ms for one in calls) / max(1, len(calls))
        return self._surprise(now, calls, wide, heard) if now - first >= usual * wide else 0.0

    def _surprise(
        self, now: float, calls: Iterable[_TrackedAttempt], wide: float, heard: float = -math.inf
    ) -> float:
        by: dict[int, float] = {}
        for one in calls:
            age = min(now, one.ended_at_ms) - max(one.started_at_ms, heard)
            by[one.worker_id] = by.get(one.worker_id, 0.0) + (
                CONNECT_FAILURE_SURPRISE if one.has_connect_failed else age / (one.expected_ms * wide)
            )
        return sum(min(worker, MAX_WORKER_SURPRISE) for worker in by.values())

    @staticmethod
    def _back_off(gate: _UnreachableZone, now: float) -> None:
        gate.trial_delay_ms = min(2 * gate.trial_delay_ms, MAX_TRIAL_DELAY_MS)
        gate.trial_at_ms, gate.trial_attempt = now + gate.trial_delay_ms, None
