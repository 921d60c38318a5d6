"""What becomes of bytes between two parties: by the timeline of faults and a seed alone. Times are ms."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from cedarthread.testing.cluster.scenario import NETWORK_FAULTS, Fault, FaultKind, Subject

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

MAX_REORDER_DELAY_MS = 40.0
MIN_RETRANSMIT_MS = 200.0  # the least time after which Linux sends a lost TCP segment again (TCP_RTO_MIN)
STREAM_DISTURBANCES = {FaultKind.DELAY, FaultKind.PARTITION, FaultKind.STALL, FaultKind.LOSE}


class Network:
    """The paths of one run."""

    def __init__(self, faults: Sequence[Fault], seed: int) -> None:
        self.rng = random.Random(seed)
        self.faults = [fault for fault in faults if fault.kind in NETWORK_FAULTS]

    def _active_faults(self, now_ms: float, source: Subject, destination: Subject) -> Iterator[Fault]:
        for fault in self.faults:
            if not fault.is_active(now_ms / 1000.0) or fault.peers is None:
                continue
            is_forward = fault.subjects.includes(*source) and fault.peers.includes(*destination)
            is_backward = fault.subjects.includes(*destination) and fault.peers.includes(*source)
            if is_forward or (is_backward and not fault.is_one_way):
                yield fault

    def is_disturbed(self, now_ms: float, source: Subject, destination: Subject) -> bool:
        """Whether bytes of a stream between the two may come late now. Draws no random number, so that an
        evaluation changes no run.
        """
        kinds = {fault.kind for fault in self._active_faults(now_ms, source, destination)}
        kinds |= {fault.kind for fault in self._active_faults(now_ms, destination, source)}
        return bool(kinds & STREAM_DISTURBANCES)

    def datagram_delays_ms(self, now_ms: float, source: Subject, destination: Subject) -> list[float]:
        """After which delays a datagram arrives, one for each time that it does: none, one or two."""
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

    def stream_delay_ms(self, now_ms: float, source: Subject, destination: Subject) -> float:
        """After which delay bytes of a stream arrive; at the end of a partition or a stall, where there is
        one: they are sent again.
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
