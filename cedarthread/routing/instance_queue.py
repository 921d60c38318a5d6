"""Whether a call had better wait for an instance that runs or loads than have one more loaded.

A worker whose instances are all busy begins another load for each call that comes, and all loads draw on the
one store. Where a router knows what all have in flight, it can tell that an instance will be free, or loaded,
before a load begun now would end. Then the call waits in the router, for no longer than a part of a load.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from cedarthread.model.instance_load import InstanceLoad

MAX_AHEAD_FRACTION = 0.3  # part of a load's time that the calls ahead of one that waits may take
MAX_BUSY_WAIT_FRACTION = 0.3  # part of a load's time that a call waits at most for a busy instance
MAX_LOADING_WAIT_FRACTION = 2.0  # the same for an instance that loads: a load begun now would end later
MAX_INSTANCES = 8  # instances of a function that one worker is taken to hold at most


class WaitTimes(NamedTuple):
    """What the decision to wait goes by, ms."""

    waited_ms: float  # since the request came
    service_ms: float  # that a warm call takes
    load_ms: float  # that a load takes


@dataclass(slots=True)
class InstanceQueue:
    """The calls of one function that wait in this router, and its instances that answers showed."""

    instances: dict[int, int] = field(default_factory=dict)  # by worker id
    waiting_requests: dict[int, None] = field(default_factory=dict)  # ids, the first come first

    def on_response(self, worker_id: int, was_cold: bool) -> None:
        """A call was served there, by an instance that it began to load or by one that ran."""
        known = self.instances.get(worker_id, 0)
        self.instances[worker_id] = min(known + 1, MAX_INSTANCES) if was_cold else max(known, 1)

    def remove(self, request_id: int) -> None:
        """A request waits no more."""
        self.waiting_requests.pop(request_id, None)

    def should_wait(
        self,
        request_id: int,
        worker_id: int,
        is_warm: bool,
        instances_by_worker: dict[int, InstanceLoad],
        *,
        concurrency: float,
        times: WaitTimes,
    ) -> bool:
        """Whether a request that would go to a worker waits.

        ``is_warm``: an instance is taken to run there. ``instances_by_worker``: what all routers have in
        flight at workers that are not ejected. ``concurrency``: requests that an instance takes at a time.
        """
        at_worker = instances_by_worker.get(worker_id)
        instances = self.instances.get(worker_id, 0) if is_warm else 0
        if is_warm and at_worker is not None and at_worker.warm_age_ms is not None:
            instances = max(instances, 1)
        in_flight = at_worker.in_flight if at_worker is not None else 0
        if not instances:  # it would be loaded there: does it load anywhere?
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
        """How many wait before the request, or would if it began to wait now."""
        if request_id in self.waiting_requests:
            return list(self.waiting_requests).index(request_id)
        return len(self.waiting_requests)
