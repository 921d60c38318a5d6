"""The contract of a path between routers (``fakes/peer_transport.py``), held by each one in ``PATHS``.

Each world has the ends 0 to 2, a stranger that knows them, and a way to let all that was sent arrive.
"""

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
from cedarthread.testing.cluster.scenario import Subject, SubjectKind
from cedarthread.testing.cluster.scenario_file import parse_scenario
from cedarthread.testing.fakes.peer_transport import MemoryNetwork, MemoryPath, PeerPath

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

MARK = b"all before this has been heard"
ReceivedDatagrams = list[tuple[int, bytes]]


class MemoryWorld:
    """In memory, over the cluster harness's network with these faults, or with none."""

    def __init__(self, *kinds: str) -> None:
        self.received: list[ReceivedDatagrams] = [[] for _ in range(5)]
        faults = [{"kind": kind, "who": "router", "to": "router", "figure": 0.3} for kind in kinds]
        network = Network(parse_scenario({"fault": faults}).faults, 7)
        router = partial(Subject, SubjectKind.ROUTER)
        self.air = MemoryNetwork(
            3,
            lambda now_ms, sender, receiver: network.datagram_delays_ms(
                now_ms, router(sender), router(receiver)
            ),
        )

    async def start(self) -> None:
        self.ends: list[PeerPath] = [MemoryPath(self.air, n, partial(self.on_datagram, n)) for n in range(4)]
        self.outsiders = [self.ends.pop()]  # the stranger first

    def on_datagram(self, number: int, sender: int, data: bytes) -> None:
        self.received[number].append((sender, data))

    async def deliver_all(self) -> None:
        self.air.deliver_all()


class UdpWorld(MemoryWorld):
    """Real datagrams on loopback, which keeps the order at one socket: a mark tells that all has come."""

    async def start(self) -> None:
        sockets = [socket.socket(type=socket.SOCK_DGRAM) for _ in range(5)]
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        at = tuple(each.getsockname() for each in sockets)
        every = [
            PeerTransport(PeerAddresses(at[n], at[:4], None), partial(self.on_datagram, n)) for n in range(5)
        ]
        for end, each in zip(every, sockets, strict=True):
            await asyncio.get_running_loop().create_datagram_endpoint(partial(lambda e: e, end), sock=each)
        self.ends, self.outsiders = [*every[:3]], [every[4], every[3]]
        self.sockets, self.came = sockets, asyncio.Event()

    def on_datagram(self, number: int, sender: int, data: bytes) -> None:
        super().on_datagram(number, sender, data)
        self.came.set()

    async def deliver_all(self) -> None:
        await asyncio.sleep(0)  # a socket closes in the loop's next iteration
        alive = [n for n in range(3) if self.sockets[n].fileno() >= 0]
        for number in alive:
            self.outsiders[1].send(MARK, number)
        async with asyncio.timeout(10):
            while not all((3, MARK) in self.received[number] for number in alive):
                self.came.clear()
                await self.came.wait()
        for number in alive:
            self.received[number].remove((3, MARK))


@dataclass(frozen=True)
class PathKind:
    """A path and its properties."""

    make: Callable[[], MemoryWorld]
    times: int = 1  # that a datagram arrives at most
    ordered: bool = False
    sure: bool = True  # nothing is lost here, so that silence is a fault of the path


PATHS = {
    "memory": PathKind(MemoryWorld, ordered=True),
    "udp": PathKind(UdpWorld),
    "faults": PathKind(partial(MemoryWorld, "loss", "reorder"), sure=False),
    "faults, doubled": PathKind(partial(MemoryWorld, "loss", "double", "reorder"), times=2, sure=False),
}


def check_datagrams(kind: PathKind, sent: ReceivedDatagrams, received: ReceivedDatagrams) -> None:
    """Rules 1 to 3, from a book of what was sent to one end; each datagram there is another."""
    counts = Counter(received)
    assert set(counts) <= set(sent)
    assert not kind.sure or set(counts) == set(sent)
    assert max(counts.values()) == kind.times, "so often at most, and so often it did come"
    assert not kind.ordered or received == sent


async def whole(kind: PathKind, world: MemoryWorld) -> None:
    sent = [(n % 2, bytes((n,)) * (1 + n % 16 * 17)) for n in range(60)]  # up to 256 bytes
    for sender, data in sent:
        world.ends[sender].send(data, 2)
    await world.deliver_all()
    check_datagrams(kind, sent, world.received[2])
    assert world.received[:2] == [[], []]
    assert not any(end.unsent_count + end.unknown_sender_count for end in world.ends)


async def to_all(kind: PathKind, world: MemoryWorld) -> None:
    sent = [(1, bytes((n,))) for n in range(30)]
    for _, data in sent:
        world.ends[1].send(data, None)
    await world.deliver_all()
    check_datagrams(kind, sent, world.received[0])
    check_datagrams(kind, sent, world.received[2])


async def unheard(kind: PathKind, world: MemoryWorld) -> None:
    for data, peer in ((b"x" * 257, 1), (b"x" * 257, None), (b"x", 43), (b"x", -1)) * 10:
        world.ends[0].send(data, peer)
        world.outsiders[0].send(b"x", 1)
    await world.deliver_all()
    assert world.received[:3] == [[], [], []]
    assert world.ends[0].unsent_count == 40
    assert (40 if kind.sure else 1) <= world.ends[1].unknown_sender_count <= 40 * kind.times


async def stopped(kind: PathKind, world: MemoryWorld) -> None:
    sent = [(1, bytes((n,))) for n in range(30)]
    world.ends[1].send(b"under way", 0)
    world.ends[0].stop()
    world.ends[0].stop()
    for _, data in sent:
        for sender, to in ((0, 2), (1, 0), (1, 2)):
            world.ends[sender].send(data, to)
        await world.deliver_all()
    assert world.received[0] == []
    assert world.ends[1].unsent_count == 0
    check_datagrams(kind, sent, world.received[2])


@pytest.mark.parametrize("rule", [whole, to_all, unheard, stopped], ids=lambda rule: rule.__name__)
@pytest.mark.parametrize("kind", PATHS.values(), ids=list(PATHS))
def test_the_contract_holds(
    kind: PathKind, rule: Callable[[PathKind, MemoryWorld], Coroutine[Any, Any, None]]
) -> None:
    async def run() -> None:
        world = kind.make()
        await world.start()
        try:
            await rule(kind, world)
        finally:
            for end in world.ends + world.outsiders:
                end.stop()
            await asyncio.sleep(0)

    asyncio.run(run())
