"""A runner and the pack store behind it, as a pure model: cores, lanes, copies, memory, loads, queues.

Driven by the clock that is handed in, so that it stands behind sockets and in a replay. Times in ms.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass, field

HELD_MOST = 16  # calls for each core that a runner takes in; more it turns away


@dataclass(eq=False, slots=True)
class Visit:
    """One call at one runner, as the runner books it."""

    name: str
    runner: int
    function: int
    at: float
    need: float  # ms of a core
    waits: float = math.inf  # since when it waited for a lane or a core, and not for a load
    began: float = math.inf  # when it had a copy, a lane and a core
    ended: float = math.inf
    note: str = "hit"  # hit, spawn, pending or spawn_failed, or shed


@dataclass(slots=True)
class Store:
    """The pack store: slower the more loads draw on it, and past a number it refuses."""

    load: float  # ms of a load that is alone
    at_once: int  # loads that it serves at full speed
    most: int  # loads under way past which it refuses
    out: int = 0

    def begin(self) -> float | None:
        """The ms that a load begun now takes; None where it is refused."""
        if self.out >= self.most:
            return None
        self.out += 1
        return self.load * max(1.0, self.out / self.at_once)


@dataclass(slots=True)
class _Copies:
    ready: int = 0
    loading: int = 0
    busy: int = 0  # lanes
    used: float = 0.0
    waiting: deque[Visit] = field(default_factory=deque)


class Runner:
    """One runner."""

    def __init__(
        self, number: int, cores: int, slots: int, store: Store, lanes: int = 2, keep: float = 4000.0
    ) -> None:
        self.number, self.cores, self.slots, self.store = number, cores, slots, store
        self.lanes, self.keep = lanes, keep
        self.slow = 1.0
        self.copies: dict[int, _Copies] = {}
        # When, serial, function, visit or None for a load.
        self.agenda: list[tuple[float, int, int, Visit | None]] = []
        self.queue: deque[Visit] = deque()  # with a lane, for a core
        self.running = self.held = self.serial = 0
        self.total = 0  # copies, loading ones too
        self.placed: list[tuple[float, int]] = []  # when which function's first copy began to load

    def due(self) -> float:
        """When something ends next."""
        return self.agenda[0][0] if self.agenda else math.inf

    def arrive(self, now: float, visit: Visit) -> bool:
        """A call comes; False where it is turned away or its load refused, as its note then says."""
        copies = self.copies.setdefault(visit.function, _Copies())
        if copies.ready and not copies.busy and now - copies.used > self.keep:
            self.total -= copies.ready
            copies.ready = 0
        visit.note = (
            "shed" if self.held >= HELD_MOST * self.cores else self._admit(now, visit.function, copies)
        )
        if visit.note in ("shed", "spawn_failed"):
            visit.ended = now
            return False
        self.held += 1
        visit.waits = now if visit.note == "hit" else math.inf
        copies.waiting.append(visit)
        self._run(now, copies)
        return True

    def _admit(self, now: float, function: int, copies: _Copies) -> str:
        out = copies.busy + len(copies.waiting)
        if out < copies.ready * self.lanes:
            return "hit"
        if out < (copies.ready + copies.loading) * self.lanes:
            return "pending"
        took = self.store.begin() if self._room(now) else None
        if took is None:
            return "pending" if copies.ready + copies.loading else "spawn_failed"
        if not copies.ready + copies.loading:
            self.placed.append((now, function))
        copies.loading += 1
        self.total += 1
        self._push(now + took * self.slow, function, None)
        return "spawn"

    def _room(self, now: float) -> bool:
        """Room for one more copy, made by unloading what was used least lately where need be."""
        if self.total < self.slots:
            return True
        idle = [one for one in self.copies.values() if one.ready and not one.busy and not one.waiting]
        if not idle:
            return False
        min(idle, key=lambda one: one.used).ready -= 1
        self.total -= 1
        return True

    def _push(self, at: float, function: int, visit: Visit | None) -> None:
        self.serial += 1
        heapq.heappush(self.agenda, (at, self.serial, function, visit))

    def _run(self, now: float, copies: _Copies) -> None:
        """Give out the lanes of one function that have become free, then the cores."""
        while copies.waiting and copies.busy < copies.ready * self.lanes:
            copies.busy += 1
            copies.used = now
            visit = copies.waiting.popleft()
            visit.waits = min(visit.waits, now)
            self.queue.append(visit)
        while self.queue and self.running < self.cores:
            visit = self.queue.popleft()
            visit.began = now
            self.running += 1
            self._push(now + visit.need * self.slow, visit.function, visit)

    def advance(self, now: float) -> list[Visit]:
        """What has ended by now, in order."""
        done: list[Visit] = []
        while self.agenda and self.agenda[0][0] <= now:
            at, _, function, visit = heapq.heappop(self.agenda)
            copies = self.copies[function]
            if visit is None:
                copies.loading -= 1
                copies.ready += 1
                copies.used = at
                self.store.out -= 1
            else:
                copies.busy -= 1
                copies.used = at
                self.running -= 1
                self.held -= 1
                visit.ended = at
                done.append(visit)
            self._run(at, copies)
        return done

    def die(self, now: float) -> list[Visit]:
        """It ends with all it holds, and is empty: the visits that never ended."""
        lost = [visit for *_, visit in self.agenda if visit is not None]
        lost += [*self.queue, *(visit for one in self.copies.values() for visit in one.waiting)]
        self.store.out -= sum(one.loading for one in self.copies.values())
        for visit in lost:
            visit.ended = now
        self.copies.clear()
        self.agenda.clear()
        self.queue.clear()
        self.running = self.held = self.total = 0
        return lost
