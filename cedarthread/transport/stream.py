"""One connection, of any of the wires: reads into one buffer, writes once a loop turn."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import select
import socket
from typing import cast

log = logging.getLogger("cedarthread.protocols")

INITIAL_BUFFER_BYTES = 8 * 1024
LINGER_S = 1.0  # s after the last answer in which what a peer still sends is read and dropped
LINGER_MAX_BYTES = 4 * 2**20  # bytes so dropped at most
_DISCARD_BUFFER = bytearray(64 * 1024)  # where dropped bytes are read to, by all connections


class ReadBuffer:
    """Bytes that were read and not yet taken; it grows up to a limit."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self._data = bytearray(INITIAL_BUFFER_BYTES)
        self._start = self._end = 0

    def writable_space(self) -> memoryview:
        """Where to read to; empty once the limit is reached."""
        if self._start == self._end:
            self._start = self._end = 0
        if self._end == len(self._data) and self._start:
            held = self._end - self._start
            self._data[:held] = self._data[self._start : self._end]
            self._start, self._end = 0, held
        if self._end == len(self._data) < self.max_bytes:
            grown = bytearray(min(2 * len(self._data), self.max_bytes))
            grown[: self._end] = self._data
            self._data = grown
        return memoryview(self._data)[self._end :]

    def advance(self, count: int) -> None:
        """So many bytes were read."""
        self._end += count

    def peek(self) -> memoryview:
        """The bytes not yet taken; a slice of it is good until the next read."""
        return memoryview(self._data)[self._start : self._end]

    def find(self, delimiter: bytes, start: int) -> int:
        """Where the mark comes next, counted as in ``held``; -1 for nowhere."""
        found = self._data.find(delimiter, self._start + start, self._end)
        return found - self._start if found >= 0 else -1

    def consume(self, count: int) -> None:
        """So many bytes are done with. Once all are, a buffer that has grown is given back."""
        self._start += count
        if self._start == self._end and len(self._data) > INITIAL_BUFFER_BYTES:
            self._data = bytearray(INITIAL_BUFFER_BYTES)
            self._start = self._end = 0

    def is_full(self) -> bool:
        """No message of a legal size is longer than this."""
        return self._end - self._start >= self.max_bytes


class Flusher:
    """Writes what the connections have queued: once a loop turn, and at the end of the planner's turn.

    Guards against late answers when the CPU is short: left to a later turn, they would wait behind all the
    reading of that turn."""

    def __init__(self) -> None:
        self._scheduled: list[BufferedConnection] = []
        self._loop = asyncio.get_running_loop()

    def schedule(self, stream: BufferedConnection) -> None:
        """This one has something to write."""
        if not self._scheduled:
            self._loop.call_soon(self.flush_all)
        self._scheduled.append(stream)

    def flush_all(self) -> None:
        """Write it all now."""
        due, self._scheduled = self._scheduled, []
        for stream in due:
            stream.flush()


def disable_nagle(transport: asyncio.BaseTransport) -> None:
    """Guards against answers held back by Nagle's algorithm until a delayed ACK, up to 40 ms.

    asyncio sets it only where the socket was made with its protocol named, as accepted ones are not."""
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.family in (socket.AF_INET, socket.AF_INET6):
        with contextlib.suppress(OSError):  # closed already
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class BufferedConnection(asyncio.BufferedProtocol):
    """The part that all connections share. Whatever goes wrong on one of them ends that one alone."""

    high_water = 64 * 1024

    def __init__(self, max_buffer_bytes: int, flusher: Flusher) -> None:
        self.buffer = ReadBuffer(max_buffer_bytes)
        self.flusher = flusher
        self.transport: asyncio.Transport | None = None
        self.write_queue: list[bytes] = []
        self.is_write_paused = False
        self.is_closed = False
        self.last_read_at = 0.0
        self.discard_budget: int | None = None  # bytes still read and dropped, once no more input is taken
        self._is_flush_scheduled = False
        self._linger_timer: asyncio.TimerHandle | None = None
        self._poller: select.poll | None = None  # made once it is needed
        self._loop = asyncio.get_running_loop()

    # For the wires.

    def on_connected(self) -> None:
        """The connection is up."""

    def on_data(self, data: memoryview) -> int | None:
        """Take whole messages: the bytes taken, or None where the input is bad."""
        raise NotImplementedError

    def on_disconnected(self) -> None:
        """The connection is down."""

    # For asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A connection came up."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=self.high_water)
        disable_nagle(self.transport)
        self.last_read_at = self._loop.time()
        self.on_connected()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where asyncio reads to."""
        return self.buffer.writable_space() if self.discard_budget is None else memoryview(_DISCARD_BUFFER)

    def buffer_updated(self, nbytes: int) -> None:
        """Bytes came."""
        self.last_read_at = self._loop.time()
        if self.discard_budget is not None:
            return self._discard(nbytes)
        self.buffer.advance(nbytes)
        self._process_buffer()

    def read_available(self) -> bool:
        """Take what stands in the socket now, reading paused or not; False where the connection is broken,
        also where asyncio knows and has not told yet. The peer's end of writing is told by
        ``eof_received``, again when asyncio finds it."""
        if self.discard_budget is not None or self.transport is None:
            return True
        if self.is_closed or self.transport.is_closing():
            return False
        told = self.transport.get_extra_info("socket")
        if told is None:
            return True
        if self._poller is None:
            self._poller = select.poll()
            self._poller.register(told.fileno(), select.POLLIN | select.POLLRDHUP)
        if not self._poller.poll(0):  # mostly: one call of the system, a tenth of what the rest costs
            return True
        # asyncio's view of a socket can't read: a second view of the descriptor does, and lets go of it.
        sock = socket.socket(told.family, told.type, fileno=told.fileno())
        try:
            return self._read_until_blocked(sock)
        finally:
            sock.detach()

    def _read_until_blocked(self, sock: socket.socket) -> bool:
        while (
            not self.is_closed and self.discard_budget is None and len(room := self.buffer.writable_space())
        ):
            try:
                with room:
                    count = sock.recv_into(room)
            except (BlockingIOError, InterruptedError):
                return True
            except OSError:
                return False
            if not count:
                self.eof_received()
                return True
            self.buffer_updated(count)
        return True

    def _process_buffer(self) -> None:
        try:
            with self.buffer.peek() as data:
                used = self.on_data(data)
        except Exception:
            log.exception("connection dropped: its input made this program fail")
            used = None
        if used is None:
            return self.on_invalid_input()
        self.buffer.consume(used)
        if self.buffer.is_full():
            self.on_buffer_full()

    def on_invalid_input(self) -> None:
        """What came can't be read: nothing more on this connection can."""
        self.close()

    def on_buffer_full(self) -> None:
        """The buffer is full and nothing in it can be taken."""
        self.on_invalid_input()

    def eof_received(self) -> bool:
        """The peer writes no more."""
        return False

    def pause_writing(self) -> None:
        """The peer reads slowly."""
        self.is_write_paused = True

    def resume_writing(self) -> None:
        """The peer has caught up."""
        self.is_write_paused = False
        self.flush()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is down."""
        self.is_closed = True
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        try:
            self.on_disconnected()
        except Exception:
            log.exception("cleaning up after a connection failed")

    # Writing.

    def write(self, data: bytes) -> None:
        """Queue bytes; they leave at the end of this turn."""
        self.write_queue.append(data)
        self.schedule_flush()

    def schedule_flush(self) -> None:
        """Write what is queued, together with the others' by the end of the turn."""
        if not self._is_flush_scheduled and not self.is_closed:
            self._is_flush_scheduled = True
            self.flusher.schedule(self)

    def flush(self) -> None:
        """Write what is queued, unless the peer is slow."""
        self._is_flush_scheduled = False
        if (
            self.write_queue
            and not self.is_write_paused
            and self.transport is not None
            and not self.is_closed
        ):
            out, self.write_queue = self.write_queue, []
            self.transport.write(b"".join(out))

    def close(self) -> None:
        """Close, after what was written has left."""
        if self.transport is not None and not self.transport.is_closing():
            self.flush()
            self.transport.close()

    def lingering_close(self) -> None:
        """Write what is queued, say that no more will come, drop what the peer still sends, then close.

        Guards against a lost answer: closing while input stands unread resets the connection, and a reset
        takes away what the peer has not read yet."""
        if self.transport is None or self.is_closed or self.discard_budget is not None:
            return
        self.discard_budget = LINGER_MAX_BYTES
        self.flush()
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.transport.resume_reading()
        self._linger_timer = self._loop.call_later(LINGER_S, self._finish_lingering)

    def _finish_lingering(self) -> None:
        if self.transport is not None and not self.transport.get_write_buffer_size():
            self.transport.close()
        else:
            self.abort()

    def _discard(self, count: int) -> None:
        assert self.discard_budget is not None
        self.discard_budget -= count
        if self.discard_budget <= 0:
            self.abort()

    def abort(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()
