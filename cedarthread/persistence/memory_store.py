"""A storage backend in memory, for tests and as the reference for other backends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.persistence.store import KeyValueWrite, LoadResult, StoreFault

if TYPE_CHECKING:
    from collections.abc import Sequence


class MemoryBackend:
    """A storage backend that owns its content in memory and never has a fault."""

    def __init__(self) -> None:
        self.generation = 0
        self._values: dict[str, bytes] = {}

    def open(self) -> LoadResult:
        """Return the current content."""
        return LoadResult(dict(self._values), self.generation)

    def commit(
        self, writes: Sequence[KeyValueWrite], above_generation: int | None = None
    ) -> StoreFault | None:
        """Apply the writes; with ``above_generation``, delete all content first."""
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
        """Do nothing, because no resource is in use."""
