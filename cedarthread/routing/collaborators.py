"""Protocols of the components that the router uses; ``gossip/`` and ``node/`` implement them.

All times are ms on the router's monotonic clock.
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
    """The load and the warm instances that the other routers report (``gossip/load_gossip.py``)."""

    def peer_coverage(self, now_ms: float) -> float:
        """Return the fraction, 0 to 1, of the other routers whose gossip was received recently."""

    def instances(self, now_ms: float, function_id: int) -> dict[int, InstanceLoad]:
        """Return a function's load and warm instances by worker id, from own attempts and peers' reports."""

    def remove_worker(self, worker_id: int) -> None:
        """Drop all instances of a worker that was removed or restarted."""


class RoutingConstraints(Protocol):
    """The constraints of contracts, change freezes and restart recovery (``node/constraints.py``).

    The constraints are passive: the router queries them and makes the decision.
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
            now_ms: Current time.
            pending: The request.
            worker: The candidate.
            is_loaded: An instance of the function is known at the worker.
            has_alternative: An instance is known at another worker with spare capacity.
        """

    def may_load(
        self, now_ms: float, pending: PendingRequest, worker: WorkerRecord, *, has_alternative: bool
    ) -> bool:
        """Return whether the request may start a first instance at the worker.

        The router calls this after all other checks, because True may consume one exception of the change
        freeze and one load of the recovery's rate limit.
        """

    def home_workers(
        self, now_ms: float, function_id: int, workers: Sequence[WorkerRecord], home_count: int
    ) -> HomeWorkers:
        """Return the workers in placement order and the number of homes, adjusted for a change freeze."""

    def retry_after_range(self, now_ms: float) -> tuple[float, float]:
        """Return the range of the random Retry-After of a rejection, as fractions of its maximum."""

    def shed_probability(
        self, now_ms: float, pending: PendingRequest, value: float, utilization: float, shed_fraction: float
    ) -> float | None:
        """Assign the request its priority and return the shed probability of that priority.

        None: the priority does not determine it; the router decides by its own overload estimate.

        Args:
            now_ms: Current time.
            pending: The new request.
            value: Its priority weight per ms of work.
            utilization: Latency of calls over the latency at which an overload starts.
            shed_fraction: The fraction of all requests that must be shed.
        """

    def on_rejected(self, now_ms: float, pending: PendingRequest) -> None:
        """Count a rejected request against the floor of its tenant's contract."""

    def overload_level(self, now_ms: float) -> int:
        """Return the overload level of the fleet; 0: not overloaded, or unknown."""

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
            now_ms: Current time.
            pending: The request that needs capacity.
            worker: The worker that would receive it.
            expected_ms: Its expected service time there.
            pending_requests: All pending requests by id.
            queue: The queued requests by id.
        """
