"""The table of one router's pending requests and of the attempts in flight of closed requests."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cedarthread.routing.timers import ROUNDING_MS, TimerSchedule

if TYPE_CHECKING:
    from cedarthread.model.events import AttemptEnded
    from cedarthread.routing.records import Attempt, PendingRequest

QUEUE_CHECK_MS = 50.0  # interval between checks of the queue


class RequestTable:
    """The pending and queued requests of one router by id, and the orphaned attempts of closed requests."""

    def __init__(self) -> None:
        self.pending: dict[int, PendingRequest] = {}
        self.queued: dict[int, PendingRequest] = {}  # in the order in which they were queued
        # Attempts in flight of closed requests, by request id and attempt index.
        self.orphaned: dict[tuple[int, int], Attempt] = {}
        self.check_queue_at_ms = math.inf

    def add(self, pending: PendingRequest) -> None:
        """Add a new request."""
        self.pending[pending.request.request_id] = pending
        pending.function.open_requests += 1

    def enqueue(self, now_ms: float, pending: PendingRequest, timers: TimerSchedule) -> None:
        """Queue a request in the router until the next queue check."""
        if self.check_queue_at_ms == math.inf:
            self.check_queue_at_ms = now_ms + QUEUE_CHECK_MS
            timers.schedule(self.check_queue_at_ms)
        self.queued[pending.request.request_id] = pending

    def is_queue_check_due(self, now_ms: float) -> bool:
        """Return whether a queue check is due; the next ``enqueue`` schedules the next check."""
        if now_ms < self.check_queue_at_ms - ROUNDING_MS:
            return False
        self.check_queue_at_ms = math.inf
        return True

    def end_attempt(self, event: AttemptEnded) -> tuple[PendingRequest | None, Attempt | None]:
        """Mark an attempt as ended and return its request and record.

        The request is None if it is closed; the attempt is None if it is unknown or has already ended. The
        result is a plain tuple for speed, because this runs for each attempt.
        """
        pending = self.pending.get(event.request_id)
        if pending is None:  # the request is closed, but the outcome still updates the worker
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
        """Remove a request that has its final answer; its attempts in flight become orphaned."""
        request_id = pending.request.request_id
        if self.pending.pop(request_id, None) is not None:
            pending.function.open_requests -= 1
        self.queued.pop(request_id, None)
        pending.function.instance_queue.remove(request_id)
        for attempt_index, attempt in enumerate(pending.attempts):
            if attempt.is_in_flight:
                self.orphaned[(request_id, attempt_index)] = attempt
