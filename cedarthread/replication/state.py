"""The entries that one router stores, with digest sums by which two routers compare their states.

The root digest is the sum of the digests of all entries modulo 2^64. A bucket's sum is that of the bucket's
entries, so the bucket sums add up to the root digest. Once a router has stored or superseded every entry of
another router, the sums alone prove that it lacks nothing of the other's state. ``LocalReplica`` merges
entries; ``SyncSessions`` marks root digests as covered.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from cedarthread.components.replicated_state import Entry, EntryKind, ReplicatedEntry, Version
from cedarthread.replication.entry import EncodedEntry, EntryKey, key_hash, order_key
from cedarthread.replication.messages import (
    BUCKET_COUNT,
    DIGEST_LOW_MODULUS,
    EntryRef,
)

DIGEST_MODULUS = 2**64
MAX_SUPERSEDED_DIGESTS = 4096  # maximum number of digests that are kept; the oldest are dropped first
MAX_COVERED_ROOTS = 256  # maximum roots that are kept; the least recently confirmed are dropped first


@dataclass(slots=True)
class EntryRecord:
    """The entry stored for one kind and name. Times are in ms on this router's monotonic clock."""

    entry: Entry
    digest: int
    data: bytes  # canonical encoding of the entry
    received_at_ms: float
    replicated_at_ms: float | None = None  # time at which a majority was first known to have the entry

    def to_replicated_entry(self) -> ReplicatedEntry:
        """Return the record as other components read it."""
        return ReplicatedEntry(self.entry, self.received_at_ms, self.replicated_at_ms)


class MergeResult(NamedTuple):
    """The effect of joining one entry into the state."""

    is_changed: bool
    replaced: EntryRecord | None = None  # the previous record, if one was replaced


def entry_ref(entry: Entry, digest: int) -> EntryRef:
    """Return the ref by which summaries and fetch requests name this version of an entry."""
    return EntryRef(key_hash(entry.kind, entry.name), digest % DIGEST_LOW_MODULUS)


class ReplicaState:
    """Entries by kind and name. The state only grows in the order of the join; no entry is deleted."""

    def __init__(self) -> None:
        self.records: dict[EntryKey, EntryRecord] = {}  # in order of reception
        self.keys_by_ref: dict[EntryRef, EntryKey] = {}  # keys of the stored entries
        self.superseded_digests: dict[EntryRef, int] = {}  # digests of superseded entries, the oldest first
        self.known_digests: set[int] = set()  # digests of stored and superseded entries
        self.bucket_sums = [0] * BUCKET_COUNT
        self.root_digest = 0
        self.covered_roots: dict[int, None] = {0: None}  # root digests of states that this state includes
        self.highest_counter = 0  # highest counter of all versions seen
        # Cache of the entries by kind.
        self._entries_by_kind: dict[EntryKind, tuple[ReplicatedEntry, ...]] = {}

    def merge(self, now_ms: float, encoded: EncodedEntry) -> MergeResult:
        """Join one entry into the state.

        The losing version, new or stored, is recorded as superseded. The caller enforces the limit on the
        number of entries (``is_full``).
        """
        entry = encoded.entry
        digest = encoded.digest
        key = encoded.key
        ref = entry_ref(entry, digest)
        previous = self.records.get(key)
        self.highest_counter = max(self.highest_counter, entry.version.counter)
        if previous is not None and previous.digest == digest:
            return MergeResult(is_changed=False)
        self.known_digests.add(digest)
        if previous is not None and not self.supersedes(entry, digest, previous):
            self._record_superseded(ref, digest)
            return MergeResult(is_changed=False)
        if previous is not None:
            previous_ref = entry_ref(previous.entry, previous.digest)
            del self.keys_by_ref[previous_ref]
            self._record_superseded(previous_ref, previous.digest)
            self._add_to_sums(previous_ref.bucket, -previous.digest)
        self.records.pop(key, None)  # keeps the most recently received record last
        self.records[key] = EntryRecord(entry, digest, encoded.data, now_ms)
        self.keys_by_ref[ref] = key
        self.superseded_digests.pop(ref, None)
        self._add_to_sums(ref.bucket, digest)
        self.mark_covered(self.root_digest)
        self.invalidate_kind(entry.kind)
        return MergeResult(is_changed=True, replaced=previous)

    def supersedes(self, entry: Entry, digest: int, previous: EntryRecord) -> bool:
        """Return whether an entry wins over the stored one."""
        return order_key(entry, digest) > order_key(previous.entry, previous.digest)

    def _add_to_sums(self, bucket: int, digest: int) -> None:
        self.bucket_sums[bucket] = (self.bucket_sums[bucket] + digest) % DIGEST_MODULUS
        self.root_digest = (self.root_digest + digest) % DIGEST_MODULUS

    def _record_superseded(self, ref: EntryRef, digest: int) -> None:
        self.superseded_digests[ref] = digest
        if len(self.superseded_digests) > MAX_SUPERSEDED_DIGESTS:
            self.known_digests.discard(self.superseded_digests.pop(next(iter(self.superseded_digests))))

    def known_digest(self, ref: EntryRef) -> int | None:
        """Return the full digest of an entry that is stored or superseded here; None for an unknown ref."""
        if (key := self.keys_by_ref.get(ref)) is not None:
            return self.records[key].digest
        return self.superseded_digests.get(ref)

    def is_full(self, key: EntryKey, max_entries: int) -> bool:
        """Return whether an entry with this key would exceed ``max_entries``."""
        return key not in self.records and len(self.records) >= max_entries

    def mark_covered(self, root_digest: int) -> None:
        """Record that this state includes the state with this root digest.

        The record stays valid, because this state only grows.
        """
        self.covered_roots.pop(root_digest, None)
        self.covered_roots[root_digest] = None
        if len(self.covered_roots) > MAX_COVERED_ROOTS:
            del self.covered_roots[next(iter(self.covered_roots))]

    def invalidate_kind(self, kind: EntryKind) -> None:
        """Drop the cached result of ``entries`` for a kind."""
        self._entries_by_kind.pop(kind, None)

    def entries(self, kind: EntryKind) -> tuple[ReplicatedEntry, ...]:
        """Return all entries of a kind, sorted by name."""
        if (cached := self._entries_by_kind.get(kind)) is None:
            names = sorted(name for record_kind, name in self.records if record_kind is kind)
            cached = tuple(self.records[kind, name].to_replicated_entry() for name in names)
            self._entries_by_kind[kind] = cached
        return cached

    def next_version(self, author: int, incarnation: int) -> Version:
        """Return a version greater than all versions seen here."""
        return Version(self.highest_counter + 1, author, incarnation)
