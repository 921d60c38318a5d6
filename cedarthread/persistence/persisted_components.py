"""The methods of other components that ``StatePersister`` uses to read and restore their state."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from cedarthread.components.replicated_state import Entry


class PersistedEntries(Protocol):
    """The store of replicated entries, as persistence uses it."""

    store_generation: int
    """The generation of this router's store, of which peers are notified."""

    @property
    def generation_known_to_peer(self) -> Mapping[int, int]:
        """Return the generation of this router's store that each peer remembers, by the peer's index."""

    @property
    def all_peers(self) -> Sequence[int]:
        """Return the indexes of all other routers."""

    @property
    def window_ms(self) -> float:
        """Return the freshness window: the time in which an exchange between peers reaches all routers."""

    @property
    def router_index(self) -> int:
        """Return the index of this router."""

    @property
    def incarnation(self) -> int:
        """Return the incarnation of this router's process."""

    @property
    def is_voter(self) -> bool:
        """Return whether this router counts towards majorities of the replicated store."""

    @property
    def revision(self) -> int:
        """Return the number of changes of the entries since the start."""

    def set_durable(self, *, is_durable: bool) -> None:
        """Set whether an entry is confirmed to peers only after ``mark_persisted``."""

    def restore(self, entries: Iterable[Entry], *, is_voter: bool, now_ms: float) -> None:
        """Add entries of the previous incarnation; ``is_voter`` states that no entry is missing."""

    def snapshot(self) -> tuple[Entry, ...]:
        """Return all entries."""

    def mark_persisted(self, now_ms: float, revision: int) -> None:
        """Mark all entries up to a revision as persisted."""


class PersistedWarmState(Protocol):
    """The restart recovery, as persistence uses it."""

    def snapshot(self, now_ms: float) -> bytes | None:
        """Return the encoded warm state, or None if no snapshot can be made now."""

    def restore(self, now_ms: float, raw: bytes) -> int:
        """Restore a snapshot of the previous incarnation, and return the number of observations used."""


class PersistedEscrow(Protocol):
    """The escrow, as persistence uses it."""

    def take_due_image(self, now_ms: float) -> bytes | None:
        """Return the encoded state to write, or None if no write is due."""

    def mark_written(self, now_ms: float) -> None:
        """Record that the last image was written."""

    def mark_write_failed(self) -> None:
        """Record that the last image could not be written."""
