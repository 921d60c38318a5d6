"""Relays between routers, which forward, delay, duplicate or drop datagrams as the scenario specifies."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from cedarthread.testing.cluster.plan import router_host
from cedarthread.testing.cluster.recordings import PeerDatagram
from cedarthread.testing.cluster.scenario import Node, NodeKind

if TYPE_CHECKING:
    from cedarthread.testing.cluster.process_base import FakeProcess


class _RelayProtocol(asyncio.DatagramProtocol):
    """The protocol of one router's relay, to which the other routers send instead of to the router itself."""

    def __init__(self, relays: PeerRelays, number: int) -> None:
        self.relays = relays
        self.number = number

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.relays.on_datagram(addr, self.number, data)


class PeerRelays:
    """The peer relays of one fake process.

    Args:
        process: The fake process, which has the clock, the network and the recording.
    """

    def __init__(self, process: FakeProcess) -> None:
        self.process = process
        relays = process.plan.peer_relays
        self.router_by_address = {
            (router_host(number), relay.port): number for number, relay in enumerate(relays)
        }
        # A datagram is forwarded from the socket of the sender's relay, so that its source address identifies
        # the sender. Therefore every process has the sockets of all relays.
        self.sockets = [socket.socket(fileno=relay.descriptor) for relay in relays]
        for relay_socket in self.sockets:
            relay_socket.setblocking(False)

    async def start(self, router: int) -> None:
        """Start the relay of one router."""
        await self.process.loop.create_datagram_endpoint(
            lambda: _RelayProtocol(self, router), sock=self.sockets[router].dup()
        )

    def on_datagram(self, address: tuple[str, int], receiver: int, data: bytes) -> None:
        """Record a datagram from one router to another, and forward it subject to the network faults."""
        process = self.process
        now_ms = self.process.now_ms()
        sender = self.router_by_address.get((address[0], address[1]))
        if sender is None or sender == receiver or process.is_recording_closed:
            return
        message_type = data[0] if data else 0
        process.recording.peer_datagrams.append(PeerDatagram(now_ms, sender, message_type, len(data)))
        delays_ms = process.network.datagram_delays_ms(
            now_ms, Node(NodeKind.ROUTER, sender), Node(NodeKind.ROUTER, receiver)
        )
        process.recording.datagram_counts["passed" if delays_ms else "dropped"] += max(1, len(delays_ms))
        for delay_ms in delays_ms:
            process.call_after(delay_ms, lambda: self._send(sender, receiver, data))

    def _send(self, sender: int, receiver: int, data: bytes) -> None:
        address = router_host(receiver), self.process.plan.peer_relays[receiver].port
        try:
            self.sockets[sender].sendto(data, address)
        except OSError:  # For example a full send buffer: counted as a datagram that the network lost.
            self.process.recording.datagram_counts["dropped"] += 1
