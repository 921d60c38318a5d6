"""The form of the register's datagrams, 256 bytes at most, all little-endian.

    PULL     nonce u64, root u64, life u64, first u16, generation u64 of the asker's store
    REPLY    nonce u64, root u64, life u64, flags u8 (1 seated), step u16 ms, first u16, remembered u64 (the
             asker's generation that the replier was last told), wall f64 (Unix ms); then a byte a router
             from ``first`` on: 6 bits of age in steps (63: never), 64 seated, 128 holds this very root
    ASK      nonce u64; then the sum of each of 32 buckets, 48 bits
    SUMMARY  nonce u64, root u64, life u64, buckets u32 (a bit each), part u8, parts u8; then pairs of id u32
             and mark u32 (the low bits of the entry's digest)
    WANT     triples of id u32, mark u32, pieces u16 (a bit each)
    PIECE    digest u64, size u16 of the whole, number u8; then bytes

Each begins with the form u8 and the kind u8. A bucket is the low 5 bits of an id.
"""

from __future__ import annotations

import math
import struct
from dataclasses import dataclass

from cedarthread.components.interface import MessageType
from cedarthread.gossip.codec import MAX_DATAGRAM_BYTES, MalformedDatagram
from cedarthread.replication import entry as entries

AGES_PER_RESPONSE = 208  # that one reply speaks of
BUCKET_COUNT = 32
AGE_UNKNOWN = 63  # steps of age
VOTER_FLAG, HOLDS_ROOT_FLAG = 64, 128
SYNC_REQUEST, SYNC_RESPONSE, SUMMARY_REQUEST, SUMMARY, FETCH_REQUEST, FRAGMENT = range(1, 7)
_SYNC_REQUEST = struct.Struct("<BBQQQHQ")
_SYNC_RESPONSE = struct.Struct("<BBQQQBHHQd")
_SUMMARY_REQUEST = struct.Struct("<BBQ")
_SUMMARY = struct.Struct("<BBQQQIBB")
_ENTRY_REF = struct.Struct("<II")
_FETCH_ITEM = struct.Struct("<IIH")
_FRAGMENT = struct.Struct("<BBQHB")
MAX_REFS_PER_SUMMARY = (MAX_DATAGRAM_BYTES - _SUMMARY.size) // _ENTRY_REF.size
MAX_ITEMS_PER_FETCH = (MAX_DATAGRAM_BYTES - 2) // _FETCH_ITEM.size
FRAGMENT_BYTES = MAX_DATAGRAM_BYTES - _FRAGMENT.size  # bytes of an entry in one piece
ALL_FRAGMENTS = 0xFFFF  # all pieces of an entry

EntryRef = tuple[int, int]


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """What do you hold, and whom have you read? ``first``: the routers that are asked about."""

    nonce: int
    root_digest: int
    incarnation: int
    first_router: int
    store_generation: int = 0


@dataclass(frozen=True, slots=True)
class SyncResponse:
    """What the replier holds, and whom it has read how long ago."""

    nonce: int
    root_digest: int
    incarnation: int
    is_voter: bool
    age_step_ms: int  # ms
    first_router: int
    ages: bytes
    remembered_generation: int = 0
    unix_ms: float = math.nan


@dataclass(frozen=True, slots=True)
class SummaryRequest:
    """The sums of the buckets that the asker knows to hold; those that differ are asked for."""

    nonce: int
    bucket_sums: tuple[int, ...]  # 48 bits each


@dataclass(frozen=True, slots=True)
class Summary:
    """All entries of some whole buckets, or one part of a bucket that fills more than one datagram."""

    nonce: int
    root_digest: int
    incarnation: int
    bucket_bits: int
    part_index: int
    part_count: int
    refs: tuple[EntryRef, ...]


@dataclass(frozen=True, slots=True)
class FetchRequest:
    """Entries, by id and mark, and which pieces of each."""

    items: tuple[tuple[int, int, int], ...]


@dataclass(frozen=True, slots=True)
class EntryFragment:
    """One piece of an entry's canonical bytes."""

    digest: int
    entry_bytes: int
    fragment_index: int
    data: bytes


Message = SyncRequest | SyncResponse | SummaryRequest | Summary | FetchRequest | EntryFragment


def encode(message: Message) -> bytes:
    """The bytes of a datagram."""
    m, form = message, MessageType.REPLICATION
    if isinstance(m, SyncRequest):
        return _SYNC_REQUEST.pack(
            form, SYNC_REQUEST, m.nonce, m.root_digest, m.incarnation, m.first_router, m.store_generation
        )
    if isinstance(m, SyncResponse):
        ids = (
            m.nonce,
            m.root_digest,
            m.incarnation,
            m.is_voter,
            m.age_step_ms,
            m.first_router,
            m.remembered_generation,
            m.unix_ms,
        )
        return _SYNC_RESPONSE.pack(form, SYNC_RESPONSE, *ids) + m.ages
    if isinstance(m, SummaryRequest):
        return _SUMMARY_REQUEST.pack(form, SUMMARY_REQUEST, m.nonce) + b"".join(
            s.to_bytes(6, "little") for s in m.bucket_sums
        )
    if isinstance(m, Summary):
        head = _SUMMARY.pack(
            form, SUMMARY, m.nonce, m.root_digest, m.incarnation, m.bucket_bits, m.part_index, m.part_count
        )
        return head + b"".join(_ENTRY_REF.pack(*pair) for pair in m.refs)
    if isinstance(m, FetchRequest):
        return bytes((form, FETCH_REQUEST)) + b"".join(_FETCH_ITEM.pack(*item) for item in m.items)
    return _FRAGMENT.pack(form, FRAGMENT, m.digest, m.entry_bytes, m.fragment_index) + m.data


def split_into_fragments(data: bytes, digest: int, wanted_bits: int = ALL_FRAGMENTS) -> list[EntryFragment]:
    """An entry's bytes cut up; of them those that are asked for."""
    cut = [data[at : at + FRAGMENT_BYTES] for at in range(0, len(data), FRAGMENT_BYTES)]
    return [EntryFragment(digest, len(data), n, part) for n, part in enumerate(cut) if wanted_bits >> n & 1]


def decode(data: bytes) -> Message | MalformedDatagram:
    """What a datagram says. Whatever it holds, no error is raised."""
    if (
        not 2 <= len(data) <= MAX_DATAGRAM_BYTES
        or data[0] != MessageType.REPLICATION
        or data[1] not in _DECODERS
    ):
        return MalformedDatagram(f"{len(data)} bytes: {data[:2]!r}")
    return _DECODERS[data[1]](data) or MalformedDatagram(f"{len(data)} bytes of kind {data[1]}")


def _decode_sync_request(data: bytes) -> SyncRequest | None:
    return SyncRequest(*_SYNC_REQUEST.unpack(data)[2:]) if len(data) == _SYNC_REQUEST.size else None


def _decode_sync_response(data: bytes) -> SyncResponse | None:
    if not _SYNC_RESPONSE.size <= len(data) <= _SYNC_RESPONSE.size + AGES_PER_RESPONSE:
        return None
    nonce, root, life, flags, step, first, remembered, wall = _SYNC_RESPONSE.unpack_from(data)[2:]
    if flags > 1 or not step:
        return None
    return SyncResponse(
        nonce, root, life, bool(flags), step, first, data[_SYNC_RESPONSE.size :], remembered, wall
    )


def _decode_summary_request(data: bytes) -> SummaryRequest | None:
    if len(data) != _SUMMARY_REQUEST.size + 6 * BUCKET_COUNT:
        return None
    at = range(_SUMMARY_REQUEST.size, len(data), 6)
    return SummaryRequest(
        _SUMMARY_REQUEST.unpack_from(data)[2], tuple(int.from_bytes(data[a : a + 6], "little") for a in at)
    )


def _decode_summary(data: bytes) -> Summary | None:
    if len(data) < _SUMMARY.size or (len(data) - _SUMMARY.size) % _ENTRY_REF.size:
        return None
    nonce, root, life, buckets, part, parts = _SUMMARY.unpack_from(data)[2:]
    pairs = tuple(_ENTRY_REF.iter_unpack(data[_SUMMARY.size :]))
    single = buckets.bit_count() == 1
    right = (
        part < parts and (parts == 1 or single) and all(buckets >> (n % BUCKET_COUNT) & 1 for n, _ in pairs)
    )
    return Summary(nonce, root, life, buckets, part, parts, pairs) if right else None


def _decode_fetch_request(data: bytes) -> FetchRequest | None:
    return (
        None if (len(data) - 2) % _FETCH_ITEM.size else FetchRequest(tuple(_FETCH_ITEM.iter_unpack(data[2:])))
    )


def _decode_fragment(data: bytes) -> EntryFragment | None:
    if len(data) <= _FRAGMENT.size:
        return None
    mark, size, number = _FRAGMENT.unpack_from(data)[2:]
    part = data[_FRAGMENT.size :]
    right = (
        size <= entries.MAX_ENTRY_BYTES
        and number * FRAGMENT_BYTES < size
        and len(part) == min(FRAGMENT_BYTES, size - number * FRAGMENT_BYTES)
    )
    return EntryFragment(mark, size, number, part) if right else None


_DECODERS = {
    SYNC_REQUEST: _decode_sync_request,
    SYNC_RESPONSE: _decode_sync_response,
    SUMMARY_REQUEST: _decode_summary_request,
    SUMMARY: _decode_summary,
    FETCH_REQUEST: _decode_fetch_request,
    FRAGMENT: _decode_fragment,
}
