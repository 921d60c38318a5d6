"""The resolver of runners: DNS replies (RFC 1035, RFC 2782) with the list that one router is to see."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from functools import lru_cache
from typing import cast

from cedarthread.protocols import dns
from cedarthread.protocols.discovery import SERVICE_NAME


@dataclass(frozen=True, slots=True)
class ListedWorker:
    """One runner in the list."""

    name: str
    port: int
    is_draining: bool = False
    started_at_ms: float = 0.0


def _name(text: str) -> bytes:
    return b"".join(bytes((len(label),)) + label.encode() for label in text.split(".")) + b"\0"


def _record(name: bytes, kind: int, data: bytes) -> bytes:
    return name + struct.pack(">HHIH", kind, 1, 1, len(data)) + data


def encode_reply(query: bytes, serial: int, runners: tuple[ListedWorker, ...], zone: str) -> bytes:
    """The whole list, under a serial, in answer to a query."""
    count, records = _records(serial, runners, zone)
    return query[:2] + struct.pack(">5H", 0x8400, 1, count, 0, 0) + query[12:] + records


@lru_cache(maxsize=64)  # routers ask for the same list again and again
def _records(serial: int, runners: tuple[ListedWorker, ...], zone: str) -> tuple[int, bytes]:
    records: list[bytes] = []
    for runner in runners:
        target = _name(f"{runner.name}.{zone}.pool.lan")
        texts = ("cell=0", "kind=std", f"started={runner.started_at_ms:.0f}")
        srv = struct.pack(">3H", 10 if runner.is_draining else 0, 10, runner.port)
        records.append(_record(_name(SERVICE_NAME), dns.TYPE_SRV, srv + target))
        records.append(_record(target, dns.TYPE_A, bytes((127, 0, 0, 1))))
        records.append(_record(target, dns.TYPE_TXT, b"".join(bytes((len(t),)) + t.encode() for t in texts)))
    root = _name("ns.lan")
    records.append(
        _record(_name("pool.lan"), dns.TYPE_SOA, root + root + struct.pack(">5I", serial, 1, 1, 1, 1))
    )
    return len(records), b"".join(records)


class FakeDiscoveryServer(asyncio.DatagramProtocol):
    """One router's resolver. ``tells`` gives what it is to see now; None for no reply. ``passes`` gets each
    question, and what is to be done with the reply where that passes, which may be late, spoilt, or never."""

    def __init__(
        self,
        tells: Callable[[], tuple[int, tuple[ListedWorker, ...]] | None],
        zone: str,
        passes: Callable[[Callable[[], bytes], Callable[[bytes], None]], None] = lambda make, give: give(
            make()
        ),
    ) -> None:
        self.current_list, self.zone, self.deliver = tells, zone, passes
        self.port = 0
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, sock: socket.socket | None = None) -> None:
        """Listen on loopback, or at a socket that is there."""
        loop, address = asyncio.get_running_loop(), None if sock is not None else ("127.0.0.1", 0)
        await loop.create_datagram_endpoint(lambda: self, local_addr=address, sock=sock)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is there."""
        self._transport = cast(asyncio.DatagramTransport, transport)
        self.port = transport.get_extra_info("sockname")[1]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """A query."""
        told = self.current_list()
        if told is not None and len(data) > 12:
            self.deliver(lambda: encode_reply(data, *told, self.zone), lambda whole: self._send(whole, addr))

    def _send(self, data: bytes, addr: tuple[str, int]) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, addr)

    def stop(self) -> None:
        """Reply no more."""
        if self._transport is not None:
            self._transport.close()
