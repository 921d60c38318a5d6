"""The contract of the datagram transport between routers, and an in-memory transport that fulfils it.

``MemoryNetwork`` owns the datagrams in flight and a virtual clock in ms.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import NamedTuple, Protocol

from cedarthread.components.datagram_fields import MAX_DATAGRAM_BYTES

OnDatagram = Callable[[int, bytes], None]  # sender's number and data
Delays = Callable[[float, int, int], list[float]]  # (now_ms, sender, receiver): a delay in ms per arrival


class PeerDatagramTransport(Protocol):
    """The transport of one router to the other routers, which are numbered from 0. No method raises.

    1. A datagram of 1 to 256 bytes arrives complete or not at all, with its sender's number.
    2. A datagram arrives at most once, or at most twice if the transport duplicates datagrams.
    3. Datagrams may arrive in another order than they were sent, unless the transport documents otherwise.
    4. A datagram over 256 bytes or to an unknown number is not sent, and ``unsent_count`` counts it.
    5. A datagram of an unknown sender is not delivered, and ``unknown_sender_count`` counts it.
    6. After ``stop`` the transport neither sends nor delivers anything, including datagrams in flight.
    7. A peer that is not running is not an error: datagrams to other peers are still sent.
    8. The number None addresses all other routers; a router may send a datagram to itself by its number.
    """

    unknown_sender_count: int
    unsent_count: int

    def send(self, data: bytes, peer: int | None) -> None:
        """Send a datagram to one router, or to all others."""

    def stop(self) -> None:
        """Stop sending and delivering."""


class _Datagram(NamedTuple):
    """A datagram in flight; the tuple's order is the order of arrival."""

    arrival_ms: float
    serial: int
    sender: int
    receiver: int
    data: bytes


class MemoryNetwork:
    """A network in memory; its clock advances to the arrival of each datagram that is delivered.

    Args:
        router_count: number of routers; a sender with this number or a higher one is unknown.
        delays_ms: returns the delay of each arrival of a datagram; an empty list if the datagram is lost.
    """

    def __init__(self, router_count: int, delays_ms: Delays = lambda now_ms, sender, receiver: [0.0]) -> None:
        self.known_routers = range(router_count)
        self.delays_ms = delays_ms
        self.now_ms = 0.0
        self._sent_count = 0
        self.transports: dict[int, MemoryPeerTransport] = {}
        self._in_flight: list[_Datagram] = []

    def send(self, sender: int, receiver: int, data: bytes) -> None:
        """Send a datagram; datagrams that arrive at the same time are delivered in the order of sending."""
        for delay_ms in self.delays_ms(self.now_ms, sender, receiver):
            self._sent_count += 1
            arrival_ms = self.now_ms + delay_ms
            heapq.heappush(self._in_flight, _Datagram(arrival_ms, self._sent_count, sender, receiver, data))

    def deliver_all(self) -> None:
        """Deliver datagrams until none is in flight."""
        while self._in_flight:
            self.now_ms, _, sender, receiver, data = heapq.heappop(self._in_flight)
            transport = self.transports.get(receiver)
            if transport is not None and sender in self.known_routers:
                transport.on_datagram(sender, data)
            elif transport is not None:
                transport.unknown_sender_count += 1


class MemoryPeerTransport:
    """The in-memory transport of one router, which implements ``PeerDatagramTransport``.

    Args:
        network: the network between the routers.
        number: number of this router.
        on_datagram: called with each datagram that arrives.
    """

    def __init__(self, network: MemoryNetwork, number: int, on_datagram: OnDatagram) -> None:
        self.network = network
        self.number = number
        self.on_datagram = on_datagram
        self.unknown_sender_count = 0
        self.unsent_count = 0
        network.transports[number] = self

    def send(self, data: bytes, peer: int | None) -> None:
        """Send a datagram to one router, or to all others."""
        if self.number not in self.network.transports:  # this transport was stopped
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
        """Stop sending and delivering."""
        self.network.transports.pop(self.number, None)
