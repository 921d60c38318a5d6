"""Reassembly of entries that peers send in fragments.

``FragmentAssembler`` owns the state; only ``SyncSessions`` changes it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.replication.codec import FRAGMENT_BYTES
from cedarthread.replication.entry import (
    MAX_ENTRIES,
    EncodedEntry,
    RejectedEntry,
    digest_of_bytes,
)
from cedarthread.replication.entry import decode as decode_entry
from cedarthread.replication.messages import (
    DIGEST_LOW_MODULUS,
    EntryFragment,
)

if TYPE_CHECKING:
    from cedarthread.replication.state import ReplicaState

MAX_PARTIAL_ENTRIES = 64  # maximum number of partial entries that are kept; the oldest are dropped first


class PartialEntry:
    """An entry of which some fragments have arrived.

    Args:
        entry_bytes: Length of the complete entry in bytes.
    """

    def __init__(self, entry_bytes: int) -> None:
        self.entry_bytes = entry_bytes
        self.fragments: dict[int, bytes] = {}  # fragments of the entry by index

    def missing_bits(self) -> int:
        """Return a bit mask of the fragments that have not arrived; 0 if the entry is complete."""
        fragment_count = -(-self.entry_bytes // FRAGMENT_BYTES)
        return sum(1 << index for index in range(fragment_count) if index not in self.fragments)

    def data(self) -> bytes:
        """Return the bytes of a complete entry."""
        return b"".join(self.fragments[index] for index in sorted(self.fragments))


class FragmentAssembler:
    """The partial entries of one router, and the number of invalid fragments and entries.

    Args:
        state: This router's entries, read to recognize fragments of known entries.
    """

    def __init__(self, state: ReplicaState) -> None:
        self.state = state
        self.partial_entries: dict[int, PartialEntry] = {}  # partial entries by digest
        # Count of fragments of the wrong length, and of entries that are malformed or exceed MAX_ENTRIES.
        self.invalid_count = 0

    def add(self, fragment: EntryFragment) -> EncodedEntry | None:
        """Add a fragment and return the entry that the fragment completes, if any.

        The result is None as well if the entry is already known to this router, or if the complete entry is
        invalid.
        """
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
        return self._validate(fragment.digest, partial.data())

    def _validate(self, digest: int, data: bytes) -> EncodedEntry | None:
        entry = decode_entry(data)
        if not isinstance(entry, RejectedEntry):
            encoded = EncodedEntry(entry, digest, data)
            if not self.state.is_full(encoded.key, MAX_ENTRIES) and digest_of_bytes(data) == digest:
                return encoded
        self.invalid_count += 1
        return None

    def missing_bits_by_digest_low(self) -> dict[int, int]:
        """Return the bit mask of missing fragments of each partial entry, by the low bits of its digest."""
        return {
            digest % DIGEST_LOW_MODULUS: partial.missing_bits()
            for digest, partial in self.partial_entries.items()
        }
