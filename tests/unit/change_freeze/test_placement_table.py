"""The table of function placements."""

from __future__ import annotations

from cedarthread.change_freeze.placement_table import PlacementTable
from cedarthread.model.endpoints import EndpointUpdate, EndpointUpdateKind
from tests import helpers

FUNCTION_ID = 7


def test_placements_survive_a_corrupted_list_but_not_a_restart() -> None:
    placements = PlacementTable()
    worker = helpers.worker(1, started_at_ms=5.0)
    restarted = helpers.worker(1, started_at_ms=6.0)
    placements.on_endpoint_update(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, 1, (worker,)))
    placements.record(0.0, FUNCTION_ID, 1)
    placements.is_frozen = True
    placements.expire(1e9)
    placements.on_endpoint_update(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, 2))
    assert not placements.has_placement(FUNCTION_ID, 1)
    assert placements.has_lost_most(FUNCTION_ID)
    placements.on_endpoint_update(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, 3, (worker,)))
    assert placements.has_placement(FUNCTION_ID, 1), "the list before was corrupted"
    placements.on_endpoint_update(EndpointUpdate(EndpointUpdateKind.DELTA, 4, (restarted,)))
    assert not placements.has_placement(FUNCTION_ID, 1)
