"""The keys and values in a router's store, their encoding, and their assessment after a restart.

Each record that changes independently has its own key, so that a change is one small write:

    life                the router's incarnation (``RouterIncarnation``)
    entry/<kind>/<name> one replicated entry
    warm                the warm-state snapshot, encoded by ``cedarthread.recovery``
    grants              the escrow, encoded by ``cedarthread.escrow``

Values are MessagePack arrays in one canonical encoding. A value that does not decode, is out of bounds or has
another encoding is rejected and counted. No function here reads a clock or a disk.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Annotated, NamedTuple, TypeVar

import msgspec
from msgspec import Meta

from cedarthread.components.replicated_state import Entry, EntryKind, Version

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from cedarthread.persistence.store import LoadResult

INCARNATION_KEY = "life"
ENTRY_KEY_PREFIX = "entry"
WARM_STATE_KEY = "warm"
ESCROW_KEY = "grants"
MAX_VALUE_BYTES = 65_536
"""Maximum size of an encoded incarnation or entry."""

NonNegativeInt63 = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Uint64 = Annotated[int, Meta(ge=0)]  # MessagePack has no integers of more than 64 bits
EntryName = Annotated[str, Meta(min_length=1, max_length=64)]
DigestBytes = Annotated[bytes, Meta(max_length=64)]  # big-endian; may be longer than a MessagePack integer


class _Record(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A record that is encoded as an array, in the order of its fields."""


class RouterIncarnation(_Record, frozen=True):
    """The incarnation of the router that wrote the store."""

    router_index: NonNegativeInt63
    process_incarnation: Uint64
    membership_incarnation: NonNegativeInt63
    is_voter: bool  # the router held every entry that it ever confirmed (docs/design/replication.md, 6)


class _EntryRecord(_Record, frozen=True):
    """The stored form of a replicated entry."""

    kind: EntryKind
    name: EntryName
    counter: NonNegativeInt63
    author: NonNegativeInt63
    incarnation: Uint64
    replaces_digest: DigestBytes
    body: bytes


class RecoveredImage(msgspec.Struct, frozen=True):
    """The decoded content of a store."""

    incarnation: RouterIncarnation | None = None
    entries: tuple[Entry, ...] = ()
    warm_state: bytes | None = None  # encoded warm state; RecoveryComponent verifies it
    escrow: bytes | None = None  # encoded escrow; Escrow verifies it
    rejected_count: int = 0  # number of values that did not decode


class StoredRecord(NamedTuple):
    """An encoded record, and the key under which it is stored."""

    key: str
    value: bytes


def encode_incarnation(incarnation: RouterIncarnation) -> StoredRecord:
    """Return the key and the value of the router's incarnation."""
    return StoredRecord(INCARNATION_KEY, _encode(incarnation))


def encode_entry(entry: Entry) -> StoredRecord:
    """Return the key and the value of an entry; all versions of an entry have the same key."""
    digest = entry.replaces_digest
    version = entry.version
    record = _EntryRecord(
        kind=entry.kind,
        name=entry.name,
        counter=version.counter,
        author=version.author,
        incarnation=version.incarnation,
        replaces_digest=digest.to_bytes((digest.bit_length() + 7) // 8),
        body=entry.body,
    )
    return StoredRecord(f"{ENTRY_KEY_PREFIX}/{entry.kind}/{entry.name}", _encode(record))


def decode_image(values: Mapping[str, bytes]) -> RecoveredImage:
    """Decode the content of a store, without the values that do not decode."""
    incarnation: RouterIncarnation | None = None
    entries: list[Entry] = []
    rejected_count = 0
    for key, raw in sorted(values.items()):
        if key in (WARM_STATE_KEY, ESCROW_KEY):
            continue
        if key == INCARNATION_KEY and (decoded := _decode(raw, RouterIncarnation)) is not None:
            incarnation = decoded
        elif (entry := _decode_entry(key, raw)) is not None:
            entries.append(entry)
        else:
            rejected_count += 1
    return RecoveredImage(
        incarnation=incarnation,
        entries=tuple(entries),
        warm_state=values.get(WARM_STATE_KEY),
        escrow=values.get(ESCROW_KEY),
        rejected_count=rejected_count,
    )


def _decode_entry(key: str, raw: bytes) -> Entry | None:
    """Return the entry, or None if the value is not an entry or its key belongs to another entry."""
    if key.partition("/")[0] != ENTRY_KEY_PREFIX:
        return None
    record = _decode(raw, _EntryRecord)
    if record is None:
        return None
    version = Version(record.counter, record.author, record.incarnation)
    replaces_digest = int.from_bytes(record.replaces_digest)
    entry = Entry(record.kind, record.name, version, record.body, replaces_digest)
    return entry if encode_entry(entry) == (key, raw) else None


class ContentVerdict(Enum):
    """The part of a store's content that the router uses after a restart."""

    TRUSTED = "trusted"  # all values are used; the router is a voter again if it was one
    PARTIAL = "partial"  # values may be missing, so the router uses the others without a vote or the escrow
    # No values are used; the store must be reset above the generation that peers remember.
    REJECTED = "rejected"


def assess_content(loaded: LoadResult, peer_generations: Iterable[int]) -> ContentVerdict:
    """Decide how much of the content the router may use.

    Peers are notified of a generation only after its write was acknowledged. A lower generation on the disk
    therefore proves that the disk returned stale content. If no peer remembers a generation, nothing
    contradicts the disk's content.

    Args:
        loaded: the content as read from the disk.
        peer_generations: the generations of this router's store that peers remember.
    """
    if loaded.generation < max(peer_generations, default=0):
        return ContentVerdict.REJECTED
    return ContentVerdict.TRUSTED if loaded.fault is None else ContentVerdict.PARTIAL


_RecordType = TypeVar("_RecordType", bound=_Record)


def _encode(record: _Record) -> bytes:
    return msgspec.msgpack.encode(record, order="deterministic")


def _decode(raw: bytes, record_type: type[_RecordType]) -> _RecordType | None:
    """Return the record, or None if the bytes are not this type's canonical encoding."""
    if len(raw) > MAX_VALUE_BYTES:
        return None
    try:
        record = msgspec.msgpack.decode(raw, type=record_type)
        return record if _encode(record) == raw else None
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
