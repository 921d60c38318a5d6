"""The level of cluster overload: a state machine with hysteresis, driven by the fleet's load pressure.

    level   effect
        0   none
        1   load shedding is weighted by priority
        2   calls that are queued in the router may be preempted
        3   running calls may be preempted too

docs/design/priority.md, step 11, gives the reasons for the levels.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarthread.priority.contracts import OverloadParameters

LEVEL_MULTIPLES = (1.0, 1.2, 1.4)  # load pressures at which levels 1 to 3 start, as multiples of the onset


class OverloadStateMachine:
    """The overload level of one router, which moves by one level after each complete dwell time.

    The level rises if the pressure was at or over the start of the next level for the whole dwell time. The
    level falls if the pressure was under the start of the current level times ``release / onset`` for the
    whole dwell time. If the pressure is unknown, the level is 0 immediately.
    """

    def __init__(self) -> None:
        self.level = 0
        # Time at which the current ``requested_step`` was first requested.
        self.requested_since_ms: float | None = None
        self.requested_step = 0  # -1, 0 or 1: the change of level for which the dwell time runs

    def update(self, now_ms: float, pressure: float | None, parameters: OverloadParameters | None) -> int:
        """Update the level from the fleet's load pressure, and return the level."""
        if pressure is None or parameters is None:
            self.level = 0
            self.requested_since_ms = None
            self.requested_step = 0
            return 0
        requested_step = self._requested_step(pressure, parameters)
        if requested_step != self.requested_step or self.requested_since_ms is None:
            self.requested_step = requested_step
            self.requested_since_ms = now_ms
        if requested_step and now_ms - self.requested_since_ms >= parameters.dwell_ms:
            self.level += requested_step
            self.requested_since_ms = now_ms
            self.requested_step = self._requested_step(pressure, parameters)
        return self.level

    def _requested_step(self, pressure: float, parameters: OverloadParameters) -> int:
        if self.level < len(LEVEL_MULTIPLES) and pressure >= LEVEL_MULTIPLES[self.level] * parameters.onset:
            return 1
        release_pressure = LEVEL_MULTIPLES[self.level - 1] * parameters.release if self.level else -math.inf
        return -1 if pressure < release_pressure else 0
