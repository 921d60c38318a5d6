"""The policy for when a router writes its state, and how much stored state it uses after a restart.

No function here accesses a disk: the host makes the writes that ``StatePersister`` returns.

After a restart the content is not used until some peers have reported which generation of this router's store
they remember. If they remember a higher generation than the disk has, the content is stale and is dropped.
Until then, and without a working disk, the router acts as one without any stored state: it is not a voter of
the replicated store, and it has no escrow.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from cedarthread.logs import format_event
from cedarthread.model.actions import LogMessage
from cedarthread.persistence import recovered_image
from cedarthread.persistence.recovered_image import ContentVerdict, RecoveredImage, RouterIncarnation

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.components.messages import OutboundMessage
    from cedarthread.components.replicated_state import Entry, ReplicatedEntry
    from cedarthread.persistence.persisted_components import (
        PersistedEntries,
        PersistedEscrow,
        PersistedWarmState,
    )
    from cedarthread.persistence.store import LoadResult, StoreFault

MIN_PEER_REPORTS = 3
"""Number of peers that must report a generation before the store's content is assessed."""
SNAPSHOT_INTERVAL_MS = 2000.0
"""Minimum time between two warm-state snapshots."""
OPEN_TIMEOUT_MS = 2500.0
"""Time after which the router starts without the store if the store is not open yet."""


class WriteKind(Enum):
    """The kind of a write, which decides which component is notified of its completion."""

    ENTRY = "entry"
    ESCROW = "escrow"
    WARM_STATE = "warm state"
    INCARNATION = "incarnation"
    RESET = "reset"


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """A write that the host makes, and passes to ``on_write_completed`` afterwards."""

    key: str
    value: bytes
    kind: WriteKind
    revision: int = 0  # revision of the replicated store; for entries only


RESET_WRITE = PendingWrite("", b"", WriteKind.RESET)
"""The write that the host passes to ``on_write_completed`` after a reset of the store."""


class StatePersister:
    """The state of one router's persistence: queued writes, and the use of the recovered content.

    Args:
        replicated_store: the store of replicated entries, which is notified of durable entries.
        recovery: restores warm state, and provides snapshots of it.
        start_escrow: called once at the start with the time and the escrow's stored state, or None if
            there is none or it must not be used.
        now_ms: the time of the router's start.
    """

    def __init__(
        self,
        replicated_store: PersistedEntries,
        recovery: PersistedWarmState,
        start_escrow: Callable[[float, bytes | None], None],
        now_ms: float,
    ) -> None:
        self.replicated_store = replicated_store
        self.recovery = recovery
        self.start_escrow = start_escrow
        self.escrow: PersistedEscrow | None = None  # persisted escrow, set by start_escrow
        self.started_at_ms = now_ms
        self.has_started = False  # whether the use of the stored content has been decided
        self.is_degraded = False  # the disk has a fault, so that changes are not persisted
        self.load_result: LoadResult | None = None
        self.image = RecoveredImage()
        self.queued_writes: list[PendingWrite] = []
        self.last_snapshot_at_ms = now_ms
        self.last_recorded_is_voter = False  # is_voter of the last incarnation record written
        # Generation above which to reset; set to request a reset, and cleared by the host.
        self.reset_above_generation: int | None = None
        self.log_messages: list[OutboundMessage] = []
        replicated_store.set_durable(is_durable=True)

    def on_store_opened(self, now_ms: float, load_result: LoadResult, image: RecoveredImage) -> None:
        """Handle the opening of the store after a restart or a fault."""
        if self.has_started:
            self._on_store_reopened(load_result)
            return
        self.load_result = load_result
        self.image = image
        self.replicated_store.store_generation = load_result.generation
        self._start_when_assessable(now_ms)

    def _start_when_assessable(self, now_ms: float) -> None:
        """Start once enough peers have reported a generation, or the time to wait for them has elapsed."""
        if self.load_result is None:
            if now_ms - self.started_at_ms >= OPEN_TIMEOUT_MS:
                self._log(format_event("store_open_timeout", timeout_ms=f"{OPEN_TIMEOUT_MS:.0f}"))
                self._start_without_store(now_ms)
            return
        peer_generations = self.replicated_store.generation_known_to_peer
        min_reports = min(MIN_PEER_REPORTS, len(self.replicated_store.all_peers))
        is_too_early = now_ms - self.started_at_ms < self.replicated_store.window_ms
        if len(peer_generations) < min_reports and is_too_early:
            return
        verdict = recovered_image.assess_content(self.load_result, peer_generations.values())
        if verdict is ContentVerdict.REJECTED:
            self.has_started = True
            self.start_escrow(now_ms, None)
            newest = max(peer_generations.values())
            generation = self.load_result.generation
            self._log(format_event("store_content_dropped", generation=generation, remembered=newest))
            self.reset_above_generation = newest
            return
        self._start_from_image(now_ms, self.image, is_trusted=verdict is ContentVerdict.TRUSTED)
        if self.image.rejected_count:
            self._log(format_event("store_values_rejected", count=self.image.rejected_count))

    def _start_without_store(self, now_ms: float) -> None:
        """Start in degraded mode, because the store did not open in time."""
        self.has_started = True
        self._enter_degraded_mode(now_ms)
        self.start_escrow(now_ms, None)

    def _start_from_image(self, now_ms: float, image: RecoveredImage, *, is_trusted: bool) -> None:
        """Restore the stored state; restore the vote and the escrow only if no value can be missing."""
        is_complete = (
            is_trusted
            and image.incarnation is not None
            and image.incarnation.is_voter
            and not image.rejected_count
        )
        self.has_started = True
        self.replicated_store.restore(image.entries, is_voter=is_complete, now_ms=now_ms)
        if image.warm_state is not None:
            self.recovery.restore(now_ms, image.warm_state)
        self.start_escrow(now_ms, image.escrow if is_complete else None)

    def on_entries_changed(self, changes: tuple[ReplicatedEntry, ...]) -> None:
        """Queue writes of entries that were added to the replicated store or replaced there."""
        for changed in changes:
            self._queue_entry(changed.entry)

    def _queue_entry(self, entry: Entry) -> None:
        key, value = recovered_image.encode_entry(entry)
        revision = self.replicated_store.revision
        self.queued_writes.append(PendingWrite(key, value, WriteKind.ENTRY, revision))

    def on_tick(self, now_ms: float) -> list[PendingWrite]:
        """Return the writes that are due; called several times a second."""
        if not self.has_started:
            self._start_when_assessable(now_ms)
        is_writing = self.has_started and not self.is_degraded
        if is_writing:
            self._queue_incarnation()
            self._queue_escrow(now_ms)
            self._queue_warm_state(now_ms)
        writes = self.queued_writes
        self.queued_writes = []
        return writes if is_writing else []

    def _queue_incarnation(self) -> None:
        is_voter = self.replicated_store.is_voter
        if is_voter is self.last_recorded_is_voter:
            return
        self.last_recorded_is_voter = is_voter
        incarnation = RouterIncarnation(
            router_index=self.replicated_store.router_index,
            process_incarnation=self.replicated_store.incarnation,
            membership_incarnation=0,
            is_voter=is_voter,
        )
        key, value = recovered_image.encode_incarnation(incarnation)
        self.queued_writes.append(PendingWrite(key, value, WriteKind.INCARNATION))

    def _queue_escrow(self, now_ms: float) -> None:
        if self.escrow is not None and (value := self.escrow.take_due_image(now_ms)) is not None:
            self.queued_writes.append(PendingWrite(recovered_image.ESCROW_KEY, value, WriteKind.ESCROW))

    def _queue_warm_state(self, now_ms: float) -> None:
        if now_ms - self.last_snapshot_at_ms < SNAPSHOT_INTERVAL_MS:
            return
        value = self.recovery.snapshot(now_ms)
        if value is not None:
            self.last_snapshot_at_ms = now_ms
            write = PendingWrite(recovered_image.WARM_STATE_KEY, value, WriteKind.WARM_STATE)
            self.queued_writes.append(write)

    def take_log_messages(self) -> list[OutboundMessage]:
        """Return the lines to log since the last call."""
        log_messages = self.log_messages
        self.log_messages = []
        return log_messages

    def on_write_completed(
        self, now_ms: float, write: PendingWrite, fault: StoreFault | None, generation: int
    ) -> None:
        """Handle the completion of a write.

        Args:
            now_ms: the current time.
            write: the completed write.
            fault: the fault of the write, or None if the write is durable.
            generation: the present generation of the store.
        """
        if fault is None:
            self._on_write_succeeded(now_ms, write, generation)
            return
        if write.kind is WriteKind.ESCROW and self.escrow is not None:
            self.escrow.mark_write_failed()
        if not self.is_degraded:
            self._log(format_event("store_degraded", fault=fault.value, effect="changes are not persisted"))
            self._enter_degraded_mode(now_ms)

    def _on_write_succeeded(self, now_ms: float, write: PendingWrite, generation: int) -> None:
        self.replicated_store.store_generation = max(self.replicated_store.store_generation, generation)
        if write.kind is WriteKind.ENTRY:
            self.replicated_store.mark_persisted(now_ms, write.revision)
        elif write.kind is WriteKind.ESCROW and self.escrow is not None:
            self.escrow.mark_written(now_ms)

    def _enter_degraded_mode(self, now_ms: float) -> None:
        """Continue without the disk.

        Later changes are not on the disk, so that a restart must find the disk's content stale. Peers are
        therefore notified of a generation that the disk has not reached.
        """
        self.is_degraded = True
        self.replicated_store.set_durable(is_durable=False)
        self.replicated_store.store_generation += 1
        self.replicated_store.mark_persisted(now_ms, self.replicated_store.revision)

    def _on_store_reopened(self, load_result: LoadResult) -> None:
        """Leave degraded mode: write all entries again, above the generation that peers were notified of.

        Do nothing if the store is not writable, or if the router was not in degraded mode.
        """
        if not (self.is_degraded and load_result.is_writable):
            return
        self.is_degraded = False
        self.last_recorded_is_voter = False
        self.reset_above_generation = self.replicated_store.store_generation
        self._log(format_event("store_rewritten", above_generation=self.reset_above_generation))
        for entry in self.replicated_store.snapshot():
            self._queue_entry(entry)

    def _log(self, line: str) -> None:
        self.log_messages.append(LogMessage(line))
