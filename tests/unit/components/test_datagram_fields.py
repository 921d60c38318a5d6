"""Framing shared by the codecs of datagrams between routers."""

from __future__ import annotations

import random
import struct

import pytest

from cedarthread.components.datagram_fields import (
    MAX_DATAGRAM_BYTES,
    MalformedDatagram,
    RecordGroup,
    check_record_count,
    join_datagram,
    max_records,
    read_record_groups,
    read_records,
)

HEADER = struct.Struct("<BB")
GROUP = struct.Struct("<IB")
RECORD = struct.Struct("<HB")


def test_join_datagram_concatenates_up_to_the_size_limit() -> None:
    assert join_datagram([b"ab", b"", b"c"]) == b"abc"
    assert len(join_datagram([b"x" * 200, b"y" * 56])) == MAX_DATAGRAM_BYTES
    with pytest.raises(ValueError, match="datagram of 257 bytes exceeds the size limit"):
        join_datagram([b"x" * 200, b"y" * 57])


def test_record_count_is_limited_to_what_fits_after_the_header() -> None:
    limit = max_records(HEADER.size, RECORD)
    assert HEADER.size + limit * RECORD.size <= MAX_DATAGRAM_BYTES < HEADER.size + (limit + 1) * RECORD.size
    check_record_count([b""] * limit, limit)
    with pytest.raises(ValueError, match=f"too many records: {limit + 1}, maximum {limit}"):
        check_record_count([b""] * (limit + 1), limit)


@pytest.mark.parametrize("count", [0, 1, 84])
def test_records_read_as_they_were_written(count: int) -> None:
    records = tuple((number, number % 7) for number in range(count))
    data = HEADER.pack(1, 2) + b"".join(RECORD.pack(*record) for record in records)
    assert read_records(data, HEADER.size, RECORD) == records


@pytest.mark.parametrize(
    "size", [0, 1, 3, 4, 6, 256, 257, 260], ids=lambda size: f"{size} bytes behind or without the header"
)
def test_truncated_or_too_long_records_are_malformed(size: int) -> None:
    assert read_records(b"\x01" * size, HEADER.size, RECORD) == MalformedDatagram(
        f"invalid length: {size} bytes"
    )


def test_groups_read_as_they_were_written() -> None:
    data = HEADER.pack(1, 2) + GROUP.pack(7, 2) + RECORD.pack(1, 2) + RECORD.pack(3, 4) + GROUP.pack(8, 0)
    assert read_record_groups(data, HEADER.size, GROUP, RECORD) == [
        RecordGroup((7, 2), ((1, 2), (3, 4))),
        RecordGroup((8, 0), ()),
    ]
    assert read_record_groups(HEADER.pack(1, 2), HEADER.size, GROUP, RECORD) == []


def test_truncated_groups_are_malformed_and_the_reason_has_the_position() -> None:
    data = HEADER.pack(1, 2) + GROUP.pack(7, 2) + RECORD.pack(1, 2) + RECORD.pack(3, 4)
    assert read_record_groups(data[:-1], HEADER.size, GROUP, RECORD) == MalformedDatagram(
        "truncated at byte 7 of 12"
    )
    assert read_record_groups(data + b"\0", HEADER.size, GROUP, RECORD) == MalformedDatagram(
        "truncated at byte 13 of 14"
    )


@pytest.mark.parametrize("seed", range(4))
def test_no_input_raises(seed: int) -> None:
    rng = random.Random(seed)
    for _ in range(500):
        data = rng.randbytes(rng.randrange(300))
        read_records(data, HEADER.size, RECORD)
        read_record_groups(data, HEADER.size, GROUP, RECORD)
