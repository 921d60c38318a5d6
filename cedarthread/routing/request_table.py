"""The requests of one router that have no final answer yet, and attempts that outlive theirs."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cedarthread.routing.timers import ROUNDING_MS, TimerSchedule

if TYPE_CHECKING:
    from cedarthread.model.events import AttemptEnded
    from cedarthread.routing.records import Attempt, PendingRequest

QUEUE_CHECK_MS = 50.0  # ms between two looks at the queue


class RequestTable:
    """Pending requests by id; those of them that wait in the router; attempts whose request is closed."""

    def __init__(self) -> None:
        self.pending: dict[int, PendingRequest] = {}
        self.queued: dict[int, PendingRequest] = {}  # in the order in which they began to wait
        self.orphaned: dict[tuple[int, int], Attempt] = {}  # in flight, by request id and attempt index
        self.check_queue_at_ms = math.inf

    def enqueue(self, now_ms: float, pending: PendingRequest, timers: TimerSchedule) -> None:
        """Let a request wait in the router, to be looked at again in a while."""
        if self.check_queue_at_ms == math.inf:
            self.check_queue_at_ms = now_ms + QUEUE_CHECK_MS
            timers.schedule(self.check_queue_at_ms)
        self.queued[pending.request.request_id] = pending

    def is_queue_check_due(self, now_ms: float) -> bool:
        """Whether the queue is to be looked at now; the next look is scheduled by what waits then."""
        if now_ms < self.check_queue_at_ms - ROUNDING_MS:
            return False
        self.check_queue_at_ms = math.inf
        return True

    def end_attempt(self, event: AttemptEnded) -> tuple[PendingRequest | None, Attempt | None]:
        """The request and attempt that ended; None: the request is closed, the attempt is not known."""
        pending = self.pending.get(event.request_id)
        if pending is None:  # closed before; the outcome still tells of its worker
            attempt = self.orphaned.pop((event.request_id, event.attempt_index), None)
        elif event.attempt_index < len(pending.attempts):
            attempt = pending.attempts[event.attempt_index]
        else:
            attempt = None
        if attempt is None or not attempt.is_in_flight:
            return pending, None
        attempt.is_in_flight = False
        return pending, attempt

    def close(self, pending: PendingRequest) -> None:
        """The request has its final answer; its attempts in flight are still waited for."""
        request_id = pending.request.request_id
        self.pending.pop(request_id, None)
        self.queued.pop(request_id, None)
        pending.function.instance_queue.remove(request_id)
        for attempt_index, attempt in enumerate(pending.attempts):
            if attempt.is_in_flight:
                self.orphaned[(request_id, attempt_index)] = attempt
