"""Preload requests to workers. Each ends exactly once: by a response, a timeout or a failed connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cedarthread.model.events import PreloadEnded
from cedarthread.model.outcomes import Outcome
from cedarthread.protocols.worker.codec import PreloadResponse, encode_preload
from cedarthread.protocols.worker.requests import PendingPreload

if TYPE_CHECKING:
    from cedarthread.dispatch.dispatcher import Dispatcher
    from cedarthread.protocols.worker.connection import WorkerConnection
    from cedarthread.protocols.worker.pool import WorkerConnectionPool

PRELOAD_WRITE_TIMEOUT_S = 0.5  # a preload of which no byte has been written within this time is withdrawn


class PreloadRequests:
    """Sender of preload requests; reports the outcome of each to the dispatcher."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._count = 0
        self._loop = asyncio.get_running_loop()

    def send(
        self,
        pool: WorkerConnectionPool | None,
        worker_id: int,
        function_id: int,
        instances: int,
        timeout_ms: float,
    ) -> None:
        """Request instances of a function from a worker.

        Args:
            pool: The worker's connections; None if the worker is not on the endpoint list.
            worker_id: The worker.
            function_id: The function.
            instances: The number of instances wanted.
            timeout_ms: The response timeout. If no connection is available, the request fails immediately.
        """
        self._count += 1
        preload = PendingPreload(f"load-{self._count}", worker_id, function_id, self._dispatcher.clock())
        connection = pool.acquire(preload.message_id) if pool is not None else None
        if connection is None:
            self.finish(preload, Outcome.CONNECT_FAILED)
            return
        connection.send_request(encode_preload(preload.message_id, function_id, instances), preload)
        preload.timers += (
            self._loop.call_later(PRELOAD_WRITE_TIMEOUT_S, self._on_write_timeout, preload, connection),
            self._loop.call_later(timeout_ms / 1000.0, self._on_timeout, preload, connection),
        )

    def _on_write_timeout(self, preload: PendingPreload, connection: WorkerConnection) -> None:
        """Withdraw a preload of which no byte has been written.

        Otherwise preloads queued for a worker that reads slowly would reach it all at once, over the budget.
        """
        if connection.withdraw(preload):
            self.finish(preload, Outcome.CONNECT_FAILED)

    def _on_timeout(self, preload: PendingPreload, connection: WorkerConnection) -> None:
        """End a preload that got no response, so that its slot in the preload budget is released.

        A worker that received the rest of a partly written preload later would load over the budget.
        """
        if not connection.withdraw(preload):
            connection.in_flight.pop(preload.message_id, None)
        self.finish(preload, Outcome.TIMEOUT)
        if connection.is_partly_written(preload):
            connection.abort_incomplete_line()

    def on_response(self, preload: PendingPreload, response: PreloadResponse) -> None:
        """End a preload with the worker's response."""
        self.finish(preload, response.outcome, response.instances)

    def finish(self, preload: PendingPreload, outcome: Outcome, instances: int = 0) -> None:
        """Report the outcome of a preload; ignore any later outcome of the same preload."""
        if not preload.is_finished:
            preload.is_finished = True
            for timer in preload.timers:
                timer.cancel()
            latency_ms = self._dispatcher.clock() - preload.sent_at_ms
            self._dispatcher.preload_ended(
                PreloadEnded(preload.worker_id, preload.function_id, outcome, instances, latency_ms)
            )
