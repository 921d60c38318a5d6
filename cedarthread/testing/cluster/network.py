"""What becomes of bytes between two parties: pure, by the timeline of faults and a seed. Times in ms."""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence

from cedarthread.testing.cluster.scenario import NETWORK_FAULTS, Fault

MAX_REORDER_DELAY_MS = 40.0  # ms by which a reordered datagram is late at most


class Network:
    """The paths of one run."""

    def __init__(self, faults: Sequence[Fault], seed: int) -> None:
        self.rng = random.Random(seed)
        self.faults = [fault for fault in faults if fault.kind in NETWORK_FAULTS]

    def _active_faults(
        self, now: float, source: tuple[str, int], destination: tuple[str, int]
    ) -> Iterator[Fault]:
        for fault in self.faults:
            if not fault.is_active(now / 1000.0) or fault.peers is None:
                continue
            there = fault.subjects.includes(*source) and fault.peers.includes(*destination)
            back = (
                not fault.is_one_way
                and fault.subjects.includes(*destination)
                and fault.peers.includes(*source)
            )
            if there or back:
                yield fault

    def is_disturbed(self, now: float, source: tuple[str, int], destination: tuple[str, int]) -> bool:
        """May bytes of a stream between the two come late now? Draws nothing: who judges changes no run."""
        kinds = {
            fault.kind
            for way in ((source, destination), (destination, source))
            for fault in self._active_faults(now, *way)
        }
        return bool(kinds & {"delay", "cut", "stall", "loss"})

    def datagram_delays_ms(
        self, now: float, source: tuple[str, int], destination: tuple[str, int]
    ) -> list[float]:
        """After how many ms a datagram arrives, once for each time: never, once, or twice."""
        delays = [0.0]
        for fault in self._active_faults(now, source, destination):
            if fault.kind in ("cut", "stall") or (fault.kind == "loss" and self.rng.random() < fault.amount):
                delays = []
            elif fault.kind == "delay":
                delays = [delay + fault.amount for delay in delays]
            elif fault.kind == "double" and self.rng.random() < fault.amount:
                delays = delays * 2
            elif fault.kind == "reorder":
                delays = [delay + self.rng.uniform(0.0, MAX_REORDER_DELAY_MS) for delay in delays]
        return delays

    def stream_delay_ms(self, now: float, source: tuple[str, int], destination: tuple[str, int]) -> float:
        """After how many ms bytes of a stream arrive: once a cut or stall is over: they are sent again."""
        wait = 0.0
        for fault in self._active_faults(now, source, destination):
            if fault.kind == "delay":
                wait += fault.amount
            elif fault.kind in ("cut", "stall"):
                wait = max(wait, 1000.0 * fault.end_s - now)
            elif fault.kind == "loss" and self.rng.random() < fault.amount:
                wait += 200.0  # the least time after which Linux sends a lost segment again
        return wait
