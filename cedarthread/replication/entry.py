"""Replicated entries: size limits, canonical encoding, digests, and the order that decides between two edits.

The module is stateless. The join of two sets of entries selects, for each kind and name, the maximum in the
total order (version, digest). The join is commutative, associative and idempotent, as in state-based
replicated data types (Shapiro, Preguiça, Baquero, Zawirski: "Conflict-free replicated data types", 2011).
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from hashlib import blake2b
from typing import NamedTuple

from cedarthread.components.replicated_state import Entry, EntryKind, Version

MAX_PROPOSED_ENTRIES = 512  # limit for entries that this router proposes
# Limit for entries from peers. It is higher, because routers that propose at the same time may exceed
# MAX_PROPOSED_ENTRIES together.
MAX_ENTRIES = 1024
MAX_BODY_BYTES = 2048
MAX_NAME_BYTES = 64  # length limit of a name in UTF-8
VERSION_COUNTER_LIMIT = 2**48  # exclusive upper limit of a version's counter
_HEADER = struct.Struct("<BBQHQQ")  # kind, name length, counter, author, incarnation, replaced digest
MAX_ENTRY_BYTES = _HEADER.size + MAX_NAME_BYTES + MAX_BODY_BYTES
ENTRY_KINDS = tuple(EntryKind)

EntryKey = tuple[EntryKind, str]


@dataclass(frozen=True, slots=True)
class RejectedEntry:
    """The reason why a proposal or an encoding of an entry is not accepted."""

    location: str  # the entry, and its field if one is wrong
    reason: str


class EntryOrder(NamedTuple):
    """The position of an entry in the total order of all entries with the same kind and name."""

    version: Version
    digest: int  # digest of the entry, which decides between equal versions


class EncodedEntry(NamedTuple):
    """An entry with its canonical bytes and the digest of these bytes."""

    entry: Entry
    digest: int
    data: bytes

    @classmethod
    def of(cls, entry: Entry) -> EncodedEntry:
        """Encode ``entry`` and compute its digest."""
        data = encode(entry)
        return cls(entry, digest_of_bytes(data), data)

    @property
    def key(self) -> EntryKey:
        """The kind and name, which all versions of the entry share."""
        return self.entry.kind, self.entry.name


def encode(entry: Entry) -> bytes:
    """Return the canonical bytes of an entry, which its digest covers and which peers exchange."""
    name = entry.name.encode()
    version = entry.version
    header = _HEADER.pack(
        ENTRY_KINDS.index(entry.kind),
        len(name),
        version.counter,
        version.author,
        version.incarnation,
        entry.replaces_digest,
    )
    return header + name + entry.body


def decode(data: bytes) -> Entry | RejectedEntry:
    """Decode the canonical bytes of an entry.

    Malformed bytes yield a ``RejectedEntry``; the function never raises.
    """
    if not _HEADER.size < len(data) <= MAX_ENTRY_BYTES:
        return RejectedEntry("entry", f"invalid length: {len(data)} bytes")
    kind, name_bytes, counter, author, incarnation, replaces_digest = _HEADER.unpack_from(data)
    if kind >= len(ENTRY_KINDS) or counter >= VERSION_COUNTER_LIMIT:
        return RejectedEntry("entry", f"kind {kind} or counter {counter} is out of range")
    try:
        name = data[_HEADER.size : _HEADER.size + name_bytes].decode()
    except UnicodeDecodeError:
        return RejectedEntry("entry: name", "not valid UTF-8")
    body = data[_HEADER.size + name_bytes :]
    if len(name.encode()) != name_bytes:  # the data ends before the end of the name
        return RejectedEntry("entry: name", f"truncated: the header declares {name_bytes} bytes")
    rejected = check_bounds(ENTRY_KINDS[kind], name, body)
    version = Version(counter, author, incarnation)
    return rejected or Entry(ENTRY_KINDS[kind], name, version, body, replaces_digest)


def check_bounds(kind: EntryKind, name: str, body: bytes) -> RejectedEntry | None:
    """Return why an entry's name or body violates a limit; None if both are within the limits."""
    try:
        name_bytes = len(name.encode())
    except UnicodeEncodeError:
        return RejectedEntry(f"{kind}: name", "cannot be encoded as UTF-8")
    if not 1 <= name_bytes <= MAX_NAME_BYTES:
        location = f"{kind} {name[:MAX_NAME_BYTES]!r}: name"
        return RejectedEntry(location, f"{name_bytes} bytes; must be 1 to {MAX_NAME_BYTES} bytes")
    if len(body) > MAX_BODY_BYTES:
        return RejectedEntry(
            f"{kind} {name!r}: body", f"{len(body)} bytes; must be at most {MAX_BODY_BYTES} bytes"
        )
    return None


def entry_digest(entry: Entry) -> int:
    """Return 64 bits over kind, name, version, replaced digest and body; never 0."""
    return digest_of_bytes(encode(entry))


def digest_of_bytes(data: bytes) -> int:
    """Return the digest of an entry's canonical bytes.

    The result is never 0, because 0 in ``replaces_digest`` means that an entry replaces no other.
    """
    return int.from_bytes(blake2b(data, digest_size=8).digest(), "little") or 1


def key_hash(kind: EntryKind, name: str) -> int:
    """Return a 32-bit hash of a kind and name."""
    data = bytes((ENTRY_KINDS.index(kind),)) + name.encode()
    return int.from_bytes(blake2b(data, digest_size=4, person=b"name").digest(), "little")


def order_key(entry: Entry, digest: int) -> EntryOrder:
    """Return the position of an entry in the total order of all entries with the same kind and name."""
    return EntryOrder(entry.version, digest)


def join(one: Entry, other: Entry) -> Entry:
    """Return the winner of two entries with the same kind and name."""
    return max(one, other, key=lambda entry: order_key(entry, entry_digest(entry)))


def is_concurrent(winner: Entry, loser_digest: int) -> bool:
    """Return whether the winner's author did not know the loser when writing the winner."""
    return winner.replaces_digest != loser_digest
