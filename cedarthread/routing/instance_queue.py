"""Whether a call had better wait for a copy that stands or loads than have one more loaded.

A worker whose copies are all taken begins another load for each call that comes, and all loads draw on the
one store. Where a router knows what all have out, it can tell that a lane will be free, or a copy loaded,
before a load begun now would end. Then the call waits in the router, for no longer than a part of a load.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from cedarthread.gossip.load_gossip import InstanceLoad

MAX_AHEAD_FRACTION = 0.3  # part of a load's time that the calls ahead of one that waits may take
MAX_BUSY_WAIT_FRACTION = (
    0.3  # part of a load's time that a call waits at most for a lane of a copy that stands
)
MAX_LOADING_WAIT_FRACTION = 2.0  # the same for a copy that loads: a load begun now would end later
MAX_INSTANCES = 8  # copies of a function that one worker is taken to hold at most


@dataclass(slots=True)
class InstanceQueue:
    """The calls of one function that wait in this router, and the copies that answers showed, by worker."""

    instances: dict[int, int] = field(default_factory=dict)
    waiting_requests: dict[int, None] = field(default_factory=dict)  # requests, the first come first

    def on_response(self, worker_id: int, was_cold: bool) -> None:
        """A call was served there, by a copy that it began to load or by one that stood."""
        had = self.instances.get(worker_id, 0)
        self.instances[worker_id] = min(had + 1, MAX_INSTANCES) if was_cold else max(had, 1)

    def remove(self, request_id: int) -> None:
        """A request waits no more."""
        self.waiting_requests.pop(request_id, None)

    def should_wait(
        self,
        request_id: int,
        worker_id: int,
        is_warm: bool,
        instances_by_worker: dict[int, InstanceLoad],
        concurrency: float,
        times: tuple[float, float, float],
    ) -> bool:
        """Whether a request that would go to a worker waits.

        ``warm``: a copy is taken to stand there. ``told``: what all have out, by sound worker. ``times``: ms
        that the request has waited, that a call takes, that a load takes."""
        waited, service, load = times
        there = instances_by_worker.get(worker_id)
        copies = self.instances.get(worker_id, 0) if is_warm else 0
        if is_warm and there is not None and there.warm_age_ms is not None:
            copies = max(copies, 1)
        out = there.in_flight if there is not None else 0
        if not copies:  # it would be loaded there: does it load anywhere?
            out = max((copy.in_flight for copy in instances_by_worker.values()), default=0)
        before = (
            list(self.waiting_requests).index(request_id)
            if request_id in self.waiting_requests
            else len(self.waiting_requests)
        )
        ahead = (before + 1) * service / (max(1, copies) * concurrency)
        most = MAX_BUSY_WAIT_FRACTION * load if copies else MAX_LOADING_WAIT_FRACTION * load
        if not out or out < copies * concurrency or waited >= most or ahead >= MAX_AHEAD_FRACTION * load:
            self.remove(request_id)
            return False
        self.waiting_requests[request_id] = None
        return True
