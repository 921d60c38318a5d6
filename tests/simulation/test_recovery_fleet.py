"""Restarts of many routers at once: the fleet recovers soon, without a stampede."""

from __future__ import annotations

import copy
from dataclasses import dataclass
from typing import NamedTuple

import pytest

from cedarthread.recovery.pacing_limits import MIN_WORKER_CONNECTIONS_PER_WINDOW
from tests.simulation.recovery_fleet import (
    SETTLED_MS,
    SimulatedFleet,
    fault_free_load_peak,
    settled_fleet,
)
from tests.simulation.recovery_records import peak


@dataclass(frozen=True)
class WarmStateSources:
    """The sources of warm state that the restarting routers have."""

    has_store: bool
    may_query: bool


NO_SOURCES = WarmStateSources(has_store=False, may_query=False)
STORE_ONLY = WarmStateSources(has_store=True, may_query=False)
PEERS_ONLY = WarmStateSources(has_store=False, may_query=True)
STORE_AND_PEERS = WarmStateSources(has_store=True, may_query=True)


class RestartResult(NamedTuple):
    fleet: SimulatedFleet
    recovery_ms: float


@pytest.fixture(scope="module")
def settled() -> SimulatedFleet:
    return settled_fleet()


@pytest.fixture(scope="module")
def fault_free_peak() -> int:
    return fault_free_load_peak()


def restart(settled: SimulatedFleet, fraction: float, sources: WarmStateSources | None) -> RestartResult:
    """Return the fleet 20 s after a restart; without sources, routers know all instances and are unpaced."""
    fleet = copy.deepcopy(settled)
    if sources is None:
        fleet.restores_all_instances = True
        fleet.paces_loads = False
        fleet.paces_connections = False
        sources = NO_SOURCES
    value_before = fleet.records.mean_value(SETTLED_MS - 10_000.0, SETTLED_MS)
    killed_at_ms = fleet.restart_routers(fraction, has_store=sources.has_store, may_query=sources.may_query)
    fleet.run(SETTLED_MS + 20_000.0)
    return RestartResult(fleet, fleet.records.recovery_ms(killed_at_ms, value_before))


@pytest.mark.parametrize("fraction", [0.7, 1.0])
def test_routers_with_warm_state_recover_soon_and_none_causes_a_stampede(
    settled: SimulatedFleet, fault_free_peak: int, fraction: float
) -> None:
    recovery_ms: dict[WarmStateSources, float] = {}
    for sources in (NO_SOURCES, STORE_ONLY, PEERS_ONLY, STORE_AND_PEERS):
        result = restart(settled, fraction, sources)
        recovery_ms[sources] = result.recovery_ms
        records = result.fleet.records
        assert peak(records.load_times, SETTLED_MS) <= max(3, 1.5 * fault_free_peak), sources
        connection_peak = max(peak(times, SETTLED_MS) for times in records.connection_times.values())
        max_ratio = 1.5 if sources.has_store else 2.0
        assert connection_peak <= max_ratio * MIN_WORKER_CONNECTIONS_PER_WINDOW, sources
        assert records.stale_decisions == 0
        assert not result.fleet.understated_ages()
        assert all(recovery.is_in_service() for recovery in result.fleet.routers)
    best_recovery_ms = restart(settled, fraction, None).recovery_ms
    assert recovery_ms[STORE_AND_PEERS] <= 1.5 * best_recovery_ms
    assert recovery_ms[STORE_AND_PEERS] <= 0.5 * recovery_ms[NO_SOURCES]
    if fraction < 1.0:
        assert recovery_ms[PEERS_ONLY] <= 1.7 * best_recovery_ms
    else:
        assert recovery_ms[PEERS_ONLY] <= 1.5 * recovery_ms[NO_SOURCES]


def test_routers_without_gossip_recover_by_their_store_alone(fault_free_peak: int) -> None:
    fleet = SimulatedFleet(16, 10, 60, 12.0, 11, allows_gossip=False).run(SETTLED_MS)
    value_before = fleet.records.mean_value(SETTLED_MS - 10_000.0, SETTLED_MS)
    killed_at_ms = fleet.restart_routers(0.7, has_store=True)
    fleet.run(SETTLED_MS + 20_000.0)
    assert fleet.records.recovery_ms(killed_at_ms, value_before) <= 3000.0
    assert peak(fleet.records.load_times, SETTLED_MS) <= max(4, 1.5 * fault_free_peak)
    assert not any(fleet.records.sent_datagrams.values())
