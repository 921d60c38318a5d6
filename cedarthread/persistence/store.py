"""The contract of a store: what each implementation gives, whatever lies beneath it."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Literal, Protocol


class StoreFault(Enum):
    """What is wrong with a disk."""

    DISK_FULL = "no space left"
    IO_ERROR = (
        "input or output failed"  # after a failed sync nothing that was not acknowledged before is believed
    )
    READ_ONLY = "read-only"
    FOLDER_MISSING = "the folder is gone"
    CORRUPTED = "damaged content was left out"
    STALE = "the content is older than what others remember"
    LOCKED = "another process writes here"
    UNRESPONSIVE = "no answer of the disk within its time"


@dataclass(frozen=True, slots=True)
class LoadResult:
    """What stood in a store at its opening. Nothing was put into one of generation 0 or 1."""

    values: Mapping[str, bytes]
    generation: int  # grows with each acknowledged write, across all lives
    fault: StoreFault | None = None

    @property
    def is_writable(self) -> bool:
        """May be written to: damage was left out and mended, all other troubles still stand."""
        return self.fault in (None, StoreFault.CORRUPTED)


SyncMode = Literal["each", "group", "none"]  # none: acknowledged when written, so a power cut may lose it
KeyValueWrite = tuple[str, bytes | None]
WriteCallback = Callable[[StoreFault | None], None]  # None: durable


class Store(Protocol):
    """Keys to values. Nothing here waits for a disk: ends are told by ``done``, on the caller's thread.

    1. What ``put`` acknowledged is there after a crash and a power cut, whole, or the store says at ``load``
       that it is damaged or old: it never gives a value that was not put under that key, nor half of one.
    2. A put that was not acknowledged is there whole or not at all. Puts of one key keep their order.
    3. After trouble the store says so (``trouble``) and acknowledges no more until it was opened anew; puts
       then end at once with that trouble. The caller serves on. SLOW alone passes when the disk answers: ends
       that were told SLOW may have become durable all the same.
    """

    @property
    def fault(self) -> StoreFault | None:
        """What is wrong now."""

    @property
    def generation(self) -> int:
        """The last acknowledged."""

    def load(self) -> LoadResult:
        """What stood there when it was opened."""

    def put(self, key: str, value: bytes | None, callback: WriteCallback | None = None) -> None:
        """Write a value, or drop the key with None."""

    def reset(self, above_generation: int, callback: WriteCallback | None = None) -> None:
        """Drop all content, since it is older than what others remember; the generation goes above theirs."""

    def run_callbacks(self) -> None:
        """Tell the ends of puts that have come since; the host calls it when ``wake`` asked for it."""

    def close(self) -> None:
        """Write what waits, within a bound of time, then end."""


class StorageBackend(Protocol):
    """What a store stands on: it may wait for a disk as long as that takes, and raises nothing."""

    generation: int

    def open(self) -> LoadResult:
        """First: what stands there. Later: whatever was acknowledged is written anew, and nothing else."""

    def commit(
        self, writes: Sequence[KeyValueWrite], above_generation: int | None = None
    ) -> StoreFault | None:
        """All of them durable, or the trouble. With ``above``: first everything is dropped (``reset``)."""

    def close(self) -> None:
        """Let go of the folder."""


class SynchronousStore:
    """A store on the caller's own thread: for tools and tests, which may wait for a disk."""

    def __init__(self, backend: StorageBackend) -> None:
        self.backend = backend
        self._load_result = backend.open()
        self.fault = None if self._load_result.is_writable else self._load_result.fault

    @property
    def generation(self) -> int:
        """The last acknowledged."""
        return self.backend.generation

    def load(self) -> LoadResult:
        """What stood there when it was opened."""
        return self._load_result

    def reopen(self) -> None:
        """Try again after trouble."""
        again = self.backend.open()
        self.fault = None if again.is_writable else again.fault

    def put(self, key: str, value: bytes | None, callback: WriteCallback | None = None) -> None:
        """Write a value now."""
        self._commit([(key, value)], None, callback)

    def reset(self, above_generation: int, callback: WriteCallback | None = None) -> None:
        """Drop all content now."""
        self._commit([], above_generation, callback)

    def _commit(
        self, writes: Sequence[KeyValueWrite], above_generation: int | None, callback: WriteCallback | None
    ) -> None:
        if self.fault is None:
            self.fault = self.backend.commit(writes, above_generation)
        if callback is not None:
            callback(self.fault)

    def run_callbacks(self) -> None:
        """Nothing waits here."""

    def close(self) -> None:
        """Let go of the folder."""
        self.backend.close()
