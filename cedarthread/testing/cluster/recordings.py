"""What the stand-ins put down, and the figures that drills draw from it. Times in ms from the beginning."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from statistics import fmean
from typing import Any

from cedarthread.testing.cluster.scenario import Scenario
from cedarthread.testing.fakes.worker_model import WorkerCall

Fact = tuple[Any, ...]  # when in ms, its kind, and what it is about


@dataclass(frozen=True, slots=True)
class ClusterPlan:
    """What all processes of a run know. Descriptors and ports by router, or by runner."""

    scenario: Scenario
    client_process_count: int  # processes that stand for clients and all else of the routers
    router_ports: list[int]
    worker_ports: list[int]
    peer_relays: list[tuple[int, int]]  # descriptor and port
    discovery_servers: list[tuple[int, int]]


@dataclass(slots=True)
class Recording:
    """What one process saw. Times in ms."""

    facts: list[Fact] = field(default_factory=list)
    worker_calls: list[WorkerCall] = field(default_factory=list)
    lags_ms: list[float] = field(default_factory=list)  # what the process itself was late by
    connections: list[tuple[float, int]] = field(default_factory=list)  # accepted, by runner
    placements: list[tuple[float, int, int]] = field(
        default_factory=list
    )  # when, function, runner: a first copy
    discovery_queries: list[tuple[float, int]] = field(default_factory=list)  # to the resolver of a router
    peer_datagrams: list[tuple[float, int, int, int]] = field(
        default_factory=list
    )  # when, sender, first byte, length
    datagram_counts: Counter[str] = field(default_factory=Counter)  # passed and dropped

    def time_series(self) -> dict[str, list[float]]:
        """Times from the beginning, in order: loads begun at the store, first copies of functions,
        connections by runner, questions to all resolvers, datagrams between routers by their first byte."""
        found: defaultdict[str, list[float]] = defaultdict(list)
        found["loads"] = [visit.arrived_at_ms for visit in self.worker_calls if visit.remark == "spawn"]
        found["questions"] = [at for at, _ in self.discovery_queries]
        found["placements"] = [at for at, _, _ in self.placements]
        for at, runner in self.connections:
            found[f"connections:{runner}"].append(at)
        for at, _, first, _ in self.peer_datagrams:
            found[f"peers:{first:02x}"].append(at)
        return {name: sorted(at for at in times if at >= 0.0) for name, times in found.items()}


def merge_recordings(books: Iterable[Recording]) -> Recording:
    """All in one, but for the facts, which the judge merges by time."""
    whole = Recording()
    for book in books:
        for name in ("worker_calls", "connections", "placements", "discovery_queries", "peer_datagrams"):
            getattr(whole, name).extend(getattr(book, name))
        whole.datagram_counts.update(book.datagram_counts)
    return whole


def peak_count(times: Sequence[float], window: float = 250.0) -> int:
    """The most that came within any ``window`` ms. ``times`` in order."""
    return max((n + 1 - bisect_left(times, at - window) for n, at in enumerate(times)), default=0)


def value_rates(served: Sequence[tuple[float, float]], end: float, step: float = 250.0) -> list[float]:
    """Worth a second, in windows of 1 s that begin every ``step`` ms. ``served``: when, and the worth."""
    steps = [0.0] * int(end // step)
    for at, worth in served:
        if 0.0 <= at < len(steps) * step:
            steps[int(at // step)] += worth
    wide = round(1000.0 / step)
    return [sum(steps[n : n + wide]) for n in range(len(steps) - wide + 1)]


def time_to_full_service(
    value_rates: Sequence[float],
    last_crash_s: float,
    required_share: float = 0.95,
    stable_s: float = 5.0,
    undisturbed_rate: float | None = None,
    step_s: float = 0.25,
) -> float | None:
    """Seconds from the last death (s) until ``worths``, windows of 1 s that begin every ``step`` s, stayed
    at ``share`` of before for ``stays`` s: the end of the first window of such a stretch, less the death.

    ``before``: the worth a second undisturbed; the mean of all windows that ended before the death, where
    nothing is said, which only holds where that was the first. None: it never came to that."""
    whole = [worth for n, worth in enumerate(value_rates) if n * step_s + 1.0 <= last_crash_s]
    wanted = required_share * (
        undisturbed_rate if undisturbed_rate is not None else fmean(whole) if whole else 0.0
    )
    need, run = round(stable_s / step_s), 0
    for n, worth in enumerate(value_rates):
        run = run + 1 if worth >= wanted and n * step_s >= last_crash_s else 0
        if run >= need:
            return max(0.0, (n - need + 1) * step_s + 1.0 - last_crash_s)
    return None
