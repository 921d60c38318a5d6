"""What becomes of bytes between two parties: pure, by the timeline of faults and a seed. Times in ms."""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence

from cedarthread.testing.cluster.scenario import PATHS, Fault

LATE = 40.0  # ms by which a reordered datagram is late at most


class Network:
    """The paths of one run."""

    def __init__(self, faults: Sequence[Fault], seed: int) -> None:
        self.rng = random.Random(seed)
        self.faults = [fault for fault in faults if fault.kind in PATHS]

    def _between(self, now: float, a: tuple[str, int], b: tuple[str, int]) -> Iterator[Fault]:
        for fault in self.faults:
            if not fault.holds(now / 1000.0) or fault.to is None:
                continue
            there = fault.who.has(*a) and fault.to.has(*b)
            back = not fault.one_way and fault.who.has(*b) and fault.to.has(*a)
            if there or back:
                yield fault

    def disturbed(self, now: float, a: tuple[str, int], b: tuple[str, int]) -> bool:
        """May bytes of a stream between the two come late now? Draws nothing: who judges changes no run."""
        kinds = {fault.kind for way in ((a, b), (b, a)) for fault in self._between(now, *way)}
        return bool(kinds & {"delay", "cut", "stall", "loss"})

    def datagram(self, now: float, a: tuple[str, int], b: tuple[str, int]) -> list[float]:
        """After how many ms a datagram arrives, once for each time: never, once, or twice."""
        delays = [0.0]
        for fault in self._between(now, a, b):
            if fault.kind in ("cut", "stall") or (fault.kind == "loss" and self.rng.random() < fault.figure):
                delays = []
            elif fault.kind == "delay":
                delays = [delay + fault.figure for delay in delays]
            elif fault.kind == "double" and self.rng.random() < fault.figure:
                delays = delays * 2
            elif fault.kind == "reorder":
                delays = [delay + self.rng.uniform(0.0, LATE) for delay in delays]
        return delays

    def stream(self, now: float, a: tuple[str, int], b: tuple[str, int]) -> float:
        """After how many ms bytes of a stream arrive: once a cut or stall is over: they are sent again."""
        wait = 0.0
        for fault in self._between(now, a, b):
            if fault.kind == "delay":
                wait += fault.figure
            elif fault.kind in ("cut", "stall"):
                wait = max(wait, 1000.0 * fault.until - now)
            elif fault.kind == "loss" and self.rng.random() < fault.figure:
                wait += 200.0  # the least time after which Linux sends a lost segment again
        return wait
