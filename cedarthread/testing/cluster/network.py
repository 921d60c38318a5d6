"""Simulated network paths between two nodes, determined by the faults and a seed. Times are ms."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from cedarthread.testing.cluster.scenario import NETWORK_FAULTS, Fault, FaultKind, Node

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

MAX_REORDER_DELAY_MS = 40.0
MIN_RETRANSMIT_MS = 200.0  # Minimum time until Linux retransmits a lost TCP segment (TCP_RTO_MIN).
STREAM_DISTURBANCES = {FaultKind.DELAY, FaultKind.PARTITION, FaultKind.STALL, FaultKind.LOSE}


class Network:
    """The network paths of one run, simulated in one process; owns the random number generator.

    Args:
        faults: The faults of the scenario; kinds outside ``NETWORK_FAULTS`` are ignored.
        seed: The seed of the random numbers.
    """

    def __init__(self, faults: Sequence[Fault], seed: int) -> None:
        self.rng = random.Random(seed)
        self.faults = [fault for fault in faults if fault.kind in NETWORK_FAULTS]

    def _active_faults(self, now_ms: float, source: Node, destination: Node) -> Iterator[Fault]:
        for fault in self.faults:
            if not fault.is_active(now_ms / 1000.0) or fault.peers is None:
                continue
            is_forward = fault.targets.includes(*source) and fault.peers.includes(*destination)
            is_backward = fault.targets.includes(*destination) and fault.peers.includes(*source)
            if is_forward or (is_backward and not fault.is_one_way):
                yield fault

    def is_disturbed(self, now_ms: float, source: Node, destination: Node) -> bool:
        """Return whether bytes of a stream between two nodes may be late now.

        This draws no random number, so that the evaluation does not change the random sequence of a run.
        """
        kinds = {fault.kind for fault in self._active_faults(now_ms, source, destination)}
        kinds |= {fault.kind for fault in self._active_faults(now_ms, destination, source)}
        return bool(kinds & STREAM_DISTURBANCES)

    def datagram_delays_ms(self, now_ms: float, source: Node, destination: Node) -> list[float]:
        """Return the delay of each copy of a datagram that arrives: an empty list if the datagram is lost."""
        delays = [0.0]
        for fault in self._active_faults(now_ms, source, destination):
            if fault.kind in (FaultKind.PARTITION, FaultKind.STALL) or (
                fault.kind is FaultKind.LOSE and self.rng.random() < fault.amount
            ):
                delays = []
            elif fault.kind is FaultKind.DELAY:
                delays = [delay + fault.amount for delay in delays]
            elif fault.kind is FaultKind.DUPLICATE and self.rng.random() < fault.amount:
                delays = delays * 2
            elif fault.kind is FaultKind.REORDER:
                delays = [delay + self.rng.uniform(0.0, MAX_REORDER_DELAY_MS) for delay in delays]
        return delays

    def stream_delay_ms(self, now_ms: float, source: Node, destination: Node) -> float:
        """Return the delay of bytes on a stream.

        In a partition or a stall the bytes arrive when the fault ends, because TCP retransmits them.
        """
        delay_ms = 0.0
        for fault in self._active_faults(now_ms, source, destination):
            if fault.kind is FaultKind.DELAY:
                delay_ms += fault.amount
            elif fault.kind in (FaultKind.PARTITION, FaultKind.STALL):
                delay_ms = max(delay_ms, 1000.0 * fault.end_s - now_ms)
            elif fault.kind is FaultKind.LOSE and self.rng.random() < fault.amount:
                delay_ms += MIN_RETRANSMIT_MS
        return delay_ms
