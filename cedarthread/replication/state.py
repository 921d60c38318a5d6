"""What one router holds: of each name the greatest entry, with sums by which two contents are compared.

The root of a content is the sum, modulo 2^64, of its entries' digests, and so is each bucket's: sums of
parts give the whole. So a router that knows all of another's entries by digest, held or surpassed here, can
prove by the sum alone that it lacks nothing of theirs.
"""

from __future__ import annotations

from dataclasses import dataclass

from cedarthread.components.interface import Entry, EntryKind, ReplicatedEntry, Version
from cedarthread.replication import entry as entries
from cedarthread.replication.codec import BUCKET_COUNT, EntryRef

DIGEST_MODULUS = 2**64
MAX_SUPERSEDED_DIGESTS = 4096  # surpassed digests that are remembered
MAX_COVERED_ROOTS = 256  # roots that are remembered to be within this content


@dataclass(slots=True)
class EntryRecord:
    """One name's entry."""

    entry: Entry
    digest: int
    data: bytes  # canonical
    received_at_ms: float
    replicated_at_ms: float | None = None

    def to_replicated_entry(self) -> ReplicatedEntry:
        """As others read it."""
        return ReplicatedEntry(self.entry, self.received_at_ms, self.replicated_at_ms)


def entry_ref(entry: Entry, digest: int) -> EntryRef:
    """How summaries name an entry."""
    return entries.key_hash(entry.kind, entry.name), digest % 2**32


class ReplicaState:
    """Entries by name; it only grows, in the order of the join."""

    def __init__(self) -> None:
        self.records: dict[entries.Key, EntryRecord] = {}
        self.keys_by_ref: dict[EntryRef, entries.Key] = {}  # of what is held
        self.superseded_digests: dict[EntryRef, int] = {}  # surpassed here: digests by pair, the oldest first
        self.known_digests: set[int] = set()  # of both
        self.bucket_sums = [0] * BUCKET_COUNT
        self.root_digest = 0
        self.covered_roots: dict[int, None] = {0: None}  # roots of contents known to be within this one
        self.highest_counter = 0  # the greatest seen in a version
        self._entries_by_kind: dict[EntryKind, tuple[ReplicatedEntry, ...]] = {}

    def merge(self, now: float, entry: Entry, digest: int, data: bytes) -> EntryRecord | None:
        """Join one entry; the slot it surpassed, itself if that surpasses it, None where there was none.

        The caller keeps the bound on their number (``full``)."""
        key, pair = (entry.kind, entry.name), entry_ref(entry, digest)
        old = self.records.get(key)
        self.highest_counter = max(self.highest_counter, entry.version.counter)
        if old is not None and old.digest == digest:
            return old
        self.known_digests.add(digest)
        if old is not None and not self.supersedes(entry, digest, old):
            self._remember_superseded(pair, digest)
            return EntryRecord(entry, digest, data, now)
        if old is not None:
            before = entry_ref(old.entry, old.digest)
            del self.keys_by_ref[before]
            self._remember_superseded(before, old.digest)
            self._add_to_sums(before[0], -old.digest)
        self.records.pop(key, None)  # the newest stands last
        self.records[key] = EntryRecord(entry, digest, data, now)
        self.keys_by_ref[pair] = key
        self.superseded_digests.pop(pair, None)
        self._add_to_sums(pair[0], digest)
        self.mark_covered(self.root_digest)
        self.invalidate_kind(entry.kind)
        return old

    def supersedes(self, entry: Entry, digest: int, old: EntryRecord) -> bool:
        """Is it greater than what is held?"""
        return entries.order_key(entry, digest) > entries.order_key(old.entry, old.digest)

    def _add_to_sums(self, number: int, digest: int) -> None:
        bucket = number % BUCKET_COUNT
        self.bucket_sums[bucket] = (self.bucket_sums[bucket] + digest) % DIGEST_MODULUS
        self.root_digest = (self.root_digest + digest) % DIGEST_MODULUS

    def _remember_superseded(self, pair: EntryRef, digest: int) -> None:
        self.superseded_digests[pair] = digest
        if len(self.superseded_digests) > MAX_SUPERSEDED_DIGESTS:
            self.known_digests.discard(self.superseded_digests.pop(next(iter(self.superseded_digests))))

    def known_digest(self, pair: EntryRef) -> int | None:
        """The digest of an entry that is held or surpassed here; None: it is not known to be."""
        if (key := self.keys_by_ref.get(pair)) is not None:
            return self.records[key].digest
        return self.superseded_digests.get(pair)

    def is_full(self, key: entries.Key, max_entries: int) -> bool:
        """Is there no room for that name?"""
        return key not in self.records and len(self.records) >= max_entries

    def mark_covered(self, root_digest: int) -> None:
        """That root's content is within this one from now on, for this one only grows."""
        self.covered_roots.pop(root_digest, None)
        self.covered_roots[root_digest] = None
        if len(self.covered_roots) > MAX_COVERED_ROOTS:
            del self.covered_roots[next(iter(self.covered_roots))]

    def invalidate_kind(self, kind: EntryKind) -> None:
        """What is read of a kind is to be made anew."""
        self._entries_by_kind.pop(kind, None)

    def entries(self, kind: EntryKind) -> tuple[ReplicatedEntry, ...]:
        """All entries of a kind, by name."""
        if (held := self._entries_by_kind.get(kind)) is None:
            names = sorted(name for k, name in self.records if k is kind)
            held = self._entries_by_kind[kind] = tuple(
                self.records[kind, name].to_replicated_entry() for name in names
            )
        return held

    def next_version(self, author: int, incarnation: int) -> Version:
        """A version greater than all seen here."""
        return Version(self.highest_counter + 1, author, incarnation)
