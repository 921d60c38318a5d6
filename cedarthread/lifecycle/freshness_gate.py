"""The gate that closes after a stall of the process, until the endpoint list has been refreshed."""

from __future__ import annotations

import asyncio
import logging
import math
from typing import TYPE_CHECKING

from cedarthread.dispatch.stall_hold import StallSuspension
from cedarthread.logs import format_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.protocols.discovery.poll_schedule import PollSchedule
    from cedarthread.protocols.discovery.query_tracker import QueryTracker

log = logging.getLogger(__name__)

# A query delayed by more than this indicates a stall, not one long loop iteration. ``input_delay_ms`` then
# returns the delay; whether the gate closes too, ``StallSuspension`` decides by the drain grace.
MIN_STALL_S = 0.05
BACKLOG_READ_WINDOW_S = 0.03  # time after a stall within which all input that waited in sockets is read


class FreshnessGate:
    """A ``SendGate`` that closes when a discovery query is so late that the process must have stalled.

    After a stall the endpoint list may lack a recent drain, so that a request could be sent to a worker that
    has already terminated. The gate reopens when discovery has confirmed the list, or after a fraction of the
    drain grace. The gate is a ``PollObserver`` of the discovery client. Times are in seconds on the event
    loop's clock.

    Args:
        schedule: The poll schedule of the discovery client.
        queries: Tracks the discovery queries, and thereby the freshness of the endpoint list.
    """

    def __init__(self, schedule: PollSchedule, queries: QueryTracker) -> None:
        self._schedule = schedule
        self._queries = queries
        self._reopen_callbacks: list[Callable[[], None]] = []
        self._suspension = StallSuspension()
        self._stalled_since_s = -math.inf
        self._resumed_at_s = -math.inf
        self._loop = asyncio.get_running_loop()

    def add_reopen_callback(self, resume: Callable[[], None]) -> None:
        """Register ``resume`` to be called whenever the gate reopens; callbacks run in registration order."""
        self._reopen_callbacks.append(resume)

    def is_open(self) -> bool:
        """Return whether events may be processed and requests may be sent now.

        The first call after a stall closes the gate and sends a discovery query.
        """
        if not self._schedule.is_polling:
            return True
        now_s = self._loop.time()
        due_at_s = self._schedule.next_poll_at_s
        if now_s > due_at_s + MIN_STALL_S and self._close_if_stalled(due_at_s):
            self._schedule.poll_now()
        return not self._suspension.is_active(now_s)

    def on_poll_due(self, due_at_s: float) -> None:
        """Close the gate if the regular query that is sent next is late enough to prove a stall."""
        self._close_if_stalled(due_at_s)

    def input_delay_ms(self) -> float:
        """Return how long the input that is read now may have waited unread during a stall, in ms."""
        now_s = self._loop.time()
        due_at_s = self._schedule.next_poll_at_s
        if now_s > due_at_s + MIN_STALL_S:
            return 1000.0 * (now_s - due_at_s)
        if now_s < self._resumed_at_s + BACKLOG_READ_WINDOW_S:
            return 1000.0 * (now_s - self._stalled_since_s)
        return 0.0

    def _close_if_stalled(self, due_at_s: float) -> bool:
        """Record a stall, and close the gate, if the query due at ``due_at_s`` is late enough for each.

        Returns:
            Whether the gate was closed now; False if it already was closed.
        """
        now_s = self._loop.time()
        if now_s > due_at_s + MIN_STALL_S:
            self._stalled_since_s = due_at_s
            self._resumed_at_s = now_s
        suspension_s = self._suspension.start_if_stalled(now_s, due_at_s, self._queries.drain_grace_s)
        if suspension_s is None:
            return False
        log.info(format_event("stall_detected", late_ms=round(1000.0 * (now_s - due_at_s))))
        self._loop.call_later(suspension_s, self._open)
        return True

    def on_list_confirmed(self) -> None:
        """Open the gate if the endpoint list has been confirmed since the stall."""
        if self._suspension.end_if_fresh(self._queries.fresh_as_of_s):
            self._open()

    def _open(self) -> None:
        for resume in self._reopen_callbacks:
            resume()
