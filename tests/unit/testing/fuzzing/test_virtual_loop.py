"""Tests of the event loop with virtual time and of in-memory connections."""

from __future__ import annotations

import asyncio

import pytest

from cedarthread.testing.fuzzing.memory_transport import MemoryTransport
from cedarthread.testing.fuzzing.virtual_loop import StuckError, VirtualLoop, run_virtual


def test_virtual_time_advances_only_when_no_callback_is_ready_and_a_stuck_run_ends() -> None:
    elapsed_s: list[float] = []

    async def sleep_an_hour(loop: VirtualLoop) -> None:
        started_at_s = loop.time()
        await asyncio.sleep(3600.0)
        elapsed_s.append(loop.time() - started_at_s)

    run_virtual(sleep_an_hour)
    assert elapsed_s == [pytest.approx(3600.0)]

    async def wait_forever(loop: VirtualLoop) -> None:
        await loop.create_future()

    with pytest.raises(StuckError):
        run_virtual(wait_forever)


class RecordingProtocol(asyncio.BufferedProtocol):
    """A protocol that records the notifications of its transport."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def pause_writing(self) -> None:
        self.events.append("pause")

    def resume_writing(self) -> None:
        self.events.append("resume")

    def connection_lost(self, exc: Exception | None) -> None:
        self.events.append(f"lost {type(exc).__name__}")


def test_an_in_memory_connection_buffers_the_bytes_that_its_peer_does_not_accept() -> None:
    protocol = RecordingProtocol()

    async def write_to_a_slow_peer(loop: VirtualLoop) -> None:
        accepted = bytearray()
        transport = MemoryTransport(loop, accepted.extend)
        transport.connect(protocol)
        transport.set_write_buffer_limits(high=0)
        transport.peer_window_bytes = 3

        transport.write(b"abcde")
        assert bytes(accepted) == b"abc"
        assert transport.get_write_buffer_size() == 2

        transport.peer_accept(None)
        assert bytes(accepted) == b"abcde"

        transport.peer_reset()
        await asyncio.sleep(0)

    run_virtual(write_to_a_slow_peer)
    assert protocol.events == ["pause", "resume", "lost ConnectionResetError"]
