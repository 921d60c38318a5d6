"""DNS messages (RFC 1035, RFC 2782), what the roster needs. A parse ends in a value, never an exception."""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

TYPE_A, TYPE_SOA, TYPE_TXT, TYPE_SRV = 1, 6, 16, 33
_HEADER = struct.Struct(">6H")
_RECORD_HEADER = struct.Struct(">HHIH")
_SRV_DATA = struct.Struct(">3H")
MAX_NAME_BYTES = 255  # bytes of a name, as RFC 1035 has it
MAX_POINTERS = 16  # pointers in one name: a chain of them, followed from each record, took seconds
_FLAG_TRUNCATED, _FLAG_RESPONSE, _RESPONSE_CODE_MASK = 0x0200, 0x8000, 0x000F


@dataclass(frozen=True, slots=True)
class SrvRecord:
    """One SRV record."""

    priority: int
    weight: int
    port: int
    target: str


@dataclass(slots=True)
class Reply:
    """What a reply holds."""

    query_id: int
    serial: int | None = None
    srv_records: list[SrvRecord] = field(default_factory=list)
    addresses: dict[str, str] = field(default_factory=dict)
    texts: dict[str, dict[str, str]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class UnusableReply:
    """A reply that tells nothing."""

    reason: str


class _MalformedError(Exception):
    pass


def encode_query(query_id: int, name: str) -> bytes:
    """A query for the SRV records of a name."""
    labels = b"".join(bytes((len(label),)) + label.encode() for label in name.split("."))
    return _HEADER.pack(query_id, 0x0100, 1, 0, 0, 0) + labels + b"\0" + struct.pack(">2H", TYPE_SRV, 1)


def parse(data: bytes) -> Reply | UnusableReply:
    """The reply, if it is whole and says yes."""
    try:
        return _parse_reply(data)
    except (_MalformedError, struct.error, IndexError, UnicodeDecodeError) as error:
        return UnusableReply(f"malformed: {error}")


def _parse_reply(data: bytes) -> Reply | UnusableReply:
    number, flags, questions, *counts = _HEADER.unpack_from(data)
    if not flags & _FLAG_RESPONSE:
        return UnusableReply("no response")
    if flags & _FLAG_TRUNCATED:
        return UnusableReply("truncated")  # what it lacks is not gone
    if flags & _RESPONSE_CODE_MASK:
        return UnusableReply(f"code {flags & _RESPONSE_CODE_MASK}")
    reply, at = Reply(number), _HEADER.size
    for _ in range(questions):
        _, at = _parse_name(data, at)
        at += 4
    for _ in range(sum(counts)):
        at = _parse_record(data, at, reply)
    return reply


def _parse_name(data: bytes, at: int) -> tuple[str, int]:
    """A name and where it ends. A pointer must lead backwards, so that no loop can be."""
    labels: list[str] = []
    end, least, hops, length = -1, at, 0, 1
    while (size := data[at]) != 0:
        if size >= 0xC0:
            to = (size & 0x3F) << 8 | data[at + 1]
            hops += 1
            if to >= least or hops > MAX_POINTERS:
                raise _MalformedError("a pointer that leads forwards, or too many")
            end = at + 2 if end < 0 else end
            at = least = to
            continue
        length += 1 + size
        if size > 63 or length > MAX_NAME_BYTES:
            raise _MalformedError("a bad label, or too long a name")
        labels.append(data[at + 1 : at + 1 + size].decode("ascii").lower())
        at += 1 + size
    return ".".join(labels), at + 1 if end < 0 else end


def _parse_record(data: bytes, at: int, reply: Reply) -> int:
    name, at = _parse_name(data, at)
    kind, _, _, size = _RECORD_HEADER.unpack_from(data, at)
    at += _RECORD_HEADER.size
    end = at + size
    if end > len(data):
        raise _MalformedError("a record cut short")
    if kind == TYPE_SRV:
        priority, weight, port = _SRV_DATA.unpack_from(data, at)
        reply.srv_records.append(SrvRecord(priority, weight, port, _parse_name(data, at + _SRV_DATA.size)[0]))
    elif kind == TYPE_A and size == 4:
        reply.addresses[name] = ".".join(str(part) for part in data[at:end])
    elif kind == TYPE_TXT:
        reply.texts[name] = _parse_texts(data[at:end])
    elif kind == TYPE_SOA:
        _, at = _parse_name(data, at)
        _, at = _parse_name(data, at)
        (reply.serial,) = struct.unpack_from(">I", data, at)
    return int(end)


def _parse_texts(data: bytes) -> dict[str, str]:
    pairs, at = {}, 0
    while at < len(data):
        size = data[at]
        key, _, value = data[at + 1 : at + 1 + size].decode("utf-8").partition("=")
        pairs[key] = value
        at += 1 + size
    return pairs
