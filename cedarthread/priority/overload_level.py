"""The level of cluster overload: a state machine with hysteresis over the fleet's load pressure.

    level   what is done
        0   nothing
        1   load shedding is weighted by priority
        2   calls that are queued in the router may be preempted
        3   calls that run may be preempted too

Why these levels: docs/design/priority.md, step 11.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarthread.priority.contracts import OverloadParameters

LEVEL_MULTIPLES = (1.0, 1.2, 1.4)  # times the onset at which levels 1 to 3 begin


class OverloadStateMachine:
    """Moves one level at a time, after the pressure has asked for it during the whole dwell time.

    Up: the pressure is at or over the next level's beginning. Down: it is under this level's beginning times
    ``release / onset``. Where the pressure is not known, the level is 0 at once.
    """

    def __init__(self) -> None:
        self.level = 0
        self.requested_since_ms: float | None = None  # when the pressure first asked for ``requested_step``
        self.requested_step = 0  # -1, 0 or 1

    def update(self, now_ms: float, pressure: float | None, parameters: OverloadParameters | None) -> int:
        """Take the fleet's pressure now and return the level."""
        if pressure is None or parameters is None:
            self.level, self.requested_since_ms, self.requested_step = 0, None, 0
            return 0
        requested_step = self._requested_step(pressure, parameters)
        if requested_step != self.requested_step or self.requested_since_ms is None:
            self.requested_step, self.requested_since_ms = requested_step, now_ms
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
