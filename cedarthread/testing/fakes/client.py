"""A fake client of the platform's protocol: sends calls on one connection and reports the answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from cedarthread.protocols import msgpack

HEALTH_CHECK_NUMBER = 2**32 - 1  # message number of health checks; no call has this number

OnAnswer = Callable[[int, str, bytes], None]  # (message number, answer kind, body)


def pack_call(number: int, class_name: str, body: bytes, fields: dict[str, str]) -> bytes:
    """Return the request message of one call."""
    params = b"\x92" + msgpack.pack_fields(fields) + msgpack.pack_bin(body)
    return b"\x94\x00" + msgpack.pack_uint(number) + msgpack.pack_str(class_name) + params


def pack_health_check() -> bytes:
    """Return the request message of a health check."""
    return b"\x94\x00" + msgpack.pack_uint(HEALTH_CHECK_NUMBER) + msgpack.pack_str("check") + b"\x90"


def answer_kind(error: list[Any] | None) -> str:
    """Return served if the response has no error, refused if the error is Backoff, and failed otherwise."""
    if error is None:
        return "served"
    return "refused" if error[0] == "Backoff" else "failed"


class FakeClient(asyncio.Protocol):
    """One connection to one router.

    Args:
        on_answer: called with each answer.
        on_lost: called when the connection ends.
    """

    def __init__(self, on_answer: OnAnswer, on_lost: Callable[[], None]) -> None:
        self.on_answer = on_answer
        self.on_lost = on_lost
        self.transport: asyncio.Transport | None = None
        self._buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        self.transport = transport  # type: ignore[assignment]

    def send(self, data: bytes) -> None:
        """Write the data if the connection is open; otherwise discard the data."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Report the complete answers, and buffer the rest of the data."""
        self._buffer += data
        while isinstance(parsed := msgpack.parse(memoryview(self._buffer)), msgpack.ParsedValue):
            _, number, error, result = replace_memoryviews(parsed.value)
            self._buffer = self._buffer[parsed.end :]
            self.on_answer(number, answer_kind(error), result[0] if error is None else b"")

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection."""
        self.transport = None
        self.on_lost()


def replace_memoryviews(value: Any) -> Any:
    """Return a parsed value with bytes in place of memory views, so that the input buffer can be released."""
    if isinstance(value, list):
        return [replace_memoryviews(item) for item in value]
    return bytes(value) if isinstance(value, memoryview) else value
