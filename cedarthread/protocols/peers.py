"""Datagrams between routers, from ``peer_listen`` to ``peers``; those of unknown senders are dropped."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias, cast

from cedarthread.components.datagram_fields import MAX_DATAGRAM_BYTES
from cedarthread.logs import format_event

if TYPE_CHECKING:
    from collections.abc import Callable

log = logging.getLogger(__name__)

Address: TypeAlias = tuple[str, int]


@dataclass(frozen=True, slots=True)
class PeerAddresses:
    """The address on which datagrams are received, and the addresses of the peers by router index."""

    listen_address: Address
    peer_addresses: tuple[Address, ...]
    broadcast_address: Address | None


class PeerTransport(asyncio.DatagramProtocol):
    """The datagram socket between routers; forwards received datagrams with the index of their sender."""

    def __init__(self, addresses: PeerAddresses, on_datagram: Callable[[int, bytes], None]) -> None:
        self.addresses = addresses
        self.on_datagram = on_datagram
        self.unknown_sender_count = 0  # datagrams from addresses that are not configured as peers
        self.unsent_count = 0  # datagrams that are too long or whose destination is not a configured peer
        self._peer_index_by_address = {
            address: index for index, address in enumerate(addresses.peer_addresses)
        }
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Open the socket.

        Raises:
            OSError: The address cannot be used.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self.addresses.listen_address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the open socket (called by asyncio)."""
        self._transport = cast("asyncio.DatagramTransport", transport)

    def send(self, data: bytes, peer_index: int | None) -> None:
        """Send to one peer, or to all peers if ``peer_index`` is None; drop and count what cannot be sent."""
        destinations = self._destinations(peer_index)
        if self._transport is None or self._transport.is_closing():
            return
        if not destinations or len(data) > MAX_DATAGRAM_BYTES:
            self.unsent_count += 1
            return
        for address in destinations:
            self._transport.sendto(data, address)

    def _destinations(self, peer_index: int | None) -> list[Address]:
        peers = self.addresses.peer_addresses
        if peer_index is None:
            broadcast_address = self.addresses.broadcast_address
            return [broadcast_address] if broadcast_address is not None else list(peers)
        return [peers[peer_index]] if 0 <= peer_index < len(peers) else []

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Forward a datagram from a peer, possibly late or duplicated (called by asyncio)."""
        sender_index = self._peer_index_by_address.get((addr[0], addr[1]))
        if sender_index is None:
            self.unknown_sender_count += 1
            return
        self.on_datagram(sender_index, data)

    def error_received(self, exc: Exception) -> None:
        """Log that a peer's port is closed; gossip repeats lost datagrams (called by asyncio)."""
        if log.isEnabledFor(logging.DEBUG):
            log.debug(format_event("peer_unreachable", error=exc))

    def stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
