"""How often a router does what is paced on an undisturbed day."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cedarthread.recovery.pacing_limits import PacedAction
from cedarthread.statistics import DecayingCounter

if TYPE_CHECKING:
    from collections.abc import Mapping

TIME_CONSTANT_MS = 10_000.0
"""Time over which the undisturbed rate is averaged."""
MIN_TIME_CONSTANTS = 2.0
"""Time in service, in units of the above, from which on that average is believed."""


class ActionBaseline:
    """The usual rates of one router, as it measured them itself or as a peer reported its own."""

    def __init__(self) -> None:
        self.own_per_second: dict[PacedAction, float] = {}
        self.peer_per_second: dict[PacedAction, float] = {}
        self.in_service_since_ms = math.inf
        self._reset_counters()

    def _reset_counters(self) -> None:
        self._counters = {action: DecayingCounter(TIME_CONSTANT_MS) for action in PacedAction}

    @property
    def is_in_service(self) -> bool:
        """Whether what is done now counts as undisturbed."""
        return self.in_service_since_ms < math.inf

    def leave_service(self) -> None:
        """A recovery begins: what is done from now on is not the usual."""
        self.in_service_since_ms = math.inf

    def enter_service(self, now_ms: float) -> None:
        """The recovery is over: from now on the usual rate is measured anew."""
        self.in_service_since_ms = now_ms
        self._reset_counters()

    def record(self, now_ms: float, action: PacedAction) -> None:
        """The router did it once."""
        self._counters[action].add(now_ms, 1.0)

    def update(self, now_ms: float) -> Mapping[PacedAction, float]:
        """The router's own usual rates per second, measured anew once it is in service for long enough."""
        if now_ms - self.in_service_since_ms >= MIN_TIME_CONSTANTS * TIME_CONSTANT_MS:
            # The counters began empty: the part of their final value that they can have reached by now.
            filled = 1.0 - math.exp((self.in_service_since_ms - now_ms) / TIME_CONSTANT_MS)
            self.own_per_second = {
                action: 1000.0 * counter.read(now_ms) / TIME_CONSTANT_MS / filled
                for action, counter in self._counters.items()
            }
        return self.own_per_second

    def per_second(self, action: PacedAction) -> float | None:
        """The usual rate of one router: this one's, else a peer's, else not known."""
        return self.own_per_second.get(action, self.peer_per_second.get(action))
