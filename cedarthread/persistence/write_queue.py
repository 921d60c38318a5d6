"""Writes that wait for the disk, bounded in number and size. Not thread-safe: its owner holds a lock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarthread.persistence.store import WriteCallback

MAX_PENDING_WRITES = 10_000
"""Keys, and callbacks, that may wait at once."""
MAX_PENDING_BYTES = 8 * 2**20
"""Keys and values that may wait at once."""


@dataclass(slots=True)
class WriteBatch:
    """The writes of one transaction: one value a key, and the callbacks of all writes of these keys."""

    values: dict[str, bytes | None]
    callbacks: list[WriteCallback]
    above_generation: int | None = None


class WriteQueue:
    """The newest value of each key that waits, and the callbacks of all its writes."""

    def __init__(self) -> None:
        self.pending_bytes = 0
        self._values: dict[str, bytes | None] = {}
        self._callbacks: list[tuple[str | None, WriteCallback]] = []  # by key; None: of a reset
        self._reset_above: int | None = None

    def __len__(self) -> int:
        return len(self._values)

    def has_work(self) -> bool:
        """Whether a transaction is due."""
        return bool(self._values) or self._reset_above is not None

    def put(self, key: str, value: bytes | None, callback: WriteCallback | None) -> bool:
        """Add a write, or replace the one of its key that waits; False where there is no room."""
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
        """Drop all writes that wait, and have the next transaction drop all content first."""
        self._values.clear()
        self.pending_bytes = 0
        self._reset_above = max(above_generation, self._reset_above or 0)
        if callback is not None:
            self._callbacks.append((None, callback))

    def take_batch(self, max_keys: int | None) -> WriteBatch:
        """What goes into the next transaction: the oldest ``max_keys`` keys, None: all."""
        keys = list(self._values)[:max_keys]
        values = {key: self._values.pop(key) for key in keys}
        self.pending_bytes -= sum(_payload_bytes(key, value) for key, value in values.items())
        callbacks = [callback for key, callback in self._callbacks if key not in self._values]
        self._callbacks = [(key, callback) for key, callback in self._callbacks if key in self._values]
        above_generation, self._reset_above = self._reset_above, None
        return WriteBatch(values, callbacks, above_generation)

    def take_callbacks(self) -> list[WriteCallback]:
        """The callbacks of all that waits; the writes themselves still wait."""
        callbacks = [callback for _, callback in self._callbacks]
        self._callbacks.clear()
        return callbacks

    def clear(self) -> None:
        """Drop the writes and the reset that wait."""
        self._values.clear()
        self._reset_above = None
        self.pending_bytes = 0


def _payload_bytes(key: str, value: bytes | None) -> int:
    return len(key) + len(value or b"")
