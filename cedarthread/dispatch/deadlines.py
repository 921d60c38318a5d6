"""The deadlines of all pending calls, and the ends of their graces, on one timer of the event loop.

Only ``CallDeadlines`` writes the queue and the timer.
"""

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
    """Timer queue that calls ``on_due`` for each call that is still pending at its scheduled time.

    One timer of the loop serves all calls, because one timer for each call cost a twentieth of the CPU time.

    Args:
        context: Clock and event loop of the dispatcher.
        calls: The calls of the process; only pending ones become due.
        on_due: Handles a call at or after its scheduled time.
    """

    def __init__(self, context: DispatchContext, calls: CallTable, on_due: Callable[[Call], None]) -> None:
        self._context = context
        self._calls = calls
        self._on_due = on_due
        # A heap of times in ms and request ids. An entry of a completed call is removed at the head of the
        # heap.
        self._timer_queue: list[tuple[float, int]] = []
        self._wakeup_at_ms = math.inf
        self._wakeup_timer: asyncio.TimerHandle | None = None

    def schedule(self, at_ms: float, call: Call) -> None:
        """Schedule ``on_due`` for a call at a time of the clock; a call may be scheduled several times."""
        heapq.heappush(self._timer_queue, (at_ms, call.request_id))
        if at_ms < self._wakeup_at_ms:
            self._set_wakeup(at_ms)

    def bring_forward(self, at_ms: float) -> None:
        """Lower the deadline of each pending call to at most a time of the clock."""
        for call in list(self._calls.pending.values()):
            if call.deadline_ms > at_ms:
                call.deadline_ms = at_ms
                self.schedule(at_ms, call)

    def run_if_due(self, now_ms: float) -> None:
        """Handle the due calls if the timer should have fired by ``now_ms``.

        While CPU time is scarce, the event loop reads many sockets before it runs its timers. Without
        ``run_if_due``, results would miss their deadlines.
        """
        if now_ms >= self._wakeup_at_ms:
            self.on_timer()

    def on_timer(self) -> None:
        """Handle each due call, and set the timer for the next one."""
        self._wakeup_at_ms = math.inf
        self._wakeup_timer = None
        now_ms = self._context.clock()
        timer_queue = self._timer_queue
        pending = self._calls.pending
        while timer_queue and (timer_queue[0][0] <= now_ms or timer_queue[0][1] not in pending):
            call = pending.get(heapq.heappop(timer_queue)[1])
            if call is not None:
                self._on_due(call)
        if timer_queue and timer_queue[0][0] < self._wakeup_at_ms:
            self._set_wakeup(timer_queue[0][0])

    def _set_wakeup(self, at_ms: float) -> None:
        # Cancel the previous timer. Every timer that fires sets the next one, so a second timer would never
        # end.
        if self._wakeup_timer is not None:
            self._wakeup_timer.cancel()
        self._wakeup_at_ms = at_ms
        self._wakeup_timer = self._context.call_at(at_ms, self.on_timer)
