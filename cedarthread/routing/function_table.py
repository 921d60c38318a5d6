"""The table of functions that were called recently at one router, and of their preloads in flight.

The number of records is limited, because clients choose the names. A full table forgets a function that was
called once before one that was called again, and of either kind the least recently called, so that calls of
ever new functions do not displace what is known of the others (a segmented LRU cache).
"""

from __future__ import annotations

from itertools import islice

from cedarthread.routing.records import FunctionRecord
from cedarthread.routing.rendezvous import hash64

DEFAULT_MAX_FUNCTIONS = 8192
# Records that are looked at for one without open requests. If all of these are in use, the table grows by
# one; the number of open requests limits how often.
MAX_EVICTION_CANDIDATES = 64


class FunctionTable:
    """The function records of one router by function id, least recently called first.

    Args:
        max_functions: The number of records at which a new one takes the place of another.
    """

    def __init__(self, max_functions: int = DEFAULT_MAX_FUNCTIONS) -> None:
        self.by_id: dict[int, FunctionRecord] = {}
        self.preloads_in_flight = 0
        self.max_functions = max_functions
        self.evicted_count = 0  # records that were dropped to make room, since the start
        self._called_once: dict[int, None] = {}  # ids of the functions called once, least recent first

    def on_call(
        self, now_ms: float, function_id: int, concurrency: float, expiry_ms: float
    ) -> FunctionRecord:
        """Return the record of a called function; a new record evicts those not called for ``expiry_ms``."""
        function = self.by_id.pop(function_id, None)
        if function is None:
            function = FunctionRecord(hash64(function_id))
            self._drop_expired(now_ms, expiry_ms)
            self._make_room()
            self._called_once[function_id] = None
        else:
            self._called_once.pop(function_id, None)
        self.by_id[function_id] = function
        function.last_used_at_ms = now_ms
        function.concurrency = concurrency
        return function

    def _drop_expired(self, now_ms: float, expiry_ms: float) -> None:
        """Drop the functions that were not called for ``expiry_ms``."""
        while self.by_id:
            oldest_id = next(iter(self.by_id))
            if now_ms - self.by_id[oldest_id].last_used_at_ms < expiry_ms:
                break
            self._drop(oldest_id)

    def _make_room(self) -> None:
        """Drop the least useful record without open requests if the table is full."""
        if len(self.by_id) < self.max_functions:
            return
        for candidates in (self._called_once, self.by_id):
            for function_id in islice(candidates, MAX_EVICTION_CANDIDATES):
                if not self.by_id[function_id].is_in_use():
                    self._drop(function_id)
                    self.evicted_count += 1
                    return

    def _drop(self, function_id: int) -> None:
        """Drop the record of a function, with its preloads in flight."""
        self._called_once.pop(function_id, None)
        self.preloads_in_flight -= len(self.by_id.pop(function_id).preloading_workers)

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
