"""When a router's next connection to one worker is due, so that the fleet's do not all come at once.

Routers are taken for alike: a router's own calls tell which part of the fleet's connections a worker draws.
Where that is within the worker's limit, connections pass as calls come; where it is far beyond, each router
has its turn, at a place of its own within the time over which the fleet's connections are spread.
"""

from __future__ import annotations

from dataclasses import dataclass

from cedarthread.recovery.pacing_limits import WINDOW_MS

FIRST_CONNECT_WINDOWS = 2.0
"""Windows over which the first connections to a worker are spread at least: calls tell little as yet."""
GOLDEN_RATIO_CONJUGATE = 0.6180339887498949
"""Multiples of it modulo 1 fill the circle evenly (Knuth, TAOCP 3, 6.4), so no two of a few are close."""


@dataclass(frozen=True, slots=True)
class FleetDemand:
    """What the turns at one worker depend on beside own calls."""

    router_count: int  # routers that recover at once
    worker_count: int
    connections_per_window: float  # that the worker bears


class ConnectionTurns:
    """The turns of one router at each worker."""

    def __init__(self, phase_offset: float, now_ms: float) -> None:
        """``phase_offset``: this router's place among all, from 0 to 1."""
        self._phase_offset = phase_offset
        self._started_at_ms = now_ms
        self._last_connection_ms: dict[int, float] = {}
        self._calls_by_worker: dict[int, int] = {}
        self._total_calls = 0

    def record_call(self, worker_id: int) -> None:
        """A call went, or was to go, to a worker."""
        self._calls_by_worker[worker_id] = self._calls_by_worker.get(worker_id, 0) + 1
        self._total_calls += 1

    def record_connection(self, now_ms: float, worker_id: int) -> None:
        """A connection to a worker is begun."""
        self._last_connection_ms[worker_id] = now_ms

    def has_connected(self, worker_id: int) -> bool:
        """Whether a connection to a worker was begun in this recovery."""
        return worker_id in self._last_connection_ms

    def is_due(self, now_ms: float, worker_id: int, demand: FleetDemand) -> bool:
        """Whether it is this router's turn to connect to a worker."""
        if self.has_connected(worker_id):
            waits_since_ms, turn_fraction = self._last_connection_ms[worker_id], 1.0
        else:
            waits_since_ms = self._started_at_ms
            turn_fraction = (self._phase_offset + worker_id * GOLDEN_RATIO_CONJUGATE) % 1.0
        spread_windows = self._spread_windows(now_ms, worker_id, demand)
        return not now_ms - waits_since_ms < turn_fraction * spread_windows * WINDOW_MS

    def _spread_windows(self, now_ms: float, worker_id: int, demand: FleetDemand) -> float:
        """Windows over which the fleet's connections to a worker are to be spread."""
        limit = demand.connections_per_window
        windows_passed = max(1.0, (now_ms - self._started_at_ms) / WINDOW_MS)
        worker_share = (self._calls_by_worker.get(worker_id, 0) + 1.0) / (
            self._total_calls + demand.worker_count
        )
        wanted = demand.router_count * max(1.0, self._total_calls) / windows_passed * worker_share
        min_windows = 0.0
        if not self.has_connected(worker_id):
            min_windows = min(FIRST_CONNECT_WINDOWS, demand.router_count / limit)
        return max(min_windows, demand.router_count / limit * max(0.0, 1.0 - limit / wanted))
