"""A discovery server: DNS replies (RFC 1035, RFC 2782) with the list of workers that one router is to see."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from dataclasses import dataclass
from functools import lru_cache
from typing import TYPE_CHECKING, cast

from cedarthread.protocols import dns
from cedarthread.protocols.discovery.client import SERVICE_NAME

if TYPE_CHECKING:
    import socket

HEADER_BYTES = 12
AUTHORITATIVE_ANSWER = 0x8400  # the flags QR and AA
CLASS_IN, TTL_S = 1, 1
DRAINING_PRIORITY, WEIGHT = 10, 10  # of SRV records: a worker that serves has priority 0

CurrentList = Callable[[], tuple[int, tuple["ListedWorker", ...]] | None]  # serial and workers
Deliver = Callable[[Callable[[], bytes], Callable[[bytes], None]], None]  # makes a reply; sends it


@dataclass(frozen=True, slots=True)
class ListedWorker:
    """One worker in the list."""

    name: str
    port: int
    is_draining: bool = False
    started_at_ms: float = 0.0


def _encode_name(text: str) -> bytes:
    return b"".join(bytes((len(label),)) + label.encode() for label in text.split(".")) + b"\0"


def _encode_record(name: bytes, record_type: int, data: bytes) -> bytes:
    return name + struct.pack(">HHIH", record_type, CLASS_IN, TTL_S, len(data)) + data


def encode_reply(query: bytes, serial: int, workers: tuple[ListedWorker, ...], zone: str) -> bytes:
    """The list, under a serial, in answer to a query."""
    count, records = _encode_records(serial, workers, zone)
    header = query[:2] + struct.pack(">5H", AUTHORITATIVE_ANSWER, 1, count, 0, 0)
    return header + query[HEADER_BYTES:] + records


@lru_cache(maxsize=64)  # routers ask for the same list over and over
def _encode_records(serial: int, workers: tuple[ListedWorker, ...], zone: str) -> tuple[int, bytes]:
    records: list[bytes] = []
    for worker in workers:
        target = _encode_name(f"{worker.name}.{zone}.pool.lan")
        texts = ("cell=0", "kind=std", f"started={worker.started_at_ms:.0f}")
        srv = struct.pack(">3H", DRAINING_PRIORITY if worker.is_draining else 0, WEIGHT, worker.port)
        records.append(_encode_record(_encode_name(SERVICE_NAME), dns.TYPE_SRV, srv + target))
        records.append(_encode_record(target, dns.TYPE_A, bytes((127, 0, 0, 1))))
        records.append(
            _encode_record(
                target, dns.TYPE_TXT, b"".join(bytes((len(text),)) + text.encode() for text in texts)
            )
        )
    root = _encode_name("ns.lan")
    records.append(
        _encode_record(
            _encode_name("pool.lan"), dns.TYPE_SOA, root + root + struct.pack(">5I", serial, 1, 1, 1, 1)
        )
    )
    return len(records), b"".join(records)


class FakeDiscoveryServer(asyncio.DatagramProtocol):
    """One router's discovery server.

    ``current_list`` gives what the router is to see now; None for no reply. ``deliver`` is the network: it
    gets a function that makes the reply and one that sends it, and may send late, something else, or never.
    """

    def __init__(
        self, current_list: CurrentList, zone: str, deliver: Deliver = lambda make, send: send(make())
    ) -> None:
        self.current_list, self.zone, self.deliver = current_list, zone, deliver
        self.port = 0
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, sock: socket.socket | None = None) -> None:
        """Listen on loopback, or at a given socket."""
        loop, address = asyncio.get_running_loop(), None if sock is not None else ("127.0.0.1", 0)
        await loop.create_datagram_endpoint(lambda: self, local_addr=address, sock=sock)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is up."""
        self._transport = cast("asyncio.DatagramTransport", transport)
        self.port = transport.get_extra_info("sockname")[1]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Answer a query."""
        current = self.current_list()
        if current is not None and len(data) > HEADER_BYTES:
            serial, workers = current
            self.deliver(
                lambda: encode_reply(data, serial, workers, self.zone), lambda reply: self._send(reply, addr)
            )

    def _send(self, data: bytes, addr: tuple[str, int]) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, addr)

    def stop(self) -> None:
        """Stop replying."""
        if self._transport is not None:
            self._transport.close()
