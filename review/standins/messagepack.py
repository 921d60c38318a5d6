"""The part of MessagePack that the platform's protocol uses: pack requests, read answers."""

from __future__ import annotations

import struct
from typing import Any


class IncompleteError(Exception):
    """The data ends before the value does."""


def pack(value: Any) -> bytes:  # noqa: ANN401
    """Return a value as MessagePack."""
    if isinstance(value, int):
        return bytes((value,)) if value < 128 else b"\xce" + struct.pack(">I", value)
    if isinstance(value, str):
        data = value.encode()
        return b"\xd9" + bytes((len(data),)) + data
    if isinstance(value, bytes):
        return b"\xc5" + struct.pack(">H", len(value)) + value
    if isinstance(value, dict):
        pairs = b"".join(pack(key) + pack(item) for key, item in value.items())
        return bytes((0x80 | len(value),)) + pairs
    return bytes((0x90 | len(value),)) + b"".join(pack(item) for item in value)


class Reader:
    """Reader of one value at the start of the data."""

    def __init__(self, data: bytes | bytearray) -> None:
        self._data = data
        self.end = 0

    def _take(self, count: int) -> bytes:
        if len(self._data) < self.end + count:
            raise IncompleteError
        self.end += count
        return bytes(self._data[self.end - count : self.end])

    def _number(self, count: int) -> int:
        return int.from_bytes(self._take(count), "big")

    def value(self) -> Any:  # noqa: ANN401
        """Return the next value."""
        head = self._number(1)
        if head < 0x80:
            return head
        if head < 0x90:
            return self._map(head & 0x0F)
        if head < 0xA0:
            return [self.value() for _ in range(head & 0x0F)]
        if head < 0xC0:
            return self._take(head & 0x1F).decode()
        if head in (0xC0, 0xC2, 0xC3):
            return {0xC0: None, 0xC2: False, 0xC3: True}[head]
        return self._sized(head)

    def _map(self, count: int) -> dict[str, Any]:
        return {self.value(): self.value() for _ in range(count)}

    def _sized(self, head: int) -> Any:  # noqa: ANN401
        if head in (0xC4, 0xC5, 0xC6):
            return self._take(self._number(1 << (head - 0xC4)))
        if head in (0xD9, 0xDA, 0xDB):
            return self._take(self._number(1 << (head - 0xD9))).decode()
        if head in (0xCC, 0xCD, 0xCE, 0xCF):
            return self._number(1 << (head - 0xCC))
        if head in (0xDC, 0xDD):
            return [self.value() for _ in range(self._number(2 << (head - 0xDC)))]
        if head in (0xDE, 0xDF):
            return self._map(self._number(2 << (head - 0xDE)))
        raise ValueError(f"unexpected byte {head:#x}")
