"""The fuzz target of the DNS parser, and a writer of DNS replies (RFC 1035, RFC 2782)."""

from __future__ import annotations

import math
import struct
from typing import TYPE_CHECKING

from cedarthread.protocols import dns
from cedarthread.protocols.discovery.client import SERVICE_NAME
from cedarthread.protocols.discovery.endpoint_records import endpoints_from_reply
from cedarthread.testing.fuzzing.finding import require
from cedarthread.testing.fuzzing.mutation import EDGE_STRINGS
from cedarthread.testing.fuzzing.resource_meter import Budget
from cedarthread.testing.fuzzing.target import Target

if TYPE_CHECKING:
    import random

HEADER_BYTES = 12
AUTHORITATIVE_ANSWER = 0x8400  # the DNS flags QR and AA
POINTER = 0xC000  # the two high bits of a compression pointer
MAX_POINTER_TARGET = 0x3FFF  # the other 14 bits of a compression pointer
MAX_NAME_CHARACTERS = 253
MAX_TEXT_BYTES = 255  # length of one string of a TXT record
CLASS_IN = 1
TTL_S = 5
UNKNOWN_TYPE = 99


class _ReplyWriter:
    """A writer of one reply, which compresses names that the reply already contains.

    Args:
        query_id: The ID of the answered query.
        flags: The flags of the header.
    """

    def __init__(self, query_id: int, flags: int) -> None:
        self.data = bytearray(struct.pack(">6H", query_id, flags, 0, 0, 0, 0))
        self._offset_by_name: dict[str, int] = {}

    def name(self, text: str) -> None:
        """Append a name."""
        while text:
            if text in self._offset_by_name:
                self.data.extend(struct.pack(">H", POINTER | self._offset_by_name[text]))
                return
            if len(self.data) <= MAX_POINTER_TARGET:
                self._offset_by_name[text] = len(self.data)
            label, _, text = text.partition(".")
            self.data.extend(bytes((len(label),)) + label.encode())
        self.data.append(0)

    def record(self, owner: str, record_type: int, data: bytes, target: str | None = None) -> None:
        """Append a record; ``target`` is a name that ends the record's data."""
        self.name(owner)
        self.data.extend(struct.pack(">HHIH", record_type, CLASS_IN, TTL_S, 0))
        start = len(self.data)
        self.data.extend(data)
        if target is not None:
            self.name(target)
        struct.pack_into(">H", self.data, start - 2, len(self.data) - start)


def pack_reply(reply: dns.Reply, *, flags: int = AUTHORITATIVE_ANSWER) -> bytes:
    """Return the bytes of a reply, as a server writes it."""
    writer = _ReplyWriter(reply.query_id, flags)
    for service in reply.srv_records:
        data = struct.pack(">3H", service.priority, service.weight, service.port)
        writer.record(SERVICE_NAME, dns.TYPE_SRV, data, service.target)
    for owner, address in reply.addresses.items():
        writer.record(owner, dns.TYPE_A, bytes(int(number) for number in address.split(".")))
    for owner, pairs in reply.texts.items():
        texts = [f"{key}={value}".encode()[:MAX_TEXT_BYTES] for key, value in pairs.items()]
        writer.record(owner, dns.TYPE_TXT, b"".join(bytes((len(text),)) + text for text in texts))
    count = len(reply.srv_records) + len(reply.addresses) + len(reply.texts)
    if reply.serial is not None:
        data = b"\x01n\0\x01m\0" + struct.pack(">5I", reply.serial, 1, 1, 1, 1)
        writer.record("lan", dns.TYPE_SOA, data)
    struct.pack_into(">3H", writer.data, 6, count, int(reply.serial is not None), 0)
    return bytes(writer.data)


def generate_reply(rng: random.Random, workers: int) -> dns.Reply:
    """Return a reply with this many workers, some with edge values."""
    reply = dns.Reply(rng.randrange(2**16), rng.choice((0, 1, 7, 2**31, 2**32 - 1)))
    for number in range(workers):
        target = f"s-{rng.choice((number, number, 1)):08x}.room-{rng.choice('ab')}.hosts"
        reply.srv_records.append(
            dns.SrvRecord(rng.randrange(3), rng.choice((0, 10, 65535)), rng.choice((0, 5050)), target)
        )
        reply.addresses[target] = f"10.0.0.{number % 256}"
        is_edge = rng.random() < 0.2
        reply.texts[target] = {"kind": "std", "cell": rng.choice(EDGE_STRINGS)[:80] if is_edge else "2"}
        reply.texts[target]["started"] = (
            rng.choice(EDGE_STRINGS)[:80] if is_edge else str(rng.choice((0, 1764600000000)))
        )
    return reply


def _generate_pointer_chain(rng: random.Random) -> bytes:
    """Return a reply whose names resolve through a long chain of compression pointers."""
    hops = rng.choice((3, 300, 2000))
    # The chain begins at byte 23: after the header, a root name and the head of a record.
    chain = b"".join(struct.pack(">H", POINTER | (21 + 2 * hop if hop else 12)) for hop in range(hops))
    last = struct.pack(">H", POINTER | 21 + 2 * hops)
    records = (last + struct.pack(">HHIH", UNKNOWN_TYPE, 1, 1, 0)) * rng.choice((1, 400))
    header = struct.pack(">6H", 1, AUTHORITATIVE_ANSWER, 0, 1 + len(records) // 12, 0, 0)
    return header + b"\0" + struct.pack(">HHIH", UNKNOWN_TYPE, 1, 1, len(chain)) + chain + records


class DnsTarget(Target):
    """DNS replies."""

    name = "dns"
    modules = ("cedarthread.protocols.dns",)
    line_budget = Budget(20_000, 120)

    def generate(self, rng: random.Random) -> bytes:
        """Return a reply with several workers, or one with a chain of pointers."""
        if rng.random() < 0.15:
            return _generate_pointer_chain(rng)
        data = bytearray(pack_reply(generate_reply(rng, rng.choice((0, 1, 3, 60)))))
        pointers = [
            position for position in range(HEADER_BYTES, len(data) - 1) if data[position] >= POINTER >> 8
        ]
        if pointers and rng.random() < 0.2:  # the pointer refers to itself or forwards, which DNS forbids
            position = rng.choice(pointers)
            target = min(MAX_POINTER_TARGET, position + rng.choice((0, 0, 2, 12)))
            struct.pack_into(">H", data, position, POINTER | target)
        return bytes(data)

    def check(self, data: bytes) -> None:
        """Check that ``pack_reply`` reproduces a parsed reply, and that the names in a reply are bounded."""
        reply = dns.parse(data)
        if isinstance(reply, dns.UnusableReply):
            return
        self._check_endpoints(reply)
        names = [*(service.target for service in reply.srv_records), *reply.addresses, *reply.texts]
        for name in names:
            require(len(name) <= MAX_NAME_CHARACTERS, f"a name has {len(name)} characters")
        if all(all(name.split(".")) for name in names):
            data = pack_reply(reply)
            reparsed = dns.parse(data)
            if isinstance(reparsed, dns.Reply) and len(data) <= MAX_POINTER_TARGET:
                require(
                    reparsed.srv_records == reply.srv_records,
                    "the re-encoded reply has different SRV records",
                )

    def _check_endpoints(self, reply: dns.Reply) -> None:
        records = endpoints_from_reply(reply)
        if isinstance(records, str):
            return
        for record in records:
            require(
                math.isfinite(record.started_at_ms), f"worker start time {record.started_at_ms} is not finite"
            )
        require(len({record.name for record in records}) == len(records), "a worker is listed twice")
