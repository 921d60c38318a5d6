"""The routing of one call while placements are frozen, as a pure function.

Serving calls has precedence over the freeze: a call without a permitted worker may load its function
elsewhere if an exception permits the load.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from cedarthread.change_freeze.placement_changes import PlacementChange, PlacementChangeKind

if TYPE_CHECKING:
    from collections.abc import Iterable


class RoutingVerdict(Enum):
    """The kind of a routing decision for one call."""

    SEND = "send"  # the call is sent to a permitted worker, which has capacity
    # The call is sent to a worker that is not permitted and must load the function, by exception.
    LOAD = "place"
    WAIT = "wait"  # the call waits for a permitted worker, which has no capacity yet
    REJECT = "refuse"  # the call is rejected: no worker is permitted, and no exception permits a load


class RoutingDecision(NamedTuple):
    """The verdict on one call, and the worker to which it applies; None for a rejected call."""

    verdict: RoutingVerdict
    worker_id: int | None


@dataclass(frozen=True, slots=True)
class PlacementCandidate:
    """A worker to which a call may be sent."""

    worker_id: int
    is_ready: bool  # False while the worker drains or is absent from the endpoint list
    is_permitted: bool  # the function is placed at the worker, or no rule freezes a load there
    has_capacity: bool  # whether the worker has capacity, by the router's count of calls in flight to it
    distance: float = 0.0  # distance to the worker; the router prefers the smallest
    zone_index: int | None = None


def first_instance_change(
    candidate: PlacementCandidate, function_id: int, tenant_index: int | None, *, is_emergency: bool
) -> PlacementChange:
    """Return the change by which a call of the function loads an instance at the candidate."""
    return PlacementChange(
        PlacementChangeKind.FIRST_INSTANCE,
        candidate.worker_id,
        function_id,
        candidate.zone_index,
        tenant_index,
        is_emergency,
    )


def route_call(candidates: Iterable[PlacementCandidate], *, is_load_permitted: bool) -> RoutingDecision:
    """Return the verdict on a call and the worker to which it applies.

    A permitted worker with capacity is preferred. Without one, the call loads its function at another worker
    if an exception permits the load. Otherwise the call waits for a permitted worker, and is rejected only if
    no worker is permitted. A worker that is not ready receives no call.
    """
    ready = sorted(
        (candidate for candidate in candidates if candidate.is_ready),
        key=lambda candidate: candidate.distance,
    )
    permitted_candidates = [candidate for candidate in ready if candidate.is_permitted]
    for candidate in permitted_candidates:
        if candidate.has_capacity:
            return RoutingDecision(RoutingVerdict.SEND, candidate.worker_id)
    if is_load_permitted:
        for candidate in ready:
            if not candidate.is_permitted:
                return RoutingDecision(RoutingVerdict.LOAD, candidate.worker_id)
    if permitted_candidates:
        return RoutingDecision(RoutingVerdict.WAIT, permitted_candidates[0].worker_id)
    return RoutingDecision(RoutingVerdict.REJECT, None)
