"""The queue of one function: calls that wait for a busy or loading instance instead of starting another one.

A worker with only busy instances starts another load for each call that arrives, and all loads use the same
package store, which gets slower with each. From gossip a router knows the requests that all routers have in
flight, and can predict whether an instance becomes free, or finishes loading, before a new load would. In
that case the call waits in the router, for at most a fixed multiple of the load time.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from cedarthread.model.instance_load import InstanceLoad

MAX_AHEAD_FRACTION = 0.3  # maximum total service time of the calls ahead, as a fraction of the load time
MAX_BUSY_WAIT_FRACTION = 0.3  # maximum wait for a busy instance, as a fraction of the load time
MAX_LOADING_WAIT_FRACTION = 2.0  # maximum wait for a loading instance, as a fraction of the load time
MAX_INSTANCES = 8  # upper bound of the known instances of a function at one worker


class WaitTimes(NamedTuple):
    """The durations, in ms, that determine whether a call waits."""

    waited_ms: float  # time since the request arrived
    service_ms: float  # service time of a warm call
    load_ms: float  # time of one load of an instance


@dataclass(slots=True)
class InstanceQueue:
    """The calls of one function that wait in this router, and its known instances by worker."""

    instances: dict[int, int] = field(default_factory=dict)  # known instances by worker, from own responses
    waiting_requests: dict[int, None] = field(default_factory=dict)  # request ids in queue order

    def on_response(self, worker_id: int, *, was_cold: bool) -> None:
        """Count the instance that served a call: a new one if the call was cold, else an existing one."""
        known_count = self.instances.get(worker_id, 0)
        self.instances[worker_id] = min(known_count + 1, MAX_INSTANCES) if was_cold else max(known_count, 1)

    def remove(self, request_id: int) -> None:
        """Remove a request from the queue, if present."""
        self.waiting_requests.pop(request_id, None)

    def should_wait(
        self,
        request_id: int,
        worker_id: int,
        instances_by_worker: dict[int, InstanceLoad],
        *,
        is_warm: bool,
        concurrency: float,
        times: WaitTimes,
    ) -> bool:
        """Return whether a request selected for a worker must wait, and update its place in the queue.

        Args:
            request_id: The request.
            worker_id: The selected worker.
            instances_by_worker: Load by all routers at the workers that are not ejected.
            is_warm: Whether the router assumes that an instance runs at the worker.
            concurrency: Requests that one instance serves at a time.
            times: How long the request has waited, and how long calls and loads last.
        """
        at_worker = instances_by_worker.get(worker_id)
        instances = self.instances.get(worker_id, 0) if is_warm else 0
        if is_warm and at_worker is not None and at_worker.warm_age_ms is not None:
            instances = max(instances, 1)
        in_flight = at_worker.in_flight if at_worker is not None else 0
        if not instances:  # a load would start here, so check whether one is in progress anywhere
            in_flight = max((other.in_flight for other in instances_by_worker.values()), default=0)
        is_instance_free = not in_flight or in_flight < instances * concurrency
        ahead_ms = (self._position(request_id) + 1) * times.service_ms / (max(1, instances) * concurrency)
        max_wait_fraction = MAX_BUSY_WAIT_FRACTION if instances else MAX_LOADING_WAIT_FRACTION
        if (
            is_instance_free
            or times.waited_ms >= max_wait_fraction * times.load_ms
            or ahead_ms >= MAX_AHEAD_FRACTION * times.load_ms
        ):
            self.remove(request_id)
            return False
        self.waiting_requests[request_id] = None
        return True

    def _position(self, request_id: int) -> int:
        """Return the number of requests ahead of this one; if it is not queued, the queue length."""
        if request_id in self.waiting_requests:
            return list(self.waiting_requests).index(request_id)
        return len(self.waiting_requests)
