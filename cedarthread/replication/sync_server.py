"""Answering peers: sync responses, summaries of buckets that differ, and fragments of entries, within
budgets.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from cedarthread.model.actions import SendToPeer
from cedarthread.replication.codec import (
    BUCKET_COUNT,
    BUCKET_SUM_MODULUS,
    FRAGMENT_BYTES,
    MAX_REFS_PER_SUMMARY,
    EntryFragment,
    EntryRef,
    FetchRequest,
    Message,
    Summary,
    SummaryRequest,
    SyncRequest,
    SyncResponse,
    encode,
    encode_to,
    split_into_fragments,
)
from cedarthread.statistics import TokenBucket

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping, Sequence

    from cedarthread.replication.local_replica import LocalReplica

RESPONSES_PER_SECOND = 20.0  # so that a flood of requests is not answered in full
RESPONSE_BURST = 20.0
BYTES_PER_SECOND = 16_000.0  # of summaries and fragments, so that many routers may start together
BYTE_BURST = 16_384.0
MAX_UNSOLICITED_FRAGMENTS = 4  # of the newest entry, sent along with a response to a peer whose root differs


class SummaryFragment(NamedTuple):
    """What one summary datagram lists: buckets as bits, and which part of a bucket that needs several."""

    bucket_bits: int
    part_index: int
    part_count: int
    refs: tuple[EntryRef, ...]


class SyncServer:
    """Answers peers out of this router's replica."""

    def __init__(self, replica: LocalReplica, router_count: int, rng: random.Random, now_ms: float) -> None:
        self.replica, self.router_count, self.rng = replica, router_count, rng
        self.response_budget = TokenBucket(RESPONSES_PER_SECOND, RESPONSE_BURST, RESPONSE_BURST, now_ms)
        self.byte_budget = TokenBucket(BYTES_PER_SECOND, BYTE_BURST, BYTE_BURST, now_ms)
        self.unanswered_count = 0

    def admits(self, now_ms: float, request: SyncRequest) -> bool:
        """Whether a sync request is answered; one that is not looks like a lost datagram to the peer."""
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
        """The sync response, after the newest entry if the peer's state differs: most often it lacks just
        that.
        """
        messages: list[SendToPeer] = []
        replica = self.replica
        if request.root_digest != replica.state.root_digest:
            messages += self.newest_entry(now_ms, sender)
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

    def newest_entry(self, now_ms: float, sender: int) -> list[SendToPeer]:
        """The most recently received entry in fragments, if it is recent and small."""
        record = next(reversed(self.replica.state.records.values()), None)
        if record is None or now_ms - record.received_at_ms > self.replica.freshness.window_ms:
            return []
        if len(record.data) > MAX_UNSOLICITED_FRAGMENTS * FRAGMENT_BYTES:
            return []
        return self._send_within_budget(now_ms, sender, split_into_fragments(record.data, record.digest))

    def summaries(self, now_ms: float, sender: int, request: SummaryRequest) -> list[SendToPeer]:
        """Refs of all entries in the buckets that differ, as many as the budget allows, from a random bucket
        on.
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
        # Without any part the root digest alone may complete the peer's proof.
        parts = parts or [SummaryFragment(0, 0, 1, ())]
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

    def fetched_fragments(self, now_ms: float, sender: int, request: FetchRequest) -> list[SendToPeer]:
        """The fragments asked for, of those entries that are held."""
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


def pack_summaries(refs_by_bucket: Mapping[int, list[EntryRef]], first_bucket: int) -> list[SummaryFragment]:
    """Buckets in few datagrams: small buckets together, one that exceeds a datagram in parts of its own."""
    parts: list[SummaryFragment] = []
    bucket_bits, gathered = 0, list[EntryRef]()
    for bucket in sorted(refs_by_bucket, key=lambda number: (number - first_bucket) % BUCKET_COUNT):
        refs = refs_by_bucket[bucket]
        if len(refs) > MAX_REFS_PER_SUMMARY:
            offsets = range(0, len(refs), MAX_REFS_PER_SUMMARY)
            chunks = [tuple(refs[offset : offset + MAX_REFS_PER_SUMMARY]) for offset in offsets]
            parts += [
                SummaryFragment(1 << bucket, index, len(chunks), chunk) for index, chunk in enumerate(chunks)
            ]
            continue
        if len(gathered) + len(refs) > MAX_REFS_PER_SUMMARY:
            parts.append(SummaryFragment(bucket_bits, 0, 1, tuple(gathered)))
            bucket_bits, gathered = 0, []
        bucket_bits |= 1 << bucket
        gathered += refs
    return [*parts, SummaryFragment(bucket_bits, 0, 1, tuple(gathered))] if bucket_bits else parts
