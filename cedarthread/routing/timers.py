"""The timer schedule of one router: a heap of due times, served by a single timer of the host.

The schedule does not read a clock; it arms the timer through an action that it returns. All times are ms on
the monotonic clock, passed in by the caller.
"""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING, NamedTuple

from cedarthread.model.actions import SetTimer

if TYPE_CHECKING:
    from collections.abc import Container, Iterator

NO_REQUEST = -1  # request id of a due time that belongs to no request
MIN_DELAY_MS = 1.0  # minimum delay of the timer, also for an overdue entry
ROUNDING_MS = 0.5  # the host rounds due times, so a time this close counts as due
# The heap is pruned when it has more entries than this, beside those of the open requests.
MIN_PRUNED_ENTRIES = 4096
MAX_ENTRIES_PER_REQUEST = 8
TOKENS = 2**31  # tokens wrap around below this; the timer of the node's components has a larger token


class DueTime(NamedTuple):
    """An entry of the heap; the serial number keeps entries of the same time in scheduling order."""

    at_ms: float
    serial: int
    request_id: int
    attempt_index: int


class TimerSchedule:
    """The due times of one router, and the timer armed for the first of them."""

    def __init__(self) -> None:
        self.entries: list[DueTime] = []
        self.serial = 0
        self.token = 0  # token of the armed timer; a timer with another token is obsolete
        self.armed_at_ms = math.inf

    def schedule(self, at_ms: float, request_id: int = NO_REQUEST, attempt_index: int = 0) -> None:
        """Add a due time, for an attempt if a request is given."""
        self.serial += 1
        heapq.heappush(self.entries, DueTime(at_ms, self.serial, request_id, attempt_index))

    def prune(self, open_requests: Container[int], open_count: int) -> None:
        """Drop the due times of closed requests if they are many.

        Args:
            open_requests: The ids of the open requests.
            open_count: The number of open requests.
        """
        if len(self.entries) > MIN_PRUNED_ENTRIES + MAX_ENTRIES_PER_REQUEST * open_count:
            kept = [
                due for due in self.entries if due.request_id == NO_REQUEST or due.request_id in open_requests
            ]
            heapq.heapify(kept)
            self.entries = kept

    def pop_due(self, now_ms: float) -> Iterator[DueTime]:
        """Yield due entries in order, including those scheduled during the iteration."""
        while self.entries and self.entries[0].at_ms <= now_ms + ROUNDING_MS:
            yield heapq.heappop(self.entries)

    def on_fired(self, token: int) -> bool:
        """Record that the host's timer fired; return False if an earlier one has replaced that timer."""
        if token != self.token:
            return False
        self.armed_at_ms = math.inf
        return True

    def rearm(self, now_ms: float) -> SetTimer | None:
        """Return the action that arms the timer for an earlier time; None: no change is needed."""
        if not self.entries:
            return None
        due_ms = max(self.entries[0].at_ms, now_ms + MIN_DELAY_MS)
        if due_ms >= self.armed_at_ms:
            return None
        self.token = (self.token + 1) % TOKENS
        self.armed_at_ms = due_ms
        return SetTimer(due_ms, self.token)
