"""The suspension of work after a stall of the process until the endpoint list is up to date.

A process that was stopped, or that got no CPU time, has unread calls and responses in its sockets and an
endpoint list from before the stall. It could send requests to workers that were drained during the stall.
Therefore the process first sends a discovery query and waits for the reply. The wait is limited, because
discovery may be down. Times are in seconds on the event loop's clock. The module does no I/O. Only
``StallSuspension`` modifies its state.
"""

from __future__ import annotations

import math

STALL_GRACE_FRACTION = 0.3  # fraction of the drain grace: a discovery query later than this proves a stall
MAX_SUSPENSION_GRACE_FRACTION = 0.2  # maximum duration of a suspension, as a fraction of the drain grace


class StallSuspension:
    """The start of a suspension of work after a stall, and the time by which it ends."""

    def __init__(self) -> None:
        self._suspended_since_s = math.inf
        self._suspended_until_s = -math.inf

    def start_if_stalled(self, now_s: float, query_due_at_s: float, drain_grace_s: float) -> float | None:
        """Start a suspension if a discovery query is late enough to prove a stall.

        Args:
            now_s: The current time.
            query_due_at_s: When the discovery query was due.
            drain_grace_s: How long requests may still be sent to a draining worker.

        Returns:
            The maximum duration of the new suspension in seconds, or None if no suspension started.
        """
        if self.is_active(now_s) or now_s <= query_due_at_s + STALL_GRACE_FRACTION * drain_grace_s:
            return None
        self._suspended_since_s = now_s
        self._suspended_until_s = now_s + MAX_SUSPENSION_GRACE_FRACTION * drain_grace_s
        return self._suspended_until_s - now_s

    def is_active(self, now_s: float) -> bool:
        """Return whether work is suspended at ``now_s``."""
        return now_s < self._suspended_until_s

    def end_if_fresh(self, fresh_as_of_s: float) -> bool:
        """End the suspension if the endpoint list is current as of its start or later.

        Returns:
            Whether a suspension ended.
        """
        if self._suspended_until_s == -math.inf or fresh_as_of_s < self._suspended_since_s:
            return False
        self._suspended_until_s = -math.inf
        return True
