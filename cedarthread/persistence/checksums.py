"""Checksums of the rows and the head of a database file, because SQLite does not detect flipped bits.

The head is one record for the whole file: the generation of the last commit, and the sum of all rows'
checksums. A generation is a number that increases with each commit.

A row's checksum covers its key, generation and value, so that a value under a wrong key is detected. The
head's checksum covers the sum of all rows' checksums, so that a missing row, or a row of an earlier commit,
is detected.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from apsw import SQLiteValue

CHECKSUM_BYTES = 16
CHECKSUM_MODULUS = 1 << 8 * CHECKSUM_BYTES
"""Modulus of the sum of all rows' checksums. A sum does not depend on the order of the rows."""


def row_checksum(key: str, generation: int, value: bytes) -> bytes:
    """Return the checksum of one row."""
    name = key.encode()
    return blake2b(b"%d %d " % (generation, len(name)) + name + value, digest_size=CHECKSUM_BYTES).digest()


def head_checksum(generation: int, total: bytes) -> bytes:
    """Return the checksum of the head.

    Args:
        generation: the generation of the last commit.
        total: the ``total_checksum`` of all rows.
    """
    return blake2b(b"head %d " % generation + total, digest_size=CHECKSUM_BYTES).digest()


def total_checksum(row_checksums: Iterable[bytes]) -> bytes:
    """Return the sum of all rows' checksums, modulo ``CHECKSUM_MODULUS``."""
    total = sum(int.from_bytes(checksum) for checksum in row_checksums)
    return (total % CHECKSUM_MODULUS).to_bytes(CHECKSUM_BYTES)


class VerifiedRow(NamedTuple):
    """A row with a valid checksum."""

    key: str
    generation: int
    value: bytes
    checksum: bytes


class VerifiedHead(NamedTuple):
    """A head with a valid checksum."""

    generation: int
    total: bytes


class VerifiedRows(NamedTuple):
    """The rows with valid checksums, and the number of rows that were rejected."""

    values: dict[str, bytes]
    row_checksums: dict[str, bytes]
    max_generation: int
    rejected_count: int


def verify_rows(rows: Sequence[Sequence[SQLiteValue]]) -> VerifiedRows:
    """Separate the rows with valid checksums from the others.

    Args:
        rows: key, generation, value and checksum of each row. A corrupted file may return any type for each.
    """
    values: dict[str, bytes] = {}
    row_checksums: dict[str, bytes] = {}
    max_generation = 0
    rejected_count = 0
    for raw_row in rows:
        row = _verify_row(raw_row)
        if row is None or row.key in values:
            rejected_count += 1
            continue
        values[row.key] = row.value
        row_checksums[row.key] = row.checksum
        max_generation = max(max_generation, row.generation)
    return VerifiedRows(values, row_checksums, max_generation, rejected_count)


def verify_head(raw_head: Sequence[SQLiteValue]) -> VerifiedHead | None:
    """Return the head, or None if a value has a wrong type or the checksum is invalid.

    Args:
        raw_head: generation, total and checksum. A corrupted file may return any type for each.
    """
    generation, total, checksum = raw_head
    if not isinstance(generation, int) or not isinstance(total, bytes):
        return None
    return VerifiedHead(generation, total) if checksum == head_checksum(generation, total) else None


def _verify_row(raw_row: Sequence[SQLiteValue]) -> VerifiedRow | None:
    raw_key, generation, value, checksum = raw_row
    key = _decode_key(raw_key)
    if key is None or not isinstance(generation, int) or not isinstance(value, bytes):
        return None
    expected_checksum = row_checksum(key, generation, value)
    if checksum != expected_checksum:
        return None
    return VerifiedRow(key, generation, value, expected_checksum)


def _decode_key(raw_key: SQLiteValue) -> str | None:
    try:
        return raw_key.decode() if isinstance(raw_key, bytes) else None
    except UnicodeDecodeError:
        return None
