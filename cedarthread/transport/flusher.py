"""The coalescing of all connections' writes into one flush per iteration of the event loop."""

from __future__ import annotations

import asyncio
from typing import Protocol


class Flushable(Protocol):
    """A connection with queued output."""

    def flush(self) -> None:
        """Pass the queued output to the transport."""


class Flusher:
    """The connections with queued output; flushes them once per iteration, or earlier on request.

    The dispatcher flushes as soon as it has processed its events. If responses waited for a later
    iteration, all reads of that iteration would delay them whenever the CPU is saturated.
    """

    def __init__(self) -> None:
        self._scheduled: list[Flushable] = []
        self._loop = asyncio.get_running_loop()

    def schedule(self, connection: Flushable) -> None:
        """Flush this connection in the next iteration at the latest."""
        if not self._scheduled:
            self._loop.call_soon(self.flush_all)
        self._scheduled.append(connection)

    def flush_all(self) -> None:
        """Flush every scheduled connection now."""
        scheduled = self._scheduled
        self._scheduled = []
        for connection in scheduled:
            connection.flush()
