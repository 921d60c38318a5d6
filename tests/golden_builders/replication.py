"""Datagrams of the replicated store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.replication import codec
from cedarthread.replication.codec import (
    EntryRef,
    FetchItem,
    FetchRequest,
    Summary,
    SummaryRequest,
    SyncRequest,
    SyncResponse,
)
from cedarthread.replication.codec import Message as ReplicationMessage
from tests.golden_builders.sample import DatagramCodec

if TYPE_CHECKING:
    from tests.golden_builders.sample import Sample

REPLICATION_CODEC = DatagramCodec[ReplicationMessage](codec.encode, codec.decode)


def build_replication() -> list[Sample]:
    """Return a message of each kind, and the first and the last fragment of an entry's body."""
    body = bytes(range(256)) * 3
    first_fragment, *_, last_fragment = codec.split_into_fragments(body, 0x1122334455667788)
    bucket_digests = tuple(bucket * 0x0102030405 for bucket in range(codec.BUCKET_COUNT))
    references = (EntryRef(1, 2), EntryRef(2, 2**32 - 1), EntryRef(33, 0))
    part_references = (EntryRef(1, 2), EntryRef(33, 4))
    fetched = (FetchItem(1, 2, codec.ALL_FRAGMENTS), FetchItem(2**32 - 1, 0, 5))
    return REPLICATION_CODEC.samples(
        {
            "pull": SyncRequest(1, 2**63 + 5, 3, 208, 9),
            "reply": SyncResponse(1, 2, 3, True, 40, 0, bytes((0, 63, 64, 128, 255)), 8, 1.75e12),
            "reply without wall clock": SyncResponse(1, 2, 3, False, 1, 208, b""),
            "ask": SummaryRequest(5, bucket_digests),
            "summary": Summary(5, 6, 7, 0b110, 0, 1, references),
            "summary in parts": Summary(5, 6, 7, 0b10, 1, 3, part_references),
            "want": FetchRequest(fetched),
            "first piece": first_fragment,
            "last piece": last_fragment,
        }
    )
