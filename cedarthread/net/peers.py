"""Datagrams between routers: from ``peer_listen`` to the addresses in ``peers``, and from these alone."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from cedarthread.spread.datagram import MOST

log = logging.getLogger("cedarthread.peers")


@dataclass(frozen=True, slots=True)
class PeerAddresses:
    """Where datagrams come in, and where they go: by a router's number, or to all of them."""

    listen: tuple[str, int]
    peers: tuple[tuple[str, int], ...]
    everybody: tuple[str, int] | None


class Peers(asyncio.DatagramProtocol):
    """Passes datagrams on, with the number of the router that sent them."""

    def __init__(self, addresses: PeerAddresses, tell: Callable[[int, bytes], None]) -> None:
        self.addresses = addresses
        self.tell = tell
        self.strangers = 0  # datagrams that came from no peer's address
        self.unsent = 0  # datagrams that were too long, or to a peer that is not configured
        self._numbers = {address: number for number, address in enumerate(addresses.peers)}
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Listen; OSError where that can't be."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self.addresses.listen)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is there."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def send(self, data: bytes, peer: int | None) -> None:
        """Send to one peer, or to all: nothing is lost where there is no way, but the datagram."""
        to = self._where(peer)
        if self._transport is None or self._transport.is_closing():
            return
        if not to or len(data) > MOST:
            self.unsent += 1
            return
        for address in to:
            self._transport.sendto(data, address)

    def _where(self, peer: int | None) -> list[tuple[str, int]]:
        if peer is None:
            every = self.addresses.everybody
            return [every] if every is not None else list(self.addresses.peers)
        return [self.addresses.peers[peer]] if 0 <= peer < len(self.addresses.peers) else []

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """A datagram, perhaps late, perhaps twice."""
        number = self._numbers.get((addr[0], addr[1]))
        if number is None:
            self.strangers += 1
            return
        self.tell(number, data)

    def error_received(self, exc: Exception) -> None:
        """Nobody there: state is told again."""
        log.debug("peer not reached: %s", exc)

    def stop(self) -> None:
        """Neither tell nor hear any more."""
        if self._transport is not None:
            self._transport.close()
