"""A store in memory: what a router without a disk has, and what tests compare others with."""

from __future__ import annotations

from collections.abc import Sequence

from cedarthread.persistence.store import KeyValueWrite, LoadResult, StoreFault


class MemoryBackend:
    """Lasts as long as the object does."""

    def __init__(self) -> None:
        self.generation = 0
        self._values: dict[str, bytes] = {}

    def open(self) -> LoadResult:
        """What it holds."""
        return LoadResult(dict(self._values), self.generation)

    def commit(
        self, writes: Sequence[KeyValueWrite], above_generation: int | None = None
    ) -> StoreFault | None:
        """Take them; no trouble ever comes of it."""
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
        """Nothing is held but memory."""
