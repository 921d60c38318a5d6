"""Records of the simulated fleet with change freezes: workers, placements, deliveries and partitions."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from cedarthread.model.endpoints import Endpoint, EndpointState

if TYPE_CHECKING:
    from cedarthread.components.replicated_state import Entry


@dataclass
class SimulatedWorker:
    """A worker, and the functions that are placed on it."""

    worker_id: int
    incarnation: int = 0
    is_removed: bool = False
    is_draining: bool = False
    placed_functions: set[int] = field(default_factory=set)

    def endpoint(self) -> Endpoint:
        state = EndpointState.DRAINING if self.is_draining else EndpointState.READY
        return Endpoint(self.worker_id, self.worker_id % 2, 0, 0, state, 1.0, float(self.incarnation))


class Delivery(NamedTuple):
    """An entry, and when it reaches one router and a majority of routers."""

    received_at_ms: float
    entry: Entry
    majority_at_ms: float


class Partition(NamedTuple):
    """The time in which a router neither receives nor sends messages."""

    start_ms: float
    end_ms: float


class Placement(NamedTuple):
    """A function that a worker loaded."""

    at_ms: float
    worker_id: int
    function_id: int


NO_PARTITION = Partition(math.inf, 0.0)
