"""What a router keeps in its store, how it is written, and what of it may be believed at a start.

A key for each thing that changes alone, so that a change is one small put. Values are msgpack arrays in
their one canonical encoding; what does not decode, is out of bounds or is written otherwise is left out and
counted.
Nothing here reads a clock or a disk.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

from cedarthread.components import interface
from cedarthread.persistence.store import LoadResult

MAX_VALUE_BYTES = 65_536  # bytes of one value

NonNegativeInt63 = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Uint64 = Annotated[int, Meta(ge=0)]  # msgpack has none of more than 64 bits
EntryName = Annotated[str, Meta(min_length=1, max_length=64)]


class _Record(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Written as an array, in the order of its fields."""


class RouterIncarnation(_Record, frozen=True):
    """Of the router itself. ``seated``: it held what it had confirmed (design/register.md, 6)."""

    router_index: NonNegativeInt63
    process_incarnation: Uint64
    membership_incarnation: NonNegativeInt63
    seated: bool


class _EntryRecord(_Record, frozen=True):
    kind: interface.EntryKind
    name: EntryName
    counter: NonNegativeInt63
    author: NonNegativeInt63
    incarnation: Uint64
    replaces_digest: Annotated[
        bytes, Meta(max_length=64)
    ]  # a digest, big-endian: it may be longer than a msgpack integer
    body: bytes


class RecoveredImage(msgspec.Struct, frozen=True):
    """All that was kept; ``bad``: how many values were left out."""

    incarnation: RouterIncarnation | None = None
    entries: tuple[interface.Entry, ...] = ()
    warm_state: bytes | None = None  # of the recovery, which checks it
    escrow: bytes | None = None  # of the grants, which check them
    rejected_count: int = 0


def encode_incarnation(own: RouterIncarnation) -> tuple[str, bytes]:
    """Key and value."""
    return "life", _encode(own)


def encode_entry(one: interface.Entry) -> tuple[str, bytes]:
    """Key and value; a newer version takes the older one's place."""
    v = one.version
    over = one.replaces_digest.to_bytes((one.replaces_digest.bit_length() + 7) // 8)
    row = _EntryRecord(one.kind, one.name, v.counter, v.author, v.incarnation, over, one.body)
    return f"entry/{one.kind}/{one.name}", _encode(row)


def decode_image(values: Mapping[str, bytes]) -> RecoveredImage:
    """What a store held."""
    own: list[RouterIncarnation] = []
    entries: list[interface.Entry] = []
    bad = 0
    for key, raw in sorted(values.items()):
        match key.partition("/")[0]:
            case "life" if (row := _decode(raw, RouterIncarnation)) and encode_incarnation(row)[0] == key:
                own.append(row)
            case "entry" if (edit := _decode(raw, _EntryRecord)) and encode_entry(
                found := _entry_from_record(edit)
            ) == (key, raw):
                entries.append(found)
            case "warm" | "grants" if key in ("warm", "grants"):
                pass
            case _:
                bad += 1
    return RecoveredImage(
        own[0] if own else None, tuple(entries), values.get("warm"), values.get("grants"), bad
    )


class ContentVerdict(Enum):
    """What of a store's content is believed."""

    TRUSTED = "keep"  # content and seat
    PARTIAL = "part"  # content, but what is missing is not known: no seat, and nothing of the pools
    REJECTED = "drop"  # nothing: reset the store above what is remembered


def assess_content(loaded: LoadResult, peer_generations: Iterable[int]) -> ContentVerdict:
    """Is the content what this router had written last?

    ``remembered``: the generations of this router that peers remember; they come by way of membership, so
    this is asked again whenever a higher one comes. Each tells the generation only after its write was
    acknowledged; so a lower one on the disk shows that the disk gave back an older state. Nobody who
    remembers: nothing speaks against the disk."""
    if loaded.generation < max(peer_generations, default=0):
        return ContentVerdict.REJECTED
    return ContentVerdict.TRUSTED if loaded.fault is None else ContentVerdict.PARTIAL


_T = TypeVar("_T", bound=_Record)


def _encode(row: _Record) -> bytes:
    return msgspec.msgpack.encode(row, order="deterministic")


def _decode(raw: bytes, kind: type[_T]) -> _T | None:
    """None for what is not this kind's canonical encoding."""
    if len(raw) > MAX_VALUE_BYTES:
        return None
    try:
        row = msgspec.msgpack.decode(raw, type=kind)
        return row if _encode(row) == raw else None
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None


def _entry_from_record(edit: _EntryRecord) -> interface.Entry:
    version = interface.Version(edit.counter, edit.author, edit.incarnation)
    return interface.Entry(edit.kind, edit.name, version, edit.body, int.from_bytes(edit.replaces_digest))
