"""The workers of one router: the endpoint list, applied update by update to one record for each worker.

Bookkeeping only: which worker a request goes to is chosen in ``selection.py``. All times are ms of the clock
that is handed in.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from cedarthread.model.endpoints import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.routing import outlier_detection
from cedarthread.routing.records import WorkerRecord
from cedarthread.routing.rendezvous import hash64
from cedarthread.statistics import WindowedMaximum

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from cedarthread.model.settings import RouterSettings
    from cedarthread.routing.zone_reachability import ZoneReachability


class WorkerTable:
    """Records by worker id, in the order in which the workers were first listed."""

    def __init__(self, settings: RouterSettings, zones: ZoneReachability, rng: random.Random) -> None:
        self.zones, self.rng = zones, rng
        self.by_id: dict[int, WorkerRecord] = {}
        self.placement_epoch = 0  # counts up with every worker that comes or goes: orders of placement follow
        self.ready_count = 0  # workers that this router can send to
        self.ready_peak = WindowedMaximum()  # workers that were ready lately
        self.is_every_zone_unreachable = True
        self.update_settings(settings)

    def update_settings(self, settings: RouterSettings) -> None:
        """Workers that left are remembered for as long as those that take their place start slowly."""
        self.ready_peak.time_constant_ms = max(1.0, settings.rules.slow_start_ms)

    def apply(self, now_ms: float, update: EndpointUpdate) -> list[int]:
        """Apply an update; returns ids of workers that lost their instances, by a restart or for good."""
        if update.kind is not EndpointUpdateKind.DELTA:
            self._mark_unlisted_removed(update)
        without_instances: list[int] = []
        for endpoint in update.endpoints:
            worker = self.by_id.get(endpoint.worker_id)
            if worker is None:
                self._add(endpoint)
                continue
            was_restarted = (
                endpoint.started_at_ms is not None and endpoint.started_at_ms != worker.endpoint.started_at_ms
            )
            if was_restarted or endpoint.state is EndpointState.REMOVED:
                without_instances.append(endpoint.worker_id)
            if was_restarted:
                outlier_detection.reset(worker)
                self.zones.on_worker_restarted(endpoint.zone)
                worker.jitter = self.rng.random()
            worker.endpoint = endpoint
        for worker_id, worker in list(self.by_id.items()):
            if worker.endpoint.state is EndpointState.REMOVED and not worker.in_flight:
                without_instances.append(worker_id)
                del self.by_id[worker_id]
                self.placement_epoch += 1
        self.count_ready(now_ms)
        return without_instances

    def _mark_unlisted_removed(self, update: EndpointUpdate) -> None:
        listed = {endpoint.worker_id for endpoint in update.endpoints}
        for worker_id, worker in self.by_id.items():
            if worker_id not in listed:
                worker.endpoint = replace(worker.endpoint, state=EndpointState.REMOVED)

    def _add(self, endpoint: Endpoint) -> None:
        self.by_id[endpoint.worker_id] = WorkerRecord(endpoint, hash64(endpoint.worker_id), self.rng.random())
        self.placement_epoch += 1

    def count_ready(self, now_ms: float) -> None:
        """Count the workers that can be sent to: those of a zone out of reach take no calls."""
        ready = [w for w in self.by_id.values() if w.endpoint.state is EndpointState.READY]
        reachable = sum(worker.endpoint.zone not in self.zones.unreachable for worker in ready)
        before, self.ready_count = self.ready_count, reachable or len(ready)
        self.is_every_zone_unreachable = not reachable
        self.ready_peak.on_change(now_ms, before, self.ready_count)

    def not_ejected_ids(self) -> Iterator[int]:
        """Ids of the workers that outlier detection has not set aside."""
        return (worker_id for worker_id, worker in self.by_id.items() if not worker.is_ejected)

    def snapshot(self) -> EndpointUpdate:
        """All workers as they are listed now."""
        endpoints = tuple(worker.endpoint for worker in self.by_id.values())
        return EndpointUpdate(EndpointUpdateKind.CACHED, 0, endpoints)

    def skipped_count(self) -> int:
        """Listed workers that calls now pass by: ejected, or not ready."""
        listed = [w for w in self.by_id.values() if w.endpoint.state is not EndpointState.REMOVED]
        return sum(w.is_ejected or w.endpoint.state is not EndpointState.READY for w in listed)
