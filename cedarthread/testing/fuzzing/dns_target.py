"""The parser of DNS replies, and replies as a server writes them."""

from __future__ import annotations

import math
import random
import struct
from collections.abc import Sequence

from cedarthread.protocols import discovery, dns
from cedarthread.testing.fuzzing.finding import require
from cedarthread.testing.fuzzing.mutation import (
    EDGE_STRINGS,
)
from cedarthread.testing.fuzzing.resource_meter import Budget
from cedarthread.testing.fuzzing.target import Target


def pack_reply(reply: dns.Reply, names: Sequence[str] = (), *, flags: int = 0x8400) -> bytes:
    """A reply as a server writes it, names compressed where they stood before."""
    out = bytearray(struct.pack(">6H", reply.query_id, flags, 0, 0, 0, 0))
    seen: dict[str, int] = {}

    def name(text: str) -> None:
        while text:
            if text in seen:
                out.extend(struct.pack(">H", 0xC000 | seen[text]))
                return
            if len(out) < 0x4000:
                seen[text] = len(out)
            label, _, text = text.partition(".")
            out.extend(bytes((len(label),)) + label.encode())
        out.append(0)

    def record(owner: str, kind: int, data: bytes, target: str | None = None) -> None:
        name(owner)
        out.extend(struct.pack(">HHIH", kind, 1, 5, 0))
        start = len(out)
        out.extend(data)
        if target is not None:
            name(target)
        struct.pack_into(">H", out, start - 2, len(out) - start)

    for service in reply.srv_records:
        record(
            discovery.SERVICE_NAME,
            dns.TYPE_SRV,
            struct.pack(">3H", service.priority, service.weight, service.port),
            service.target,
        )
    for owner, address in reply.addresses.items():
        record(owner, dns.TYPE_A, bytes(int(part) for part in address.split(".")))
    for owner, pairs in reply.texts.items():
        texts = [f"{key}={value}".encode()[:255] for key, value in pairs.items()]
        record(owner, dns.TYPE_TXT, b"".join(bytes((len(text),)) + text for text in texts))
    records = len(reply.srv_records) + len(reply.addresses) + len(reply.texts)
    if reply.serial is not None:
        data = b"\x01n\0\x01m\0" + struct.pack(">5I", reply.serial, 1, 1, 1, 1)
        record("lan", dns.TYPE_SOA, data)
    struct.pack_into(">3H", out, 6, records, int(reply.serial is not None), 0)
    return bytes(out)


def generate_reply(rng: random.Random, workers: int) -> dns.Reply:
    """A reply with so many workers, figures odd here and there."""
    reply = dns.Reply(rng.randrange(2**16), rng.choice((0, 1, 7, 2**31, 2**32 - 1)))
    for n in range(workers):
        target = f"s-{rng.choice((n, n, 1)):08x}.room-{rng.choice('ab')}.hosts"
        reply.srv_records.append(
            dns.SrvRecord(rng.randrange(3), rng.choice((0, 10, 65535)), rng.choice((0, 5050)), target)
        )
        reply.addresses[target] = f"10.0.0.{n % 256}"
        odd = rng.random() < 0.2
        reply.texts[target] = {"kind": "std", "cell": rng.choice(EDGE_STRINGS)[:80] if odd else "2"}
        reply.texts[target]["started"] = (
            rng.choice(EDGE_STRINGS)[:80] if odd else str(rng.choice((0, 1764600000000)))
        )
    return reply


class DnsTarget(Target):
    """DNS answers."""

    name = "dns"
    modules = ("cedarthread.protocols.dns",)
    line_budget = Budget(20_000, 120)

    def generate(self, rng: random.Random) -> bytes:
        """An answer of some workers, or one made of pointers."""
        if rng.random() < 0.15:
            hops = rng.choice((3, 300, 2000))
            chain = b"".join(struct.pack(">H", 0xC000 | (21 + 2 * n if n else 12)) for n in range(hops))
            last = struct.pack(">H", 0xC000 | 21 + 2 * hops)  # the chain begins at byte 23, after a root name
            records = (last + struct.pack(">HHIH", 99, 1, 1, 0)) * rng.choice((1, 400))
            head = struct.pack(">6H", 1, 0x8400, 0, 1 + len(records) // 12, 0, 0)
            return head + b"\0" + struct.pack(">HHIH", 99, 1, 1, len(chain)) + chain + records
        data = bytearray(pack_reply(generate_reply(rng, rng.choice((0, 1, 3, 60)))))
        pointers = [at for at in range(12, len(data) - 1) if data[at] >= 0xC0]
        if pointers and rng.random() < 0.2:  # one leads to itself, or to what comes after it
            at = rng.choice(pointers)
            struct.pack_into(">H", data, at, 0xC000 | min(0x3FFF, at + rng.choice((0, 0, 2, 12))))
        return bytes(data)

    def check(self, data: bytes) -> None:
        """What it reads it reads again the same, and every name is one that DNS allows."""
        reply = dns.parse(data)
        if isinstance(reply, dns.UnusableReply):
            return
        found = discovery.endpoints_from_reply(reply)
        if not isinstance(found, str):
            for listing in found:
                require(math.isfinite(listing.started_at_ms), f"a start at {listing.started_at_ms}")
            require(len({listing.name for listing in found}) == len(found), "a worker is listed twice")
        names = [*(service.target for service in reply.srv_records), *reply.addresses, *reply.texts]
        for name in names:
            require(len(name) <= 253, f"a name of {len(name)} characters")
        if all(name.split(".") == [label for label in name.split(".") if label] for name in names):
            again = dns.parse(pack_reply(reply))
            if isinstance(again, dns.Reply) and len(pack_reply(reply)) < 0x4000:
                require(again.srv_records == reply.srv_records, "read another list from what it had read")
