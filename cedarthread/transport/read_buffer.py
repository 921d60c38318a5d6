"""A growing receive buffer: a connection reads into it and consumes complete messages from its start."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarthread.limits.buffer_memory import BufferMemory

INITIAL_BUFFER_BYTES = 8 * 1024  # enough for most messages; each of thousands of idle connections has one


class ReadBuffer:
    """Received bytes that are not consumed yet, in one block that doubles up to ``max_bytes``.

    Args:
        max_bytes: The size limit of the block.
        memory: Counts the bytes of the block beyond its initial size; None: they are not counted.
    """

    def __init__(self, max_bytes: int, memory: BufferMemory | None = None) -> None:
        self.max_bytes = max_bytes
        self._memory = memory
        self._data = bytearray(INITIAL_BUFFER_BYTES)
        # The unconsumed bytes are ``_data[_start:_end]``.
        self._start = 0
        self._end = 0

    def writable_space(self) -> memoryview:
        """Return the space for further input; empty if ``max_bytes`` are unconsumed."""
        if self._start == self._end:
            self._start = 0
            self._end = 0
        if self._end == len(self._data) and self._start:
            unconsumed = self._end - self._start
            self._data[:unconsumed] = self._data[self._start : self._end]
            self._start = 0
            self._end = unconsumed
        if self._end == len(self._data) < self.max_bytes:
            grown = bytearray(self._grown_bytes())
            grown[: self._end] = self._data
            self._replace(grown)
        return memoryview(self._data)[self._end :]

    def advance(self, count: int) -> None:
        """Record that ``count`` bytes were read into ``writable_space``."""
        self._end += count

    def peek(self) -> memoryview:
        """Return the unconsumed bytes, valid until the next read."""
        return memoryview(self._data)[self._start : self._end]

    def find(self, delimiter: bytes, start: int) -> int:
        """Return the index in ``peek`` of the next delimiter at or after ``start``; -1 if there is none."""
        found = self._data.find(delimiter, self._start + start, self._end)
        return found - self._start if found >= 0 else -1

    def consume(self, count: int) -> None:
        """Drop ``count`` bytes from the start; shrink a grown buffer once it is empty."""
        self._start += count
        if self._start == self._end and len(self._data) > INITIAL_BUFFER_BYTES:
            self.clear()

    def clear(self) -> None:
        """Drop all bytes, and shrink to the initial size."""
        self._replace(bytearray(INITIAL_BUFFER_BYTES))
        self._start = 0
        self._end = 0

    def growth_bytes(self) -> int:
        """Return the bytes by which ``writable_space`` would let the block grow now."""
        is_growing = self._end == len(self._data) < self.max_bytes and not self._start
        return self._grown_bytes() - len(self._data) if is_growing else 0

    def is_grown(self) -> bool:
        """Return whether the block is larger than initially."""
        return len(self._data) > INITIAL_BUFFER_BYTES

    def _grown_bytes(self) -> int:
        return min(2 * len(self._data), self.max_bytes)

    def _replace(self, data: bytearray) -> None:
        if self._memory is not None:
            self._memory.change(len(data) - len(self._data))
        self._data = data

    def is_full(self) -> bool:
        """Return whether ``max_bytes`` are unconsumed, which is more than any valid message has."""
        return self._end - self._start >= self.max_bytes
