"""The contract that each implementation of a store guarantees, on any disk."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Literal, Protocol


class StoreFault(Enum):
    """A fault of a store's disk or content. The values appear in log lines and in metrics for operators."""

    DISK_FULL = "no space left"
    IO_ERROR = "input or output failed"  # a read, write or sync failed
    READ_ONLY = "read-only"
    FOLDER_MISSING = "the folder is gone"
    CORRUPTED = "damaged content was left out"
    STALE = "the content is older than what others remember"
    LOCKED = "another process writes here"
    UNRESPONSIVE = "no answer of the disk within its time"


@dataclass(frozen=True, slots=True)
class LoadResult:
    """The content of a store when it was opened.

    At generations 0 and 1 no value was ever written, because ``SqliteBackend`` creates a store by an empty
    commit.
    """

    values: Mapping[str, bytes]
    generation: int  # increases with each acknowledged write, across all incarnations of the router
    fault: StoreFault | None = None

    @property
    def is_writable(self) -> bool:
        """Return whether the store accepts writes.

        After CORRUPTED it does, because the corrupted content was rejected. All other faults persist.
        """
        return self.fault in (None, StoreFault.CORRUPTED)


SyncMode = Literal["each", "group", "none"]
"""When a write is acknowledged: after its own sync, after a sync shared with others, or without any sync."""
KeyValueWrite = tuple[str, bytes | None]
"""A key with its new value; None deletes the key."""
WriteCallback = Callable[[StoreFault | None], None]
"""Receives the fault of a completed write, or None if the write is durable."""


class Store(Protocol):
    """A durable map of keys to values. No method waits for a disk; callbacks run on the caller's thread.

    1. Each write that ``put`` acknowledged survives a crash or a power cut completely; otherwise ``load``
       reports that the content is corrupted or stale. A value is never returned in part, or under a key for
       which it was not written.
    2. A write that was not acknowledged is applied completely or not at all. Writes of one key are applied in
       the order in which they were made.
    3. After a fault the store reports the fault and acknowledges no write until the store has been reopened.
       Until then writes fail at once with that fault, and the caller continues without the store. Only
       ``UNRESPONSIVE`` ends without a reopening, when the disk responds; writes that failed with
       ``UNRESPONSIVE`` may nevertheless have become durable.
    """

    @property
    def fault(self) -> StoreFault | None:
        """Return the present fault, or None."""

    @property
    def generation(self) -> int:
        """Return the generation of the last acknowledged write."""

    def load(self) -> LoadResult:
        """Return the content that the store had when it was opened."""

    def put(self, key: str, value: bytes | None, callback: WriteCallback | None = None) -> None:
        """Write a value; None deletes the key."""

    def reset(self, above_generation: int, callback: WriteCallback | None = None) -> None:
        """Delete all content, and continue with a generation above ``above_generation``.

        The caller resets a store when peers remember a higher generation, which proves the content stale.
        """

    def run_callbacks(self) -> None:
        """Run the callbacks of completed writes; the host calls this after each ``StoreHost.wake``."""

    def close(self) -> None:
        """Write the pending values, within a bounded time, then release the folder."""


class StorageBackend(Protocol):
    """The storage of a store. Its methods may block on the disk for any time, and raise no errors."""

    @property
    def generation(self) -> int:
        """Return the generation of the last commit."""

    def open(self) -> LoadResult:
        """Read the content on the first call.

        After a fault, write the acknowledged content again, and no other content.
        """

    def commit(
        self, writes: Sequence[KeyValueWrite], above_generation: int | None = None
    ) -> StoreFault | None:
        """Make all writes durable, or return the fault.

        Args:
            writes: the writes, in order.
            above_generation: if given, delete all content first, and continue with a higher generation.
        """

    def close(self) -> None:
        """Release the folder."""
