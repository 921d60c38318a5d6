"""What a router writes to its store and when, and what it believes of it after a restart. Pure: no disk here.

After a restart nothing is believed before some peers have said which generation of this router's store they
remember: a lower one on the disk is stale, and the content is dropped. Until then, and without a disk, the
router is one that has forgotten everything: no voter of the replicated store, and without escrow.
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
    from cedarthread.escrow.escrow import Escrow
    from cedarthread.persistence.store import LoadResult, StoreFault
    from cedarthread.recovery.component import RecoveryComponent
    from cedarthread.replication.store import ReplicatedStore

MIN_PEER_REPORTS = 3
"""Peers that say what they remember before the store is believed."""
SNAPSHOT_INTERVAL_MS = 2000.0
"""Time between two warm-state snapshots."""
OPEN_TIMEOUT_MS = 2500.0
"""Time that the store may take to open; then the router goes on without it."""


class WriteKind(Enum):
    """What a write holds, and so whom its end concerns."""

    ENTRY = "entry"
    ESCROW = "escrow"
    WARM_STATE = "warm state"
    INCARNATION = "incarnation"
    RESET = "reset"


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """One write that the host is to make; handed back when it has ended."""

    key: str
    value: bytes
    kind: WriteKind
    revision: int = 0  # of the replicated store, for entries


RESET_WRITE = PendingWrite("", b"", WriteKind.RESET)
"""Stands for a reset of the store."""


class StatePersister:
    """Decides what one router writes to its store, and takes over what it reads there."""

    def __init__(
        self,
        replicated_store: ReplicatedStore,
        recovery: RecoveryComponent,
        start_escrow: Callable[[float, bytes | None], None],
        now_ms: float,
    ) -> None:
        """``start_escrow``: called once, with what the store remembers of the escrow, if that is believed."""
        self.replicated_store = replicated_store
        self.recovery = recovery
        self.start_escrow = start_escrow
        self.escrow: Escrow | None = None
        self.started_at_ms = now_ms
        self.has_started = False  # what is believed of the store is decided
        self.is_degraded = False  # the disk has a fault: what is confirmed from now on may be forgotten
        self.load_result: LoadResult | None = None
        self.image = RecoveredImage()
        self.queued_writes: list[PendingWrite] = []
        self.last_snapshot_at_ms = now_ms
        self.was_voter = False  # as last written
        self.reset_above_generation: int | None = None  # the host is to reset the store above this generation
        self.log_messages: list[OutboundMessage] = []
        replicated_store.set_durable(is_durable=True)

    def on_store_opened(self, now_ms: float, load_result: LoadResult, image: RecoveredImage) -> None:
        """The store has been opened, after a restart or a fault."""
        if self.has_started:
            self._on_store_reopened(load_result)
            return
        self.load_result, self.image = load_result, image
        self.replicated_store.store_generation = load_result.generation
        self._start_when_assessable(now_ms)

    def _start_when_assessable(self, now_ms: float) -> None:
        """Start once enough peers have said what they remember, or it is too late for them to."""
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
            self._start(now_ms, None)
            newest = max(peer_generations.values())
            generation = self.load_result.generation
            self._log(format_event("store_content_dropped", generation=generation, remembered=newest))
            self.reset_above_generation = newest
            return
        self._start_from_image(now_ms, self.image, is_trusted=verdict is ContentVerdict.TRUSTED)
        if self.image.rejected_count:
            self._log(format_event("store_values_rejected", count=self.image.rejected_count))

    def _start_without_store(self, now_ms: float) -> None:
        self.has_started = True
        self._enter_degraded_mode(now_ms)
        self.start_escrow(now_ms, None)

    def _start_from_image(self, now_ms: float, image: RecoveredImage, *, is_trusted: bool) -> None:
        """Take over what the store remembers; a vote and the escrow only if nothing can be missing."""
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

    def _start(self, now_ms: float, escrow: bytes | None) -> None:
        self.has_started = True
        self.start_escrow(now_ms, escrow)

    def on_entries_changed(self, changes: tuple[ReplicatedEntry, ...]) -> None:
        """Entries of the replicated store were added or replaced."""
        for changed in changes:
            self._queue_entry(changed.entry)

    def _queue_entry(self, entry: Entry) -> None:
        key, value = recovered_image.encode_entry(entry)
        revision = self.replicated_store.revision
        self.queued_writes.append(PendingWrite(key, value, WriteKind.ENTRY, revision))

    def on_tick(self, now_ms: float) -> list[PendingWrite]:
        """Some times a second: what is to be written now."""
        if not self.has_started:
            self._start_when_assessable(now_ms)
        is_writing = self.has_started and not self.is_degraded
        if is_writing:
            self._queue_incarnation()
            self._queue_escrow(now_ms)
            self._queue_warm_state(now_ms)
        writes, self.queued_writes = self.queued_writes, []
        return writes if is_writing else []

    def _queue_incarnation(self) -> None:
        is_voter = self.replicated_store.is_voter
        if is_voter is self.was_voter:
            return
        self.was_voter = is_voter
        incarnation = RouterIncarnation(
            router_index=self.replicated_store.router_index,
            process_incarnation=self.replicated_store.incarnation,
            membership_incarnation=0,
            is_voter=is_voter,
        )
        key, value = recovered_image.encode_incarnation(incarnation)
        self.queued_writes.append(PendingWrite(key, value, WriteKind.INCARNATION))

    def _queue_escrow(self, now_ms: float) -> None:
        if self.escrow is not None and (value := self.escrow.image_to_write(now_ms)) is not None:
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
        """The lines for the log since the last call."""
        log_messages, self.log_messages = self.log_messages, []
        return log_messages

    def on_write_completed(
        self, now_ms: float, write: PendingWrite, fault: StoreFault | None, generation: int
    ) -> None:
        """A write has ended; ``generation``: that of the store by then."""
        if fault is None:
            self._on_write_succeeded(now_ms, write, generation)
            return
        if write.kind is WriteKind.ESCROW and self.escrow is not None:
            self.escrow.mark_write_failed()
        if not self.is_degraded:
            self._log(format_event("store_degraded", fault=fault.value, effect="changes are not kept"))
            self._enter_degraded_mode(now_ms)

    def _on_write_succeeded(self, now_ms: float, write: PendingWrite, generation: int) -> None:
        self.replicated_store.store_generation = max(self.replicated_store.store_generation, generation)
        if write.kind is WriteKind.ENTRY:
            self.replicated_store.mark_persisted(now_ms, write.revision)
        elif write.kind is WriteKind.ESCROW and self.escrow is not None:
            self.escrow.mark_written(now_ms)

    def _enter_degraded_mode(self, now_ms: float) -> None:
        """Go on without the disk. The next restart must find its content stale, for it lacks what comes now.

        So peers are told a generation that the disk has not reached.
        """
        self.is_degraded = True
        self.replicated_store.set_durable(is_durable=False)
        self.replicated_store.store_generation += 1
        self.replicated_store.mark_persisted(now_ms, self.replicated_store.revision)

    def _on_store_reopened(self, load_result: LoadResult) -> None:
        """The fault is over: write everything anew, above the generation that peers were told."""
        if not (self.is_degraded and load_result.is_writable):
            return
        self.is_degraded = False
        self.was_voter = False
        self.reset_above_generation = self.replicated_store.store_generation
        self._log(format_event("store_rewritten", above_generation=self.reset_above_generation))
        for entry in self.replicated_store.snapshot():
            self._queue_entry(entry)

    def _log(self, line: str) -> None:
        self.log_messages.append(LogMessage(line))
