"""The contract of a store: what every implementation guarantees, whatever disk lies beneath it."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Literal, Protocol


class StoreFault(Enum):
    """What is wrong with a store's disk or content. The values are what operators read."""

    DISK_FULL = "no space left"
    IO_ERROR = "input or output failed"  # after a failed sync only what was acknowledged before is believed
    READ_ONLY = "read-only"
    FOLDER_MISSING = "the folder is gone"
    CORRUPTED = "damaged content was left out"
    STALE = "the content is older than what others remember"
    LOCKED = "another process writes here"
    UNRESPONSIVE = "no answer of the disk within its time"


@dataclass(frozen=True, slots=True)
class LoadResult:
    """The content of a store when it was opened. At generation 0 and 1 nothing was ever put there."""

    values: Mapping[str, bytes]
    generation: int  # grows with each acknowledged write, across all incarnations
    fault: StoreFault | None = None

    @property
    def is_writable(self) -> bool:
        """Whether it may be written to: corrupted content has been left out, all other faults persist."""
        return self.fault in (None, StoreFault.CORRUPTED)


SyncMode = Literal["each", "group", "none"]
"""When a write is acknowledged: synced by itself, synced with others, or (may be lost) as soon as written."""
KeyValueWrite = tuple[str, bytes | None]
"""A key with its new value; None deletes the key."""
WriteCallback = Callable[[StoreFault | None], None]
"""Called when a write has ended: with None it is durable."""


class Store(Protocol):
    """Keys and values. No method waits for a disk; callbacks come on the caller's thread.

    1. What ``put`` acknowledged is there, complete, after a crash and a power cut; else ``load`` says that
       the content is corrupted or stale. A value that was not put under its key is never returned, nor a
       part of one.
    2. A write that was not acknowledged is there complete or not at all. Writes of one key keep their order.
    3. After a fault the store reports it and acknowledges nothing until it has been opened again; writes then
       end at once with that fault. The caller serves on. ``UNRESPONSIVE`` alone passes by itself, when the
       disk answers; writes that ended with it may have become durable all the same.
    """

    @property
    def fault(self) -> StoreFault | None:
        """The present fault."""

    @property
    def generation(self) -> int:
        """The generation of the last acknowledged write."""

    def load(self) -> LoadResult:
        """The content when the store was opened."""

    def put(self, key: str, value: bytes | None, callback: WriteCallback | None = None) -> None:
        """Write a value, or delete the key with None."""

    def reset(self, above_generation: int, callback: WriteCallback | None = None) -> None:
        """Drop all content, which peers have shown to be stale; the generation goes above theirs."""

    def run_callbacks(self) -> None:
        """Run the callbacks of writes that have ended; the host calls it after ``wake``."""

    def close(self) -> None:
        """Write what is pending, within a bounded time, then release the folder."""


class StorageBackend(Protocol):
    """What a store writes to. It may wait for a disk for any time, and raises nothing."""

    generation: int

    def open(self) -> LoadResult:
        """At first: read the content. After a fault: write what was acknowledged anew, and nothing else."""

    def commit(
        self, writes: Sequence[KeyValueWrite], above_generation: int | None = None
    ) -> StoreFault | None:
        """Make all writes durable, or say what is wrong.

        With ``above_generation`` all content is dropped first, and the generation goes above it.
        """

    def close(self) -> None:
        """Release the folder."""
