"""The discovery service of the call machine: the listed workers, and the updates sent to the router."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.model.endpoints import EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.protocols.discovery.endpoint_list import EndpointRecord

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cedarthread.testing.fuzzing.memory_worker import MemoryWorker
    from cedarthread.testing.fuzzing.router_under_test import RouterUnderTest


class EndpointPublisher:
    """A publisher of the endpoint list, which reports to the checker each state that the router learns.

    Args:
        router: The router that receives the updates.
        workers: The workers, all of which are in the first version of the list.
    """

    def __init__(self, router: RouterUnderTest, workers: Sequence[MemoryWorker]) -> None:
        self.router = router
        self.workers = workers
        self.listed: dict[int, EndpointRecord] = {}
        self.published: list[list[EndpointRecord]] = []  # the list of each version, from version 1
        for worker in workers:
            self.list_worker(worker, EndpointState.READY)
        self.publish()

    @property
    def version(self) -> int:
        """Return the version of the list that was published last."""
        return len(self.published)

    def list_worker(self, worker: MemoryWorker, state: EndpointState) -> None:
        """List a worker with this state from the next version on."""
        zone = f"room-{'ab'[worker.number % 2]}"
        cell = worker.number // 2
        weight = 1.0
        self.listed[worker.number] = EndpointRecord(
            worker.name, "10.0.0.1", worker.number, zone, "std", cell, state, weight, worker.started_at_ms
        )

    def unlist_worker(self, worker: MemoryWorker) -> None:
        """Remove a worker from the list from the next version on."""
        self.listed.pop(worker.number, None)

    def publish(self) -> None:
        """Publish the current list as a new version, and deliver it to the router."""
        self.published.append(list(self.listed.values()))
        self._deliver(self.version, self.published[-1])

    def redeliver(self, versions_back: int) -> None:
        """Deliver an earlier version again, which the router must ignore."""
        self._deliver(self.version - versions_back, self.published[-1 - versions_back])

    def fail(self) -> None:
        """Notify the router that discovery has failed."""
        self.router.dispatcher.endpoints_changed(EndpointUpdate(EndpointUpdateKind.FAILED, self.version))

    def _deliver(self, version: int, records: list[EndpointRecord]) -> None:
        router = self.router
        if version > router.endpoint_list.version:
            self._notify_checker(records)
        event = router.endpoint_list.apply_update(version, records, is_snapshot=True)
        if event is not None:
            router.worker_connections.update_endpoints(router.endpoint_list.by_worker_id())
            router.dispatcher.endpoints_changed(event)

    def _notify_checker(self, records: list[EndpointRecord]) -> None:
        checker = self.router.checker
        now_ms = self.router.now_ms()
        for record in records:
            zone = self.router.raw_settings["localities"].index(record.zone)
            checker.on_worker_state(now_ms, record.port, record.state.value, zone, record.cell)
        names = {record.name for record in records}
        for worker in self.workers:
            if worker.name not in names:
                checker.on_worker_state(now_ms, worker.number, "gone")
