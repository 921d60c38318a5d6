"""The entries that one router holds, with digest sums by which two routers' states are compared.

The root digest is the sum of all entries' digests modulo 2^64, and each bucket's sum that of its entries; the
bucket sums add up to the root digest. A router that recognises every entry of another, held here or
superseded here, can therefore prove by the sums alone that it lacks nothing of the other's state.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from cedarthread.components.replicated_state import Entry, EntryKind, ReplicatedEntry, Version
from cedarthread.replication.codec import BUCKET_COUNT, DIGEST_LOW_MODULUS, EntryRef
from cedarthread.replication.entry import EncodedEntry, EntryKey, key_hash, order_key

DIGEST_MODULUS = 2**64
MAX_SUPERSEDED_DIGESTS = 4096  # remembered; the oldest are forgotten first
MAX_COVERED_ROOTS = 256  # remembered; the least recently confirmed are forgotten first


@dataclass(slots=True)
class EntryRecord:
    """The entry that is held for one kind and name. Times in ms on this router's steady clock."""

    entry: Entry
    digest: int
    data: bytes  # canonical
    received_at_ms: float
    replicated_at_ms: float | None = None  # when it was first known to be held by a majority

    def to_replicated_entry(self) -> ReplicatedEntry:
        """The record as other components read it."""
        return ReplicatedEntry(self.entry, self.received_at_ms, self.replicated_at_ms)


class MergeResult(NamedTuple):
    """What joining one entry did."""

    is_changed: bool
    replaced: EntryRecord | None = None  # the record that was held before, if one was replaced


def entry_ref(entry: Entry, digest: int) -> EntryRef:
    """How summaries and fetch requests name this version of an entry."""
    return EntryRef(key_hash(entry.kind, entry.name), digest % DIGEST_LOW_MODULUS)


class ReplicaState:
    """Entries by kind and name. The state only grows in the order of the join; nothing is deleted."""

    def __init__(self) -> None:
        self.records: dict[EntryKey, EntryRecord] = {}  # the most recently received last
        self.keys_by_ref: dict[EntryRef, EntryKey] = {}  # of the entries held
        self.superseded_digests: dict[EntryRef, int] = {}  # the oldest first
        self.known_digests: set[int] = set()  # held or superseded
        self.bucket_sums = [0] * BUCKET_COUNT
        self.root_digest = 0
        self.covered_roots: dict[int, None] = {0: None}  # root digests of states known to be within this one
        self.highest_counter = 0  # of all versions seen
        self._entries_by_kind: dict[EntryKind, tuple[ReplicatedEntry, ...]] = {}  # cache

    def merge(self, now_ms: float, encoded: EncodedEntry) -> MergeResult:
        """Join one entry into the state. The caller enforces the bound on their number (``is_full``)."""
        entry, digest, key = encoded.entry, encoded.digest, encoded.key
        ref = entry_ref(entry, digest)
        old = self.records.get(key)
        self.highest_counter = max(self.highest_counter, entry.version.counter)
        if old is not None and old.digest == digest:
            return MergeResult(False)
        self.known_digests.add(digest)
        if old is not None and not self.supersedes(entry, digest, old):
            self._remember_superseded(ref, digest)
            return MergeResult(False)
        if old is not None:
            old_ref = entry_ref(old.entry, old.digest)
            del self.keys_by_ref[old_ref]
            self._remember_superseded(old_ref, old.digest)
            self._add_to_sums(old_ref.bucket, -old.digest)
        self.records.pop(key, None)  # so that the newest record is the last
        self.records[key] = EntryRecord(entry, digest, encoded.data, now_ms)
        self.keys_by_ref[ref] = key
        self.superseded_digests.pop(ref, None)
        self._add_to_sums(ref.bucket, digest)
        self.mark_covered(self.root_digest)
        self.invalidate_kind(entry.kind)
        return MergeResult(True, old)

    def supersedes(self, entry: Entry, digest: int, old: EntryRecord) -> bool:
        """Whether an entry wins over the one that is held."""
        return order_key(entry, digest) > order_key(old.entry, old.digest)

    def _add_to_sums(self, bucket: int, digest: int) -> None:
        self.bucket_sums[bucket] = (self.bucket_sums[bucket] + digest) % DIGEST_MODULUS
        self.root_digest = (self.root_digest + digest) % DIGEST_MODULUS

    def _remember_superseded(self, ref: EntryRef, digest: int) -> None:
        self.superseded_digests[ref] = digest
        if len(self.superseded_digests) > MAX_SUPERSEDED_DIGESTS:
            self.known_digests.discard(self.superseded_digests.pop(next(iter(self.superseded_digests))))

    def known_digest(self, ref: EntryRef) -> int | None:
        """The full digest of an entry that is held or superseded here; None if the ref is not recognised."""
        if (key := self.keys_by_ref.get(ref)) is not None:
            return self.records[key].digest
        return self.superseded_digests.get(ref)

    def is_full(self, key: EntryKey, max_entries: int) -> bool:
        """Whether an entry of this key would exceed the bound."""
        return key not in self.records and len(self.records) >= max_entries

    def mark_covered(self, root_digest: int) -> None:
        """Remember that the state with this root digest is within this one; it stays so, for this one only
        grows.
        """
        self.covered_roots.pop(root_digest, None)
        self.covered_roots[root_digest] = None
        if len(self.covered_roots) > MAX_COVERED_ROOTS:
            del self.covered_roots[next(iter(self.covered_roots))]

    def invalidate_kind(self, kind: EntryKind) -> None:
        """Drop the cached result of ``entries`` for a kind."""
        self._entries_by_kind.pop(kind, None)

    def entries(self, kind: EntryKind) -> tuple[ReplicatedEntry, ...]:
        """All entries of a kind, sorted by name."""
        if (cached := self._entries_by_kind.get(kind)) is None:
            names = sorted(name for record_kind, name in self.records if record_kind is kind)
            cached = tuple(self.records[kind, name].to_replicated_entry() for name in names)
            self._entries_by_kind[kind] = cached
        return cached

    def next_version(self, author: int, incarnation: int) -> Version:
        """A version greater than all that were seen here."""
        return Version(self.highest_counter + 1, author, incarnation)
