"""Wire format of replication datagrams: 256 bytes at most, all numbers little-endian.

    SYNC_REQUEST     nonce u64, root digest u64, incarnation u64, first router u16, store generation u64
    SYNC_RESPONSE    nonce u64, root digest u64, incarnation u64, flags u8 (1: voter), age step u16 ms,
                     first router u16, remembered generation u64 (the greatest store generation that the
                     requester had reported to the responder), unix_ms f64; then one byte for each
                     router from the first on: 6 bits of age in steps (63: unknown), 64: read as a voter,
                     128: has this root digest
    SUMMARY_REQUEST  nonce u64; then the sums of 32 buckets, 48 bits each
    SUMMARY          nonce u64, root digest u64, incarnation u64, buckets u32 (a bit each), part index u8,
                     part count u8; then refs of key hash u32 and the low 32 bits of the entry's digest
    FETCH_REQUEST    items of key hash u32, digest low bits u32, fragments u16 (a bit each)
    FRAGMENT         digest u64, length of the entry u16, fragment index u8; then data

The first byte of each datagram is the message type u8, the second the kind u8. An entry's bucket is the low 5
bits of its key hash. The module has no state.
"""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import TYPE_CHECKING

from cedarthread.components.datagram_fields import MAX_DATAGRAM_BYTES, MalformedDatagram
from cedarthread.components.messages import MessageType
from cedarthread.model.actions import SendToPeer
from cedarthread.replication.entry import MAX_ENTRY_BYTES
from cedarthread.replication.messages import (
    AGES_PER_RESPONSE,
    ALL_FRAGMENTS,
    BUCKET_COUNT,
    EntryFragment,
    EntryRef,
    FetchItem,
    FetchRequest,
    Message,
    Summary,
    SummaryRequest,
    SyncRequest,
    SyncResponse,
)

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    "ALL_FRAGMENTS",
    "BUCKET_COUNT",
    "EntryFragment",
    "EntryRef",
    "FetchItem",
    "FetchRequest",
    "Message",
    "MessageKind",
    "Summary",
    "SummaryRequest",
    "SyncRequest",
    "SyncResponse",
    "decode",
    "encode",
    "encode_to",
    "split_into_fragments",
]


class MessageKind(IntEnum):
    """The second byte of a replication datagram."""

    SYNC_REQUEST = 1
    SYNC_RESPONSE = 2
    SUMMARY_REQUEST = 3
    SUMMARY = 4
    FETCH_REQUEST = 5
    FRAGMENT = 6


HEADER_BYTES = 2  # size of the message type and the kind
BUCKET_SUM_BYTES = 6
_SYNC_REQUEST = struct.Struct("<BBQQQHQ")
_SYNC_RESPONSE = struct.Struct("<BBQQQBHHQd")
_SUMMARY_REQUEST = struct.Struct("<BBQ")
_SUMMARY = struct.Struct("<BBQQQIBB")
_ENTRY_REF = struct.Struct("<II")
_FETCH_ITEM = struct.Struct("<IIH")
_FRAGMENT = struct.Struct("<BBQHB")
MAX_REFS_PER_SUMMARY = (MAX_DATAGRAM_BYTES - _SUMMARY.size) // _ENTRY_REF.size
MAX_ITEMS_PER_FETCH = (MAX_DATAGRAM_BYTES - HEADER_BYTES) // _FETCH_ITEM.size
FRAGMENT_BYTES = MAX_DATAGRAM_BYTES - _FRAGMENT.size  # data bytes in a full fragment


def encode(message: Message) -> bytes:
    """Return the bytes of a datagram."""
    if isinstance(message, SyncRequest):
        return _encode_sync_request(message)
    if isinstance(message, SyncResponse):
        return _encode_sync_response(message)
    if isinstance(message, SummaryRequest):
        header = _SUMMARY_REQUEST.pack(MessageType.REPLICATION, MessageKind.SUMMARY_REQUEST, message.nonce)
        sums = (bucket_sum.to_bytes(BUCKET_SUM_BYTES, "little") for bucket_sum in message.bucket_sums)
        return header + b"".join(sums)
    if isinstance(message, Summary):
        return _encode_summary(message)
    if isinstance(message, FetchRequest):
        header = bytes((MessageType.REPLICATION, MessageKind.FETCH_REQUEST))
        return header + b"".join(_FETCH_ITEM.pack(*item) for item in message.items)
    return _encode_fragment(message)


def _encode_sync_request(request: SyncRequest) -> bytes:
    return _SYNC_REQUEST.pack(
        MessageType.REPLICATION,
        MessageKind.SYNC_REQUEST,
        request.nonce,
        request.root_digest,
        request.incarnation,
        request.first_router,
        request.store_generation,
    )


def _encode_sync_response(response: SyncResponse) -> bytes:
    header = _SYNC_RESPONSE.pack(
        MessageType.REPLICATION,
        MessageKind.SYNC_RESPONSE,
        response.nonce,
        response.root_digest,
        response.incarnation,
        response.is_voter,
        response.age_step_ms,
        response.first_router,
        response.remembered_generation,
        response.unix_ms,
    )
    return header + response.ages


def _encode_summary(summary: Summary) -> bytes:
    header = _SUMMARY.pack(
        MessageType.REPLICATION,
        MessageKind.SUMMARY,
        summary.nonce,
        summary.root_digest,
        summary.incarnation,
        summary.bucket_bits,
        summary.part_index,
        summary.part_count,
    )
    return header + b"".join(_ENTRY_REF.pack(*ref) for ref in summary.refs)


def _encode_fragment(fragment: EntryFragment) -> bytes:
    header = _FRAGMENT.pack(
        MessageType.REPLICATION,
        MessageKind.FRAGMENT,
        fragment.digest,
        fragment.entry_bytes,
        fragment.fragment_index,
    )
    return header + fragment.data


def encode_to(message: Message, peer_index: int) -> SendToPeer:
    """Encode a message for one peer."""
    return SendToPeer(encode(message), peer_index)


def split_into_fragments(data: bytes, digest: int, wanted_bits: int = ALL_FRAGMENTS) -> list[EntryFragment]:
    """Split an entry's canonical bytes; return the fragments with a bit set in ``wanted_bits``."""
    chunks = [data[offset : offset + FRAGMENT_BYTES] for offset in range(0, len(data), FRAGMENT_BYTES)]
    return [
        EntryFragment(digest, len(data), index, chunk)
        for index, chunk in enumerate(chunks)
        if wanted_bits >> index & 1
    ]


def decode(data: bytes) -> Message | MalformedDatagram:
    """Decode a datagram. Malformed bytes yield a ``MalformedDatagram``; the function never raises."""
    if (
        not HEADER_BYTES <= len(data) <= MAX_DATAGRAM_BYTES
        or data[0] != MessageType.REPLICATION
        or data[1] not in _DECODERS
    ):
        return MalformedDatagram(f"invalid length, type or kind: {len(data)} bytes, first bytes {data[:2]!r}")
    return _DECODERS[data[1]](data) or MalformedDatagram(
        f"malformed message: {len(data)} bytes of kind {data[1]}"
    )


def _decode_sync_request(data: bytes) -> SyncRequest | None:
    return SyncRequest(*_SYNC_REQUEST.unpack(data)[2:]) if len(data) == _SYNC_REQUEST.size else None


def _decode_sync_response(data: bytes) -> SyncResponse | None:
    if not _SYNC_RESPONSE.size <= len(data) <= _SYNC_RESPONSE.size + AGES_PER_RESPONSE:
        return None
    fields = _SYNC_RESPONSE.unpack_from(data)[2:]
    nonce, root_digest, incarnation, flags, age_step_ms, first_router, remembered_generation, unix_ms = fields
    if flags > 1 or not age_step_ms:
        return None
    return SyncResponse(
        nonce,
        root_digest,
        incarnation,
        bool(flags),
        age_step_ms,
        first_router,
        data[_SYNC_RESPONSE.size :],
        remembered_generation,
        unix_ms,
    )


def _decode_summary_request(data: bytes) -> SummaryRequest | None:
    if len(data) != _SUMMARY_REQUEST.size + BUCKET_SUM_BYTES * BUCKET_COUNT:
        return None
    offsets = range(_SUMMARY_REQUEST.size, len(data), BUCKET_SUM_BYTES)
    sums = (int.from_bytes(data[offset : offset + BUCKET_SUM_BYTES], "little") for offset in offsets)
    return SummaryRequest(_SUMMARY_REQUEST.unpack_from(data)[2], tuple(sums))


def _decode_summary(data: bytes) -> Summary | None:
    if len(data) < _SUMMARY.size or (len(data) - _SUMMARY.size) % _ENTRY_REF.size:
        return None
    nonce, root_digest, incarnation, bucket_bits, part_index, part_count = _SUMMARY.unpack_from(data)[2:]
    refs = tuple(map(EntryRef._make, _ENTRY_REF.iter_unpack(data[_SUMMARY.size :])))
    has_one_bucket = bucket_bits.bit_count() == 1
    is_valid = (
        part_index < part_count
        and (part_count == 1 or has_one_bucket)
        and all(bucket_bits >> ref.bucket & 1 for ref in refs)
    )
    if not is_valid:
        return None
    return Summary(nonce, root_digest, incarnation, bucket_bits, part_index, part_count, refs)


def _decode_fetch_request(data: bytes) -> FetchRequest | None:
    if (len(data) - HEADER_BYTES) % _FETCH_ITEM.size:
        return None
    return FetchRequest(tuple(map(FetchItem._make, _FETCH_ITEM.iter_unpack(data[HEADER_BYTES:]))))


def _decode_fragment(data: bytes) -> EntryFragment | None:
    if len(data) <= _FRAGMENT.size:
        return None
    digest, entry_bytes, fragment_index = _FRAGMENT.unpack_from(data)[2:]
    chunk = data[_FRAGMENT.size :]
    offset = fragment_index * FRAGMENT_BYTES
    is_valid = (
        entry_bytes <= MAX_ENTRY_BYTES
        and offset < entry_bytes
        and len(chunk) == min(FRAGMENT_BYTES, entry_bytes - offset)
    )
    return EntryFragment(digest, entry_bytes, fragment_index, chunk) if is_valid else None


_DECODERS: dict[int, Callable[[bytes], Message | None]] = {
    MessageKind.SYNC_REQUEST: _decode_sync_request,
    MessageKind.SYNC_RESPONSE: _decode_sync_response,
    MessageKind.SUMMARY_REQUEST: _decode_summary_request,
    MessageKind.SUMMARY: _decode_summary,
    MessageKind.FETCH_REQUEST: _decode_fetch_request,
    MessageKind.FRAGMENT: _decode_fragment,
}
