"""The routing of one call while placements are frozen."""

from __future__ import annotations

from cedarthread.change_freeze.call_routing import PlacementCandidate, RoutingVerdict, route_call

PERMITTED = PlacementCandidate(1, is_ready=True, is_permitted=True, has_capacity=True, distance=5.0)
PERMITTED_AND_FULL = PlacementCandidate(1, is_ready=True, is_permitted=True, has_capacity=False)
NOT_PERMITTED = PlacementCandidate(2, is_ready=True, is_permitted=False, has_capacity=True)
DRAINING = PlacementCandidate(3, is_ready=False, is_permitted=True, has_capacity=True)


def test_calls_prefer_permitted_workers_and_skip_draining_ones() -> None:
    assert route_call([NOT_PERMITTED, PERMITTED], is_load_permitted=True) == (RoutingVerdict.SEND, 1)
    assert route_call([NOT_PERMITTED, PERMITTED_AND_FULL], is_load_permitted=True) == (RoutingVerdict.LOAD, 2)
    assert route_call([NOT_PERMITTED, PERMITTED_AND_FULL], is_load_permitted=False) == (
        RoutingVerdict.WAIT,
        1,
    )
    assert route_call([DRAINING, NOT_PERMITTED], is_load_permitted=False) == (RoutingVerdict.REJECT, None)
