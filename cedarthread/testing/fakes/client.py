"""A client of the platform's protocol: calls on one connection, and their answers by number."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from cedarthread.protocols import msgpack

HEALTH_CHECK_NUMBER = 2**32 - 1  # that no call has

OnAnswer = Callable[[int, str, bytes], None]  # a call's number; served, refused or failed; the body


def pack_call(number: int, class_name: str, body: bytes, fields: dict[str, str]) -> bytes:
    """The request of one call."""
    params = b"\x92" + msgpack.pack_fields(fields) + msgpack.pack_bin(body)
    return b"\x94\x00" + msgpack.pack_uint(number) + msgpack.pack_str(class_name) + params


def pack_health_check() -> bytes:
    """The request of a health check."""
    return b"\x94\x00" + msgpack.pack_uint(HEALTH_CHECK_NUMBER) + msgpack.pack_str("check") + b"\x90"


def answer_kind(error: Any) -> str:
    """The result that the error of a response tells: served where there is none, refused or failed."""
    if error is None:
        return "served"
    return "refused" if error[0] == "Backoff" else "failed"


class FakeClient(asyncio.Protocol):
    """One connection to one router; ``on_lost`` is called when it breaks."""

    def __init__(self, on_answer: OnAnswer, on_lost: Callable[[], None]) -> None:
        self.on_answer, self.on_lost = on_answer, on_lost
        self.transport: asyncio.Transport | None = None
        self._buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        self.transport = transport  # type: ignore[assignment]

    def send(self, data: bytes) -> None:
        """Write, where there is a connection."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Read answers, complete or in part."""
        self._buffer += data
        while isinstance(parsed := msgpack.parse(memoryview(self._buffer)), msgpack.ParsedValue):
            _, number, error, result = without_views(parsed.value)
            self._buffer = self._buffer[parsed.end :]
            self.on_answer(number, answer_kind(error), result[0] if error is None else b"")

    def connection_lost(self, exc: Exception | None) -> None:
        """The router or the connection has ended."""
        self.transport = None
        self.on_lost()


def without_views(value: Any) -> Any:
    """A parsed value that keeps no views of the input buffer."""
    if isinstance(value, list):
        return [without_views(item) for item in value]
    return bytes(value) if isinstance(value, memoryview) else value
