"""An event loop whose time moves only when nothing is left to do, and connections made of memory."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

START_TIME_S = 1_000_000.0  # s: loop time at the start, as a Unix time


class StuckError(Exception):
    """Nothing is ready, no timer is set, and the run is not over."""


class VirtualLoop(asyncio.BaseEventLoop):
    """Runs callbacks at once and timers in the order of their times, each late by ``jitter`` seconds."""

    def __init__(self) -> None:
        super().__init__()
        self._now = START_TIME_S
        self._selector = self  # BaseEventLoop asks it for events, with the time till the next timer
        self.jitter: Callable[[], float] = lambda: 0.0
        self.failures: list[str] = []  # reported to the loop's exception handler
        self.dial: Callable[[Any, str, int], MemoryTransport] | None = None
        self.set_exception_handler(self._on_failure)

    def _on_failure(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.failures.append(f"{context.get('message')}: {context.get('exception')!r}")

    def time(self) -> float:
        """Seconds."""
        return self._now

    def unix_ms(self) -> float:
        """The same clock in Unix ms, as the dispatcher reads it."""
        return self._now * 1000.0

    def call_at(  # type: ignore[override]  # any callback
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        """As asyncio's, but the timer may be late."""
        return super().call_at(when + self.jitter(), callback, *args, context=context)

    def select(self, timeout: float | None) -> list[Any]:
        """Let time pass."""
        if timeout is None:
            raise StuckError("nothing is left to do")
        self._now += max(0.0, timeout)
        return []

    def _process_events(self, events: Any) -> None:
        pass

    def _write_to_self(self) -> None:
        pass

    def skip(self, seconds: float) -> None:
        """Let time pass in which nothing runs, as in a process that is stopped."""
        self._now += seconds

    def timer_count(self) -> int:
        """Timers that are set and not cancelled."""
        scheduled: list[asyncio.TimerHandle] = getattr(self, "_scheduled")  # noqa: B009
        return sum(not handle.cancelled() for handle in scheduled)

    async def create_connection(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **_: Any
    ) -> Any:
        """A connection in memory, as ``dial`` says; OSError where it refuses."""
        assert self.dial is not None
        transport = self.dial(protocol_factory, str(host), int(port))
        while transport.never_connects:  # nobody answers: the caller's own time limit ends this
            await asyncio.sleep(1.0)
        await asyncio.sleep(0)
        if transport.is_closing():
            raise ConnectionResetError(104, "reset while it came up")
        transport.connect(protocol_factory())
        return transport, transport.protocol


def run_virtual(work: Callable[[VirtualLoop], Coroutine[Any, Any, None]]) -> VirtualLoop:
    """Run one coroutine to its end in virtual time; the loop, closed, for its figures."""
    loop = VirtualLoop()
    try:
        loop.run_until_complete(work(loop))
        return loop
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


class Write(NamedTuple):
    """Bytes that the program handed to a transport: from which byte of the stream on, and when (Unix ms)."""

    first_byte: int
    at_ms: float


class MemoryTransport(asyncio.Transport):
    """The program's end of a connection. The peer accepts ``peer_window_bytes`` bytes, None for any number.

    Accepted bytes reach ``on_bytes`` at once; others stay in the write buffer, as with a real socket whose
    peer has stopped reading. ``peer_send``, ``peer_accept`` and ``peer_reset`` are what the peer does.
    """

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self.loop = loop
        self.protocol: Any = None
        self.peer_window_bytes: int | None = None
        self.never_connects = False
        self.on_bytes: Callable[[bytes], None] = lambda data: None
        self.on_close: Callable[[], None] = lambda: None
        self.sent_eof = False
        self.writes = [Write(0, 0.0)]
        self._written_bytes = 0
        self._write_buffer = bytearray()
        self._in: list[bytes] = []
        self._high_water_bytes = 64 * 1024
        self._is_writing_paused = self._is_reading_paused = self._is_closing = self._is_lost = False
        self._is_peer_eof = False

    def connect(self, protocol: Any) -> None:
        """The connection is up."""
        self.protocol = protocol
        protocol.connection_made(self)

    # The peer's side.

    def peer_send(self, data: bytes) -> None:
        """The peer sends bytes."""
        if data and not self._is_closing:
            self._in.append(data)
            self.deliver()

    def peer_send_eof(self) -> None:
        """The peer writes no more."""
        self._is_peer_eof = True
        self.deliver()

    def peer_reset(self) -> None:
        """The peer resets the connection: what it had not taken is lost."""
        self._write_buffer.clear()
        self._end(ConnectionResetError("reset by peer"))

    def peer_accept(self, more_bytes: int | None) -> None:
        """The peer accepts so many more bytes; None: all from now on."""
        self.peer_window_bytes = (
            more_bytes
            if more_bytes is None or self.peer_window_bytes is None
            else self.peer_window_bytes + more_bytes
        )
        self._flush()

    def deliver(self, *, paused: bool = False) -> None:
        """The program reads what the peer has sent; ``paused``: also while it has paused reading."""
        while self._in and (paused or not self._is_reading_paused) and not self._is_closing:
            data = self._in.pop(0)
            buffer = self.protocol.get_buffer(-1)
            if not len(buffer) and paused:
                self._in.insert(0, data)
                return
            if not len(buffer):
                raise AssertionError("get_buffer() returned an empty buffer")
            count = min(len(buffer), len(data))
            buffer[:count] = data[:count]
            if count < len(data):
                self._in.insert(0, data[count:])
            self.protocol.buffer_updated(count)
        if (
            self._is_peer_eof
            and not self._in
            and (paused or not self._is_reading_paused)
            and not self._is_closing
        ):
            self._is_peer_eof = False
            if not self.protocol.eof_received():
                self.close()

    # What protocols use.

    def write(self, data: Any) -> None:
        """Write; what the peer does not accept is buffered."""
        if self._is_lost or self.sent_eof:
            return
        self.writes.append(Write(self._written_bytes, self.loop.unix_ms()))
        self._written_bytes += len(data)
        self._write_buffer += data
        self._flush()
        if len(self._write_buffer) > self._high_water_bytes and not self._is_writing_paused:
            self._is_writing_paused = True
            self.protocol.pause_writing()

    def _flush(self) -> None:
        count = (
            len(self._write_buffer)
            if self.peer_window_bytes is None
            else min(self.peer_window_bytes, len(self._write_buffer))
        )
        if self.peer_window_bytes is not None:
            self.peer_window_bytes -= count
        data = bytes(self._write_buffer[:count])
        del self._write_buffer[:count]
        if data:
            self.on_bytes(data)
        if len(self._write_buffer) <= self._high_water_bytes // 4 and self._is_writing_paused:
            self._is_writing_paused = False
            self.protocol.resume_writing()
        if not self._write_buffer and self._is_closing and not self._is_lost:
            self._end(None)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """As asyncio's."""
        self._high_water_bytes = 64 * 1024 if high is None else high

    def get_write_buffer_size(self) -> int:
        """Bytes that the peer has not accepted yet."""
        return len(self._write_buffer)

    def pause_reading(self) -> None:
        """Read no more for now."""
        self._is_reading_paused = True

    def resume_reading(self) -> None:
        """Read again."""
        if self._is_reading_paused and not self._is_closing:
            self._is_reading_paused = False
            self.loop.call_soon(self.deliver)

    def is_closing(self) -> bool:
        """Whether it is closed, or about to be."""
        return self._is_closing

    def can_write_eof(self) -> bool:
        """Yes."""
        return True

    def write_eof(self) -> None:
        """No more will be written."""
        self.sent_eof = True

    def close(self) -> None:
        """Close once all is written."""
        if not self._is_closing:
            self._is_closing = True
            if not self._write_buffer:
                self._end(None)

    def abort(self) -> None:
        """Close at once."""
        self._write_buffer.clear()
        self._end(None)

    def _end(self, error: Exception | None) -> None:
        self._is_closing = True
        if not self._is_lost:
            self._is_lost = True
            self.on_close()
            if self.protocol is not None:
                self.loop.call_soon(self.protocol.connection_lost, error)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Nothing is known here."""
        return default
