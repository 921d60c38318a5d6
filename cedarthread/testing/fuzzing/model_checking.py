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

from cedarthread.dispatch.calls import (
    Attempt,
    AttemptResult,
    Call,
    CallRejected,
    CallResult,
    CallSucceeded,
    Progress,
    connection_lost_result,
)
from cedarthread.dispatch.dispatcher import Dispatcher
from cedarthread.model.endpoints import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.events import PreloadEnded
from cedarthread.model.outcomes import Outcome
from cedarthread.settings_parser import settings_from_object
from cedarthread.testing.fuzzing import settings as drawn_settings
from cedarthread.testing.fuzzing.call_machine import figures, terms
from cedarthread.testing.fuzzing.virtual_loop import VirtualLoop, play
from cedarthread.testing.invariants import Ledger, Tried


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

    def __init__(self, planner: Dispatcher, ledger: Ledger, loop: VirtualLoop) -> None:
        self.planner, self.ledger, self.now = planner, ledger, loop.unix_ms
        self.out: dict[Attempt, Tried] = {}
        self.given_up: list[Attempt] = []
        self.orders: list[tuple[int, int]] = []
        self.dead: set[int] = set()

    def send(self, attempt: Attempt) -> None:
        """Start an attempt."""
        if attempt.worker_id in self.dead:
            return self.planner.attempt_ended(attempt, connection_lost_result(attempt, is_unreachable=True))
        attempt.progress = Progress.WRITTEN
        self.out[attempt] = self.ledger.out(self.now(), attempt.call.call_id, attempt.worker_id)

    def refresh_progress(self, attempt: Attempt) -> None:
        """Nothing to look at."""

    def withdraw_unsent(self, attempt: Attempt) -> None:
        """All has left."""

    def cancel(self, attempt: Attempt) -> None:
        """Give an attempt up."""
        if (tried := self.out.pop(attempt, None)) is not None:
            self.ledger.ended(tried, True)
            self.given_up.append(attempt)
        self.planner.attempt_ended(attempt, AttemptResult(Outcome.CANCELLED))

    def end(self, attempt: Attempt, outcome: Outcome, body: bytes = b"") -> None:
        """A worker's answer, or the end of its connection."""
        proves = outcome in (Outcome.OVERLOADED, Outcome.NOT_LOADED)
        self.ledger.ended(self.out.pop(attempt), not proves)
        self.planner.attempt_ended(attempt, AttemptResult(outcome, body))

    def preload(self, worker_id: int, function_id: int, instances: int) -> None:
        """An order to load."""
        self.ledger.ordered(self.now(), worker_id, instances)
        self.orders.append((worker_id, function_id))

    def unload(self, worker_id: int, function_id: int) -> None:
        """Nothing here holds copies."""

    def close_idle_connections(self, worker_id: int) -> None:
        """Nothing here is idle."""


class _Stage:
    """One world at the end of one path."""

    def __init__(self, scene: Scene, loop: VirtualLoop) -> None:
        self.scene, self.loop = scene, loop
        self.top = drawn_settings.settings(miss=scene.miss)
        self.ledger = Ledger(figures(self.top, 0.0))
        self.planner = Dispatcher(settings_from_object(self.top), 3, clock=loop.unix_ms)
        self.ways = _Ways(self.planner, self.ledger, loop)
        self.planner.connect_workers(self.ways)
        self.left = list(scene.events)
        self.calls: list[Call] = []
        self.version = 0
        self.state = {n: EndpointState.READY for n in range(1, scene.workers + 1)}
        self._tell(*self.state)

    def _tell(self, *workers: int) -> None:
        self.version += 1
        told = tuple(Endpoint(n, n % 2, 0, n, self.state[n], None, None) for n in workers)
        for n in workers:
            self.ledger.told(self.loop.unix_ms(), n, self.state[n].value, n % 2, n)
        kind = EndpointUpdateKind.CACHED if self.version == 1 else EndpointUpdateKind.DELTA
        self.planner.endpoints_changed(EndpointUpdate(kind, self.version, told))

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
                return sum(not call.is_complete for call in self.calls)
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

        def reply(answer: CallResult) -> None:
            kind = (
                "served"
                if isinstance(answer, CallSucceeded)
                else "refused"
                if isinstance(answer, CallRejected)
                else "failed"
            )
            self.ledger.answered(
                self.loop.unix_ms(), name, kind, answer.body if isinstance(answer, CallSucceeded) else b""
            )

        key = name if self.top["classes"][klass]["effect"] == "dedup" else None
        call = Call(name, klass, 7, now + 0.9 * self.scene.limit, b"", reply, key)
        self.calls.append(call)
        self.planner.submit(call)

    async def _event(self, event: str, which: int) -> None:
        ways, planner = self.ways, self.planner
        outcomes = {
            "full": Outcome.OVERLOADED,
            "fault": Outcome.ERROR,
            "reset": Outcome.RESET,
            "miss": Outcome.NOT_LOADED,
        }
        match event:
            case "hit":
                attempt = list(ways.out)[which]
                body = f"{attempt.call.call_id}@{attempt.worker_id}".encode()
                self.ledger.made(attempt.call.call_id, body)
                ways.end(attempt, Outcome.OK, body)
            case "full" | "fault" | "reset" | "miss":
                ways.end(list(ways.out)[which], outcomes[event])
            case "late":  # an answer to what was given up: it must count for nothing
                planner.attempt_ended(ways.given_up[which], AttemptResult(Outcome.OK, b"late"))
            case "loaded" | "unloaded":
                worker, function = ways.orders.pop(0)
                done = Outcome.OK if event == "loaded" else Outcome.OVERLOADED
                planner.preload_ended(PreloadEnded(worker, function, done, int(event == "loaded"), 50.0))
            case "death":
                worker = list(self.state)[which]
                ways.dead.add(worker)
                for attempt in [a for a in ways.out if a.worker_id == worker]:
                    ways.end(attempt, Outcome.RESET)
            case "drain" | "ready":
                worker = list(self.state)[which]
                self.state[worker] = EndpointState.DRAINING if event == "drain" else EndpointState.READY
                self._tell(worker)
            case "leave":
                call = [c for c in self.calls if not c.is_complete][which]
                self.ledger.left(self.loop.unix_ms(), call.call_id)
                planner.abandon_call(call)
            case "end":
                planner.complete_all_by(self.loop.unix_ms() + 700.0)
            case "wait":
                await asyncio.sleep(0.6)

    async def close(self) -> None:
        """Let all time pass: what is left must be nothing."""
        await asyncio.sleep(self.scene.limit / 1000.0 + 0.2)
        self.ledger.close(self.loop.unix_ms())
        for attempt in list(self.ways.out):
            self.ways.end(attempt, Outcome.RESET)
        for worker, function in self.ways.orders:
            self.planner.preload_ended(PreloadEnded(worker, function, Outcome.TIMEOUT, 0, 1.0))
        await asyncio.sleep(1.0)
        planner, now = self.planner, self.loop.unix_ms()
        router = planner.router
        for what, figure in (
            (
                "open calls",
                len(planner.pending_calls) + len(planner.calls.pending_ids) + len(planner.calls.completing),
            ),
            ("bytes of bodies", abs(planner.calls.pending_body_bytes)),
            (
                "calls open in the decisions",
                len(router.pending_requests) + len(router.queued_requests) + len(router.orphaned_attempts),
            ),
            (
                "loads in the decisions",
                abs(router.state.functions.preloads_in_flight)
                + sum(abs(v.in_flight) for v in router.workers.values()),
            ),
        ):
            self.ledger.rest(now, what, figure)

    def digest(self) -> bytes:
        """The state: planner, decisions, what is out and what may still happen."""
        ways = self.ways
        parts = (
            self.planner.router.state,
            self.planner.pending_calls,
            sorted(self.left),
            sorted(ways.dead),
            ways.orders,
        )
        told = (self.planner.shutdown_deadline_ms, self.loop.unix_ms(), [c.is_complete for c in self.calls])
        out = [(a.call.call_id, a.index, a.worker_id) for a in ways.out]
        given = [(a.call.call_id, a.index) for a in ways.given_up]
        return hashlib.blake2b(
            repr((list(map(plain, parts)), told, out, given)).encode(), digest_size=12
        ).digest()


_SKIP = {
    "token",
    "serial",
    "actions",
    "settings",
    "logs",
    "call",
    "on_result",
    "in_flight",
}


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
