"""The table of functions that were called recently at one router, and of their preloads in flight."""

from __future__ import annotations

from cedarthread.routing.records import FunctionRecord
from cedarthread.routing.rendezvous import hash64


class FunctionTable:
    """The function records of one router by function id, least recently called first."""

    def __init__(self) -> None:
        self.by_id: dict[int, FunctionRecord] = {}
        self.preloads_in_flight = 0

    def on_call(
        self, now_ms: float, function_id: int, concurrency: float, expiry_ms: float
    ) -> FunctionRecord:
        """Return the record of a called function; a new record evicts those not called for ``expiry_ms``."""
        function = self.by_id.pop(function_id, None)
        if function is None:
            function = FunctionRecord(hash64(function_id))
            self._drop_expired(now_ms, expiry_ms)
        self.by_id[function_id] = function
        function.last_used_at_ms = now_ms
        function.concurrency = concurrency
        return function

    def _drop_expired(self, now_ms: float, expiry_ms: float) -> None:
        """Drop the functions that were not called for ``expiry_ms``, with their preloads in flight."""
        while self.by_id:
            oldest_id = next(iter(self.by_id))
            if now_ms - self.by_id[oldest_id].last_used_at_ms < expiry_ms:
                break
            self.preloads_in_flight -= len(self.by_id.pop(oldest_id).preloading_workers)

    def remove_worker(self, worker_id: int) -> None:
        """Drop all instances and preloads at a worker that restarted or left."""
        for function in self.by_id.values():
            function.remove_worker(worker_id)
            self.end_preload(function, worker_id)

    def start_preload(self, function: FunctionRecord, worker_id: int) -> None:
        """Record that a preload of the function was sent to the worker."""
        function.preloading_workers.add(worker_id)
        self.preloads_in_flight += 1

    def end_preload(self, function: FunctionRecord, worker_id: int) -> None:
        """Record that the preload of the function at the worker ended, if one was in flight."""
        self.preloads_in_flight -= worker_id in function.preloading_workers
        function.preloading_workers.discard(worker_id)
