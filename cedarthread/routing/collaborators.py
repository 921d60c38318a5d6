"""Protocols of the components that the router uses; ``gossip/`` and ``node/`` implement them.

All times are ms of the router's steady clock.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from cedarthread.model.instance_load import InstanceLoad
    from cedarthread.routing.records import PendingRequest, WorkerRecord


class HomeWorkers(NamedTuple):
    """The workers of a function in placement order, and how many of them are homes."""

    workers: Sequence[WorkerRecord]
    home_count: int


class PeerLoad(Protocol):
    """Load and warm instances as the other routers report them (``gossip/load_gossip.py``)."""

    def peer_coverage(self, now_ms: float) -> float:
        """Return the fraction of the other routers whose gossip arrived recently, 0 to 1."""

    def instances(self, now_ms: float, function_id: int) -> dict[int, InstanceLoad]:
        """Return load and warm instances of a function by worker id: own attempts and peers' reports."""

    def forget_worker(self, worker_id: int) -> None:
        """Drop all instances of a worker that was removed or restarted."""


class RoutingConstraints(Protocol):
    """Constraints of contracts, change freezes and restart recovery (``node/constraints.py``).

    The router calls the constraints and decides; they never act on their own.
    """

    limits_loading: bool  # whether a change freeze or the recovery limits new instances

    def expected_instances(self, now_ms: float, function_id: int) -> dict[int, InstanceLoad]:
        """Return instances by worker id from persisted state and peers, while this router recovers."""

    def may_route(
        self,
        now_ms: float,
        pending: PendingRequest,
        worker: WorkerRecord,
        *,
        is_loaded: bool,
        has_alternative: bool,
    ) -> bool:
        """Return whether the request may be sent to the worker.

        Args:
            now_ms: The steady clock.
            pending: The request.
            worker: The candidate.
            is_loaded: An instance of the function is known at the worker.
            has_alternative: An instance is known at another worker that has capacity left.
        """

    def may_load(
        self, now_ms: float, pending: PendingRequest, worker: WorkerRecord, *, has_alternative: bool
    ) -> bool:
        """Return whether the request may start a first instance at the worker.

        The router calls this after all other checks, because True may consume one exception of the change
        freeze and one load of the recovery's pacing.
        """

    def home_workers(
        self, now_ms: float, function_id: int, workers: Sequence[WorkerRecord], home_count: int
    ) -> HomeWorkers:
        """Return the workers in placement order and the number of homes, adjusted for a change freeze."""

    def retry_after_range(self, now_ms: float) -> tuple[float, float]:
        """Return the fractions of the longest Retry-After between which that of a rejection is drawn."""

    def shed_probability(
        self, now_ms: float, pending: PendingRequest, value: float, utilization: float, shed_fraction: float
    ) -> float | None:
        """Assign the request its priority and return the probability of shedding such requests.

        None: shed with ``shed_fraction``, the fraction of all requests that must be shed.
        """

    def on_rejected(self, now_ms: float, pending: PendingRequest) -> None:
        """Count a rejected request towards the floor of its tenant."""

    def overload_level(self, now_ms: float) -> int:
        """Return how overloaded the fleet is; 0: not overloaded, or not known."""

    def preemption_victim(
        self,
        now_ms: float,
        pending: PendingRequest,
        worker: WorkerRecord | None,
        expected_ms: float,
        pending_requests: Mapping[int, PendingRequest],
        queue: Mapping[int, PendingRequest],
    ) -> int | None:
        """Return the id of the request to preempt for this one; None: there is none.

        Args:
            now_ms: The steady clock.
            pending: The request that needs capacity.
            worker: The worker that would receive it.
            expected_ms: Its expected service time there.
            pending_requests: All pending requests by id.
            queue: The queued ones by id.
        """
