"""A router's replica: its entries, their local durability and their replication to a majority.

The module has no networking; ``SyncExchange`` connects the replica to the anti-entropy protocol. Entries
change only by ``LocalReplica.merge``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.components.replicated_state import Entry, EntryKind, ReplicatedEntry
from cedarthread.logs import format_event
from cedarthread.model.actions import LogMessage
from cedarthread.replication.entry import (
    MAX_PROPOSED_ENTRIES,
    VERSION_COUNTER_LIMIT,
    EncodedEntry,
    EntryKey,
    RejectedEntry,
    check_bounds,
    is_concurrent,
)
from cedarthread.replication.state import EntryRecord, ReplicaState

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.components.messages import OutboundMessage
    from cedarthread.replication.freshness import FreshnessTracker


class LocalReplica:
    """The entries of one router, and what is known about their durability and replication.

    Args:
        router_index: Index of this router, the author of the entries that ``prepare`` builds.
        incarnation: Incarnation of this router, part of the versions that ``prepare`` builds.
        freshness: Tracker of this router's reads; the replica reports changes to the tracker.
        is_durable: Whether the host persists changes and reports them by ``mark_persisted``. While a change
            is not persisted, this router sends no sync responses.
    """

    def __init__(
        self, router_index: int, incarnation: int, freshness: FreshnessTracker, *, is_durable: bool
    ) -> None:
        self.router_index = router_index
        self.incarnation = incarnation
        self.state = ReplicaState()
        self.freshness = freshness
        self.is_durable = is_durable
        self.revision = 0  # number of changes of the state
        self.persisted_revision = 0  # latest revision that is on disk
        self._changed_keys: dict[EntryKey, None] = {}
        self._pending_logs: list[OutboundMessage] = []

    def prepare(
        self,
        kind: EntryKind,
        name: str,
        body: bytes,
        normalize_body: Callable[[bytes], bytes] | None = None,
    ) -> EncodedEntry | Entry | RejectedEntry:
        """Build a new version of an entry, which the caller merges.

        Args:
            kind: Kind of the entry.
            name: Name of the entry, unique in its kind.
            body: Body of the new version.
            normalize_body: Normalizes a body, so that bodies with the same meaning compare equal; by default
                the body itself.

        Returns:
            The new version; the stored entry if it has the same meaning; or the reason for a rejection.
        """
        if (rejected := check_bounds(kind, name, body)) is not None:
            return rejected
        if self.state.is_full((kind, name), MAX_PROPOSED_ENTRIES):
            return RejectedEntry(
                f"{kind} {name!r}", f"the limit of {MAX_PROPOSED_ENTRIES} entries is reached"
            )
        previous = self.state.records.get((kind, name))
        normalize = normalize_body or bytes
        if previous is not None and normalize(previous.entry.body) == normalize(body):
            return previous.entry
        version = self.state.next_version(self.router_index, self.incarnation)
        if version.counter >= VERSION_COUNTER_LIMIT:
            return RejectedEntry(f"{kind} {name!r}: version", "the version counter is exhausted")
        return EncodedEntry.of(Entry(kind, name, version, body, previous.digest if previous else 0))

    def merge(self, now_ms: float, encoded: EncodedEntry) -> None:
        """Join an entry into the state."""
        result = self.state.merge(now_ms, encoded)
        if not result.is_changed:
            return
        self.revision += 1
        self._changed_keys[encoded.key] = None
        self.freshness.on_state_changed(self.state.root_digest, encoded.key, encoded.digest)
        if result.replaced is not None:
            self._log_lost_edit(encoded.entry, result.replaced)

    def _log_lost_edit(self, winner: Entry, loser: EntryRecord) -> None:
        """Log that an edit of this router lost against a concurrent edit."""
        version = loser.entry.version
        is_own = version.author == self.router_index and version.incarnation == self.incarnation
        if is_own and is_concurrent(winner, loser.digest):
            self._log(
                format_event(
                    "concurrent_edit_lost",
                    kind=winner.kind,
                    name=winner.name,
                    winning_router=winner.version.author,
                )
            )

    def is_persisted(self) -> bool:
        """Return whether a restart preserves every entry that this router may confirm to peers.

        A router that is not durable loses its vote in a restart, so its confirmations need no disk and the
        result is True.
        """
        return not self.is_durable or self.persisted_revision >= self.revision

    def mark_persisted(self, now_ms: float, revision: int) -> None:
        """Record that the state of ``revision`` is on disk."""
        self.persisted_revision = max(self.persisted_revision, revision)
        self.update_freshness(now_ms)

    def update_freshness(self, now_ms: float) -> None:
        """Update freshness and replication from reads, merges and disk writes since the last call."""
        if self.freshness.update(now_ms, is_persisted=self.is_persisted()):
            self._log(format_event("replica_became_voter"))
        newly_replicated = self.freshness.majority.newly_replicated
        for key, digest in newly_replicated.items():
            record = self.state.records[key]
            if record.digest == digest:
                record.replicated_at_ms = now_ms
                self.state.invalidate_kind(record.entry.kind)
                self._changed_keys[key] = None
        newly_replicated.clear()

    def take_changes(self) -> tuple[ReplicatedEntry, ...]:
        """Return and clear the entries received, changed or replicated to a majority since the last call."""
        keys = self._changed_keys
        self._changed_keys = {}
        return tuple(self.state.records[key].to_replicated_entry() for key in keys)

    def _log(self, line: str) -> None:
        self._pending_logs.append(LogMessage(line))

    def take_logs(self) -> list[OutboundMessage]:
        """Return and clear the log messages since the last call."""
        logs = self._pending_logs
        self._pending_logs = []
        return logs
