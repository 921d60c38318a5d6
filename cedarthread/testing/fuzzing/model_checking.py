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
from cedarthread.testing.fuzzing.router_under_test import call_guarantees, invariant_limits
from cedarthread.testing.fuzzing.virtual_loop import VirtualLoop, run_virtual
from cedarthread.testing.invariants import AttemptRecord, InvariantChecker


@dataclass(frozen=True, slots=True)
class SmallModel:
    """A small world: its calls by class, its workers, and what may happen, each so many times."""

    name: str
    calls: tuple[int, ...]
    workers: int
    events: tuple[str, ...]  # may stand in it more than once
    expected_states: int  # that it has; another number is a finding
    preloads_on_miss: bool = False
    call_timeout_ms: float = 2000.0


MODELS = (
    SmallModel("two-calls", (0, 2), 2, ("hit", "hit", "death", "fault", "late", "wait", "wait"), 4299),
    SmallModel("confirm", (2, 2), 2, ("full", "fault", "hit", "reset", "late", "wait"), 547),
    SmallModel("keyed", (1,), 3, ("fault", "death", "hit", "wait", "drain"), 769),
    SmallModel("drain", (0, 2), 2, ("drain", "full", "hit", "ready", "wait"), 2457),
    SmallModel("end", (0, 1), 2, ("end", "hit", "fault", "leave", "wait"), 904),
    SmallModel(
        "orders", (0, 0, 0), 2, ("loaded", "unloaded", "miss", "wait", "death"), 954, preloads_on_miss=True
    ),
)


class _ScriptedTransport:
    """The way to the workers: an attempt arrives whole at once and stays until the path ends it."""

    def __init__(self, planner: Dispatcher, ledger: InvariantChecker, loop: VirtualLoop) -> None:
        self.dispatcher, self.checker, self.now_ms = planner, ledger, loop.unix_ms
        self.in_flight: dict[Attempt, AttemptRecord] = {}
        self.cancelled: list[Attempt] = []
        self.preloads: list[tuple[int, int]] = []
        self.dead_workers: set[int] = set()

    def send(self, attempt: Attempt) -> None:
        """Start an attempt."""
        if attempt.worker_id in self.dead_workers:
            return self.dispatcher.attempt_ended(
                attempt, connection_lost_result(attempt, is_unreachable=True)
            )
        attempt.progress = Progress.WRITTEN
        self.in_flight[attempt] = self.checker.on_attempt_started(
            self.now_ms(), attempt.call.call_id, attempt.worker_id
        )

    def refresh_progress(self, attempt: Attempt) -> None:
        """Nothing to look at."""

    def withdraw_unsent(self, attempt: Attempt) -> None:
        """All has left."""

    def cancel(self, attempt: Attempt) -> None:
        """Give an attempt up."""
        if (tried := self.in_flight.pop(attempt, None)) is not None:
            self.checker.on_attempt_ended(tried, True)
            self.cancelled.append(attempt)
        self.dispatcher.attempt_ended(attempt, AttemptResult(Outcome.CANCELLED))

    def end(self, attempt: Attempt, outcome: Outcome, body: bytes = b"") -> None:
        """A worker's answer, or the end of its connection."""
        proves = outcome in (Outcome.OVERLOADED, Outcome.NOT_LOADED)
        self.checker.on_attempt_ended(self.in_flight.pop(attempt), not proves)
        self.dispatcher.attempt_ended(attempt, AttemptResult(outcome, body))

    def preload(self, worker_id: int, function_id: int, instances: int) -> None:
        """An order to load."""
        self.checker.on_preload(self.now_ms(), worker_id, instances)
        self.preloads.append((worker_id, function_id))

    def unload(self, worker_id: int, function_id: int) -> None:
        """Nothing here holds copies."""

    def close_idle_connections(self, worker_id: int) -> None:
        """Nothing here is idle."""


class _ModelRun:
    """One world at the end of one path."""

    def __init__(self, scene: SmallModel, loop: VirtualLoop) -> None:
        self.model, self.loop = scene, loop
        self.raw_settings = drawn_settings.settings(preloads_on_miss=scene.preloads_on_miss)
        self.checker = InvariantChecker(invariant_limits(self.raw_settings, 0.0))
        self.dispatcher = Dispatcher(settings_from_object(self.raw_settings), 3, clock=loop.unix_ms)
        self.transport = _ScriptedTransport(self.dispatcher, self.checker, loop)
        self.dispatcher.connect_workers(self.transport)
        self.remaining_events = list(scene.events)
        self.calls: list[Call] = []
        self.list_version = 0
        self.worker_states = {n: EndpointState.READY for n in range(1, scene.workers + 1)}
        self._publish_workers(*self.worker_states)

    def _publish_workers(self, *workers: int) -> None:
        self.list_version += 1
        told = tuple(Endpoint(n, n % 2, 0, n, self.worker_states[n], None, None) for n in workers)
        for n in workers:
            self.checker.on_worker_state(self.loop.unix_ms(), n, self.worker_states[n].value, n % 2, n)
        kind = EndpointUpdateKind.CACHED if self.list_version == 1 else EndpointUpdateKind.DELTA
        self.dispatcher.endpoints_changed(EndpointUpdate(kind, self.list_version, told))

    def enabled_events(self) -> list[tuple[str, int]]:
        """What can happen next: an event, and which call, attempt or worker it is about."""
        found: list[tuple[str, int]] = []
        if len(self.calls) < len(self.model.calls):
            found.append(("call", len(self.calls)))
        for event in dict.fromkeys(self.remaining_events):
            found += [(event, n) for n in range(self._subject_count(event))]
        return found

    def _subject_count(self, event: str) -> int:
        match event:
            case "hit" | "full" | "fault" | "reset" | "miss":
                return len(self.transport.in_flight)
            case "late":
                return len(self.transport.cancelled)
            case "loaded" | "unloaded":
                return min(1, len(self.transport.preloads))
            case "leave":
                return sum(not call.is_complete for call in self.calls)
            case "death" | "drain":
                return len(self.worker_states)
        return 1

    async def apply(self, event: str, which: int) -> None:
        """One event, and all that follows from it at once."""
        if event == "call":
            self._submit_call(which)
        else:
            self.remaining_events.remove(event)
            await self._apply_event(event, which)
        for _ in range(4):
            await asyncio.sleep(0)

    def _submit_call(self, number: int) -> None:
        klass, name, now = self.model.calls[number], f"c{number}", self.loop.unix_ms()
        self.checker.on_call_submitted(
            now, name, call_guarantees(self.raw_settings, klass), now + self.model.call_timeout_ms
        )

        def reply(answer: CallResult) -> None:
            kind = (
                "served"
                if isinstance(answer, CallSucceeded)
                else "refused"
                if isinstance(answer, CallRejected)
                else "failed"
            )
            self.checker.on_answer(
                self.loop.unix_ms(), name, kind, answer.body if isinstance(answer, CallSucceeded) else b""
            )

        key = name if self.raw_settings["classes"][klass]["effect"] == "dedup" else None
        call = Call(name, klass, 7, now + 0.9 * self.model.call_timeout_ms, b"", reply, key)
        self.calls.append(call)
        self.dispatcher.submit(call)

    async def _apply_event(self, event: str, which: int) -> None:
        ways, planner = self.transport, self.dispatcher
        outcomes = {
            "full": Outcome.OVERLOADED,
            "fault": Outcome.ERROR,
            "reset": Outcome.RESET,
            "miss": Outcome.NOT_LOADED,
        }
        match event:
            case "hit":
                attempt = list(ways.in_flight)[which]
                body = f"{attempt.call.call_id}@{attempt.worker_id}".encode()
                self.checker.on_body_produced(attempt.call.call_id, body)
                ways.end(attempt, Outcome.OK, body)
            case "full" | "fault" | "reset" | "miss":
                ways.end(list(ways.in_flight)[which], outcomes[event])
            case "late":  # an answer to what was given up: it must count for nothing
                planner.attempt_ended(ways.cancelled[which], AttemptResult(Outcome.OK, b"late"))
            case "loaded" | "unloaded":
                worker, function = ways.preloads.pop(0)
                done = Outcome.OK if event == "loaded" else Outcome.OVERLOADED
                planner.preload_ended(PreloadEnded(worker, function, done, int(event == "loaded"), 50.0))
            case "death":
                worker = list(self.worker_states)[which]
                ways.dead_workers.add(worker)
                for attempt in [a for a in ways.in_flight if a.worker_id == worker]:
                    ways.end(attempt, Outcome.RESET)
            case "drain" | "ready":
                worker = list(self.worker_states)[which]
                self.worker_states[worker] = (
                    EndpointState.DRAINING if event == "drain" else EndpointState.READY
                )
                self._publish_workers(worker)
            case "leave":
                call = [c for c in self.calls if not c.is_complete][which]
                self.checker.on_call_abandoned(self.loop.unix_ms(), call.call_id)
                planner.abandon_call(call)
            case "end":
                planner.complete_all_by(self.loop.unix_ms() + 700.0)
            case "wait":
                await asyncio.sleep(0.6)

    async def run_to_end(self) -> None:
        """Let all time pass: what is left must be nothing."""
        await asyncio.sleep(self.model.call_timeout_ms / 1000.0 + 0.2)
        self.checker.check_all_answered(self.loop.unix_ms())
        for attempt in list(self.transport.in_flight):
            self.transport.end(attempt, Outcome.RESET)
        for worker, function in self.transport.preloads:
            self.dispatcher.preload_ended(PreloadEnded(worker, function, Outcome.TIMEOUT, 0, 1.0))
        await asyncio.sleep(1.0)
        planner, now = self.dispatcher, self.loop.unix_ms()
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
            self.checker.check_remaining(now, what, figure)

    def digest(self) -> bytes:
        """The state: planner, decisions, what is out and what may still happen."""
        ways = self.transport
        parts = (
            self.dispatcher.router.state,
            self.dispatcher.pending_calls,
            sorted(self.remaining_events),
            sorted(ways.dead_workers),
            ways.preloads,
        )
        told = (
            self.dispatcher.shutdown_deadline_ms,
            self.loop.unix_ms(),
            [c.is_complete for c in self.calls],
        )
        out = [(a.call.call_id, a.index, a.worker_id) for a in ways.in_flight]
        given = [(a.call.call_id, a.index) for a in ways.cancelled]
        return hashlib.blake2b(
            repr((list(map(canonical, parts)), told, out, given)).encode(), digest_size=12
        ).digest()


_SKIPPED_FIELDS = {
    "token",
    "serial",
    "actions",
    "settings",
    "logs",
    "call",
    "on_result",
    "in_flight",
}


def canonical(value: Any, depth: int = 0) -> Any:
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
        return tuple((canonical(k, depth + 1), canonical(v, depth + 1)) for k, v in value.items())
    if isinstance(value, (set, frozenset)):
        return tuple(sorted(map(repr, value)))
    if isinstance(value, (list, tuple, deque)):
        return tuple(canonical(item, depth + 1) for item in value)
    names = [f.name for f in fields(value)] if is_dataclass(value) else list(getattr(value, "__dict__", {}))
    return tuple(
        (name, canonical(getattr(value, name), depth + 1)) for name in names if name not in _SKIPPED_FIELDS
    )


@dataclass(slots=True)
class Exploration:
    """What exploring one scene came to."""

    model: SmallModel
    state_count: int = 0
    path_count: int = 0  # ends reached, each let run out
    counterexample: tuple[str, tuple[tuple[str, int], ...]] | None = None

    def verdict(self) -> str | None:
        """What is wrong; None where nothing is."""
        if self.counterexample is not None:
            return f"{self.counterexample[0]} after {self.counterexample[1]}"
        if self.model.expected_states and self.state_count != self.model.expected_states:
            return f"{self.state_count} states, where {self.model.expected_states} stood before"
        return None


Path = tuple[tuple[str, int], ...]


def run_path(
    model: SmallModel, path: Path, *, runs_to_end: bool = False
) -> tuple[bytes, list[tuple[str, int]], str | None]:
    """Play a path: the state's digest, what may happen there, and the first breach."""
    kept: list[_ModelRun] = []

    async def work(loop: VirtualLoop) -> None:
        kept.append(_ModelRun(model, loop))
        for event, which in path:
            await kept[0].apply(event, which)
        if runs_to_end:
            await kept[0].run_to_end()

    loop = run_virtual(work)
    stage = kept[0]
    breaches = [str(breach) for breach in stage.checker.violations] + loop.failures
    return stage.digest(), stage.enabled_events(), breaches[0] if breaches else None


def explore(
    model: SmallModel, max_states: int = 100_000, on_progress: Callable[[int], None] = lambda states: None
) -> Exploration:
    """Every state that the events of a scene can bring about, the nearest first."""
    found, seen, queue = Exploration(model), set[bytes](), deque[Path]([()])
    while queue and found.state_count < max_states and found.counterexample is None:
        path = queue.popleft()
        digest, may, wrong = run_path(model, path)
        if digest in seen and wrong is None:
            continue
        seen.add(digest)
        found.state_count += 1
        if wrong is None and (not may or len(path) % 3 == 0):  # let run out from every end, and on the way
            found.path_count += 1
            wrong = run_path(model, path, runs_to_end=True)[2]
        if wrong is not None:
            found.counterexample = (wrong, path)
        queue.extend((*path, event) for event in may)
        if found.state_count % 500 == 0:
            on_progress(found.state_count)
    return found


def models_named(name: str | None) -> Iterator[SmallModel]:
    """The scenes of that name, or all."""
    return (scene for scene in MODELS if name in (None, scene.name))
