"""Holds work back after a stall of the process until the endpoint list is up to date. It does no I/O.

A process that was stopped, or had no CPU, finds calls and responses in its sockets, and an endpoint list of
before the stall. What it sent now could go to workers that were drained long ago. So it asks discovery first,
and waits for the reply, but not for long: discovery may be down. Times are loop seconds.
"""

from __future__ import annotations

import math

STALL_GRACE_FRACTION = 0.3  # of the drain grace: a query that is later than this shows a stall
MAX_HOLD_GRACE_FRACTION = 0.2  # of the drain grace: how long work is held back at most


class StallHold:
    """Whether work is held back now."""

    def __init__(self) -> None:
        self._held_since_s = math.inf
        self._held_until_s = -math.inf

    def begin_if_stalled(self, now_s: float, query_due_at_s: float, drain_grace_s: float) -> float | None:
        """Begin to hold back where a query was due long ago; for how many seconds at most, None if not."""
        if self.is_holding(now_s) or now_s <= query_due_at_s + STALL_GRACE_FRACTION * drain_grace_s:
            return None
        self._held_since_s = now_s
        self._held_until_s = now_s + MAX_HOLD_GRACE_FRACTION * drain_grace_s
        return self._held_until_s - now_s

    def is_holding(self, now_s: float) -> bool:
        """Whether work is held back at that time."""
        return now_s < self._held_until_s

    def on_fresh(self, fresh_as_of_s: float) -> bool:
        """The list is as new as at that time; whether this ends the hold."""
        if self._held_until_s == -math.inf or fresh_as_of_s < self._held_since_s:
            return False
        self._held_until_s = -math.inf
        return True
