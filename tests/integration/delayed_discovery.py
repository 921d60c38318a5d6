"""A discovery server that sends no reply until the test releases it."""

from __future__ import annotations

import asyncio

from cedarthread.testing.fakes.discovery_server import FakeDiscoveryServer, ListedWorker

POLL_TIMEOUT_S = 10


class DelayedDiscovery:
    """A discovery server whose replies are lost until ``is_released`` is set.

    Args:
        workers: The workers that the server lists once released, with serial 2.
    """

    def __init__(self, *workers: ListedWorker) -> None:
        self.workers = workers
        self.is_released = False
        self.polled = asyncio.Event()
        self.server = FakeDiscoveryServer(self._current_list, "room-a")

    def _current_list(self) -> tuple[int, tuple[ListedWorker, ...]] | None:
        self.polled.set()
        return (2, self.workers) if self.is_released else None

    async def wait_for_poll(self) -> None:
        """Wait for the next query."""
        self.polled.clear()
        async with asyncio.timeout(POLL_TIMEOUT_S):
            await self.polled.wait()
