"""Datagrams between routers: from ``peer_listen`` to the addresses in ``peers``, and from these alone."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from cedarthread.gossip.codec import MAX_DATAGRAM_BYTES

log = logging.getLogger("cedarthread.peers")


@dataclass(frozen=True, slots=True)
class PeerAddresses:
    """Where datagrams come in, and where they go: by a router's number, or to all of them."""

    listen_address: tuple[str, int]
    peer_addresses: tuple[tuple[str, int], ...]
    broadcast_address: tuple[str, int] | None


class PeerTransport(asyncio.DatagramProtocol):
    """Passes datagrams on, with the number of the router that sent them."""

    def __init__(self, addresses: PeerAddresses, on_datagram: Callable[[int, bytes], None]) -> None:
        self.addresses = addresses
        self.on_datagram = on_datagram
        self.unknown_sender_count = 0  # datagrams that came from no peer's address
        self.unsent_count = 0  # datagrams that were too long, or to a peer that is not configured
        self._peer_index_by_address = {
            address: number for number, address in enumerate(addresses.peer_addresses)
        }
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Listen; OSError where that can't be."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self.addresses.listen_address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is there."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def send(self, data: bytes, peer_index: int | None) -> None:
        """Send to one peer, or to all: nothing is lost where there is no way, but the datagram."""
        to = self._destinations(peer_index)
        if self._transport is None or self._transport.is_closing():
            return
        if not to or len(data) > MAX_DATAGRAM_BYTES:
            self.unsent_count += 1
            return
        for address in to:
            self._transport.sendto(data, address)

    def _destinations(self, peer: int | None) -> list[tuple[str, int]]:
        if peer is None:
            every = self.addresses.broadcast_address
            return [every] if every is not None else list(self.addresses.peer_addresses)
        return [self.addresses.peer_addresses[peer]] if 0 <= peer < len(self.addresses.peer_addresses) else []

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """A datagram, perhaps late, perhaps twice."""
        number = self._peer_index_by_address.get((addr[0], addr[1]))
        if number is None:
            self.unknown_sender_count += 1
            return
        self.on_datagram(number, data)

    def error_received(self, exc: Exception) -> None:
        """Nobody there: state is told again."""
        log.debug("peer not reached: %s", exc)

    def stop(self) -> None:
        """Neither tell nor hear any more."""
        if self._transport is not None:
            self._transport.close()
