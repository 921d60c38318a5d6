"""Reassembly of entries that peers send in fragments."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.replication.codec import DIGEST_LOW_MODULUS, FRAGMENT_BYTES, EntryFragment
from cedarthread.replication.entry import (
    MAX_ENTRIES,
    EncodedEntry,
    RejectedEntry,
    digest_of_bytes,
)
from cedarthread.replication.entry import decode as decode_entry

if TYPE_CHECKING:
    from cedarthread.replication.state import ReplicaState

MAX_PARTIAL_ENTRIES = 64  # entries of which fragments may wait for the rest; the oldest are dropped first


class PartialEntry:
    """An entry of which some fragments have arrived."""

    def __init__(self, entry_bytes: int) -> None:
        self.entry_bytes = entry_bytes
        self.fragments: dict[int, bytes] = {}  # by index

    def missing_bits(self) -> int:
        """A bit for each fragment that has not arrived; 0: the entry is complete."""
        fragment_count = -(-self.entry_bytes // FRAGMENT_BYTES)
        return sum(1 << index for index in range(fragment_count) if index not in self.fragments)

    def data(self) -> bytes:
        """The bytes of a complete entry."""
        return b"".join(self.fragments[index] for index in sorted(self.fragments))


class FragmentAssembler:
    """Collects fragments until their entry is complete and checks the entry."""

    def __init__(self, state: ReplicaState) -> None:
        self.state = state
        self.partial_entries: dict[int, PartialEntry] = {}  # by digest
        self.invalid_count = 0  # fragments and entries that contradicted themselves or did not fit

    def add(self, fragment: EntryFragment) -> EncodedEntry | None:
        """Take a fragment; the entry that it completes, if it is new here and valid."""
        if fragment.digest in self.state.known_digests:
            return None
        partial = self.partial_entries.setdefault(fragment.digest, PartialEntry(fragment.entry_bytes))
        if partial.entry_bytes != fragment.entry_bytes:
            self.invalid_count += 1
            return None
        partial.fragments[fragment.fragment_index] = fragment.data
        if len(self.partial_entries) > MAX_PARTIAL_ENTRIES:
            del self.partial_entries[next(iter(self.partial_entries))]
        if partial.missing_bits():
            return None
        self.partial_entries.pop(fragment.digest, None)
        return self._checked(fragment.digest, partial.data())

    def _checked(self, digest: int, data: bytes) -> EncodedEntry | None:
        entry = decode_entry(data)
        if not isinstance(entry, RejectedEntry):
            encoded = EncodedEntry(entry, digest, data)
            if not self.state.is_full(encoded.key, MAX_ENTRIES) and digest_of_bytes(data) == digest:
                return encoded
        self.invalid_count += 1
        return None

    def missing_bits_by_digest_low(self) -> dict[int, int]:
        """For each partial entry, by the low bits of its digest: a bit for each missing fragment."""
        return {
            digest % DIGEST_LOW_MODULUS: partial.missing_bits()
            for digest, partial in self.partial_entries.items()
        }
