"""What a router keeps in its store: keys and values, how they are encoded, and what a restart may believe.

A key for each thing that changes by itself, so that a change is one small write:

    life                of the router itself (``RouterIncarnation``)
    entry/<kind>/<name> one replicated entry
    warm                the warm-state snapshot, encoded by the recovery
    grants              the escrow, encoded by itself

Values are MessagePack arrays in one canonical encoding. What does not decode, is out of bounds or is encoded
otherwise is left out and counted. Nothing here reads a clock or a disk.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Annotated, TypeVar

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

NonNegativeInt63 = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Uint64 = Annotated[int, Meta(ge=0)]  # MessagePack has no integers of more than 64 bits
EntryName = Annotated[str, Meta(min_length=1, max_length=64)]
DigestBytes = Annotated[bytes, Meta(max_length=64)]  # big-endian; may be longer than a MessagePack integer


class _Record(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Encoded as an array, in the order of its fields."""


class RouterIncarnation(_Record, frozen=True):
    """The incarnation of the router that wrote the store.

    ``is_voter``: it had all that it had ever confirmed (docs/design/register.md, 6).
    """

    router_index: NonNegativeInt63
    process_incarnation: Uint64
    membership_incarnation: NonNegativeInt63
    is_voter: bool


class _EntryRecord(_Record, frozen=True):
    """A replicated entry."""

    kind: EntryKind
    name: EntryName
    counter: NonNegativeInt63
    author: NonNegativeInt63
    incarnation: Uint64
    replaces_digest: DigestBytes
    body: bytes


class RecoveredImage(msgspec.Struct, frozen=True):
    """All that was read from a store."""

    incarnation: RouterIncarnation | None = None
    entries: tuple[Entry, ...] = ()
    warm_state: bytes | None = None  # verified by the recovery
    escrow: bytes | None = None  # verified by the escrow
    rejected_count: int = 0  # values that were left out


def encode_incarnation(incarnation: RouterIncarnation) -> tuple[str, bytes]:
    """Key and value of the router's incarnation."""
    return INCARNATION_KEY, _encode(incarnation)


def encode_entry(entry: Entry) -> tuple[str, bytes]:
    """Key and value of an entry; a newer version replaces the older one."""
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
    return f"{ENTRY_KEY_PREFIX}/{entry.kind}/{entry.name}", _encode(record)


def decode_image(values: Mapping[str, bytes]) -> RecoveredImage:
    """What a store's content says."""
    incarnation: RouterIncarnation | None = None
    entries: list[Entry] = []
    rejected_count = 0
    for key, raw in sorted(values.items()):
        if key in (WARM_STATE_KEY, ESCROW_KEY):
            continue
        if key == INCARNATION_KEY and (found := _decode(raw, RouterIncarnation)) is not None:
            incarnation = found
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
    """None for what is no entry, or is not under its own key."""
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
    """How much of a store's content is believed."""

    TRUSTED = "trusted"  # all, and the router is a voter as before
    PARTIAL = "partial"  # what is there; what is missing is unknown, so no vote and nothing of the escrow
    REJECTED = "rejected"  # nothing: the store is to be reset above what peers remember


def assess_content(loaded: LoadResult, peer_generations: Iterable[int]) -> ContentVerdict:
    """Whether the content is what this router wrote last.

    ``peer_generations``: the generations of this router's store that peers remember. They are told a
    generation only after its write was acknowledged, so a lower one on the disk shows that the disk
    returned stale content. Where no peer remembers any, nothing speaks against the disk.
    """
    if loaded.generation < max(peer_generations, default=0):
        return ContentVerdict.REJECTED
    return ContentVerdict.TRUSTED if loaded.fault is None else ContentVerdict.PARTIAL


_RecordType = TypeVar("_RecordType", bound=_Record)


def _encode(record: _Record) -> bytes:
    return msgspec.msgpack.encode(record, order="deterministic")


def _decode(raw: bytes, record_type: type[_RecordType]) -> _RecordType | None:
    """None for what is not this type's canonical encoding."""
    if len(raw) > MAX_VALUE_BYTES:
        return None
    try:
        record = msgspec.msgpack.decode(raw, type=record_type)
        return record if _encode(record) == raw else None
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
