"""The deadlines and grace periods of all pending calls, on one timer of the event loop.

Only ``CallDeadlines`` modifies the queue and the timer.
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


# The heap is pruned when it has more entries than this, beside those of the pending calls.
MIN_PRUNED_ENTRIES = 1024
MAX_ENTRIES_PER_CALL = 4


class CallDeadlines:
    """Timer queue that invokes ``on_due`` for each call that is still pending at its scheduled time.

    All calls share one event loop timer, because one timer per call cost a twentieth of the CPU time.

    Args:
        context: Clock and event loop of the dispatcher.
        calls: The table of all calls of the process; only pending calls become due.
        on_due: Handles a call at or after its scheduled time.
    """

    def __init__(self, context: DispatchContext, calls: CallTable, on_due: Callable[[Call], None]) -> None:
        self._context = context
        self._calls = calls
        self._on_due = on_due
        # Heap of (time in ms, request id). The entry of a completed call is removed at the head of the heap.
        self._timer_queue: list[tuple[float, int]] = []
        self._wakeup_at_ms = math.inf
        self._wakeup_timer: asyncio.TimerHandle | None = None

    def schedule(self, at_ms: float, call: Call) -> None:
        """Schedule ``on_due`` for a call at a time on the clock; a call may be scheduled several times."""
        heapq.heappush(self._timer_queue, (at_ms, call.request_id))
        if len(self._timer_queue) > MIN_PRUNED_ENTRIES + MAX_ENTRIES_PER_CALL * len(self._calls.pending):
            self._prune()
        if at_ms < self._wakeup_at_ms:
            self._set_wakeup(at_ms)

    def _prune(self) -> None:
        """Drop the entries of completed calls, which may be far from the head of the heap."""
        pending = self._calls.pending
        self._timer_queue = [entry for entry in self._timer_queue if entry[1] in pending]
        heapq.heapify(self._timer_queue)

    def cap_deadlines(self, at_ms: float) -> None:
        """Cap the deadline of each pending call at a time on the clock."""
        for call in list(self._calls.pending.values()):
            if call.deadline_ms > at_ms:
                call.deadline_ms = at_ms
                self.schedule(at_ms, call)

    def run_if_due(self, now_ms: float) -> None:
        """Handle the due calls if the timer should have fired by ``now_ms``.

        While CPU time is scarce, the event loop processes many sockets before it runs its timers. Without
        this method, results would miss their deadlines.
        """
        if now_ms >= self._wakeup_at_ms:
            self.on_timer()

    def on_timer(self) -> None:
        """Handle all due calls, and set the timer for the next call."""
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
        # Cancel the previous timer. Each timer that fires sets its successor, so that a second timer would
        # keep rescheduling itself forever.
        if self._wakeup_timer is not None:
            self._wakeup_timer.cancel()
        self._wakeup_at_ms = at_ms
        self._wakeup_timer = self._context.call_at(at_ms, self.on_timer)
