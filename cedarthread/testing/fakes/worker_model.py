"""A model of a worker and of the package store behind it: cores, instances, memory, loads and queues.

The model does no input or output, and its callers pass the current time, so that the model runs behind
sockets and in replays. ``WorkerModel`` and ``PackageStore`` own the state. Times are ms.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

MAX_IN_FLIGHT_PER_CORE = 16  # calls per core that a worker accepts; further calls are rejected
KEEP_ALIVE_MS = 4000.0  # the instances of a function that is unused for longer are unloaded
REJECTED_REMARKS = ("shed", "spawn_failed")


@dataclass(eq=False, slots=True)
class WorkerCall:
    """One call at one worker.

    ``remark`` is hit (an instance was free), spawn (an instance is loaded for the call), pending (the call
    waits for a load), shed (rejected), spawn_failed (no instance could be loaded) or lost (the worker
    crashed).
    """

    call_id: str
    worker: int
    function: int
    arrived_at_ms: float
    service_ms: float  # time that the execution takes on a core
    queued_at_ms: float = math.inf  # start of the wait for a slot or a core, not for a load
    started_at_ms: float = math.inf  # time at which the call got a core, and so an instance and a slot
    ended_at_ms: float = math.inf
    remark: str = "hit"


@dataclass(slots=True)
class PackageStore:
    """The store from which workers load packages; concurrent loads are slower, and limited in number."""

    load_ms: float  # duration of a load at full speed
    full_speed_loads: int  # number of concurrent loads that run at full speed
    max_loads: int  # maximum number of concurrent loads; the store refuses more
    loads_in_flight: int = 0

    def start_load(self) -> float | None:
        """Start a load and return its duration in ms, or None if the store refuses the load."""
        if self.loads_in_flight >= self.max_loads:
            return None
        self.loads_in_flight += 1
        return self.load_ms * max(1.0, self.loads_in_flight / self.full_speed_loads)


@dataclass(slots=True)
class _FunctionInstances:
    """The instances of one function at one worker; an instance has a slot for each concurrent call."""

    ready: int = 0
    loading: int = 0
    busy_slots: int = 0
    last_used_at_ms: float = 0.0
    waiting_calls: deque[WorkerCall] = field(default_factory=deque)  # calls that wait for a slot

    def has_any(self) -> bool:
        """Return whether an instance is ready or loading."""
        return self.ready + self.loading > 0

    def is_idle(self) -> bool:
        """Return whether instances are ready but no call is served or waits."""
        return self.ready > 0 and not self.busy_slots and not self.waiting_calls


class _Completion(NamedTuple):
    """The future end of the execution of a call, or of a load if ``call`` is None."""

    at_ms: float
    serial: int  # completions at the same time are processed in ascending ``serial``
    function: int
    call: WorkerCall | None


class WorkerModel:
    """A worker with its instances, its queues and its pending completions.

    Args:
        number: number of the worker.
        cores: number of cores, each of which executes one call at a time.
        max_instances: instances that fit into memory.
        store: the package store, which may be shared by several workers.
        concurrency: slots of one instance.
        keep_alive_ms: the instances of a function that is unused for longer are unloaded.
    """

    def __init__(
        self,
        number: int,
        cores: int,
        max_instances: int,
        store: PackageStore,
        concurrency: int = 2,
        keep_alive_ms: float = KEEP_ALIVE_MS,
    ) -> None:
        self.number = number
        self.cores = cores
        self.max_instances = max_instances
        self.store = store
        self.concurrency = concurrency
        self.keep_alive_ms = keep_alive_ms
        self.slowdown = 1.0  # factor by which executions and loads take longer
        self.instances_by_function: dict[int, _FunctionInstances] = {}
        self.completion_queue: list[_Completion] = []
        self.core_queue: deque[WorkerCall] = deque()  # calls with a slot that wait for a core
        self.running_count = 0  # number of calls that run on a core
        self.in_flight = 0  # number of accepted calls that have not ended
        self.completion_serial = 0
        self.instance_count = 0  # number of ready and loading instances of all functions
        # (time in ms, function) of each load that started while the function had no instance.
        self.placements: list[tuple[float, int]] = []

    def next_event_at_ms(self) -> float:
        """Return the time of the next completion, or infinity if no call executes and no load runs."""
        return self.completion_queue[0].at_ms if self.completion_queue else math.inf

    def on_call(self, now_ms: float, call: WorkerCall) -> bool:
        """Accept a call and return True, or set its remark to the reason for rejection and return False."""
        instances = self.instances_by_function.setdefault(call.function, _FunctionInstances())
        unused_ms = now_ms - instances.last_used_at_ms
        if instances.ready and not instances.busy_slots and unused_ms > self.keep_alive_ms:
            self.instance_count -= instances.ready
            instances.ready = 0
        is_full = self.in_flight >= MAX_IN_FLIGHT_PER_CORE * self.cores
        call.remark = "shed" if is_full else self._admit(now_ms, call.function, instances)
        if call.remark in REJECTED_REMARKS:
            call.ended_at_ms = now_ms
            return False
        self.in_flight += 1
        call.queued_at_ms = now_ms if call.remark == "hit" else math.inf
        instances.waiting_calls.append(call)
        self._start_ready_calls(now_ms, instances)
        return True

    def _admit(self, now_ms: float, function: int, instances: _FunctionInstances) -> str:
        """Return the remark of a call; start a load if the call needs one."""
        in_flight = instances.busy_slots + len(instances.waiting_calls)
        if in_flight < instances.ready * self.concurrency:
            return "hit"
        if in_flight < (instances.ready + instances.loading) * self.concurrency:
            return "pending"
        load_ms = self.store.start_load() if self._ensure_free_memory() else None
        if load_ms is None:
            return "pending" if instances.has_any() else "spawn_failed"
        if not instances.has_any():
            self.placements.append((now_ms, function))
        instances.loading += 1
        self.instance_count += 1
        self._schedule(now_ms + load_ms * self.slowdown, function, None)
        return "spawn"

    def _ensure_free_memory(self) -> bool:
        """Return whether one more instance fits; if needed, unload the least recently used idle one first."""
        if self.instance_count < self.max_instances:
            return True
        idle = [instances for instances in self.instances_by_function.values() if instances.is_idle()]
        if not idle:
            return False
        min(idle, key=lambda instances: instances.last_used_at_ms).ready -= 1
        self.instance_count -= 1
        return True

    def _schedule(self, at_ms: float, function: int, call: WorkerCall | None) -> None:
        self.completion_serial += 1
        heapq.heappush(self.completion_queue, _Completion(at_ms, self.completion_serial, function, call))

    def _start_ready_calls(self, now_ms: float, instances: _FunctionInstances) -> None:
        """Assign free slots of one function to waiting calls, then free cores to calls with a slot."""
        while instances.waiting_calls and instances.busy_slots < instances.ready * self.concurrency:
            instances.busy_slots += 1
            instances.last_used_at_ms = now_ms
            call = instances.waiting_calls.popleft()
            call.queued_at_ms = min(call.queued_at_ms, now_ms)
            self.core_queue.append(call)
        while self.core_queue and self.running_count < self.cores:
            call = self.core_queue.popleft()
            call.started_at_ms = now_ms
            self.running_count += 1
            self._schedule(now_ms + call.service_ms * self.slowdown, call.function, call)

    def advance(self, now_ms: float) -> list[WorkerCall]:
        """Process the completions until now, and return the calls that ended, in order."""
        ended: list[WorkerCall] = []
        while self.completion_queue and self.completion_queue[0].at_ms <= now_ms:
            at_ms, _, function, call = heapq.heappop(self.completion_queue)
            instances = self.instances_by_function[function]
            instances.last_used_at_ms = at_ms
            if call is None:
                instances.loading -= 1
                instances.ready += 1
                self.store.loads_in_flight -= 1
            else:
                instances.busy_slots -= 1
                self.running_count -= 1
                self.in_flight -= 1
                call.ended_at_ms = at_ms
                ended.append(call)
            self._start_ready_calls(at_ms, instances)
        return ended

    def crash(self, now_ms: float) -> list[WorkerCall]:
        """Drop all calls and instances, and return the dropped calls."""
        lost = [completion.call for completion in self.completion_queue if completion.call is not None]
        lost += self.core_queue
        for instances in self.instances_by_function.values():
            lost += instances.waiting_calls
            self.store.loads_in_flight -= instances.loading
        for call in lost:
            call.ended_at_ms = now_ms
        self.instances_by_function.clear()
        self.completion_queue.clear()
        self.core_queue.clear()
        self.running_count = 0
        self.in_flight = 0
        self.instance_count = 0
        return lost
