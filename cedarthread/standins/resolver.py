"""The resolver of runners: DNS replies (RFC 1035, RFC 2782) with the list that one router is to see."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from dataclasses import dataclass
from functools import lru_cache
from typing import cast

from cedarthread.net import dns
from cedarthread.net.resolver import NAME


@dataclass(frozen=True, slots=True)
class Listed:
    """One runner in the list."""

    name: str
    port: int
    draining: bool = False
    started: float = 0.0


def _name(text: str) -> bytes:
    return b"".join(bytes((len(label),)) + label.encode() for label in text.split(".")) + b"\0"


def _record(name: bytes, kind: int, data: bytes) -> bytes:
    return name + struct.pack(">HHIH", kind, 1, 1, len(data)) + data


def reply(query: bytes, serial: int, runners: tuple[Listed, ...], zone: str) -> bytes:
    """The whole list, under a serial, in answer to a query."""
    count, records = _records(serial, runners, zone)
    return query[:2] + struct.pack(">5H", 0x8400, 1, count, 0, 0) + query[12:] + records


@lru_cache(maxsize=64)  # routers ask for the same list again and again
def _records(serial: int, runners: tuple[Listed, ...], zone: str) -> tuple[int, bytes]:
    records: list[bytes] = []
    for runner in runners:
        target = _name(f"{runner.name}.{zone}.pool.lan")
        texts = ("cell=0", "kind=std", f"started={runner.started:.0f}")
        srv = struct.pack(">3H", 10 if runner.draining else 0, 10, runner.port)
        records.append(_record(_name(NAME), dns.SRV, srv + target))
        records.append(_record(target, dns.A, bytes((127, 0, 0, 1))))
        records.append(_record(target, dns.TXT, b"".join(bytes((len(t),)) + t.encode() for t in texts)))
    root = _name("ns.lan")
    records.append(_record(_name("pool.lan"), dns.SOA, root + root + struct.pack(">5I", serial, 1, 1, 1, 1)))
    return len(records), b"".join(records)


class ResolverServer(asyncio.DatagramProtocol):
    """One router's resolver. ``tells`` gives what it is to see now; None for no reply."""

    def __init__(self, tells: Callable[[], tuple[int, tuple[Listed, ...]] | None], zone: str) -> None:
        self.tells, self.zone = tells, zone
        self.port = 0
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Listen on loopback."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is there."""
        self._transport = cast(asyncio.DatagramTransport, transport)
        self.port = transport.get_extra_info("sockname")[1]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """A query."""
        told = self.tells()
        if told is not None and len(data) > 12 and self._transport is not None:
            self._transport.sendto(reply(data, *told, self.zone), addr)

    def stop(self) -> None:
        """Reply no more."""
        if self._transport is not None:
            self._transport.close()
