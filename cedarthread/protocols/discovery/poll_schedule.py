"""The schedule of discovery queries, shared by the client that sends them and the gate that detects stalls.

``DiscoveryClient`` writes the schedule. The freshness gate reads when the next query is due, because an
overdue query shows that this process has stalled, and may then request an immediate query. Times are
event-loop seconds.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable


class PollObserver(Protocol):
    """Observer of the queries of a discovery client and of their replies."""

    def on_poll_due(self, due_at_s: float) -> None:
        """Handle a scheduled query that was due at that time; the client sends the query right afterwards."""

    def on_list_confirmed(self) -> None:
        """Handle a reply which shows that the endpoint list is up to date."""


class NoPollObserver:
    """Observer that ignores all queries and replies."""

    def on_poll_due(self, due_at_s: float) -> None:
        """Do nothing."""

    def on_list_confirmed(self) -> None:
        """Do nothing."""


class PollSchedule:
    """The time of the next scheduled query (regular or retry), and the means to send a query before then."""

    def __init__(self) -> None:
        self._send_query: Callable[[], None] | None = None  # None while no discovery socket is open
        self._timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()

    @property
    def is_polling(self) -> bool:
        """Whether a discovery socket is open."""
        return self._send_query is not None

    @property
    def next_poll_at_s(self) -> float:
        """The time at which the next query is due; infinite before the first query."""
        return self._timer.when() if self._timer is not None else math.inf

    def start(self, send_query: Callable[[], None]) -> None:
        """Start polling through a discovery socket that has opened."""
        self._send_query = send_query

    def stop(self) -> None:
        """Stop polling, because no discovery socket is open any more."""
        self._send_query = None

    def schedule(self, at_s: float, on_due: Callable[[], None]) -> None:
        """Set the time of the next query; replaces the time set before."""
        self.cancel()
        self._timer = self._loop.call_at(at_s, on_due)

    def cancel(self) -> None:
        """Send no query at the scheduled time; ``next_poll_at_s`` still returns that time."""
        if self._timer is not None:
            self._timer.cancel()

    def poll_now(self) -> None:
        """Send a query immediately, for example after a stall, if a discovery socket is open."""
        if self._send_query is not None:
            self._send_query()
