"""The endpoint list: the workers that a router may use, and updates of that list."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """The state of a worker according to the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointUpdateKind(Enum):
    """The content of an update of the endpoint list."""

    DELTA = "delta"  # the update contains only changed entries
    SNAPSHOT = "full"  # the update contains all workers; one that is absent has been removed
    CACHED = "cached"  # the update contains all workers as last known to this process; may be stale
    FAILED = "failed"  # polling failed or the subscription was lost; the update contains no endpoints


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A worker on the endpoint list.

    Workers of one ``cell`` may deduplicate each other's requests (see ``DeduplicationScope``).
    """

    worker_id: int
    zone: int
    kind: int
    cell: int
    state: EndpointState
    weight: float | None
    started_at_ms: float | None  # time on the router's monotonic clock; None: long ago


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """An update of the endpoint list; ``version`` never decreases."""

    kind: EndpointUpdateKind
    version: int
    endpoints: tuple[Endpoint, ...] = ()
