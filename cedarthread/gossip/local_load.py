"""This router's own load: its in-flight calls and the instances that it found warm, with the set to gossip.

Entries are state, not events: each says how things stand now, so that a gossip datagram which is lost, late,
duplicated or out of order leaves no wrong count behind. Times are ms on the router's steady clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from cedarthread.components.datagram_fields import MAX_DATAGRAM_BYTES
from cedarthread.gossip import codec

InstanceKey = tuple[int, int]  # worker id and function hash; a plain tuple, as one is built for each attempt


@dataclass(slots=True)
class LocalInstance:
    """This router's view of one function at one worker."""

    in_flight: int = 0
    warm_at_ms: float | None = None  # when this router last found a warm instance there


class LocalLoadTable:
    """What this router knows by its own calls, by worker and function, and which entries have changed.

    `dirty` holds the functions of each worker that changed since they were last sent, in the order in which
    the workers changed first.
    """

    def __init__(self) -> None:
        self.in_flight_by_worker: dict[int, int] = {}
        self.instances: dict[InstanceKey, LocalInstance] = {}
        self.workers_by_function: dict[int, set[int]] = {}  # only where own calls of it are in flight
        self.dirty: dict[int, dict[int, None]] = {}

    def record_start(self, worker_id: int, function_hash: int) -> None:
        """An attempt was sent to the worker."""
        self.in_flight_by_worker[worker_id] = self.in_flight_by_worker.get(worker_id, 0) + 1
        self.instances.setdefault((worker_id, function_hash), LocalInstance()).in_flight += 1
        self.workers_by_function.setdefault(function_hash, set()).add(worker_id)
        self.mark_dirty(worker_id, function_hash)

    def record_end(self, now_ms: float, worker_id: int, function_hash: int, was_warm: bool | None) -> bool:
        """An attempt ended; `was_warm`: whether an instance was there then, None if that is not known.

        Returns False, and changes nothing, for an attempt that was never recorded.
        """
        if (instance := self.instances.get((worker_id, function_hash))) is None:
            return False
        self.in_flight_by_worker[worker_id] = max(0, self.in_flight_by_worker.get(worker_id, 0) - 1)
        instance.in_flight = max(0, instance.in_flight - 1)
        if not instance.in_flight and (workers := self.workers_by_function.get(function_hash)) is not None:
            workers.discard(worker_id)
            if not workers:
                del self.workers_by_function[function_hash]
        if was_warm is not None:
            instance.warm_at_ms = now_ms if was_warm else None
        self.mark_dirty(worker_id, function_hash)
        return True

    def forget_warm_instances(self, worker_id: int) -> None:
        """The worker was removed or restarted: no instance is warm there; calls in flight stay counted."""
        for key, instance in list(self.instances.items()):
            if key[0] == worker_id:
                instance.warm_at_ms = None
                if not instance.in_flight:
                    del self.instances[key]

    def mark_dirty(self, worker_id: int, function_hash: int) -> None:
        """The entry is to be sent with the next datagrams."""
        self.dirty.setdefault(worker_id, {})[function_hash] = None

    def refresh(self, now_ms: float, keep_alive_ms: float) -> None:
        """Mark entries with calls in flight to be sent again; drop those that are neither busy nor warm."""
        for (worker_id, function_hash), instance in list(self.instances.items()):
            if instance.warm_at_ms is not None and now_ms - instance.warm_at_ms > keep_alive_ms:
                instance.warm_at_ms = None
            if instance.in_flight:
                self.mark_dirty(worker_id, function_hash)
            elif instance.warm_at_ms is None:
                del self.instances[(worker_id, function_hash)]

    def mark_warm_dirty(self, limit: int) -> None:
        """Mark the warm entries to be sent, the most recently found first, at most `limit` of them."""
        warm = [
            (instance.warm_at_ms, key)
            for key, instance in self.instances.items()
            if instance.warm_at_ms is not None
        ]
        for _, (worker_id, function_hash) in sorted(warm, reverse=True)[:limit]:
            self.mark_dirty(worker_id, function_hash)

    def take_dirty(self, now_ms: float) -> tuple[codec.WorkerUpdate, ...]:
        """Remove from the dirty set as much as one datagram holds, the longest waiting first."""
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
