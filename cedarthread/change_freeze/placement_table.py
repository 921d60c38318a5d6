"""The table of function placements that are known to one router.

The admission gate and the change freeze component write the table, from completed attempts, permitted loads
and updates of the endpoint list.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from cedarthread.model.endpoints import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind

# How long a function counts as placed on a worker after an instance was last known there. Placements expire
# only while no window is in force.
PLACEMENT_MEMORY_MS = 1_800_000.0
MAX_PLACEMENTS = 20_000  # maximum number of pairs of function and worker that are kept
# Maximum number of workers that are kept, with their placements, after they left the endpoint list.
MAX_REMOVED_WORKERS = 4096


@dataclass(slots=True)
class _RemovedWorker:
    """A worker that left the endpoint list, and when each function was last seen on the worker."""

    started_at_ms: float | None
    placements: dict[int, float]


@dataclass(slots=True)
class PlacementTable:
    """The functions placed on each worker, according to the instances that this router has observed.

    During a window no placement expires, because an instance that was unloaded while idle may be loaded again
    at its worker. All times are ms on the monotonic clock.
    """

    # Time of the last sighting by function id and worker id; the least recently recorded function is first.
    last_seen_by_function: dict[int, dict[int, float]] = field(default_factory=dict)
    endpoints: dict[int, Endpoint] = field(default_factory=dict)
    removed_workers: dict[int, _RemovedWorker] = field(default_factory=dict)
    # Number of lost placements by function, reset by ``expire``.
    lost_placements: dict[int, int] = field(default_factory=dict)
    placement_count: int = 0  # number of pairs of function and worker
    is_frozen: bool = False  # whether a window is in force or may be

    def record(self, now_ms: float, function_id: int, worker_id: int) -> None:
        """Record that an instance of the function is on the worker."""
        last_seen = self.last_seen_by_function.pop(function_id, None)
        if last_seen is None:
            last_seen = {}
        self.last_seen_by_function[function_id] = last_seen  # now the most recent
        self.placement_count += worker_id not in last_seen
        last_seen[worker_id] = now_ms
        while self.placement_count > MAX_PLACEMENTS:
            least_recent = next(iter(self.last_seen_by_function))
            self.placement_count -= len(self.last_seen_by_function.pop(least_recent))

    def has_placement(self, function_id: int, worker_id: int) -> bool:
        """Return whether the function is placed on the worker."""
        return worker_id in self.last_seen_by_function.get(function_id, ())

    def has_lost_most(self, function_id: int) -> bool:
        """Return whether more placements were lost than remain, so that those remaining may be overloaded."""
        return self.lost_placements.get(function_id, 0) > len(self.last_seen_by_function.get(function_id, ()))

    def expire(self, now_ms: float) -> None:
        """Remove placements older than ``PLACEMENT_MEMORY_MS`` and reset the losses, except in a window."""
        if self.is_frozen:
            return
        self.lost_placements.clear()
        for function_id in list(self.last_seen_by_function):
            last_seen = self.last_seen_by_function[function_id]
            for worker_id in [
                worker_id
                for worker_id, seen_at_ms in last_seen.items()
                if now_ms - seen_at_ms > PLACEMENT_MEMORY_MS
            ]:
                del last_seen[worker_id]
                self.placement_count -= 1
            if not last_seen:
                del self.last_seen_by_function[function_id]

    # Changes of the endpoint list.

    def on_endpoint_update(self, event: EndpointUpdate) -> None:
        """Update the placements from the endpoint list.

        Placements are removed if their worker left the list or restarted. They count as lost also when their
        worker starts to drain.
        """
        if event.kind is EndpointUpdateKind.FAILED:
            return
        if event.kind is not EndpointUpdateKind.DELTA:
            listed_ids = {entry.worker_id for entry in event.endpoints}
            for entry in [known for known in self.endpoints.values() if known.worker_id not in listed_ids]:
                self._remove_endpoint(entry)
        for entry in event.endpoints:
            self._update_endpoint(entry)

    def on_worker_down(self, worker_id: int) -> None:
        """Remove the placements of a worker whose process cannot be reached, and count them as lost."""
        self._remove_placements(worker_id)

    def _update_endpoint(self, entry: Endpoint) -> None:
        known = self.endpoints.get(entry.worker_id)
        if entry.state is EndpointState.REMOVED:
            self._remove_endpoint(known or entry)
            return
        self.endpoints[entry.worker_id] = entry
        if known is not None and known.started_at_ms != entry.started_at_ms:
            self._remove_placements(entry.worker_id)
        removed = self.removed_workers.pop(entry.worker_id, None) if known is None else None
        # A corrupted list may omit a running worker. The same start time means that no instance was lost.
        if (
            removed is not None
            and removed.started_at_ms is not None
            and removed.started_at_ms == entry.started_at_ms
        ):
            self._restore_placements(entry.worker_id, removed)
        if entry.state is EndpointState.DRAINING and (known is None or known.state is EndpointState.READY):
            for function_id, last_seen in self.last_seen_by_function.items():
                if entry.worker_id in last_seen:
                    self.lost_placements[function_id] = self.lost_placements.get(function_id, 0) + 1

    def _remove_endpoint(self, entry: Endpoint) -> None:
        self.endpoints.pop(entry.worker_id, None)
        if placements := self._remove_placements(entry.worker_id):
            self.removed_workers[entry.worker_id] = _RemovedWorker(entry.started_at_ms, placements)
            while len(self.removed_workers) > MAX_REMOVED_WORKERS:
                del self.removed_workers[next(iter(self.removed_workers))]

    def _remove_placements(self, worker_id: int) -> dict[int, float]:
        """Remove a worker's placements and count them as lost; return when each function was last seen."""
        removed: dict[int, float] = {}
        for function_id, last_seen in self.last_seen_by_function.items():
            if (seen_at_ms := last_seen.pop(worker_id, None)) is not None:
                removed[function_id] = seen_at_ms
                self.lost_placements[function_id] = self.lost_placements.get(function_id, 0) + 1
                self.placement_count -= 1
        for function_id in removed:
            if not self.last_seen_by_function[function_id]:
                del self.last_seen_by_function[function_id]
        return removed

    def _restore_placements(self, worker_id: int, removed: _RemovedWorker) -> None:
        for function_id, seen_at_ms in removed.placements.items():
            self.record(seen_at_ms, function_id, worker_id)
            self.lost_placements[function_id] = max(0, self.lost_placements.get(function_id, 0) - 1)
