"""This router's own load: its in-flight calls, its warm instances, and the entries to gossip next.

Gossip sends the current state of an entry and not the change, so that a lost, late, duplicated or reordered
datagram causes no lasting error in the receiver's counts. ``LoadGossip`` updates the table. Times are ms on
this router's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import islice

from cedarthread.components.datagram_fields import MAX_DATAGRAM_BYTES
from cedarthread.gossip import codec

# Clients choose the functions, so the tables are limited.
MAX_INSTANCES = 8192
MAX_DIRTY_PER_WORKER = 512
MAX_EVICTION_CANDIDATES = 64

InstanceKey = tuple[int, int]  # worker id and function hash; a plain tuple, because each attempt builds one


@dataclass(slots=True)
class LocalInstance:
    """This router's view of one function at one worker."""

    in_flight: int = 0
    warm_at_ms: float | None = None  # time at which this router last found a warm instance there


class LocalLoadTable:
    """The load that this router observed through its own calls, by worker and function.

    ``dirty`` holds the entries that changed since they were last sent, by worker id and then by function
    hash. Workers are in the order of their first unsent change.
    """

    def __init__(self) -> None:
        self.in_flight_by_worker: dict[int, int] = {}
        self.instances: dict[InstanceKey, LocalInstance] = {}
        # Ids of workers with in-flight calls of this router, by function hash.
        self.workers_by_function: dict[int, set[int]] = {}
        self.dirty: dict[int, dict[int, None]] = {}

    def record_start(self, worker_id: int, function_hash: int) -> None:
        """Count an attempt that was sent to the worker."""
        self.in_flight_by_worker[worker_id] = self.in_flight_by_worker.get(worker_id, 0) + 1
        key = (worker_id, function_hash)
        if key not in self.instances:
            self._make_room()
        self.instances.setdefault(key, LocalInstance()).in_flight += 1
        self.workers_by_function.setdefault(function_hash, set()).add(worker_id)
        self.mark_dirty(worker_id, function_hash)

    def record_end(
        self, now_ms: float, worker_id: int, function_hash: int, *, is_loaded: bool | None
    ) -> bool:
        """Remove an attempt that ended from the in-flight calls, and record whether an instance is warm.

        Args:
            now_ms: The monotonic time.
            worker_id: The worker that received the attempt.
            function_hash: The function of the attempt.
            is_loaded: Whether the worker has a warm instance after the attempt; None: unknown, so that the
                earlier observation remains.

        Returns:
            False, without any change, if the start of the attempt was not recorded.
        """
        if (instance := self.instances.get((worker_id, function_hash))) is None:
            return False
        self.in_flight_by_worker[worker_id] = max(0, self.in_flight_by_worker.get(worker_id, 0) - 1)
        instance.in_flight = max(0, instance.in_flight - 1)
        if not instance.in_flight and (workers := self.workers_by_function.get(function_hash)) is not None:
            workers.discard(worker_id)
            if not workers:
                del self.workers_by_function[function_hash]
        if is_loaded is not None:
            instance.warm_at_ms = now_ms if is_loaded else None
        self.mark_dirty(worker_id, function_hash)
        return True

    def forget_warm_instances(self, worker_id: int) -> None:
        """Drop the warm instances of a worker that was removed or restarted; its calls still count."""
        for key, instance in list(self.instances.items()):
            if key[0] == worker_id:
                instance.warm_at_ms = None
                if not instance.in_flight:
                    del self.instances[key]

    def mark_dirty(self, worker_id: int, function_hash: int) -> None:
        """Schedule the entry to be sent with the next datagrams."""
        entries = self.dirty.setdefault(worker_id, {})
        entries[function_hash] = None
        if len(entries) > MAX_DIRTY_PER_WORKER:  # the receivers' entries expire without an update
            del entries[next(iter(entries))]

    def _make_room(self) -> None:
        """Drop an instance without calls in flight if the table is full, an early one of the oldest."""
        if len(self.instances) < MAX_INSTANCES:
            return
        for key in islice(self.instances, MAX_EVICTION_CANDIDATES):
            if not self.instances[key].in_flight:
                del self.instances[key]
                return

    def refresh(self, now_ms: float, keep_alive_ms: float) -> None:
        """Mark entries with in-flight calls dirty; drop entries without in-flight calls and warm instance."""
        for (worker_id, function_hash), instance in list(self.instances.items()):
            if instance.warm_at_ms is not None and now_ms - instance.warm_at_ms > keep_alive_ms:
                instance.warm_at_ms = None
            if instance.in_flight:
                self.mark_dirty(worker_id, function_hash)
            elif instance.warm_at_ms is None:
                del self.instances[(worker_id, function_hash)]

    def mark_warm_dirty(self, limit: int) -> None:
        """Mark up to ``limit`` warm entries dirty, the most recently found first."""
        warm = [
            (instance.warm_at_ms, key)
            for key, instance in self.instances.items()
            if instance.warm_at_ms is not None
        ]
        for _, (worker_id, function_hash) in sorted(warm, reverse=True)[:limit]:
            self.mark_dirty(worker_id, function_hash)

    def take_dirty(self, now_ms: float) -> tuple[codec.WorkerUpdate, ...]:
        """Remove the dirty entries that fit into one datagram, the earliest first, and return their state."""
        free_bytes = MAX_DATAGRAM_BYTES - codec.HEADER_BYTES
        updates: list[codec.WorkerUpdate] = []
        for worker_id, function_hashes in list(self.dirty.items()):
            if free_bytes < codec.WORKER_BYTES + codec.INSTANCE_BYTES:
                break
            fitting = list(function_hashes)[: (free_bytes - codec.WORKER_BYTES) // codec.INSTANCE_BYTES]
            free_bytes -= codec.WORKER_BYTES + len(fitting) * codec.INSTANCE_BYTES
            for function_hash in fitting:
                del function_hashes[function_hash]
            if not function_hashes:
                del self.dirty[worker_id]
            updates.append(self._worker_update(now_ms, worker_id, fitting))
        return tuple(updates)

    def _worker_update(self, now_ms: float, worker_id: int, function_hashes: list[int]) -> codec.WorkerUpdate:
        instances = tuple(
            self._instance_update(now_ms, worker_id, function_hash) for function_hash in function_hashes
        )
        return codec.WorkerUpdate(worker_id, self.in_flight_by_worker.get(worker_id, 0), instances)

    def _instance_update(self, now_ms: float, worker_id: int, function_hash: int) -> codec.InstanceUpdate:
        instance = self.instances.get((worker_id, function_hash)) or LocalInstance()
        warm_age_ms = None if instance.warm_at_ms is None else now_ms - instance.warm_at_ms
        return codec.InstanceUpdate(function_hash, instance.in_flight, warm_age_ms)
