"""The due times of one router, kept in one heap behind the one timer that the host fires.

Pure: it returns the action that arms the timer and never reads a clock. All times are ms of the clock that is
handed in.
"""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING, NamedTuple

from cedarthread.model.actions import SetTimer

if TYPE_CHECKING:
    from collections.abc import Iterator

NO_REQUEST = -1  # stands for the request where a due time belongs to none
MIN_DELAY_MS = 1.0  # a timer is never armed for less: what is overdue waits for the next ms
ROUNDING_MS = 0.5  # the host rounds due times: one that is this near counts as reached
TOKENS = 2**31  # tokens wrap below this: the node's own timer has a token above


class DueTime(NamedTuple):
    """One entry of the heap. The serial number keeps entries of one time in the order of their scheduling."""

    at_ms: float
    serial: int
    request_id: int
    attempt_index: int


class TimerSchedule:
    """Due times, and the timer that is armed for the first of them."""

    def __init__(self) -> None:
        self.entries: list[DueTime] = []
        self.serial = 0
        self.token = 0  # of the timer that is armed: one that fires with another token is obsolete
        self.armed_at_ms = math.inf

    def schedule(self, at_ms: float, request_id: int = NO_REQUEST, attempt_index: int = 0) -> None:
        """Be woken then, to look at an attempt of a request where one is named."""
        self.serial += 1
        heapq.heappush(self.entries, DueTime(at_ms, self.serial, request_id, attempt_index))

    def pop_due(self, now_ms: float) -> Iterator[DueTime]:
        """Entries that are due, first due first; one that is scheduled meanwhile counts too."""
        while self.entries and self.entries[0].at_ms <= now_ms + ROUNDING_MS:
            yield heapq.heappop(self.entries)

    def on_fired(self, token: int) -> bool:
        """The host's timer fired; false for one that was replaced by an earlier one."""
        if token != self.token:
            return False
        self.armed_at_ms = math.inf
        return True

    def rearm(self, now_ms: float) -> SetTimer | None:
        """The action that arms the timer, where something is due before the time it is armed for."""
        if not self.entries:
            return None
        due_ms = max(self.entries[0].at_ms, now_ms + MIN_DELAY_MS)
        if due_ms >= self.armed_at_ms:
            return None
        self.token, self.armed_at_ms = (self.token + 1) % TOKENS, due_ms
        return SetTimer(due_ms, self.token)
