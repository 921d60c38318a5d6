"""The endpoint list of each router's discovery server over time, computed from the scenario alone."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from cedarthread.testing.cluster.scenario import Fault, FaultKind, NodeKind, Scenario
from cedarthread.testing.fakes.discovery_server import ListedWorker

if TYPE_CHECKING:
    from collections.abc import Sequence

LISTING_DELAY_S = 0.05  # Time from a worker's restart until the lists have its new start time.


class VersionedList(NamedTuple):
    """A list of workers; the version increases with each change of any router's list."""

    version: int
    workers: tuple[ListedWorker, ...]


class EndpointListTimeline:
    """The endpoint lists of one scenario, which every process computes identically.

    Args:
        scenario: The scenario.
        worker_ports: The workers' ports by worker number.
    """

    def __init__(self, scenario: Scenario, worker_ports: Sequence[int]) -> None:
        self.scenario = scenario
        self.worker_ports = worker_ports
        self.hide_faults = [fault for fault in scenario.faults if fault.kind is FaultKind.HIDE_WORKER]
        self.drain_faults = [fault for fault in scenario.faults if fault.kind is FaultKind.DRAIN_WORKER]
        self.crash_faults = [
            fault
            for fault in scenario.faults
            if fault.kind is FaultKind.CRASH_WORKER and fault.end_s < scenario.end_s
        ]
        self.change_times_s = [
            at_s for fault in (*self.hide_faults, *self.drain_faults) for at_s in (fault.start_s, fault.end_s)
        ]
        self.change_times_s += [fault.end_s + LISTING_DELAY_S for fault in self.crash_faults]
        # Endpoint lists. Keys: (version, hidden workers, draining workers).
        self._cache: dict[tuple[int, frozenset[int], frozenset[int]], tuple[ListedWorker, ...]] = {}

    def list_at(self, now_ms: float, router: int) -> VersionedList:
        """Return the endpoint list of a router's discovery server at a time."""
        now_s = now_ms / 1000.0
        workers = range(self.scenario.worker_count)
        version = 1 + sum(at_s <= now_s for at_s in self.change_times_s)
        hidden = self._affected_workers(self.hide_faults, now_s, router)
        draining = self._affected_workers(self.drain_faults, now_s, router)
        key = version, hidden, draining
        if key not in self._cache:
            self._cache[key] = tuple(
                self._listed_worker(now_s, number, is_draining=number in draining)
                for number in workers
                if number not in hidden
            )
        return VersionedList(version, self._cache[key])

    def states_at(self, now_ms: float, router: int) -> dict[int, str]:
        """Return the state of each worker for a router at a time: ``gone`` if the list lacks the worker."""
        now_s = now_ms / 1000.0
        hidden = self._affected_workers(self.hide_faults, now_s, router)
        draining = self._affected_workers(self.drain_faults, now_s, router)
        states = dict.fromkeys(range(self.scenario.worker_count), "ready")
        return states | dict.fromkeys(draining, "draining") | dict.fromkeys(hidden, "gone")

    def _affected_workers(self, faults: Sequence[Fault], now_s: float, router: int) -> frozenset[int]:
        return frozenset(
            worker
            for fault in faults
            if fault.is_active(now_s) and fault.affects_peer(NodeKind.ROUTER, router)
            for worker in fault.targets.numbers
        )

    def _listed_worker(self, now_s: float, worker: int, *, is_draining: bool) -> ListedWorker:
        started_at_ms = self._started_at_ms(now_s, worker)
        name = f"s-{worker + 1:08x}"
        return ListedWorker(name, self.worker_ports[worker], is_draining, started_at_ms)

    def _started_at_ms(self, now_s: float, worker: int) -> float:
        restarts = [
            fault.end_s
            for fault in self.crash_faults
            if fault.end_s + LISTING_DELAY_S <= now_s and fault.targets.includes(NodeKind.WORKER, worker)
        ]
        return 1000.0 * (1.0 + max(restarts)) if restarts else 0.0
