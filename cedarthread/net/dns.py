"""DNS messages (RFC 1035, RFC 2782), what the roster needs. A parse ends in a value, never an exception."""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

A, SOA, TXT, SRV = 1, 6, 16, 33
_HEADER = struct.Struct(">6H")
_RECORD = struct.Struct(">HHIH")
_SRV = struct.Struct(">3H")
LONGEST = 255  # bytes of a name, as RFC 1035 has it
HOPS = 16  # pointers in one name: a chain of them, followed from each record, took seconds
_TRUNCATED, _RESPONSE, _CODE = 0x0200, 0x8000, 0x000F


@dataclass(frozen=True, slots=True)
class Service:
    """One SRV record."""

    priority: int
    weight: int
    port: int
    target: str


@dataclass(slots=True)
class Reply:
    """What a reply holds."""

    number: int
    serial: int | None = None
    services: list[Service] = field(default_factory=list)
    addresses: dict[str, str] = field(default_factory=dict)
    texts: dict[str, dict[str, str]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Unusable:
    """A reply that tells nothing."""

    why: str


class _BadError(Exception):
    pass


def query(number: int, name: str) -> bytes:
    """A query for the SRV records of a name."""
    labels = b"".join(bytes((len(label),)) + label.encode() for label in name.split("."))
    return _HEADER.pack(number, 0x0100, 1, 0, 0, 0) + labels + b"\0" + struct.pack(">2H", SRV, 1)


def parse(data: bytes) -> Reply | Unusable:
    """The reply, if it is whole and says yes."""
    try:
        return _parse(data)
    except (_BadError, struct.error, IndexError, UnicodeDecodeError) as error:
        return Unusable(f"malformed: {error}")


def _parse(data: bytes) -> Reply | Unusable:
    number, flags, questions, *counts = _HEADER.unpack_from(data)
    if not flags & _RESPONSE:
        return Unusable("no response")
    if flags & _TRUNCATED:
        return Unusable("truncated")  # what it lacks is not gone
    if flags & _CODE:
        return Unusable(f"code {flags & _CODE}")
    reply, at = Reply(number), _HEADER.size
    for _ in range(questions):
        _, at = _name(data, at)
        at += 4
    for _ in range(sum(counts)):
        at = _record(data, at, reply)
    return reply


def _name(data: bytes, at: int) -> tuple[str, int]:
    """A name and where it ends. A pointer must lead backwards, so that no loop can be."""
    labels: list[str] = []
    end, least, hops, length = -1, at, 0, 1
    while (size := data[at]) != 0:
        if size >= 0xC0:
            to = (size & 0x3F) << 8 | data[at + 1]
            hops += 1
            if to >= least or hops > HOPS:
                raise _BadError("a pointer that leads forwards, or too many")
            end = at + 2 if end < 0 else end
            at = least = to
            continue
        length += 1 + size
        if size > 63 or length > LONGEST:
            raise _BadError("a bad label, or too long a name")
        labels.append(data[at + 1 : at + 1 + size].decode("ascii").lower())
        at += 1 + size
    return ".".join(labels), at + 1 if end < 0 else end


def _record(data: bytes, at: int, reply: Reply) -> int:
    name, at = _name(data, at)
    kind, _, _, size = _RECORD.unpack_from(data, at)
    at += _RECORD.size
    end = at + size
    if end > len(data):
        raise _BadError("a record cut short")
    if kind == SRV:
        priority, weight, port = _SRV.unpack_from(data, at)
        reply.services.append(Service(priority, weight, port, _name(data, at + _SRV.size)[0]))
    elif kind == A and size == 4:
        reply.addresses[name] = ".".join(str(part) for part in data[at:end])
    elif kind == TXT:
        reply.texts[name] = _texts(data[at:end])
    elif kind == SOA:
        _, at = _name(data, at)
        _, at = _name(data, at)
        (reply.serial,) = struct.unpack_from(">I", data, at)
    return int(end)


def _texts(data: bytes) -> dict[str, str]:
    pairs, at = {}, 0
    while at < len(data):
        size = data[at]
        key, _, value = data[at + 1 : at + 1 + size].decode("utf-8").partition("=")
        pairs[key] = value
        at += 1 + size
    return pairs
