"""Where a call goes while placements are frozen: service first, then the freeze."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


class RoutingVerdict(Enum):
    """What becomes of a call."""

    SEND = "send"  # to a worker where the function is placed, or where nothing is frozen
    LOAD = "place"  # to a worker that must load the function, as an exception
    WAIT = "wait"  # for a worker where the function is placed
    REJECT = "refuse"  # there is none


@dataclass(frozen=True, slots=True)
class PlacementCandidate:
    """A worker as a call sees it."""

    worker_id: int
    is_ready: bool  # it drains otherwise, or is not there
    is_open: bool  # the function is placed there, or nothing is frozen there
    has_capacity: bool  # as the router counts it
    distance: float = 0.0  # the router's preference, the least first
    zone_index: int | None = None


def route_call(
    candidates: Iterable[PlacementCandidate], is_load_permitted: bool
) -> tuple[RoutingVerdict, int | None]:
    """The verdict on a call, and its worker.

    First an open worker with capacity; without one a new placement, where an exception permits it; then
    waiting. Only a call that finds no open worker at all is rejected. A worker that is not ready gets
    nothing.
    """
    ready = sorted(
        (candidate for candidate in candidates if candidate.is_ready),
        key=lambda candidate: candidate.distance,
    )
    open_candidates = [candidate for candidate in ready if candidate.is_open]
    for candidate in open_candidates:
        if candidate.has_capacity:
            return RoutingVerdict.SEND, candidate.worker_id
    if is_load_permitted:
        for candidate in ready:
            if not candidate.is_open:
                return RoutingVerdict.LOAD, candidate.worker_id
    if open_candidates:
        return RoutingVerdict.WAIT, open_candidates[0].worker_id
    return RoutingVerdict.REJECT, None
