"""The queue of writes that wait for the disk, bounded in number and size.

Not thread-safe: the owner of a queue must lock it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarthread.persistence.store import WriteCallback

MAX_PENDING_WRITES = 10_000
"""Maximum number of pending keys, and of pending callbacks."""
MAX_PENDING_BYTES = 8 * 2**20
"""Maximum total size of pending keys and values."""


@dataclass(slots=True)
class WriteBatch:
    """The writes of one transaction: one value for each key, and the callbacks of all its writes."""

    values: dict[str, bytes | None]
    callbacks: list[WriteCallback]
    above_generation: int | None = None


class WriteQueue:
    """The newest pending value of each key, and the callbacks of all pending writes."""

    def __init__(self) -> None:
        self.pending_bytes = 0
        self._values: dict[str, bytes | None] = {}
        # Callbacks, each with its key; None for a reset.
        self._callbacks: list[tuple[str | None, WriteCallback]] = []
        self._reset_above: int | None = None

    def __len__(self) -> int:
        return len(self._values)

    def has_work(self) -> bool:
        """Return whether a write or a reset is pending."""
        return bool(self._values) or self._reset_above is not None

    def put(self, key: str, value: bytes | None, callback: WriteCallback | None) -> bool:
        """Add a write, or replace the pending write of its key; return False if the queue is full."""
        added_bytes = _payload_bytes(key, value)
        if key in self._values:
            added_bytes -= _payload_bytes(key, self._values[key])
        count = max(len(self._values), len(self._callbacks))
        if count >= MAX_PENDING_WRITES or self.pending_bytes + added_bytes > MAX_PENDING_BYTES:
            return False
        self._values[key] = value
        self.pending_bytes += added_bytes
        if callback is not None:
            self._callbacks.append((key, callback))
        return True

    def reset(self, above_generation: int, callback: WriteCallback | None) -> None:
        """Drop all pending writes, and let the next transaction delete all content first."""
        self._values.clear()
        self.pending_bytes = 0
        self._reset_above = max(above_generation, self._reset_above or 0)
        if callback is not None:
            self._callbacks.append((None, callback))

    def take_batch(self, max_keys: int | None) -> WriteBatch:
        """Remove and return the next transaction's writes: the oldest ``max_keys`` keys, or all if None."""
        keys = list(self._values)[:max_keys]
        values = {key: self._values.pop(key) for key in keys}
        self.pending_bytes -= sum(_payload_bytes(key, value) for key, value in values.items())
        callbacks = [callback for key, callback in self._callbacks if key not in self._values]
        self._callbacks = [(key, callback) for key, callback in self._callbacks if key in self._values]
        above_generation = self._reset_above
        self._reset_above = None
        return WriteBatch(values, callbacks, above_generation)

    def take_callbacks(self) -> list[WriteCallback]:
        """Remove and return all callbacks; the writes themselves stay pending."""
        callbacks = [callback for _, callback in self._callbacks]
        self._callbacks.clear()
        return callbacks

    def clear(self) -> None:
        """Drop the pending writes and the pending reset."""
        self._values.clear()
        self._reset_above = None
        self.pending_bytes = 0


def _payload_bytes(key: str, value: bytes | None) -> int:
    return len(key) + len(value or b"")
