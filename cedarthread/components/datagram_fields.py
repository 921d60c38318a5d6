"""Framing shared by the codecs of datagrams between routers: size limit, repeated records, malformed input.

A datagram is a fixed header, optionally followed by fixed-size records or by groups up to the end of the
datagram. A group is a group header and records; the last field of the group header is the number of records.
Readers never raise because of bytes from the network, but return a ``MalformedDatagram`` with the reason.
Writers raise ``ValueError``, because a datagram that is too long is a bug in this program.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    import struct
    from collections.abc import Iterable, Sequence

MAX_DATAGRAM_BYTES = 256  # limit of the platform, which fails the whole run if a router sends more

RecordFields = tuple[Any, ...]  # one record as unpacked by ``struct``


@dataclass(frozen=True, slots=True)
class MalformedDatagram:
    """A datagram that does not have the expected layout."""

    reason: str


class RecordGroup(NamedTuple):
    """A group header and the records that follow it."""

    header: RecordFields  # fields before the records; the last one is the number of records
    records: tuple[RecordFields, ...]


def join_datagram(fields: Iterable[bytes]) -> bytes:
    """Concatenate packed fields.

    Raises:
        ValueError: The datagram would exceed ``MAX_DATAGRAM_BYTES``.
    """
    data = b"".join(fields)
    if len(data) > MAX_DATAGRAM_BYTES:
        raise ValueError(f"datagram of {len(data)} bytes exceeds the size limit")
    return data


def check_record_count(records: Sequence[object], limit: int) -> None:
    """Check that the records fit into one datagram.

    Raises:
        ValueError: There are more than ``limit`` records.
    """
    if len(records) > limit:
        raise ValueError(f"too many records: {len(records)}, maximum {limit}")


def max_records(offset: int, record: struct.Struct) -> int:
    """Return the number of records that fit after a header of ``offset`` bytes."""
    return (MAX_DATAGRAM_BYTES - offset) // record.size


def read_records(
    data: bytes, offset: int, record: struct.Struct
) -> tuple[RecordFields, ...] | MalformedDatagram:
    """Read fixed-size records from ``offset`` to the end; malformed if too short, too long or truncated."""
    if not offset <= len(data) <= MAX_DATAGRAM_BYTES or (len(data) - offset) % record.size:
        return MalformedDatagram(f"invalid length: {len(data)} bytes")
    return tuple(record.iter_unpack(data[offset:]))


def read_record_groups(
    data: bytes, offset: int, header: struct.Struct, record: struct.Struct
) -> list[RecordGroup] | MalformedDatagram:
    """Read groups from ``offset`` to the end; malformed if a group header or its records are truncated."""
    groups: list[RecordGroup] = []
    while offset < len(data):
        if offset + header.size > len(data):
            return MalformedDatagram(f"truncated at byte {offset} of {len(data)}")
        fields = header.unpack_from(data, offset)
        offset += header.size
        end = offset + fields[-1] * record.size
        if end > len(data):
            return MalformedDatagram(f"truncated at byte {offset} of {len(data)}")
        groups.append(RecordGroup(fields, tuple(record.iter_unpack(data[offset:end]))))
        offset = end
    return groups
