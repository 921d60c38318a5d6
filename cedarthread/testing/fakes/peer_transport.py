"""The contract of a path between routers, and a path in memory that keeps it: pure, its clock is its own."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Protocol

from cedarthread.gossip.codec import MAX_DATAGRAM_BYTES

OnDatagram = Callable[[int, bytes], None]  # the number of the router that sent it, and its bytes
Delays = Callable[[float, int, int], list[float]]  # now, from, to: ms till it comes, once for each time


class PeerPath(Protocol):
    """One router's end of the path to the others, who are known by number, from 0. No call raises.

    1. A datagram of 1 to 256 bytes arrives whole or not at all, with its sender's number.
    2. It arrives so many times at most as is a property of the path: once, or twice where it doubles.
    3. Order is kept only where the path says so.
    4. What is over 256 bytes, or for a number that is not known, is not sent, and counted in ``unsent``.
    5. What comes from none of the numbers is not told, and counted in ``strangers``.
    6. After ``stop`` it neither sends nor tells, also what was under way before.
    7. Nobody there is no error: what is for others goes on.
    8. None as the number means all the others; a sender may hear itself.
    """

    unknown_sender_count: int
    unsent_count: int

    def send(self, data: bytes, peer: int | None) -> None:
        """Send to one, or to all."""

    def stop(self) -> None:
        """Neither tell nor hear any more."""


class MemoryNetwork:
    """What is under way in memory. Each is told in ``run``; the clock, in ms, goes on with what is due."""

    def __init__(self, known: int, delays: Delays = lambda now, a, b: [0.0]) -> None:
        self.known_routers = range(known)  # any other end here is a stranger
        self.delays_ms = delays
        self.now_ms, self._sent_count = 0.0, 0
        self.paths: dict[int, MemoryPath] = {}
        self._in_flight: list[tuple[float, int, int, int, bytes]] = []

    def send(self, sender: int, to: int, data: bytes) -> None:
        """A datagram starts on its way; of two due at one time the first put comes first."""
        for delay in self.delays_ms(self.now_ms, sender, to):
            self._sent_count += 1
            heapq.heappush(self._in_flight, (self.now_ms + delay, self._sent_count, sender, to, data))

    def deliver_all(self) -> None:
        """Till nothing is under way."""
        while self._in_flight:
            self.now_ms, _, sender, to, data = heapq.heappop(self._in_flight)
            if (end := self.paths.get(to)) is not None and sender in self.known_routers:
                end.on_datagram(sender, data)
            elif end is not None:
                end.unknown_sender_count += 1


class MemoryPath:
    """One end of a path in memory, as ``Path`` has it."""

    def __init__(self, air: MemoryNetwork, number: int, tell: OnDatagram) -> None:
        self.network, self.number, self.on_datagram = air, number, tell
        self.unknown_sender_count = self.unsent_count = 0
        air.paths[number] = self

    def send(self, data: bytes, peer: int | None) -> None:
        """Send to one, or to all."""
        to = [n for n in self.network.known_routers if (n != self.number if peer is None else n == peer)]
        if self.number in self.network.paths and to and len(data) <= MAX_DATAGRAM_BYTES:
            for each in to:
                self.network.send(self.number, each, bytes(data))
        elif self.number in self.network.paths:
            self.unsent_count += 1

    def stop(self) -> None:
        """Neither tell nor hear any more."""
        self.network.paths.pop(self.number, None)
