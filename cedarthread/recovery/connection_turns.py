"""Scheduling that spreads the connections of all recovering routers to one worker over time.

Each router assumes that the other routers receive similar calls, and from its own calls estimates how many
connections all routers together want to open to a worker. If the worker can accept that many, a router
connects as soon as a call needs the connection. Otherwise each router waits for its own time slot within the
time over which all connections are spread.
"""

from __future__ import annotations

from dataclasses import dataclass

from cedarthread.recovery.pacing_limits import WINDOW_MS

FIRST_CONNECT_WINDOWS = 2.0
"""Windows over which first connections are spread, because the estimate is based on few calls at first.

Fewer windows are used if the worker can accept the connections of all routers in them.
"""
GOLDEN_RATIO_CONJUGATE = 0.6180339887498949
"""Its multiples modulo 1 are spread evenly from 0 to 1, so that no two of a few multiples are close.

Source: Knuth, TAOCP 3, 6.4.
"""


@dataclass(frozen=True, slots=True)
class FleetDemand:
    """The inputs of the connection schedule that are the same for all workers."""

    router_count: int  # number of routers that recover at once
    worker_count: int
    connections_per_window: float  # connections that one worker can accept from all routers together


class ConnectionScheduler:
    """The schedule by which one router opens connections to each worker; one instance per recovery.

    Args:
        phase_offset: Offset of this router's time slots, from 0 to 1; different for each router.
        now_ms: Start of the recovery.
    """

    def __init__(self, phase_offset: float, now_ms: float) -> None:
        self._phase_offset = phase_offset
        self._started_at_ms = now_ms
        self._last_connection_ms: dict[int, float] = {}
        self._calls_by_worker: dict[int, int] = {}
        self._total_calls = 0

    def record_call(self, worker_id: int) -> None:
        """Count a call that was sent to a worker or needs a connection to it."""
        self._calls_by_worker[worker_id] = self._calls_by_worker.get(worker_id, 0) + 1
        self._total_calls += 1

    def record_connection(self, now_ms: float, worker_id: int) -> None:
        """Record that this router starts a connection to a worker."""
        self._last_connection_ms[worker_id] = now_ms

    def has_connected(self, worker_id: int) -> bool:
        """Return whether this router has started a connection to a worker in this recovery."""
        return worker_id in self._last_connection_ms

    def is_due(self, now_ms: float, worker_id: int, demand: FleetDemand) -> bool:
        """Return whether this router may connect to a worker now."""
        if self.has_connected(worker_id):
            waiting_since_ms = self._last_connection_ms[worker_id]
            slot_fraction = 1.0
        else:
            waiting_since_ms = self._started_at_ms
            slot_fraction = (self._phase_offset + worker_id * GOLDEN_RATIO_CONJUGATE) % 1.0
        spread_windows = self._spread_windows(now_ms, worker_id, demand)
        return not now_ms - waiting_since_ms < slot_fraction * spread_windows * WINDOW_MS

    def _spread_windows(self, now_ms: float, worker_id: int, demand: FleetDemand) -> float:
        """Return the number of windows over which all routers' connections to a worker are spread."""
        limit = demand.connections_per_window
        windows_passed = max(1.0, (now_ms - self._started_at_ms) / WINDOW_MS)
        worker_share = (self._calls_by_worker.get(worker_id, 0) + 1.0) / (
            self._total_calls + demand.worker_count
        )
        fleet_calls_per_window = demand.router_count * max(1.0, self._total_calls) / windows_passed
        demanded_per_window = fleet_calls_per_window * worker_share
        min_windows = 0.0
        if not self.has_connected(worker_id):
            min_windows = min(FIRST_CONNECT_WINDOWS, demand.router_count / limit)
        return max(min_windows, demand.router_count / limit * max(0.0, 1.0 - limit / demanded_per_window))
