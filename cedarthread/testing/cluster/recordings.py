"""What the stand-ins put down, and the figures that drills draw from it. Times in ms from the beginning."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from statistics import fmean
from typing import Any

from cedarthread.testing.cluster.scenario import Scenario
from cedarthread.testing.fakes.worker_model import Visit

Fact = tuple[Any, ...]  # when in ms, its kind, and what it is about


@dataclass(frozen=True, slots=True)
class Plan:
    """What all processes of a run know. Descriptors and ports by router, or by runner."""

    scenario: Scenario
    parts: int  # processes that stand for clients and all else of the routers
    routers: list[int]
    runners: list[int]
    relays: list[tuple[int, int]]  # descriptor and port
    resolvers: list[tuple[int, int]]


@dataclass(slots=True)
class Book:
    """What one process saw. Times in ms."""

    facts: list[Fact] = field(default_factory=list)
    visits: list[Visit] = field(default_factory=list)
    late: list[float] = field(default_factory=list)  # what the process itself was late by
    connections: list[tuple[float, int]] = field(default_factory=list)  # accepted, by runner
    placed: list[tuple[float, int, int]] = field(default_factory=list)  # when, function, runner: a first copy
    questions: list[tuple[float, int]] = field(default_factory=list)  # to the resolver of a router
    peers: list[tuple[float, int, int, int]] = field(default_factory=list)  # when, sender, first byte, length
    datagrams: Counter[str] = field(default_factory=Counter)  # passed and dropped

    def series(self) -> dict[str, list[float]]:
        """Times from the beginning, in order: loads begun at the store, first copies of functions,
        connections by runner, questions to all resolvers, datagrams between routers by their first byte."""
        found: defaultdict[str, list[float]] = defaultdict(list)
        found["loads"] = [visit.at for visit in self.visits if visit.note == "spawn"]
        found["questions"] = [at for at, _ in self.questions]
        found["placements"] = [at for at, _, _ in self.placed]
        for at, runner in self.connections:
            found[f"connections:{runner}"].append(at)
        for at, _, first, _ in self.peers:
            found[f"peers:{first:02x}"].append(at)
        return {name: sorted(at for at in times if at >= 0.0) for name, times in found.items()}


def joined(books: Iterable[Book]) -> Book:
    """All in one, but for the facts, which the judge merges by time."""
    whole = Book()
    for book in books:
        for name in ("visits", "connections", "placed", "questions", "peers"):
            getattr(whole, name).extend(getattr(book, name))
        whole.datagrams.update(book.datagrams)
    return whole


def peak(times: Sequence[float], window: float = 250.0) -> int:
    """The most that came within any ``window`` ms. ``times`` in order."""
    return max((n + 1 - bisect_left(times, at - window) for n, at in enumerate(times)), default=0)


def worths(served: Sequence[tuple[float, float]], end: float, step: float = 250.0) -> list[float]:
    """Worth a second, in windows of 1 s that begin every ``step`` ms. ``served``: when, and the worth."""
    steps = [0.0] * int(end // step)
    for at, worth in served:
        if 0.0 <= at < len(steps) * step:
            steps[int(at // step)] += worth
    wide = round(1000.0 / step)
    return [sum(steps[n : n + wide]) for n in range(len(steps) - wide + 1)]


def time_to_full_service(
    worths: Sequence[float],
    last_death: float,
    share: float = 0.95,
    stays: float = 5.0,
    before: float | None = None,
    step: float = 0.25,
) -> float | None:
    """Seconds from the last death (s) until ``worths``, windows of 1 s that begin every ``step`` s, stayed
    at ``share`` of before for ``stays`` s: the end of the first window of such a stretch, less the death.

    ``before``: the worth a second undisturbed; the mean of all windows that ended before the death, where
    nothing is said, which only holds where that was the first. None: it never came to that."""
    whole = [worth for n, worth in enumerate(worths) if n * step + 1.0 <= last_death]
    wanted = share * (before if before is not None else fmean(whole) if whole else 0.0)
    need, run = round(stays / step), 0
    for n, worth in enumerate(worths):
        run = run + 1 if worth >= wanted and n * step >= last_death else 0
        if run >= need:
            return max(0.0, (n - need + 1) * step + 1.0 - last_death)
    return None
