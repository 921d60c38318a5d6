"""The rates of the paced actions in normal service, from which the rate limits of a recovery are derived."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cedarthread.recovery.pacing_limits import PacedAction
from cedarthread.statistics import DecayingCounter

if TYPE_CHECKING:
    from collections.abc import Mapping

TIME_CONSTANT_MS = 10_000.0
"""Time constant of the average that measures the baseline rates."""
MIN_TIME_CONSTANTS = 2.0
"""Minimum time in service, in multiples of ``TIME_CONSTANT_MS``, before the measured rates are used."""


class ActionBaseline:
    """Baseline rates of one router, per second and by action: measured by itself or reported by peers.

    ``Pacer`` records the actions and starts and stops the measurement. ``SnapshotExchange`` sets the rates
    from the store, ``PeerExchange`` those of peers.
    """

    def __init__(self) -> None:
        self.own_per_second: dict[PacedAction, float] = {}
        self.peer_per_second: dict[PacedAction, float] = {}
        self.in_service_since_ms = math.inf
        self._reset_counters()

    def _reset_counters(self) -> None:
        self._counters = {action: DecayingCounter(TIME_CONSTANT_MS) for action in PacedAction}

    @property
    def is_in_service(self) -> bool:
        """True while the router is in service, so that its actions count for the baseline."""
        return self.in_service_since_ms < math.inf

    def leave_service(self) -> None:
        """Stop measuring, because the actions of a recovery are not representative."""
        self.in_service_since_ms = math.inf

    def enter_service(self, now_ms: float) -> None:
        """Start a new measurement, because the recovery is over."""
        self.in_service_since_ms = now_ms
        self._reset_counters()

    def record(self, now_ms: float, action: PacedAction) -> None:
        """Count one action of this router."""
        self._counters[action].add(now_ms, 1.0)

    def update(self, now_ms: float) -> Mapping[PacedAction, float]:
        """Return this router's own rates per second, measured again if it has been in service long enough."""
        if now_ms - self.in_service_since_ms >= MIN_TIME_CONSTANTS * TIME_CONSTANT_MS:
            # The counters started empty, so by now they have reached only this fraction of their final value.
            filled_fraction = 1.0 - math.exp((self.in_service_since_ms - now_ms) / TIME_CONSTANT_MS)
            self.own_per_second = {
                action: 1000.0 * counter.read(now_ms) / TIME_CONSTANT_MS / filled_fraction
                for action, counter in self._counters.items()
            }
        return self.own_per_second

    def per_second(self, action: PacedAction) -> float | None:
        """Return the baseline rate of one router: its own, else that of its peers, else None."""
        return self.own_per_second.get(action, self.peer_per_second.get(action))
