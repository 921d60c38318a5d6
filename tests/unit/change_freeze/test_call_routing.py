"""The routing of one call while placements are frozen."""

from __future__ import annotations

from cedarthread.change_freeze.call_routing import PlacementCandidate, RoutingVerdict, route_call

OPEN = PlacementCandidate(1, is_ready=True, is_open=True, has_capacity=True, distance=5.0)
OPEN_AND_FULL = PlacementCandidate(1, is_ready=True, is_open=True, has_capacity=False)
NOT_OPEN = PlacementCandidate(2, is_ready=True, is_open=False, has_capacity=True)
DRAINING = PlacementCandidate(3, is_ready=False, is_open=True, has_capacity=True)


def test_calls_prefer_open_workers_and_skip_draining_ones() -> None:
    assert route_call([NOT_OPEN, OPEN], is_load_permitted=True) == (RoutingVerdict.SEND, 1)
    assert route_call([NOT_OPEN, OPEN_AND_FULL], is_load_permitted=True) == (RoutingVerdict.LOAD, 2)
    assert route_call([NOT_OPEN, OPEN_AND_FULL], is_load_permitted=False) == (RoutingVerdict.WAIT, 1)
    assert route_call([DRAINING, NOT_OPEN], is_load_permitted=False) == (RoutingVerdict.REJECT, None)
