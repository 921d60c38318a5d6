"""What a router puts into its store and when, and what it believes of it at a start. Pure: no disk here.

At the start nothing is believed before some peers have said which generation of this router's store they
remember: an older one shows a disk that lies, and its content is dropped. Until then, and without a disk, the
router is one that has forgotten all: unseated, without a part of any count.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cedarthread.components.interface import OutboundMessage, ReplicatedEntry
from cedarthread.escrow.escrow import Escrow
from cedarthread.model.actions import LogMessage
from cedarthread.persistence import recovered_image
from cedarthread.persistence.recovered_image import ContentVerdict, RecoveredImage
from cedarthread.persistence.store import LoadResult, StoreFault
from cedarthread.recovery.component import RecoveryComponent
from cedarthread.replication.store import ReplicatedStore

MIN_PEER_REPORTS = 3  # peers that say what they remember before the store is believed
SNAPSHOT_INTERVAL_MS = 2000.0  # ms between two snapshots of what stands warm
OPEN_TIMEOUT_MS = 2500.0  # ms that the store may take to open; then the router goes on without


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """One write that the host is to make, and what its end is to be told as."""

    key: str
    value: bytes
    kind: str  # "entry", "grants", "warm", "life"
    revision: int = 0


class StatePersister:
    """One router's store as its parts use it.

    ``begin``: called once with whether what was remembered holds; it makes the grants, which need that."""

    def __init__(
        self,
        replicated_store: ReplicatedStore,
        recovery: RecoveryComponent,
        start_escrow: Callable[[float, bytes | None], None],
        now: float,
    ) -> None:
        self.replicated_store, self.recovery, self.start_escrow = replicated_store, recovery, start_escrow
        self.escrow: Escrow | None = None
        self.started_at_ms, self.has_started = now, False
        self.load_result: LoadResult | None = None
        self.is_degraded = False  # the disk is in trouble: what is confirmed from now on may be forgotten
        self.queued_writes: list[PendingWrite] = []
        self.last_snapshot_at_ms = now
        self.seated = False
        self.reset_above_generation: int | None = None  # the host is to reset the store above this generation
        self.log_messages: list[OutboundMessage] = []
        replicated_store.set_durable(True)

    # The start.

    def on_store_opened(self, now: float, load_result: LoadResult, image: RecoveredImage) -> None:
        """The store has opened, at the start or after trouble."""
        if self.has_started:
            return self._on_store_reopened(now, load_result)
        self.load_result, self.image = load_result, image
        self.replicated_store.store_generation = load_result.generation
        self._start_when_assessable(now)

    def _start_when_assessable(self, now: float) -> None:
        """Believe the store once peers have said what they remember, or nobody says anything."""
        told, others = self.replicated_store.generation_known_to_peer, len(self.replicated_store.all_peers)
        if self.load_result is None:
            if now - self.started_at_ms >= OPEN_TIMEOUT_MS:
                self._log("no answer of the disk: this router goes on without what it remembered")
                self._start(now, None, None)
            return
        if (
            len(told) < min(MIN_PEER_REPORTS, others)
            and now - self.started_at_ms < self.replicated_store.window_ms
        ):
            return
        verdict = recovered_image.assess_content(self.load_result, told.values())
        self._start(now, verdict, self.image)
        if verdict is ContentVerdict.REJECTED:
            self._log(
                f"generation {self.load_result.generation} is older than {max(told.values())}: "
                "content dropped"
            )
            self.reset_above_generation = max(told.values())
        elif self.image.rejected_count:
            self._log(f"{self.image.rejected_count} values were left out")

    def _start(self, now: float, verdict: ContentVerdict | None, image: RecoveredImage | None) -> None:
        self.has_started = True
        grants = None
        if image is not None and verdict in (ContentVerdict.TRUSTED, ContentVerdict.PARTIAL):
            whole = (
                verdict is ContentVerdict.TRUSTED
                and image.incarnation is not None
                and image.incarnation.seated
                and not image.rejected_count
            )
            self.replicated_store.restore(image.entries, whole, now)
            if image.warm_state is not None:
                self.recovery.restore(now, image.warm_state)
            grants = image.escrow if whole else None
        elif verdict is None:
            self._enter_degraded_mode(now)
        self.start_escrow(now, grants)

    # Day to day.

    def on_entries_changed(self, now: float, changes: tuple[ReplicatedEntry, ...]) -> None:
        """Entries came or changed."""
        stamp = self.replicated_store.revision
        for one in changes:
            key, value = recovered_image.encode_entry(one.entry)
            self.queued_writes.append(PendingWrite(key, value, "entry", stamp))

    def on_tick(self, now: float) -> list[PendingWrite]:
        """Some times a second: what is to be put."""
        if not self.has_started:
            self._start_when_assessable(now)
        if self.has_started and not self.is_degraded:
            if self.replicated_store.is_voter is not self.seated:
                self.seated = self.replicated_store.is_voter
                key, value = recovered_image.encode_incarnation(
                    recovered_image.RouterIncarnation(
                        self.replicated_store.router_index, self.replicated_store.incarnation, 0, self.seated
                    )
                )
                self.queued_writes.append(PendingWrite(key, value, "life"))
            if self.escrow is not None and (image := self.escrow.image_to_write(now)) is not None:
                self.queued_writes.append(PendingWrite("grants", image, "grants"))
            if (
                now - self.last_snapshot_at_ms >= SNAPSHOT_INTERVAL_MS
                and (warm := self.recovery.snapshot(now)) is not None
            ):
                self.last_snapshot_at_ms = now
                self.queued_writes.append(PendingWrite("warm", warm, "warm"))
        puts, self.queued_writes = self.queued_writes, []
        return puts if self.has_started and not self.is_degraded else []

    def take_log_messages(self) -> list[OutboundMessage]:
        """Lines for the log since it was last asked."""
        words, self.log_messages = self.log_messages, []
        return words

    def on_write_completed(
        self, now: float, write: PendingWrite, fault: StoreFault | None, generation: int
    ) -> None:
        """A put ended."""
        if fault is None:
            self.replicated_store.store_generation = max(self.replicated_store.store_generation, generation)
            if write.kind == "entry":
                self.replicated_store.mark_persisted(now, write.revision)
            elif write.kind == "grants" and self.escrow is not None:
                self.escrow.mark_written(now)
            return
        if write.kind == "grants" and self.escrow is not None:
            self.escrow.mark_write_failed()
        if not self.is_degraded:
            self._log(f"{fault.value}: calls are served on, what changes from now on is not kept")
            self._enter_degraded_mode(now)

    def _enter_degraded_mode(self, now: float) -> None:
        """What is confirmed from here on the disk will not have: at the next start it must be known for old.

        So peers are told a generation that the disk does not reach."""
        self.is_degraded = True
        self.replicated_store.set_durable(False)
        self.replicated_store.store_generation += 1
        self.replicated_store.mark_persisted(now, self.replicated_store.revision)

    def _on_store_reopened(self, now: float, load_result: LoadResult) -> None:
        """The disk is back: all is put anew, above the generation that peers were told."""
        if not (self.is_degraded and load_result.is_writable):
            return
        self.is_degraded, self.seated = False, False
        self.reset_above_generation = self.replicated_store.store_generation
        self._log("the disk is back: all that is held is written anew")
        for entry in self.replicated_store.snapshot():
            key, value = recovered_image.encode_entry(entry)
            self.queued_writes.append(PendingWrite(key, value, "entry", self.replicated_store.revision))

    def _log(self, text: str) -> None:
        self.log_messages.append(LogMessage(f"store: {text}"))
