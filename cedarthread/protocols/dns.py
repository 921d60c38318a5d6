"""Codec of DNS messages (RFC 1035, RFC 2782), limited to what discovery uses.

A parse error is returned as a value, never raised.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

TYPE_A = 1
TYPE_SOA = 6
TYPE_TXT = 16
TYPE_SRV = 33
CLASS_IN = 1
IPV4_BYTES = 4  # size of the data of an A record
MAX_NAME_BYTES = 255  # longest name, from RFC 1035, section 2.3.4
MAX_LABEL_BYTES = 63  # longest label, from RFC 1035, section 2.3.4
MAX_POINTERS = 16  # maximum number of pointers in one name; long chains in many records took seconds to parse
_POINTER = 0xC0  # if the two high bits of a length byte are set, the name continues at another offset
_POINTER_HIGH_BITS = 0x3F
_HEADER = struct.Struct(">6H")
_RECORD_HEADER = struct.Struct(">HHIH")
_SRV_DATA = struct.Struct(">3H")
_QUESTION_TAIL_BYTES = 4  # size of the type and class after the name of a question
_FLAG_RECURSION_DESIRED = 0x0100
_FLAG_TRUNCATED = 0x0200
_FLAG_RESPONSE = 0x8000
_RESPONSE_CODE_MASK = 0x000F


@dataclass(frozen=True, slots=True)
class SrvRecord:
    """One SRV record."""

    priority: int
    weight: int
    port: int
    target: str


@dataclass(slots=True)
class Reply:
    """The records of a reply; names are in lower case."""

    query_id: int
    serial: int | None = None  # serial of the zone, from its SOA record
    srv_records: list[SrvRecord] = field(default_factory=list)
    addresses: dict[str, str] = field(default_factory=dict)  # addresses by host name, from A records
    texts: dict[str, dict[str, str]] = field(
        default_factory=dict
    )  # key=value strings by name, from TXT records


@dataclass(frozen=True, slots=True)
class UnusableReply:
    """An unusable reply and the reason why it is unusable."""

    reason: str
    partial: Reply | None = None  # records before the error
    is_answer_complete: bool = False  # whether `partial` has the complete answer section


@dataclass(slots=True)
class _ParseProgress:
    """The progress of parsing a reply."""

    is_answer_complete: bool = False


class _MalformedError(Exception):
    pass


def encode_query(query_id: int, name: str) -> bytes:
    """Encode a query for the SRV records of a name."""
    labels = b"".join(bytes((len(label),)) + label.encode() for label in name.split("."))
    header = _HEADER.pack(query_id, _FLAG_RECURSION_DESIRED, 1, 0, 0, 0)
    return header + labels + b"\0" + struct.pack(">2H", TYPE_SRV, CLASS_IN)


def parse(data: bytes) -> Reply | UnusableReply:
    """Parse a reply; return the reason why it is unusable if it is incomplete or reports an error."""
    try:
        query_id, flags, question_count, *record_counts = _HEADER.unpack_from(data)
    except struct.error as error:
        return UnusableReply(f"malformed: {error}")
    if not flags & _FLAG_RESPONSE:
        return UnusableReply("no response")  # the message is a query
    if flags & _RESPONSE_CODE_MASK:
        return UnusableReply(f"code {flags & _RESPONSE_CODE_MASK}")
    reply = Reply(query_id)
    progress = _ParseProgress()
    try:
        _parse_sections(data, question_count, record_counts, reply, progress)
    except (_MalformedError, struct.error, IndexError, UnicodeDecodeError) as error:
        return UnusableReply(f"malformed: {error}", reply, progress.is_answer_complete)
    if flags & _FLAG_TRUNCATED:
        return UnusableReply("truncated", reply)  # workers missing in the reply are not removed
    return reply


def _parse_sections(
    data: bytes, question_count: int, record_counts: list[int], reply: Reply, progress: _ParseProgress
) -> None:
    offset = _HEADER.size
    for _ in range(question_count):
        _, offset = _parse_name(data, offset)
        offset += _QUESTION_TAIL_BYTES
    answer_count, *other_counts = record_counts
    for _ in range(answer_count):
        offset = _parse_record(data, offset, reply)
    progress.is_answer_complete = True
    for _ in range(sum(other_counts)):
        offset = _parse_record(data, offset, reply)


def _parse_name(data: bytes, offset: int) -> tuple[str, int]:
    """Parse a name; return it with the offset of its end.

    Compression pointers must point backwards, so that they cannot loop.
    """
    labels: list[str] = []
    end = -1
    lowest = offset
    pointer_count = 0
    name_bytes = 1
    while (size := data[offset]) != 0:
        if size >= _POINTER:
            target = (size & _POINTER_HIGH_BITS) << 8 | data[offset + 1]
            pointer_count += 1
            if target >= lowest or pointer_count > MAX_POINTERS:
                raise _MalformedError("a compression pointer that does not lead backwards, or too many")
            end = offset + 2 if end < 0 else end
            offset = target
            lowest = target
            continue
        name_bytes += 1 + size
        if size > MAX_LABEL_BYTES or name_bytes > MAX_NAME_BYTES:
            raise _MalformedError("an invalid label, or a name that is too long")
        labels.append(data[offset + 1 : offset + 1 + size].decode("ascii").lower())
        offset += 1 + size
    return ".".join(labels), offset + 1 if end < 0 else end


def _parse_record(data: bytes, offset: int, reply: Reply) -> int:
    """Parse one record into the reply; return the offset at which it ends."""
    name, offset = _parse_name(data, offset)
    record_type, _, _, data_bytes = _RECORD_HEADER.unpack_from(data, offset)
    offset += _RECORD_HEADER.size
    end = offset + data_bytes
    if end > len(data):
        raise _MalformedError("a record cut short")
    if record_type == TYPE_SRV:
        priority, weight, port = _SRV_DATA.unpack_from(data, offset)
        target, _ = _parse_name(data, offset + _SRV_DATA.size)
        reply.srv_records.append(SrvRecord(priority, weight, port, target))
    elif record_type == TYPE_A and data_bytes == IPV4_BYTES:
        reply.addresses[name] = ".".join(str(octet) for octet in data[offset:end])
    elif record_type == TYPE_TXT:
        reply.texts[name] = _parse_txt_data(data[offset:end])
    elif record_type == TYPE_SOA:
        _, offset = _parse_name(data, offset)
        _, offset = _parse_name(data, offset)
        (reply.serial,) = struct.unpack_from(">I", data, offset)
    return int(end)


def _parse_txt_data(data: bytes) -> dict[str, str]:
    pairs = {}
    offset = 0
    while offset < len(data):
        size = data[offset]
        key, _, value = data[offset + 1 : offset + 1 + size].decode("utf-8").partition("=")
        pairs[key] = value
        offset += 1 + size
    return pairs
