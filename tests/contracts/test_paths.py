"""Tests of the rules of ``PeerDatagramTransport`` (in ``fakes/peer_transport.py``), with each transport."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any

import pytest

from cedarthread.protocols.peers import PeerAddresses, PeerTransport
from cedarthread.testing.cluster.network import Network
from cedarthread.testing.cluster.scenario import Node, NodeKind
from cedarthread.testing.cluster.scenario_file import parse_scenario
from cedarthread.testing.fakes.peer_transport import MemoryNetwork, MemoryPeerTransport, PeerDatagramTransport

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

ROUTER_COUNT = 3
MARKER = b"all before this has been heard"
MARKER_SENDER = 3
MAX_DATAGRAM_BYTES = 256
ReceivedDatagrams = list[tuple[int, bytes]]  # with the number of the sender


class MemoryTestbed:
    """The transports of three routers over the cluster's simulated network.

    Attributes:
        router_transports: The transports of routers 0 to 2.
        extra_transports: Further transports that can send to the routers; the routers do not know the first.
        received: What each transport received, by its number.
    """

    def __init__(self, *fault_kinds: str) -> None:
        self.received: list[ReceivedDatagrams] = [[] for _ in range(5)]
        faults = [{"kind": kind, "who": "router", "to": "router", "figure": 0.3} for kind in fault_kinds]
        cluster_network = Network(parse_scenario({"fault": faults}).faults, 7)
        router = partial(Node, NodeKind.ROUTER)
        self.network = MemoryNetwork(
            ROUTER_COUNT,
            lambda now_ms, sender, receiver: cluster_network.datagram_delays_ms(
                now_ms, router(sender), router(receiver)
            ),
        )

    async def start(self) -> None:
        self.router_transports: list[PeerDatagramTransport] = [
            MemoryPeerTransport(self.network, number, partial(self.on_datagram, number))
            for number in range(ROUTER_COUNT + 1)
        ]
        self.extra_transports = [self.router_transports.pop()]

    def on_datagram(self, receiver: int, sender: int, data: bytes) -> None:
        self.received[receiver].append((sender, data))

    async def deliver_all(self) -> None:
        """Deliver every datagram that was sent."""
        self.network.deliver_all()


class UdpTestbed(MemoryTestbed):
    """The transports of three routers over UDP on loopback.

    Loopback keeps the order of datagrams to one socket, so a marker arrives after everything sent before it.
    The routers know transport 3, which sends the markers; they do not know transport 4.
    """

    async def start(self) -> None:
        self.sockets = [socket.socket(type=socket.SOCK_DGRAM) for _ in range(5)]
        for udp_socket in self.sockets:
            udp_socket.bind(("127.0.0.1", 0))
        addresses = tuple(udp_socket.getsockname() for udp_socket in self.sockets)
        transports = [
            PeerTransport(
                PeerAddresses(addresses[number], addresses[:4], None), partial(self.on_datagram, number)
            )
            for number in range(5)
        ]
        loop = asyncio.get_running_loop()
        for transport, udp_socket in zip(transports, self.sockets, strict=True):
            await loop.create_datagram_endpoint(partial(_identity, transport), sock=udp_socket)
        self.router_transports = [*transports[:ROUTER_COUNT]]
        self.extra_transports = [transports[4], transports[MARKER_SENDER]]
        self.received_event = asyncio.Event()

    def on_datagram(self, receiver: int, sender: int, data: bytes) -> None:
        super().on_datagram(receiver, sender, data)
        self.received_event.set()

    async def deliver_all(self) -> None:
        await asyncio.sleep(0)  # a socket closes in the next iteration of the event loop
        open_numbers = [number for number in range(ROUTER_COUNT) if self.sockets[number].fileno() >= 0]
        marker = (MARKER_SENDER, MARKER)
        for number in open_numbers:
            self.extra_transports[1].send(MARKER, number)
        async with asyncio.timeout(10):
            while not all(marker in self.received[number] for number in open_numbers):
                self.received_event.clear()
                await self.received_event.wait()
        for number in open_numbers:
            self.received[number].remove(marker)


def _identity(transport: PeerTransport) -> PeerTransport:
    return transport


@dataclass(frozen=True)
class TransportKind:
    """A kind of transport and its properties."""

    make: Callable[[], MemoryTestbed]
    max_arrivals: int = 1  # of one datagram
    is_ordered: bool = False
    is_reliable: bool = True  # no datagram is lost here, so a missing one is a fault of the transport


TRANSPORTS = {
    "memory": TransportKind(MemoryTestbed, is_ordered=True),
    "udp": TransportKind(UdpTestbed),
    "faults": TransportKind(partial(MemoryTestbed, "loss", "reorder"), is_reliable=False),
    "faults, doubled": TransportKind(
        partial(MemoryTestbed, "loss", "double", "reorder"), max_arrivals=2, is_reliable=False
    ),
}


def check_datagrams(kind: TransportKind, sent: ReceivedDatagrams, received: ReceivedDatagrams) -> None:
    """Check rules 1 to 3 of ``PeerDatagramTransport`` at one receiver.

    Each datagram was sent to this receiver once, and no two datagrams are equal.
    """
    arrivals = Counter(received)
    assert set(arrivals) <= set(sent)
    assert not kind.is_reliable or set(arrivals) == set(sent)
    assert max(arrivals.values()) == kind.max_arrivals, (
        "some datagram must arrive the maximum number of times, and none more often"
    )
    assert not kind.is_ordered or received == sent


async def datagrams_arrive_complete_with_their_sender(kind: TransportKind, testbed: MemoryTestbed) -> None:
    # The lengths are up to 256 bytes.
    sent = [(number % 2, bytes((number,)) * (1 + number % 16 * 17)) for number in range(60)]
    for sender, data in sent:
        testbed.router_transports[sender].send(data, 2)
    await testbed.deliver_all()
    check_datagrams(kind, sent, testbed.received[2])
    assert testbed.received[:2] == [[], []]
    assert not any(
        transport.unsent_count + transport.unknown_sender_count for transport in testbed.router_transports
    )


async def a_datagram_to_all_arrives_at_each_other_router(kind: TransportKind, testbed: MemoryTestbed) -> None:
    sent = [(1, bytes((number,))) for number in range(30)]
    for _, data in sent:
        testbed.router_transports[1].send(data, None)
    await testbed.deliver_all()
    check_datagrams(kind, sent, testbed.received[0])
    check_datagrams(kind, sent, testbed.received[2])


async def invalid_datagrams_and_unknown_senders_are_counted(
    kind: TransportKind, testbed: MemoryTestbed
) -> None:
    too_long = b"x" * (MAX_DATAGRAM_BYTES + 1)
    for data, peer in ((too_long, 1), (too_long, None), (b"x", 43), (b"x", -1)) * 10:
        testbed.router_transports[0].send(data, peer)
        testbed.extra_transports[0].send(b"x", 1)
    await testbed.deliver_all()
    assert testbed.received[:3] == [[], [], []]
    assert testbed.router_transports[0].unsent_count == 40
    min_count = 40 if kind.is_reliable else 1
    assert min_count <= testbed.router_transports[1].unknown_sender_count <= 40 * kind.max_arrivals


async def a_stopped_transport_neither_sends_nor_receives(kind: TransportKind, testbed: MemoryTestbed) -> None:
    sent = [(1, bytes((number,))) for number in range(30)]
    testbed.router_transports[1].send(b"under way", 0)
    testbed.router_transports[0].stop()
    testbed.router_transports[0].stop()
    for _, data in sent:
        for sender, receiver in ((0, 2), (1, 0), (1, 2)):
            testbed.router_transports[sender].send(data, receiver)
        await testbed.deliver_all()
    assert testbed.received[0] == []
    assert testbed.router_transports[1].unsent_count == 0
    check_datagrams(kind, sent, testbed.received[2])


RULES = [
    datagrams_arrive_complete_with_their_sender,
    a_datagram_to_all_arrives_at_each_other_router,
    invalid_datagrams_and_unknown_senders_are_counted,
    a_stopped_transport_neither_sends_nor_receives,
]


@pytest.mark.parametrize("rule", RULES, ids=lambda rule: rule.__name__)
@pytest.mark.parametrize("kind", TRANSPORTS.values(), ids=list(TRANSPORTS))
def test_the_contract_holds(
    kind: TransportKind, rule: Callable[[TransportKind, MemoryTestbed], Coroutine[Any, Any, None]]
) -> None:
    async def scenario() -> None:
        testbed = kind.make()
        await testbed.start()
        try:
            await rule(kind, testbed)
        finally:
            for transport in testbed.router_transports + testbed.extra_transports:
                transport.stop()
            await asyncio.sleep(0)

    asyncio.run(scenario())
