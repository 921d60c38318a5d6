"""Small worlds explored whole: every order of a few events, states merged, the ledger on every path.

A state is reached by a path of events, and is built anew by playing that path: the planner and the decisions
are the real ones, on a virtual clock, with workers that do only what the path says. Two paths to one state
count once.
"""

from __future__ import annotations

import asyncio
import hashlib
import math
import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, fields, is_dataclass
from enum import Enum
from typing import Any

from cedarthread import interface as i
from cedarthread import wire
from cedarthread.core.calls import Answer, Attempt, Call, Ending, Progress, Refused, Served, broken
from cedarthread.core.planner import Planner
from cedarthread.fuzz import settings as drawn_settings
from cedarthread.fuzz.machine import figures, terms
from cedarthread.fuzz.virtual import VirtualLoop, play
from cedarthread.ledger.book import Ledger, Tried


@dataclass(frozen=True, slots=True)
class Scene:
    """A small world: its calls by class, its workers, and what may happen, each so many times."""

    name: str
    calls: tuple[int, ...]
    workers: int
    events: tuple[str, ...]  # may stand in it more than once
    states: int  # that it has; another number is a finding
    miss: bool = False
    limit: float = 2000.0


SCENES = (
    Scene("two-calls", (0, 2), 2, ("hit", "hit", "death", "fault", "late", "wait", "wait"), 4299),
    Scene("confirm", (2, 2), 2, ("full", "fault", "hit", "reset", "late", "wait"), 547),
    Scene("keyed", (1,), 3, ("fault", "death", "hit", "wait", "drain"), 769),
    Scene("drain", (0, 2), 2, ("drain", "full", "hit", "ready", "wait"), 2457),
    Scene("end", (0, 1), 2, ("end", "hit", "fault", "leave", "wait"), 904),
    Scene("orders", (0, 0, 0), 2, ("loaded", "unloaded", "miss", "wait", "death"), 954, miss=True),
)


class _Ways:
    """The way to the workers: an attempt arrives whole at once and stays until the path ends it."""

    def __init__(self, planner: Planner, ledger: Ledger, loop: VirtualLoop) -> None:
        self.planner, self.ledger, self.now = planner, ledger, loop.unix_ms
        self.out: dict[Attempt, Tried] = {}
        self.given_up: list[Attempt] = []
        self.orders: list[tuple[int, int]] = []
        self.dead: set[int] = set()

    def send(self, attempt: Attempt) -> None:
        """Start an attempt."""
        if attempt.worker in self.dead:
            return self.planner.ended(attempt, broken(attempt, unreached=True))
        attempt.progress = Progress.WRITTEN
        self.out[attempt] = self.ledger.out(self.now(), attempt.call.name, attempt.worker)

    def look(self, attempt: Attempt) -> None:
        """Nothing to look at."""

    def withdraw(self, attempt: Attempt) -> None:
        """All has left."""

    def cancel(self, attempt: Attempt) -> None:
        """Give an attempt up."""
        if (tried := self.out.pop(attempt, None)) is not None:
            self.ledger.ended(tried, True)
            self.given_up.append(attempt)
        self.planner.ended(attempt, Ending(i.Outcome.CANCELLED))

    def end(self, attempt: Attempt, outcome: i.Outcome, body: bytes = b"") -> None:
        """A worker's answer, or the end of its connection."""
        proves = outcome in (i.Outcome.FULL, i.Outcome.MISS)
        self.ledger.ended(self.out.pop(attempt), not proves)
        self.planner.ended(attempt, Ending(outcome, body))

    def order(self, worker: int, function: int, copies: int) -> None:
        """An order to load."""
        self.ledger.ordered(self.now(), worker, copies)
        self.orders.append((worker, function))

    def unload(self, worker: int, function: int) -> None:
        """Nothing here holds copies."""

    def close_idle(self, worker: int) -> None:
        """Nothing here is idle."""


class _Stage:
    """One world at the end of one path."""

    def __init__(self, scene: Scene, loop: VirtualLoop) -> None:
        self.scene, self.loop = scene, loop
        self.top = drawn_settings.settings(miss=scene.miss)
        self.ledger = Ledger(figures(self.top, 0.0))
        self.planner = Planner(wire.settings_from(self.top), 3, clock=loop.unix_ms)
        self.ways = _Ways(self.planner, self.ledger, loop)
        self.planner.workers = self.ways
        self.left = list(scene.events)
        self.calls: list[Call] = []
        self.version = 0
        self.state = {n: i.WorkerState.READY for n in range(1, scene.workers + 1)}
        self._tell(*self.state)

    def _tell(self, *workers: int) -> None:
        self.version += 1
        told = tuple(i.Worker(n, n % 2, 0, n, self.state[n], None, None) for n in workers)
        for n in workers:
            self.ledger.told(self.loop.unix_ms(), n, self.state[n].value, n % 2, n)
        kind = i.ListKind.CACHED if self.version == 1 else i.ListKind.DELTA
        self.planner.membership(i.Membership(kind, self.version, told))

    def may(self) -> list[tuple[str, int]]:
        """What can happen next: an event, and which call, attempt or worker it is about."""
        found: list[tuple[str, int]] = []
        if len(self.calls) < len(self.scene.calls):
            found.append(("call", len(self.calls)))
        for event in dict.fromkeys(self.left):
            found += [(event, n) for n in range(self._choices(event))]
        return found

    def _choices(self, event: str) -> int:
        match event:
            case "hit" | "full" | "fault" | "reset" | "miss":
                return len(self.ways.out)
            case "late":
                return len(self.ways.given_up)
            case "loaded" | "unloaded":
                return min(1, len(self.ways.orders))
            case "leave":
                return sum(not call.settled for call in self.calls)
            case "death" | "drain":
                return len(self.state)
        return 1

    async def happen(self, event: str, which: int) -> None:
        """One event, and all that follows from it at once."""
        if event == "call":
            self._call(which)
        else:
            self.left.remove(event)
            await self._event(event, which)
        for _ in range(4):
            await asyncio.sleep(0)

    def _call(self, number: int) -> None:
        klass, name, now = self.scene.calls[number], f"c{number}", self.loop.unix_ms()
        self.ledger.taken(now, name, terms(self.top, klass), now + self.scene.limit)

        def reply(answer: Answer) -> None:
            kind = (
                "served"
                if isinstance(answer, Served)
                else "refused"
                if isinstance(answer, Refused)
                else "failed"
            )
            self.ledger.answered(
                self.loop.unix_ms(), name, kind, answer.body if isinstance(answer, Served) else b""
            )

        key = name if self.top["classes"][klass]["effect"] == "dedup" else None
        call = Call(name, klass, 7, now + 0.9 * self.scene.limit, b"", reply, key)
        self.calls.append(call)
        self.planner.submit(call)

    async def _event(self, event: str, which: int) -> None:
        ways, planner = self.ways, self.planner
        outcomes = {
            "full": i.Outcome.FULL,
            "fault": i.Outcome.ERROR,
            "reset": i.Outcome.RESET,
            "miss": i.Outcome.MISS,
        }
        match event:
            case "hit":
                attempt = list(ways.out)[which]
                body = f"{attempt.call.name}@{attempt.worker}".encode()
                self.ledger.made(attempt.call.name, body)
                ways.end(attempt, i.Outcome.OK, body)
            case "full" | "fault" | "reset" | "miss":
                ways.end(list(ways.out)[which], outcomes[event])
            case "late":  # an answer to what was given up: it must count for nothing
                planner.ended(ways.given_up[which], Ending(i.Outcome.OK, b"late"))
            case "loaded" | "unloaded":
                worker, function = ways.orders.pop(0)
                done = i.Outcome.OK if event == "loaded" else i.Outcome.FULL
                planner.order_ended(i.OrderEnded(worker, function, done, int(event == "loaded"), 50.0))
            case "death":
                worker = list(self.state)[which]
                ways.dead.add(worker)
                for attempt in [a for a in ways.out if a.worker == worker]:
                    ways.end(attempt, i.Outcome.RESET)
            case "drain" | "ready":
                worker = list(self.state)[which]
                self.state[worker] = i.WorkerState.DRAINING if event == "drain" else i.WorkerState.READY
                self._tell(worker)
            case "leave":
                call = [c for c in self.calls if not c.settled][which]
                self.ledger.left(self.loop.unix_ms(), call.name)
                planner.abandon(call)
            case "end":
                planner.stop_by(self.loop.unix_ms() + 700.0)
            case "wait":
                await asyncio.sleep(0.6)

    async def close(self) -> None:
        """Let all time pass: what is left must be nothing."""
        await asyncio.sleep(self.scene.limit / 1000.0 + 0.2)
        self.ledger.close(self.loop.unix_ms())
        for attempt in list(self.ways.out):
            self.ways.end(attempt, i.Outcome.RESET)
        for worker, function in self.ways.orders:
            self.planner.order_ended(i.OrderEnded(worker, function, i.Outcome.TIMEOUT, 0, 1.0))
        await asyncio.sleep(1.0)
        planner, now = self.planner, self.loop.unix_ms()
        router = planner.router
        for what, figure in (
            ("open calls", len(planner.calls) + len(planner.names) + len(planner._over)),
            ("bytes of bodies", abs(planner.held_bytes)),
            ("calls open in the decisions", len(router.open) + len(router.held) + len(router.late)),
            (
                "loads in the decisions",
                abs(router.loads_out) + sum(abs(v.pending) for v in router.workers.values()),
            ),
        ):
            self.ledger.rest(now, what, figure)

    def digest(self) -> bytes:
        """The state: planner, decisions, what is out and what may still happen."""
        ways = self.ways
        parts = (self.planner.router, self.planner.calls, sorted(self.left), sorted(ways.dead), ways.orders)
        told = (self.planner.stop_at, self.loop.unix_ms(), [c.settled for c in self.calls])
        out = [(a.call.name, a.number, a.worker) for a in ways.out]
        given = [(a.call.name, a.number) for a in ways.given_up]
        return hashlib.blake2b(
            repr((list(map(plain, parts)), told, out, given)).encode(), digest_size=12
        ).digest()


_SKIP = {"timer", "serial", "takes", "out", "s", "logged", "call", "reply"}


def plain(value: Any, depth: int = 0) -> Any:
    """A value as nested tuples, alike for like states: object identities and counters are left out."""
    if depth > 12:
        return "deep"
    if isinstance(value, random.Random):
        return hash(value.getstate())
    if isinstance(value, (int, float, str, bytes, bool, type(None))):
        return round(value, 6) if isinstance(value, float) and math.isfinite(value) else value
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, dict):
        return tuple((plain(k, depth + 1), plain(v, depth + 1)) for k, v in value.items())
    if isinstance(value, (set, frozenset)):
        return tuple(sorted(map(repr, value)))
    if isinstance(value, (list, tuple, deque)):
        return tuple(plain(item, depth + 1) for item in value)
    names = [f.name for f in fields(value)] if is_dataclass(value) else list(getattr(value, "__dict__", {}))
    return tuple((name, plain(getattr(value, name), depth + 1)) for name in names if name not in _SKIP)


@dataclass(slots=True)
class Explored:
    """What exploring one scene came to."""

    scene: Scene
    states: int = 0
    paths: int = 0  # ends reached, each let run out
    wrong: tuple[str, tuple[tuple[str, int], ...]] | None = None

    def verdict(self) -> str | None:
        """What is wrong; None where nothing is."""
        if self.wrong is not None:
            return f"{self.wrong[0]} after {self.wrong[1]}"
        if self.scene.states and self.states != self.scene.states:
            return f"{self.states} states, where {self.scene.states} stood before"
        return None


Path = tuple[tuple[str, int], ...]


def step(scene: Scene, path: Path, *, close: bool = False) -> tuple[bytes, list[tuple[str, int]], str | None]:
    """Play a path: the state's digest, what may happen there, and the first breach."""
    kept: list[_Stage] = []

    async def work(loop: VirtualLoop) -> None:
        kept.append(_Stage(scene, loop))
        for event, which in path:
            await kept[0].happen(event, which)
        if close:
            await kept[0].close()

    loop = play(work)
    stage = kept[0]
    breaches = [str(breach) for breach in stage.ledger.breaches] + loop.failures
    return stage.digest(), stage.may(), breaches[0] if breaches else None


def explore(scene: Scene, most: int = 100_000, tell: Callable[[int], None] = lambda states: None) -> Explored:
    """Every state that the events of a scene can bring about, the nearest first."""
    found, seen, queue = Explored(scene), set[bytes](), deque[Path]([()])
    while queue and found.states < most and found.wrong is None:
        path = queue.popleft()
        digest, may, wrong = step(scene, path)
        if digest in seen and wrong is None:
            continue
        seen.add(digest)
        found.states += 1
        if wrong is None and (not may or len(path) % 3 == 0):  # let run out from every end, and on the way
            found.paths += 1
            wrong = step(scene, path, close=True)[2]
        if wrong is not None:
            found.wrong = (wrong, path)
        queue.extend((*path, event) for event in may)
        if found.states % 500 == 0:
            tell(found.states)
    return found


def named(name: str | None) -> Iterator[Scene]:
    """The scenes of that name, or all."""
    return (scene for scene in SCENES if name in (None, scene.name))
