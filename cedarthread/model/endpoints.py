"""The endpoint list: the workers that a router may use, and updates of that list."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """What the list says of a worker."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointUpdateKind(Enum):
    """What a message of the list holds."""

    DELTA = "delta"  # changed entries only
    SNAPSHOT = "full"  # all workers; one that is absent is gone
    CACHED = "cached"  # all workers as last held here, perhaps stale
    FAILED = "failed"  # asking failed or the subscription broke; no entries


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the list of workers."""

    worker_id: int
    zone: int
    kind: int
    cell: int
    state: EndpointState
    weight: float | None
    started_at_ms: float | None  # None: a long time back


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """News of the list of workers."""

    kind: EndpointUpdateKind
    version: int
    endpoints: tuple[Endpoint, ...] = ()
