"""Checksums of the rows and the head of a database file, because SQLite does not detect flipped bits.

A row's checksum covers its key, generation and value, so that a value under a wrong key is detected. The
head's checksum covers the sum of all rows' checksums, so that a missing row, or a row of an earlier commit,
is detected.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

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


class VerifiedRows(NamedTuple):
    """The rows with valid checksums, and the number of rows that were rejected."""

    values: dict[str, bytes]
    row_checksums: dict[str, bytes]
    max_generation: int
    rejected_count: int


def verify_rows(rows: Sequence[tuple[Any, ...]]) -> VerifiedRows:
    """Separate the rows with valid checksums from the others.

    Args:
        rows: key, generation, value and checksum of each row. A corrupted file may return any type for each.
    """
    values: dict[str, bytes] = {}
    row_checksums: dict[str, bytes] = {}
    max_generation = rejected_count = 0
    for raw_key, generation, value, checksum in rows:
        key = _decode_key(raw_key)
        is_typed = isinstance(generation, int) and isinstance(value, bytes)
        if (
            key is not None
            and is_typed
            and checksum == row_checksum(key, generation, value)
            and key not in values
        ):
            values[key] = value
            row_checksums[key] = checksum
            max_generation = max(max_generation, generation)
        else:
            rejected_count += 1
    return VerifiedRows(values, row_checksums, max_generation, rejected_count)


def is_valid_head(generation: Any, total: Any, checksum: Any) -> bool:
    """Return whether a head that was read from a file has the right types and a valid checksum."""
    return (
        isinstance(generation, int)
        and isinstance(total, bytes)
        and bool(checksum == head_checksum(generation, total))
    )


def _decode_key(raw_key: Any) -> str | None:
    try:
        return raw_key.decode() if isinstance(raw_key, bytes) else None
    except UnicodeDecodeError:
        return None
