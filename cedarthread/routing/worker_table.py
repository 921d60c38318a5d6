"""The worker table of one router: applies updates of the endpoint list to one record for each worker.

The table contains no policy; ``selection.py`` selects the worker of a request. All times are ms on the
monotonic clock, passed in by the caller.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from cedarthread.model.endpoints import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.routing import outlier_detection
from cedarthread.routing.records import WorkerRecord
from cedarthread.routing.rendezvous import hash64
from cedarthread.statistics import DecayingMaximum

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from cedarthread.model.settings import RouterSettings
    from cedarthread.routing.zone_reachability import ZoneReachability


class WorkerTable:
    """The worker records of one router by id, in the order in which the workers were first listed.

    Args:
        settings: The settings of the router.
        zones: Reachability of the zones; workers in unreachable zones are not ready.
        rng: The router's random number generator, for the jitter of each worker.
    """

    def __init__(self, settings: RouterSettings, zones: ZoneReachability, rng: random.Random) -> None:
        self.zones = zones
        self.rng = rng
        self.by_id: dict[int, WorkerRecord] = {}
        self.placement_epoch = 0  # rises with each added or removed worker, which changes placement orders
        self.ready_count = 0  # READY workers in reachable zones, or all READY ones if no zone is reachable
        self.ready_peak = DecayingMaximum()  # recent peak of ready_count
        self.is_every_zone_unreachable = True
        self.update_settings(settings)

    def update_settings(self, settings: RouterSettings) -> None:
        """Set the time constant of the ready peak to the slow-start time, in which replacements are cold."""
        self.ready_peak.time_constant_ms = max(1.0, settings.rules.slow_start_ms)

    def apply(self, now_ms: float, update: EndpointUpdate) -> list[int]:
        """Apply an update and return the ids of workers without instances, because they restarted or left."""
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
        """Mark workers missing from a complete list as removed; ``apply`` drops those that are idle."""
        listed = {endpoint.worker_id for endpoint in update.endpoints}
        for worker_id, worker in self.by_id.items():
            if worker_id not in listed:
                worker.endpoint = replace(worker.endpoint, state=EndpointState.REMOVED)

    def _add(self, endpoint: Endpoint) -> None:
        self.by_id[endpoint.worker_id] = WorkerRecord(endpoint, hash64(endpoint.worker_id), self.rng.random())
        self.placement_epoch += 1

    def count_ready(self, now_ms: float) -> None:
        """Count the ready workers in reachable zones, or in all zones if none is reachable."""
        ready = [worker for worker in self.by_id.values() if worker.endpoint.state is EndpointState.READY]
        reachable = sum(worker.endpoint.zone not in self.zones.unreachable for worker in ready)
        before = self.ready_count
        self.ready_count = reachable or len(ready)
        self.is_every_zone_unreachable = not reachable
        self.ready_peak.on_change(now_ms, before, self.ready_count)

    def not_ejected_ids(self) -> Iterator[int]:
        """Return the ids of the workers that are not ejected."""
        return (worker_id for worker_id, worker in self.by_id.items() if not worker.is_ejected)

    def snapshot(self) -> EndpointUpdate:
        """Return all workers as they are listed now, as an update."""
        endpoints = tuple(worker.endpoint for worker in self.by_id.values())
        return EndpointUpdate(EndpointUpdateKind.CACHED, 0, endpoints)

    def skipped_count(self) -> int:
        """Return the number of listed workers that get no calls, because they are ejected or not ready."""
        listed = [
            worker for worker in self.by_id.values() if worker.endpoint.state is not EndpointState.REMOVED
        ]
        return sum(worker.is_ejected or worker.endpoint.state is not EndpointState.READY for worker in listed)
