"""One connection, of any of the wires: reads into one buffer, writes once a loop turn."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import select
import socket
from typing import cast

log = logging.getLogger("cedarthread.net")

START = 8 * 1024
LINGER = 1.0  # s after the last answer in which what a peer still sends is read and dropped
LINGER_BYTES = 4 * 2**20  # bytes so dropped at most
_DROPPED = bytearray(64 * 1024)  # where dropped bytes are read to, by all connections


class ReadBuffer:
    """Bytes that were read and not yet taken; it grows up to a limit."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._data = bytearray(START)
        self._from = self._to = 0

    def space(self) -> memoryview:
        """Where to read to; empty once the limit is reached."""
        if self._from == self._to:
            self._from = self._to = 0
        if self._to == len(self._data) and self._from:
            held = self._to - self._from
            self._data[:held] = self._data[self._from : self._to]
            self._from, self._to = 0, held
        if self._to == len(self._data) < self.limit:
            grown = bytearray(min(2 * len(self._data), self.limit))
            grown[: self._to] = self._data
            self._data = grown
        return memoryview(self._data)[self._to :]

    def add(self, count: int) -> None:
        """So many bytes were read."""
        self._to += count

    def held(self) -> memoryview:
        """The bytes not yet taken; a slice of it is good until the next read."""
        return memoryview(self._data)[self._from : self._to]

    def find(self, mark: bytes, at: int) -> int:
        """Where the mark comes next, counted as in ``held``; -1 for nowhere."""
        found = self._data.find(mark, self._from + at, self._to)
        return found - self._from if found >= 0 else -1

    def take(self, count: int) -> None:
        """So many bytes are done with. Once all are, a buffer that has grown is given back."""
        self._from += count
        if self._from == self._to and len(self._data) > START:
            self._data = bytearray(START)
            self._from = self._to = 0

    def full(self) -> bool:
        """No message of a legal size is longer than this."""
        return self._to - self._from >= self.limit


class Flusher:
    """Writes what the connections have queued: once a loop turn, and at the end of the planner's turn.

    Guards against late answers when the CPU is short: left to a later turn, they would wait behind all the
    reading of that turn."""

    def __init__(self) -> None:
        self._due: list[Stream] = []
        self._loop = asyncio.get_running_loop()

    def add(self, stream: Stream) -> None:
        """This one has something to write."""
        if not self._due:
            self._loop.call_soon(self.run)
        self._due.append(stream)

    def run(self) -> None:
        """Write it all now."""
        due, self._due = self._due, []
        for stream in due:
            stream.flush()


def no_delay(transport: asyncio.BaseTransport) -> None:
    """Guards against answers held back by Nagle's algorithm until a delayed ACK, up to 40 ms.

    asyncio sets it only where the socket was made with its protocol named, as accepted ones are not."""
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.family in (socket.AF_INET, socket.AF_INET6):
        with contextlib.suppress(OSError):  # closed already
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class Stream(asyncio.BufferedProtocol):
    """The part that all connections share. Whatever goes wrong on one of them ends that one alone."""

    high_water = 64 * 1024

    def __init__(self, limit: int, flusher: Flusher) -> None:
        self.buffer = ReadBuffer(limit)
        self.flusher = flusher
        self.transport: asyncio.Transport | None = None
        self.out: list[bytes] = []
        self.paused = False
        self.closed = False
        self.last_read = 0.0
        self.dropping: int | None = None  # bytes still read and dropped, once no more input is taken
        self._flush_due = False
        self._linger: asyncio.TimerHandle | None = None
        self._poll: select.poll | None = None  # made once it is needed
        self._loop = asyncio.get_running_loop()

    # For the wires.

    def opened(self) -> None:
        """The connection is up."""

    def received(self, data: memoryview) -> int | None:
        """Take whole messages: the bytes taken, or None where the input is bad."""
        raise NotImplementedError

    def lost(self) -> None:
        """The connection is down."""

    # For asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A connection came up."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=self.high_water)
        no_delay(self.transport)
        self.last_read = self._loop.time()
        self.opened()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where asyncio reads to."""
        return self.buffer.space() if self.dropping is None else memoryview(_DROPPED)

    def buffer_updated(self, nbytes: int) -> None:
        """Bytes came."""
        self.last_read = self._loop.time()
        if self.dropping is not None:
            return self._drop(nbytes)
        self.buffer.add(nbytes)
        self._take()

    def read_now(self) -> bool:
        """Take what stands in the socket now, reading paused or not; False where the connection is broken,
        also where asyncio knows and has not told yet. The peer's end of writing is told by
        ``eof_received``, again when asyncio finds it."""
        if self.dropping is not None or self.transport is None:
            return True
        if self.closed or self.transport.is_closing():
            return False
        told = self.transport.get_extra_info("socket")
        if told is None:
            return True
        if self._poll is None:
            self._poll = select.poll()
            self._poll.register(told.fileno(), select.POLLIN | select.POLLRDHUP)
        if not self._poll.poll(0):  # mostly: one call of the system, a tenth of what the rest costs
            return True
        # asyncio's view of a socket can't read: a second view of the descriptor does, and lets go of it.
        sock = socket.socket(told.family, told.type, fileno=told.fileno())
        try:
            return self._read_from(sock)
        finally:
            sock.detach()

    def _read_from(self, sock: socket.socket) -> bool:
        while not self.closed and self.dropping is None and len(room := self.buffer.space()):
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

    def _take(self) -> None:
        try:
            with self.buffer.held() as data:
                used = self.received(data)
        except Exception:
            log.exception("connection dropped: its input made this program fail")
            used = None
        if used is None:
            return self.bad_input()
        self.buffer.take(used)
        if self.buffer.full():
            self.overfull()

    def bad_input(self) -> None:
        """What came can't be read: nothing more on this connection can."""
        self.close()

    def overfull(self) -> None:
        """The buffer is full and nothing in it can be taken."""
        self.bad_input()

    def eof_received(self) -> bool:
        """The peer writes no more."""
        return False

    def pause_writing(self) -> None:
        """The peer reads slowly."""
        self.paused = True

    def resume_writing(self) -> None:
        """The peer has caught up."""
        self.paused = False
        self.flush()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is down."""
        self.closed = True
        if self._linger is not None:
            self._linger.cancel()
        try:
            self.lost()
        except Exception:
            log.exception("cleaning up after a connection failed")

    # Writing.

    def write(self, data: bytes) -> None:
        """Queue bytes; they leave at the end of this turn."""
        self.out.append(data)
        self.flush_soon()

    def flush_soon(self) -> None:
        """Write what is queued, together with the others' by the end of the turn."""
        if not self._flush_due and not self.closed:
            self._flush_due = True
            self.flusher.add(self)

    def flush(self) -> None:
        """Write what is queued, unless the peer is slow."""
        self._flush_due = False
        if self.out and not self.paused and self.transport is not None and not self.closed:
            out, self.out = self.out, []
            self.transport.write(b"".join(out))

    def close(self) -> None:
        """Close, after what was written has left."""
        if self.transport is not None and not self.transport.is_closing():
            self.flush()
            self.transport.close()

    def linger(self) -> None:
        """Write what is queued, say that no more will come, drop what the peer still sends, then close.

        Guards against a lost answer: closing while input stands unread resets the connection, and a reset
        takes away what the peer has not read yet."""
        if self.transport is None or self.closed or self.dropping is not None:
            return
        self.dropping = LINGER_BYTES
        self.flush()
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.transport.resume_reading()
        self._linger = self._loop.call_later(LINGER, self._leave)

    def _leave(self) -> None:
        if self.transport is not None and not self.transport.get_write_buffer_size():
            self.transport.close()
        else:
            self.abort()

    def _drop(self, count: int) -> None:
        assert self.dropping is not None
        self.dropping -= count
        if self.dropping <= 0:
            self.abort()

    def abort(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()
