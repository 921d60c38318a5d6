"""The deadlines of all pending calls, on one timer of the event loop."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from cedarthread.dispatch.call_table import CallTable
    from cedarthread.dispatch.calls import Call
    from cedarthread.dispatch.context import DispatchContext


class CallDeadlines:
    """A timer queue: it calls ``on_due`` for each call that is still pending at its time.

    One timer of the loop serves all calls; one timer for each call cost a twentieth of the CPU.
    """

    def __init__(self, context: DispatchContext, calls: CallTable, on_due: Callable[[Call], None]) -> None:
        self._context = context
        self._calls = calls
        self._on_due = on_due
        self._timer_queue: list[
            tuple[float, int]
        ] = []  # heap of times in ms and request ids, also of past calls
        self._wakeup_at_ms = math.inf
        self._wakeup_timer: asyncio.TimerHandle | None = None

    def schedule(self, at_ms: float, call: Call) -> None:
        """Have ``on_due`` called for a call at that time; it may be scheduled more than once."""
        heapq.heappush(self._timer_queue, (at_ms, call.request_id))
        if at_ms < self._wakeup_at_ms:
            self._set_wakeup(at_ms)

    def run_if_due(self, now_ms: float) -> None:
        """Handle what is due before the loop's own timer does.

        When the CPU is short the loop reads many sockets before it runs its timers, and results would miss
        their deadlines behind that.
        """
        if now_ms >= self._wakeup_at_ms:
            self.on_timer()

    def on_timer(self) -> None:
        """Handle each call that is due, and wait for the next one."""
        self._wakeup_at_ms, self._wakeup_timer, now_ms = math.inf, None, self._context.clock()
        timer_queue, pending = self._timer_queue, self._calls.pending
        while timer_queue and (timer_queue[0][0] <= now_ms or timer_queue[0][1] not in pending):
            call = pending.get(heapq.heappop(timer_queue)[1])
            if call is not None:
                self._on_due(call)
        if timer_queue and timer_queue[0][0] < self._wakeup_at_ms:
            self._set_wakeup(timer_queue[0][0])

    def _set_wakeup(self, at_ms: float) -> None:
        # The old timer must not fire any more: each one left would set a further one, and they multiply.
        if self._wakeup_timer is not None:
            self._wakeup_timer.cancel()
        self._wakeup_at_ms = at_ms
        self._wakeup_timer = self._context.call_at(at_ms, self.on_timer)
