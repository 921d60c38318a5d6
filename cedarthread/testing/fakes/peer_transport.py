"""The contract of a path between routers, and a path in memory that keeps it, with a clock of its own."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import NamedTuple, Protocol

from cedarthread.components.datagram_fields import MAX_DATAGRAM_BYTES

OnDatagram = Callable[[int, bytes], None]  # the number of the router that sent it, and its bytes
Delays = Callable[[float, int, int], list[float]]  # now, sender, receiver: ms, one for each arrival


class PeerPath(Protocol):
    """One router's end of the path to the others, who are known by number, from 0. No call raises.

    1. A datagram of 1 to 256 bytes arrives complete or not at all, with its sender's number.
    2. How often it may arrive is a property of the path: once, or twice where the path duplicates.
    3. Order is kept only where the path says so.
    4. What is over 256 bytes, or for an unknown number, is not sent, and counted in ``unsent_count``.
    5. What comes from an unknown sender is not delivered, and counted in ``unknown_sender_count``.
    6. After ``stop`` it neither sends nor delivers, not even what was in flight before.
    7. A peer that is not there is no error: datagrams to others go on.
    8. None as the number means all the others; a sender may receive its own datagram.
    """

    unknown_sender_count: int
    unsent_count: int

    def send(self, data: bytes, peer: int | None) -> None:
        """Send to one, or to all."""

    def stop(self) -> None:
        """Neither send nor deliver any more."""


class _Datagram(NamedTuple):
    arrival_ms: float
    serial: int
    sender: int
    receiver: int
    data: bytes


class MemoryNetwork:
    """Datagrams in flight in memory. ``deliver_all`` delivers them; the clock, in ms, goes on with each."""

    def __init__(self, router_count: int, delays_ms: Delays = lambda now_ms, sender, receiver: [0.0]) -> None:
        self.known_routers = range(router_count)  # any other sender is unknown
        self.delays_ms = delays_ms
        self.now_ms, self._sent_count = 0.0, 0
        self.paths: dict[int, MemoryPath] = {}
        self._in_flight: list[_Datagram] = []

    def send(self, sender: int, receiver: int, data: bytes) -> None:
        """Send a datagram; of two that arrive at one time, the one that was sent first comes first."""
        for delay_ms in self.delays_ms(self.now_ms, sender, receiver):
            self._sent_count += 1
            arrival_ms = self.now_ms + delay_ms
            heapq.heappush(self._in_flight, _Datagram(arrival_ms, self._sent_count, sender, receiver, data))

    def deliver_all(self) -> None:
        """Until nothing is in flight."""
        while self._in_flight:
            self.now_ms, _, sender, receiver, data = heapq.heappop(self._in_flight)
            path = self.paths.get(receiver)
            if path is not None and sender in self.known_routers:
                path.on_datagram(sender, data)
            elif path is not None:
                path.unknown_sender_count += 1


class MemoryPath:
    """One end of a path in memory: a ``PeerPath``."""

    def __init__(self, network: MemoryNetwork, number: int, on_datagram: OnDatagram) -> None:
        self.network, self.number, self.on_datagram = network, number, on_datagram
        self.unknown_sender_count = self.unsent_count = 0
        network.paths[number] = self

    def send(self, data: bytes, peer: int | None) -> None:
        """Send to one, or to all."""
        if self.number not in self.network.paths:  # it has been stopped
            return
        others = [router for router in self.network.known_routers if router != self.number]
        known = [router for router in self.network.known_routers if router == peer]
        receivers = others if peer is None else known
        if not receivers or len(data) > MAX_DATAGRAM_BYTES:
            self.unsent_count += 1
            return
        for receiver in receivers:
            self.network.send(self.number, receiver, bytes(data))

    def stop(self) -> None:
        """Neither send nor deliver any more."""
        self.network.paths.pop(self.number, None)
