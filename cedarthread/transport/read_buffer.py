"""A growing receive buffer: a connection reads into it and consumes complete messages from its start."""

from __future__ import annotations

INITIAL_BUFFER_BYTES = 8 * 1024  # enough for most messages; each of thousands of idle connections has one


class ReadBuffer:
    """Received bytes that are not consumed yet, in one block that doubles up to ``max_bytes``."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
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
            grown = bytearray(min(2 * len(self._data), self.max_bytes))
            grown[: self._end] = self._data
            self._data = grown
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
            self._data = bytearray(INITIAL_BUFFER_BYTES)
            self._start = 0
            self._end = 0

    def is_full(self) -> bool:
        """Return whether ``max_bytes`` are unconsumed, which is more than any valid message has."""
        return self._end - self._start >= self.max_bytes
