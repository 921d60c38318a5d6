"""A fake discovery server: DNS replies (RFC 1035, RFC 2782) with the endpoint list for one router."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from dataclasses import dataclass
from functools import lru_cache
from typing import TYPE_CHECKING, NamedTuple, cast

from cedarthread.protocols import dns
from cedarthread.protocols.discovery.client import SERVICE_NAME

if TYPE_CHECKING:
    import socket

HEADER_BYTES = 12
AUTHORITATIVE_ANSWER = 0x8400  # the DNS flags QR and AA
CLASS_IN = 1
TTL_S = 1
DRAINING_PRIORITY = 10  # SRV priority of a draining worker; a ready worker has priority 0
WEIGHT = 10  # SRV weight of every worker

CurrentList = Callable[[], tuple[int, tuple["ListedWorker", ...]] | None]  # (list serial, workers) or None
Deliver = Callable[[Callable[[], bytes], Callable[[bytes], None]], None]  # (create a reply, send a reply)


@dataclass(frozen=True, slots=True)
class ListedWorker:
    """One worker in the endpoint list."""

    name: str
    port: int
    is_draining: bool = False
    started_at_ms: float = 0.0


def _encode_name(text: str) -> bytes:
    return b"".join(bytes((len(label),)) + label.encode() for label in text.split(".")) + b"\0"


def _encode_record(name: bytes, record_type: int, data: bytes) -> bytes:
    return name + struct.pack(">HHIH", record_type, CLASS_IN, TTL_S, len(data)) + data


def encode_reply(query: bytes, serial: int, workers: tuple[ListedWorker, ...], zone: str) -> bytes:
    """Return the DNS reply to a query, with this endpoint list and its serial."""
    answer = _encode_records(serial, workers, zone)
    header = query[:2] + struct.pack(">5H", AUTHORITATIVE_ANSWER, 1, answer.record_count, 0, 0)
    return header + query[HEADER_BYTES:] + answer.data


class _AnswerSection(NamedTuple):
    """The records of a reply."""

    record_count: int
    data: bytes


@lru_cache(maxsize=64)  # because routers poll the same list many times
def _encode_records(serial: int, workers: tuple[ListedWorker, ...], zone: str) -> _AnswerSection:
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
    return _AnswerSection(len(records), b"".join(records))


class FakeDiscoveryServer(asyncio.DatagramProtocol):
    """The discovery server of one router.

    Args:
        current_list: returns the serial and the workers of the list; None if the server does not reply.
        zone: DNS label of the zone, which is part of the workers' host names.
        deliver: simulates the network. It receives a function that creates the reply and one that sends a
            reply, and may delay, alter or drop the reply.
    """

    def __init__(
        self, current_list: CurrentList, zone: str, deliver: Deliver = lambda create, send: send(create())
    ) -> None:
        self.current_list = current_list
        self.zone = zone
        self.deliver = deliver
        self.port = 0
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, sock: socket.socket | None = None) -> None:
        """Listen on a new loopback socket, or on the given socket."""
        loop = asyncio.get_running_loop()
        address = None if sock is not None else ("127.0.0.1", 0)
        await loop.create_datagram_endpoint(lambda: self, local_addr=address, sock=sock)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and the port of the open socket."""
        self._transport = cast("asyncio.DatagramTransport", transport)
        self.port = transport.get_extra_info("sockname")[1]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Reply to a query."""
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
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
