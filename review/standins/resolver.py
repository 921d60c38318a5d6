"""A resolver that answers as PROTOCOL describes: SRV, A, TXT and SOA records over UDP."""

from __future__ import annotations

import asyncio
import struct
from dataclasses import dataclass
from typing import cast

SERVICE = "_back._tcp.pool.lan"
HEADER_BYTES = 12
TYPE_A, TYPE_SOA, TYPE_TXT, TYPE_SRV = 1, 6, 16, 33


@dataclass
class Listed:
    """One server on the list."""

    name: str
    port: int
    zone: str = "room-a"
    host: str = "127.0.0.1"
    is_draining: bool = False
    started_ms: int = 0

    def known(self) -> dict[str, object]:
        """Return the entry for ``known`` of the configuration."""
        return {
            "name": self.name,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "type": "std",
            "group": 0,
            "status": "draining" if self.is_draining else "ready",
            "weight": 1,
            "since_ms": self.started_ms,
        }


def _name(text: str) -> bytes:
    return b"".join(bytes((len(label),)) + label.encode() for label in text.split(".")) + b"\0"


def _record(name: str, kind: int, data: bytes) -> bytes:
    return _name(name) + struct.pack(">HHIH", kind, 1, 1, len(data)) + data


class Resolver(asyncio.DatagramProtocol):
    """The resolver of one router.

    Args:
        servers: The list; ``serial`` is the number of its last event.
    """

    def __init__(self, servers: list[Listed]) -> None:
        self.servers = servers
        self.serial = 1
        self.is_silent = False
        self.port = 0
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket (called by asyncio)."""
        self._transport = cast("asyncio.DatagramTransport", transport)
        self.port = transport.get_extra_info("sockname")[1]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Answer a query with the whole list, unless the resolver is down."""
        if self.is_silent or self._transport is None or len(data) <= HEADER_BYTES:
            return
        records = []
        for server in self.servers:
            target = f"{server.name}.{server.zone}.hosts"
            srv = struct.pack(">3H", 1 if server.is_draining else 0, 10, server.port)
            texts = ("kind=std", "cell=0", f"started={server.started_ms}")
            address = bytes(int(part) for part in server.host.split("."))
            records.append(_record(SERVICE, TYPE_SRV, srv + _name(target)))
            records.append(_record(target, TYPE_A, address))
            text_data = b"".join(bytes((len(text),)) + text.encode() for text in texts)
            records.append(_record(target, TYPE_TXT, text_data))
        soa = _name("ns.lan") + _name("ns.lan") + struct.pack(">5I", self.serial, 1, 1, 1, 1)
        authority = _record("pool.lan", TYPE_SOA, soa)
        header = data[:2] + struct.pack(">5H", 0x8400, 1, len(records), 1, 0)
        self._transport.sendto(header + data[HEADER_BYTES:] + b"".join(records) + authority, addr)
