"""Checksums over the rows and the head of a store file, for what SQLite itself does not check.

A row's checksum is over its key, generation and value, so that no value passes under another key. The
head's is over the sum of all rows' checksums, so that no row can be missing, or be of an earlier commit,
unnoticed.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

CHECKSUM_BYTES = 16
CHECKSUM_MODULUS = 1 << 8 * CHECKSUM_BYTES
"""Rows' checksums are added modulo this: a sum does not depend on the order of the rows."""


def row_checksum(key: str, generation: int, value: bytes) -> bytes:
    """The checksum of one row."""
    name = key.encode()
    return blake2b(b"%d %d " % (generation, len(name)) + name + value, digest_size=CHECKSUM_BYTES).digest()


def head_checksum(generation: int, total: bytes) -> bytes:
    """The checksum of the head; ``total``: that of all rows."""
    return blake2b(b"head %d " % generation + total, digest_size=CHECKSUM_BYTES).digest()


def total_checksum(row_checksums: Iterable[bytes]) -> bytes:
    """The checksum of all rows."""
    total = sum(int.from_bytes(checksum) for checksum in row_checksums)
    return (total % CHECKSUM_MODULUS).to_bytes(CHECKSUM_BYTES)


class VerifiedRows(NamedTuple):
    """Those of some rows whose checksums are right."""

    values: dict[str, bytes]
    row_checksums: dict[str, bytes]
    max_generation: int
    rejected_count: int


def verify_rows(rows: Sequence[tuple[Any, ...]]) -> VerifiedRows:
    """Check rows as they were read: key, generation, value and checksum, each of any type."""
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
    """Whether a head as it was read has the right types and checksum."""
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
