"""The memory of the receive buffers of all connections beyond their initial size; does no I/O."""

from __future__ import annotations


class BufferMemory:
    """The bytes that grown receive buffers use together.

    Args:
        limit_bytes: The limit; a buffer that would exceed it may not grow.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.evicted_count = 0  # connections that were closed to make room

    def can_grow(self, added_bytes: int) -> bool:
        """Return whether buffers may grow by this many bytes together."""
        return self.used_bytes + added_bytes <= self.limit_bytes

    def change(self, added_bytes: int) -> None:
        """Record that a buffer has grown, or shrunk if the number is negative."""
        self.used_bytes += added_bytes
