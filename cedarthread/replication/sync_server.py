"""Rate-limited responses to peers: sync responses, summaries of buckets that differ, fragments of entries.

``SyncServer`` reads the replica, and changes only its own budgets and counter.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from cedarthread.model.actions import SendToPeer
from cedarthread.replication.codec import (
    FRAGMENT_BYTES,
    MAX_REFS_PER_SUMMARY,
    encode,
    encode_to,
    split_into_fragments,
)
from cedarthread.replication.messages import (
    BUCKET_COUNT,
    BUCKET_SUM_MODULUS,
    EntryFragment,
    EntryRef,
    FetchRequest,
    Message,
    Summary,
    SummaryRequest,
    SyncRequest,
    SyncResponse,
)
from cedarthread.statistics import TokenBucket

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping, Sequence

    from cedarthread.replication.local_replica import LocalReplica

RESPONSES_PER_SECOND = 20.0  # limits the responses to a flood of requests
RESPONSE_BURST = 20.0
# Bytes of summaries and fragments; limits the load when many routers start together.
BYTES_PER_SECOND = 16_000.0
BYTE_BURST = 16_384.0
# Fragments of the newest entry that are sent before a response to a peer whose state differs.
MAX_UNSOLICITED_FRAGMENTS = 4


class SummaryPart(NamedTuple):
    """The content of one summary datagram: whole buckets, or one part of a bucket that needs several."""

    bucket_bits: int  # bit set of the listed buckets
    part_index: int
    part_count: int  # number of parts; 1 unless one bucket needs several datagrams
    refs: tuple[EntryRef, ...]


class SyncServer:
    """The responder to sync, summary and fetch requests of peers, which reads one router's replica.

    Args:
        replica: This router's replica, only read.
        router_count: Number of configured routers.
        rng: Draws the first bucket of summaries.
        now_ms: Start of this incarnation, in ms on this router's monotonic clock.
    """

    def __init__(self, replica: LocalReplica, router_count: int, rng: random.Random, now_ms: float) -> None:
        self.replica = replica
        self.router_count = router_count
        self.rng = rng
        self.response_budget = TokenBucket(RESPONSES_PER_SECOND, RESPONSE_BURST, RESPONSE_BURST, now_ms)
        self.byte_budget = TokenBucket(BYTES_PER_SECOND, BYTE_BURST, BYTE_BURST, now_ms)
        self.unanswered_count = 0  # sync requests without a response; responses cut short by the byte budget

    def admit(self, now_ms: float, request: SyncRequest) -> bool:
        """Return whether a sync request gets a response, and charge the response budget.

        A request without a response looks like a lost datagram to the peer.
        """
        is_admitted = (
            self.replica.is_persisted()
            and request.first_router < self.router_count
            and self.response_budget.take(now_ms, 1.0)
        )
        self.unanswered_count += not is_admitted
        return is_admitted

    def respond(
        self, now_ms: float, sender: int, request: SyncRequest, remembered_generation: int, unix_ms: float
    ) -> list[SendToPeer]:
        """Return the sync response, preceded by the newest entry if the peer's state differs.

        The newest entry is sent because a peer whose state differs most often lacks only that entry.
        """
        messages: list[SendToPeer] = []
        replica = self.replica
        if request.root_digest != replica.state.root_digest:
            messages += self.newest_entry_fragments(now_ms, sender)
        response = SyncResponse(
            nonce=request.nonce,
            root_digest=replica.state.root_digest,
            incarnation=replica.incarnation,
            is_voter=replica.freshness.is_voter,
            age_step_ms=replica.freshness.age_step_ms,
            first_router=request.first_router,
            ages=replica.freshness.encode_ages(now_ms, request.first_router),
            remembered_generation=remembered_generation,
            unix_ms=unix_ms,
        )
        messages.append(encode_to(response, sender))
        return messages

    def newest_entry_fragments(self, now_ms: float, sender: int) -> list[SendToPeer]:
        """Return the fragments of the most recently received entry, if it is recent and small."""
        record = next(reversed(self.replica.state.records.values()), None)
        if record is None or now_ms - record.received_at_ms > self.replica.freshness.window_ms:
            return []
        if len(record.data) > MAX_UNSOLICITED_FRAGMENTS * FRAGMENT_BYTES:
            return []
        return self._send_within_budget(now_ms, sender, split_into_fragments(record.data, record.digest))

    def summaries(self, now_ms: float, sender: int, request: SummaryRequest) -> list[SendToPeer]:
        """Return refs of all entries in the buckets that differ from the request.

        The summaries start at a random bucket and end when the byte budget is used up.
        """
        state = self.replica.state
        refs_by_bucket: dict[int, list[EntryRef]] = {
            bucket: []
            for bucket in range(BUCKET_COUNT)
            if state.bucket_sums[bucket] % BUCKET_SUM_MODULUS != request.bucket_sums[bucket]
        }
        for ref in state.keys_by_ref:
            if ref.bucket in refs_by_bucket:
                refs_by_bucket[ref.bucket].append(ref)
        parts = pack_summaries(refs_by_bucket, self.rng.randrange(BUCKET_COUNT))
        # An empty summary still carries the root digest, with which the peer may complete its session.
        parts = parts or [SummaryPart(0, 0, 1, ())]
        messages = [
            Summary(
                nonce=request.nonce,
                root_digest=state.root_digest,
                incarnation=self.replica.incarnation,
                bucket_bits=part.bucket_bits,
                part_index=part.part_index,
                part_count=part.part_count,
                refs=part.refs,
            )
            for part in parts
        ]
        return self._send_within_budget(now_ms, sender, messages)

    def requested_fragments(self, now_ms: float, sender: int, request: FetchRequest) -> list[SendToPeer]:
        """Return the requested fragments of those entries that this router stores."""
        state = self.replica.state
        fragments: list[EntryFragment] = []
        for item in request.items:
            key = state.keys_by_ref.get(EntryRef(item.key_hash, item.digest_low))
            if key is not None:
                record = state.records[key]
                fragments += split_into_fragments(record.data, record.digest, item.fragment_bits)
        return self._send_within_budget(now_ms, sender, fragments)

    def _send_within_budget(self, now_ms: float, peer: int, messages: Sequence[Message]) -> list[SendToPeer]:
        sent: list[SendToPeer] = []
        for message in messages:
            data = encode(message)
            if not self.byte_budget.take(now_ms, len(data)):
                self.unanswered_count += 1
                break
            sent.append(SendToPeer(data, peer))
        return sent


def pack_summaries(refs_by_bucket: Mapping[int, list[EntryRef]], first_bucket: int) -> list[SummaryPart]:
    """Pack buckets into few datagrams, starting with ``first_bucket``.

    Small buckets share a datagram. A bucket that exceeds a datagram is split into parts of its own.
    """
    parts: list[SummaryPart] = []
    bucket_bits = 0
    shared_refs = list[EntryRef]()
    for bucket in sorted(refs_by_bucket, key=lambda number: (number - first_bucket) % BUCKET_COUNT):
        refs = refs_by_bucket[bucket]
        if len(refs) > MAX_REFS_PER_SUMMARY:
            offsets = range(0, len(refs), MAX_REFS_PER_SUMMARY)
            chunks = [tuple(refs[offset : offset + MAX_REFS_PER_SUMMARY]) for offset in offsets]
            parts += [
                SummaryPart(1 << bucket, index, len(chunks), chunk) for index, chunk in enumerate(chunks)
            ]
            continue
        if len(shared_refs) + len(refs) > MAX_REFS_PER_SUMMARY:
            parts.append(SummaryPart(bucket_bits, 0, 1, tuple(shared_refs)))
            bucket_bits = 0
            shared_refs = []
        bucket_bits |= 1 << bucket
        shared_refs += refs
    return [*parts, SummaryPart(bucket_bits, 0, 1, tuple(shared_refs))] if bucket_bits else parts
