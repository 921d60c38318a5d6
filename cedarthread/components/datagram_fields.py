"""Framing that the codecs of datagrams between routers share: size limit, repeated records, malformed input.

A datagram is a fixed header followed by nothing, by records of one size up to its end, or by groups, each a
group header whose last field counts the records that follow it. Readers never raise on bytes from the
network; they return a `MalformedDatagram` that says what is wrong. Writers raise `ValueError`, because a
datagram that is too long is a mistake of this program.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    import struct
    from collections.abc import Iterable, Sequence

MAX_DATAGRAM_BYTES = 256  # limit of the platform's protocol: one longer datagram voids a whole run

RecordFields = tuple[Any, ...]  # as `struct` unpacks one record


@dataclass(frozen=True, slots=True)
class MalformedDatagram:
    """A datagram that does not have the expected layout."""

    reason: str


class RecordGroup(NamedTuple):
    """A group header and the records that follow it."""

    header: RecordFields  # the last field is the number of records
    records: tuple[RecordFields, ...]


def join_datagram(fields: Iterable[bytes]) -> bytes:
    """Concatenate packed fields; `ValueError` if the datagram would be longer than may be sent."""
    data = b"".join(fields)
    if len(data) > MAX_DATAGRAM_BYTES:
        raise ValueError(f"a datagram of {len(data)} bytes may not be sent")
    return data


def check_record_count(records: Sequence[object], limit: int) -> None:
    """`ValueError` if there are more records than fit into one datagram."""
    if len(records) > limit:
        raise ValueError(f"{len(records)} entries, {limit} at most")


def max_records(offset: int, record: struct.Struct) -> int:
    """The number of records that fit behind a header of `offset` bytes."""
    return (MAX_DATAGRAM_BYTES - offset) // record.size


def read_records(
    data: bytes, offset: int, record: struct.Struct
) -> tuple[RecordFields, ...] | MalformedDatagram:
    """Read records of one size from `offset` to the end; malformed if too short, too long or cut off."""
    if not offset <= len(data) <= MAX_DATAGRAM_BYTES or (len(data) - offset) % record.size:
        return MalformedDatagram(f"{len(data)} bytes")
    return tuple(record.iter_unpack(data[offset:]))


def read_record_groups(
    data: bytes, offset: int, header: struct.Struct, record: struct.Struct
) -> list[RecordGroup] | MalformedDatagram:
    """Read groups from `offset` to the end; malformed if a group header or its records are cut off."""
    groups: list[RecordGroup] = []
    while offset < len(data):
        if offset + header.size > len(data):
            return MalformedDatagram(f"cut short at byte {offset} of {len(data)}")
        fields = header.unpack_from(data, offset)
        offset += header.size
        end = offset + fields[-1] * record.size
        if end > len(data):
            return MalformedDatagram(f"cut short at byte {offset} of {len(data)}")
        groups.append(RecordGroup(fields, tuple(record.iter_unpack(data[offset:end]))))
        offset = end
    return groups
