"""A store that runs on the caller's thread, for tools and tests, which may block on the disk."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cedarthread.persistence.store import (
        KeyValueWrite,
        LoadResult,
        StorageBackend,
        StoreFault,
        WriteCallback,
    )


class SynchronousStore:
    """A :class:`~cedarthread.persistence.store.Store` that runs callbacks before its methods return.

    Args:
        backend: the storage, which the constructor opens.
    """

    def __init__(self, backend: StorageBackend) -> None:
        self.backend = backend
        self.fault: StoreFault | None = None
        self._load_result = self._open()

    def _open(self) -> LoadResult:
        load_result = self.backend.open()
        self.fault = None if load_result.is_writable else load_result.fault
        return load_result

    @property
    def generation(self) -> int:
        """Return the generation of the last acknowledged write."""
        return self.backend.generation

    def load(self) -> LoadResult:
        """Return the content that the store had when it was first opened."""
        return self._load_result

    def reopen(self) -> None:
        """Open the backend again after a fault."""
        self._open()

    def put(self, key: str, value: bytes | None, callback: WriteCallback | None = None) -> None:
        """Write a value; None deletes the key."""
        self._commit([(key, value)], None, callback)

    def reset(self, above_generation: int, callback: WriteCallback | None = None) -> None:
        """Delete all content, and continue with a generation above ``above_generation``."""
        self._commit([], above_generation, callback)

    def _commit(
        self, writes: Sequence[KeyValueWrite], above_generation: int | None, callback: WriteCallback | None
    ) -> None:
        if self.fault is None:
            self.fault = self.backend.commit(writes, above_generation)
        if callback is not None:
            callback(self.fault)

    def run_callbacks(self) -> None:
        """Do nothing, because no write is ever pending."""

    def close(self) -> None:
        """Close the backend."""
        self.backend.close()
