"""Entries: what they may be, their digests, and which of two holds. Values only, no state.

The join of two contents is the maximum by name in the total order (version, digest), as in state-based
replicated types (Shapiro and others, 2011): commutative, associative, idempotent.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from hashlib import blake2b

from cedarthread.components.interface import Entry, EntryKind, Version

MAX_PROPOSED_ENTRIES = 512  # that may be proposed
MAX_ENTRIES = 1024  # that are taken from others: proposals at many routers may pass the first bound together
MAX_BODY_BYTES = 2048  # bytes
MAX_NAME_BYTES = 64  # bytes of UTF-8
VERSION_COUNTER_LIMIT = 2**48  # versions stay under it
_HEAD = struct.Struct("<BBQHQQ")
MAX_ENTRY_BYTES = _HEAD.size + MAX_NAME_BYTES + MAX_BODY_BYTES  # bytes of the longest entry
ENTRY_KINDS = tuple(EntryKind)

Key = tuple[EntryKind, str]


@dataclass(frozen=True, slots=True)
class RejectedEntry:
    """A proposal that is not taken: where, and what is wrong with it."""

    location: str
    problem: str


def encode(entry: Entry) -> bytes:
    """The canonical bytes of an entry, from which its digest is made and which pass between routers."""
    name, version = entry.name.encode(), entry.version
    head = (
        ENTRY_KINDS.index(entry.kind),
        len(name),
        version.counter,
        version.author,
        version.incarnation,
        entry.replaces_digest,
    )
    return _HEAD.pack(*head) + name + entry.body


def decode(data: bytes) -> Entry | RejectedEntry:
    """The entry of such bytes. Whatever they hold, no error is raised."""
    if not _HEAD.size < len(data) <= MAX_ENTRY_BYTES:
        return RejectedEntry("entry", f"{len(data)} bytes")
    kind, length, counter, author, life, over = _HEAD.unpack_from(data)
    if kind >= len(ENTRY_KINDS) or counter >= VERSION_COUNTER_LIMIT:
        return RejectedEntry("entry", f"kind {kind}, counter {counter}")
    try:
        name = data[_HEAD.size : _HEAD.size + length].decode()
    except UnicodeDecodeError:
        return RejectedEntry("entry: name", "no UTF-8")
    body = data[_HEAD.size + length :]
    if len(name.encode()) != length:  # the name was cut short
        return RejectedEntry("entry: name", f"{length} bytes")
    wrong = check_bounds(ENTRY_KINDS[kind], name, body)
    return wrong or Entry(ENTRY_KINDS[kind], name, Version(counter, author, life), body, over)


def check_bounds(kind: EntryKind, name: str, body: bytes) -> RejectedEntry | None:
    """What is wrong with the size of an entry, if anything is."""
    try:
        length = len(name.encode())
    except UnicodeEncodeError:
        return RejectedEntry(f"{kind}: name", "no UTF-8")
    if not 1 <= length <= MAX_NAME_BYTES:
        return RejectedEntry(
            f"{kind} {name[:MAX_NAME_BYTES]!r}: name", f"{length} bytes, 1 to {MAX_NAME_BYTES} may be"
        )
    if len(body) > MAX_BODY_BYTES:
        return RejectedEntry(f"{kind} {name!r}: body", f"{len(body)} bytes, {MAX_BODY_BYTES} at most")
    return None


def entry_digest(entry: Entry) -> int:
    """64 bits over kind, name, version, what it replaces, and body."""
    return digest_of_bytes(encode(entry))


def digest_of_bytes(data: bytes) -> int:
    """The digest of an entry's canonical bytes; never 0, which stands for none."""
    return int.from_bytes(blake2b(data, digest_size=8).digest(), "little") or 1


def key_hash(kind: EntryKind, name: str) -> int:
    """32 bits for kind and name."""
    data = bytes((ENTRY_KINDS.index(kind),)) + name.encode()
    return int.from_bytes(blake2b(data, digest_size=4, person=b"name").digest(), "little")


def order_key(entry: Entry, digest: int) -> tuple[Version, int]:
    """The place of an entry, with its digest, in the total order of those of its name."""
    return entry.version, digest


def join(one: Entry, other: Entry) -> Entry:
    """Which of two entries of one kind and name holds."""
    return max(one, other, key=lambda entry: order_key(entry, entry_digest(entry)))


def is_concurrent(winner: Entry, loser_digest: int) -> bool:
    """Did the winner's author not know the loser, given by its digest?"""
    return winner.replaces_digest != loser_digest
