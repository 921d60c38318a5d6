"""Cluster overload: what the routers share, not what one sees.

``Gauge`` measures one router, ``Rumours`` holds what is told of all, ``Overload`` is the machine that says
from it how overloaded the fleet is. Why these: docs/design/tiers.md, steps 8 to 14.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass

from cedarthread.gossip.codec import MalformedDatagram
from cedarthread.priority import codec
from cedarthread.priority.codec import RouterPressure
from cedarthread.priority.contracts import OverloadParameters
from cedarthread.statistics import DecayingCounter

PRESSURE_TIME_CONSTANT_MS = 2000.0  # ms in which calls and answers fade from a router's own measure
OVERLOAD_UTILIZATION = (
    0.5  # part of the wait that begins to refuse, from which a router counts as jammed: dear calls need more
)
PRIOR_CALLS = 3.0  # calls' worth of doubt: few calls say little
MAX_REPORT_AGE_MS = 8000.0  # ms after which what was told of a router counts no more
GOSSIP_INTERVAL_MS, GOSSIP_FANOUT, MAX_REPORTS_PER_MESSAGE = (
    500.0,
    2,
    50,
)  # ms between tellings, to how many, of how many routers
LEVEL_MULTIPLES = (1.0, 1.2, 1.4)  # times the onset at which the levels begin


class LoadPressureEstimator:
    """The pressure at one router: calls that came over calls that were served, where there is a jam at all.

    The first shows how much more is offered than can be served, at a router that refuses and at one that lets
    all wait; but it shows faults of workers too. The jam shows nothing of how much; but faults make none."""

    def __init__(self) -> None:
        self.arrivals, self.completions, self.utilization = (
            DecayingCounter(PRESSURE_TIME_CONSTANT_MS),
            DecayingCounter(PRESSURE_TIME_CONSTANT_MS),
            DecayingCounter(PRESSURE_TIME_CONSTANT_MS),
        )

    def record_arrival(self, now: float, utilization: float) -> None:
        """A first try came. ``fill``: what calls must wait over what begins a jam; from 1 on there is one."""
        self.arrivals.add(now, 1.0)
        self.utilization.add(now, min(1.0, max(0.0, utilization)))

    def record_completion(self, now: float) -> None:
        """A call was served."""
        self.completions.add(now, 1.0)

    def pressure(self, now: float) -> float:
        """Under 1: the fleet has room; 2: twice what it serves is offered."""
        arrivals = self.arrivals.read(now)
        utilization = self.utilization.read(now) / (arrivals + PRIOR_CALLS)
        return (
            min(1.0, utilization / OVERLOAD_UTILIZATION)
            * (arrivals + PRIOR_CALLS)
            / (self.completions.read(now) + PRIOR_CALLS)
        )

    def calls_per_second(self, now: float) -> float:
        """First tries a second."""
        return self.arrivals.read(now) / PRESSURE_TIME_CONSTANT_MS * 1000.0


@dataclass(slots=True)
class _PressureReport:
    pressure: float
    calls_per_second: float
    measured_at_ms: float  # when it was so


class PressureGossip:
    """What is told of the pressure at all routers; of each the freshest word holds."""

    def __init__(self, router_index: int, router_count: int, seed: int) -> None:
        self.router_index, self.router_count = router_index, router_count
        self.rng = random.Random(seed ^ 0x50_52_45_53)
        self.reports: dict[int, _PressureReport] = {}
        self.alive_peers: tuple[int, ...] = ()
        self.next_send_at_ms = self.rng.uniform(0.0, GOSSIP_INTERVAL_MS)
        self.unreadable_count = self.invalid_count = 0

    def on_message(self, now: float, sender: int, data: bytes) -> None:
        """Take a datagram."""
        reports = codec.decode(data)
        if isinstance(reports, MalformedDatagram):
            self.unreadable_count += 1
            return
        if reports[0].router_index != sender or any(
            not 0 <= one.router_index < self.router_count for one in reports
        ):
            self.invalid_count += 1
            return
        for report in reports:
            previous = self.reports.get(report.router_index)
            if (
                report.router_index != self.router_index
                and report.age_ms < codec.MAX_AGE_MS
                and (previous is None or now - report.age_ms > previous.measured_at_ms)
            ):
                self.reports[report.router_index] = _PressureReport(
                    report.pressure, report.calls_per_second, now - report.age_ms
                )

    def record_own(self, now: float, pressure: float, calls_per_second: float) -> None:
        """What this router sees itself."""
        self.reports[self.router_index] = _PressureReport(pressure, calls_per_second, now)

    def messages_due(self, now: float) -> list[tuple[int, bytes]]:
        """Whom to tell what, if it is time: as many bytes in a fleet of any size."""
        if now < self.next_send_at_ms or not self.alive_peers or self.router_index not in self.reports:
            return []
        self.next_send_at_ms = now + GOSSIP_INTERVAL_MS * self.rng.uniform(0.8, 1.2)
        peers = self.rng.sample(self.alive_peers, min(GOSSIP_FANOUT, len(self.alive_peers)))
        return [(number, codec.encode(self._reports_to_send(now))) for number in peers]

    def _reports_to_send(self, now: float) -> list[RouterPressure]:
        """Own first, then the freshest that is held, so that it comes far while it counts: with others at
        random one of 200 routers heard 72 within 6 s instead of 106, at a loss of 0.2."""
        others = (
            (now - k.measured_at_ms, n)
            for n, k in self.reports.items()
            if n != self.router_index and now - k.measured_at_ms < MAX_REPORT_AGE_MS / 2
        )
        chosen = [self.router_index, *(n for _, n in sorted(others)[: MAX_REPORTS_PER_MESSAGE - 1])]
        return [
            RouterPressure(
                n,
                self.reports[n].pressure,
                self.reports[n].calls_per_second,
                now - self.reports[n].measured_at_ms,
            )
            for n in chosen
        ]

    def fleet_pressure(self, now: float) -> float | None:
        """The pressure that more than half of the fleet is under, by calls and by number. None: not known,
        for too few are heard; so one that is cut off knows of no overload."""
        alive = {self.router_index, *self.alive_peers}
        recent_reports = [
            k for n, k in self.reports.items() if n in alive and now - k.measured_at_ms <= MAX_REPORT_AGE_MS
        ]
        if 2 * len(recent_reports) <= self.router_count:
            return None
        by_calls = _lower_weighted_median((k.pressure, k.calls_per_second) for k in recent_reports)
        return min(by_calls, _lower_weighted_median((k.pressure, 1.0) for k in recent_reports))


def _lower_weighted_median(weighted_values: Iterable[tuple[float, float]]) -> float:
    """The greatest value that values of more than half of the weight reach: a lower weighted median."""
    descending = sorted(weighted_values, reverse=True)
    half_weight, weight_sum = sum(weight for _, weight in descending) / 2.0, 0.0
    for value, weight in descending:
        weight_sum += weight
        if weight_sum > half_weight * (1.0 + 1e-9):
            return value
    return 0.0


class OverloadStateMachine:
    """How overloaded the fleet is: level 0 is not at all, then one level a time, each held for the dwell.

    Up where the pressure has been at the next level's beginning all through the dwell; down where it has been
    under the part ``end / onset`` of this level's beginning as long. Not known: level 0 at once."""

    def __init__(self) -> None:
        self.level = 0
        self.requested_since_ms: float | None = None  # when the pressure first asked for what it asks for now
        self.requested_step = 0  # -1, 0, 1: levels that it asks for

    def update(self, now: float, pressure: float | None, parameters: OverloadParameters | None) -> int:
        """Take the joined pressure now and return the level."""
        if pressure is None or parameters is None:
            self.level, self.requested_since_ms, self.requested_step = 0, None, 0
            return 0
        requested_step = self._requested_step(pressure, parameters)
        if requested_step != self.requested_step or self.requested_since_ms is None:
            self.requested_step, self.requested_since_ms = requested_step, now
        if requested_step and now - self.requested_since_ms >= parameters.dwell_ms:
            self.level += requested_step
            self.requested_since_ms = now
            self.requested_step = self._requested_step(pressure, parameters)
        return self.level

    def _requested_step(self, pressure: float, parameters: OverloadParameters) -> int:
        if self.level < len(LEVEL_MULTIPLES) and pressure >= LEVEL_MULTIPLES[self.level] * parameters.onset:
            return 1
        release_pressure = LEVEL_MULTIPLES[self.level - 1] * parameters.release if self.level else -math.inf
        return -1 if pressure < release_pressure else 0
