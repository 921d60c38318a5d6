"""A runner and the pack store behind it, as a pure model: cores, lanes, copies, memory, loads, queues.

Driven by the clock that is handed in, so that it stands behind sockets and in a replay. Times in ms.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass, field

MAX_IN_FLIGHT_PER_CORE = 16  # calls for each core that a runner takes in; more it turns away


@dataclass(eq=False, slots=True)
class WorkerCall:
    """One call at one runner, as the runner books it."""

    call_id: str
    worker: int
    function: int
    arrived_at_ms: float
    service_ms: float  # ms of a core
    queued_at_ms: float = math.inf  # since when it waited for a lane or a core, and not for a load
    started_at_ms: float = math.inf  # when it had a copy, a lane and a core
    ended_at_ms: float = math.inf
    remark: str = "hit"  # hit, spawn, pending or spawn_failed, or shed


@dataclass(slots=True)
class PackageStore:
    """The pack store: slower the more loads draw on it, and past a number it refuses."""

    load_ms: float  # ms of a load that is alone
    full_speed_loads: int  # loads that it serves at full speed
    max_loads: int  # loads under way past which it refuses
    loads_in_flight: int = 0

    def start_load(self) -> float | None:
        """The ms that a load begun now takes; None where it is refused."""
        if self.loads_in_flight >= self.max_loads:
            return None
        self.loads_in_flight += 1
        return self.load_ms * max(1.0, self.loads_in_flight / self.full_speed_loads)


@dataclass(slots=True)
class _FunctionInstances:
    ready: int = 0
    loading: int = 0
    busy_slots: int = 0  # lanes
    last_used_at_ms: float = 0.0
    waiting_calls: deque[WorkerCall] = field(default_factory=deque)


class WorkerModel:
    """One runner."""

    def __init__(
        self, number: int, cores: int, slots: int, store: PackageStore, lanes: int = 2, keep: float = 4000.0
    ) -> None:
        self.number, self.cores, self.max_instances, self.store = number, cores, slots, store
        self.concurrency, self.keep_alive_ms = lanes, keep
        self.slowdown = 1.0
        self.instances_by_function: dict[int, _FunctionInstances] = {}
        # When, serial, function, visit or None for a load.
        self.timer_queue: list[tuple[float, int, int, WorkerCall | None]] = []
        self.core_queue: deque[WorkerCall] = deque()  # with a lane, for a core
        self.running_count = self.in_flight = self.timer_serial = 0
        self.instance_count = 0  # copies, loading ones too
        self.placements: list[tuple[float, int]] = []  # when which function's first copy began to load

    def next_event_at_ms(self) -> float:
        """When something ends next."""
        return self.timer_queue[0][0] if self.timer_queue else math.inf

    def on_call(self, now: float, visit: WorkerCall) -> bool:
        """A call comes; False where it is turned away or its load refused, as its note then says."""
        copies = self.instances_by_function.setdefault(visit.function, _FunctionInstances())
        if copies.ready and not copies.busy_slots and now - copies.last_used_at_ms > self.keep_alive_ms:
            self.instance_count -= copies.ready
            copies.ready = 0
        visit.remark = (
            "shed"
            if self.in_flight >= MAX_IN_FLIGHT_PER_CORE * self.cores
            else self._admit(now, visit.function, copies)
        )
        if visit.remark in ("shed", "spawn_failed"):
            visit.ended_at_ms = now
            return False
        self.in_flight += 1
        visit.queued_at_ms = now if visit.remark == "hit" else math.inf
        copies.waiting_calls.append(visit)
        self._start_ready_calls(now, copies)
        return True

    def _admit(self, now: float, function: int, copies: _FunctionInstances) -> str:
        out = copies.busy_slots + len(copies.waiting_calls)
        if out < copies.ready * self.concurrency:
            return "hit"
        if out < (copies.ready + copies.loading) * self.concurrency:
            return "pending"
        took = self.store.start_load() if self._make_room(now) else None
        if took is None:
            return "pending" if copies.ready + copies.loading else "spawn_failed"
        if not copies.ready + copies.loading:
            self.placements.append((now, function))
        copies.loading += 1
        self.instance_count += 1
        self._schedule(now + took * self.slowdown, function, None)
        return "spawn"

    def _make_room(self, now: float) -> bool:
        """Room for one more copy, made by unloading what was used least lately where need be."""
        if self.instance_count < self.max_instances:
            return True
        idle = [
            one
            for one in self.instances_by_function.values()
            if one.ready and not one.busy_slots and not one.waiting_calls
        ]
        if not idle:
            return False
        min(idle, key=lambda one: one.last_used_at_ms).ready -= 1
        self.instance_count -= 1
        return True

    def _schedule(self, at: float, function: int, visit: WorkerCall | None) -> None:
        self.timer_serial += 1
        heapq.heappush(self.timer_queue, (at, self.timer_serial, function, visit))

    def _start_ready_calls(self, now: float, copies: _FunctionInstances) -> None:
        """Give out the lanes of one function that have become free, then the cores."""
        while copies.waiting_calls and copies.busy_slots < copies.ready * self.concurrency:
            copies.busy_slots += 1
            copies.last_used_at_ms = now
            visit = copies.waiting_calls.popleft()
            visit.queued_at_ms = min(visit.queued_at_ms, now)
            self.core_queue.append(visit)
        while self.core_queue and self.running_count < self.cores:
            visit = self.core_queue.popleft()
            visit.started_at_ms = now
            self.running_count += 1
            self._schedule(now + visit.service_ms * self.slowdown, visit.function, visit)

    def advance(self, now: float) -> list[WorkerCall]:
        """What has ended by now, in order."""
        done: list[WorkerCall] = []
        while self.timer_queue and self.timer_queue[0][0] <= now:
            at, _, function, visit = heapq.heappop(self.timer_queue)
            copies = self.instances_by_function[function]
            if visit is None:
                copies.loading -= 1
                copies.ready += 1
                copies.last_used_at_ms = at
                self.store.loads_in_flight -= 1
            else:
                copies.busy_slots -= 1
                copies.last_used_at_ms = at
                self.running_count -= 1
                self.in_flight -= 1
                visit.ended_at_ms = at
                done.append(visit)
            self._start_ready_calls(at, copies)
        return done

    def crash(self, now: float) -> list[WorkerCall]:
        """It ends with all it holds, and is empty: the visits that never ended."""
        lost = [visit for *_, visit in self.timer_queue if visit is not None]
        lost += [
            *self.core_queue,
            *(visit for one in self.instances_by_function.values() for visit in one.waiting_calls),
        ]
        self.store.loads_in_flight -= sum(one.loading for one in self.instances_by_function.values())
        for visit in lost:
            visit.ended_at_ms = now
        self.instances_by_function.clear()
        self.timer_queue.clear()
        self.core_queue.clear()
        self.running_count = self.in_flight = self.instance_count = 0
        return lost
