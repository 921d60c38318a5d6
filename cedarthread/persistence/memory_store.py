"""A storage backend in memory: for tests, and as what others are compared with."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.persistence.store import KeyValueWrite, LoadResult, StoreFault

if TYPE_CHECKING:
    from collections.abc import Sequence


class MemoryBackend:
    """Keeps its content for as long as the object lives, and has no faults."""

    def __init__(self) -> None:
        self.generation = 0
        self._values: dict[str, bytes] = {}

    def open(self) -> LoadResult:
        """The present content."""
        return LoadResult(dict(self._values), self.generation)

    def commit(
        self, writes: Sequence[KeyValueWrite], above_generation: int | None = None
    ) -> StoreFault | None:
        """Take the writes; with ``above_generation`` all content is dropped first."""
        if above_generation is not None:
            self._values.clear()
            self.generation = max(self.generation, above_generation)
        for key, value in writes:
            if value is None:
                self._values.pop(key, None)
            else:
                self._values[key] = value
        self.generation += 1
        return None

    def close(self) -> None:
        """There is nothing to release."""
