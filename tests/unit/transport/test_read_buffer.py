"""The growing receive buffer of a connection."""

from __future__ import annotations

from cedarthread.transport.read_buffer import ReadBuffer


def test_consumed_space_is_reused() -> None:
    buffer = ReadBuffer(32 * 1024)
    for _ in range(20):
        free_bytes = len(buffer.writable_space())
        buffer.advance(free_bytes)
        buffer.consume(free_bytes)
    assert len(buffer.writable_space()) == 8 * 1024
