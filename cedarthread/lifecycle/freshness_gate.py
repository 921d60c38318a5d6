"""Lets the dispatcher decide and send only by an endpoint list that is newer than a stall of the process."""

from __future__ import annotations

import asyncio
import logging
import math
from typing import TYPE_CHECKING

from cedarthread.dispatch.stall_hold import StallHold
from cedarthread.logs import format_event

if TYPE_CHECKING:
    from cedarthread.dispatch.dispatcher import Dispatcher
    from cedarthread.protocols.discovery.client import DiscoveryClient
    from cedarthread.protocols.worker.connections import WorkerConnections

log = logging.getLogger(__name__)

MIN_STALL_S = 0.05  # lateness of a timer that is taken for a stall, not for the work of a loop pass
# After a stall, in which all that waited in the sockets is read.
READING_WINDOW_S = 0.03


class FreshnessGate:
    """Asked before events are processed and before attempts are written."""

    def __init__(
        self, discovery: DiscoveryClient, dispatcher: Dispatcher, workers: WorkerConnections
    ) -> None:
        self._discovery = discovery
        self._dispatcher = dispatcher
        self._workers = workers
        self._hold = StallHold()
        self._stalled_since_s = self._resumed_at_s = -math.inf
        self._loop = asyncio.get_running_loop()

    def is_open(self) -> bool:
        """May work go on? After a stall discovery is asked, and ``on_fresh`` or a timer opens it again."""
        if not self._discovery.is_polling:
            return True
        now_s, due_at_s = self._loop.time(), self._discovery.next_poll_at_s
        if now_s > due_at_s + MIN_STALL_S and self._begin_if_stalled(due_at_s):
            self._discovery.poll_now()
        return not self._hold.is_holding(now_s)

    def on_poll_due(self, due_at_s: float) -> None:
        """Discovery is about to be asked, as was due at that time."""
        self._begin_if_stalled(due_at_s)

    def input_delay_ms(self) -> float:
        """For how long what is read now may have waited: since a timer was due and not served."""
        now_s, due_at_s = self._loop.time(), self._discovery.next_poll_at_s
        if now_s > due_at_s + MIN_STALL_S:
            return 1000.0 * (now_s - due_at_s)
        if now_s < self._resumed_at_s + READING_WINDOW_S:
            return 1000.0 * (now_s - self._stalled_since_s)
        return 0.0

    def _begin_if_stalled(self, due_at_s: float) -> bool:
        now_s = self._loop.time()
        if now_s > due_at_s + MIN_STALL_S:
            self._stalled_since_s, self._resumed_at_s = due_at_s, now_s
        hold_s = self._hold.begin_if_stalled(now_s, due_at_s, self._discovery.queries.drain_grace_s)
        if hold_s is None:
            return False
        log.info(format_event("stall_detected", late_ms=round(1000.0 * (now_s - due_at_s))))
        self._loop.call_later(hold_s, self._release)
        return True

    def on_fresh(self) -> None:
        """Discovery has replied."""
        if self._hold.on_fresh(self._discovery.queries.fresh_as_of_s):
            self._release()

    def _release(self) -> None:
        self._dispatcher.resume()
        self._workers.flush_held()
