"""The base class of all stream connections: buffered reading, coalesced writing, graceful close.

A graceful close has two phases. In the first, the remaining output is sent; the peer may take its time, as
long as it reads at all. In the second, which only a lingering close has, the sending side is closed and more
input is discarded for a while. Input is discarded in both.
"""

from __future__ import annotations

import asyncio
import logging
from enum import Enum
from typing import TYPE_CHECKING, cast

from cedarthread.logs import format_event
from cedarthread.transport.output_progress import OutputProgress, unsent_bytes
from cedarthread.transport.read_buffer import ReadBuffer
from cedarthread.transport.socket_reader import (
    QUIET_SOCKET,
    ReadStop,
    SocketReader,
    SocketState,
    disable_nagle,
)
from cedarthread.transport.tls_buffers import limit_tls_buffers

if TYPE_CHECKING:
    from cedarthread.limits.buffer_memory import BufferMemory
    from cedarthread.transport.flusher import Flusher

log = logging.getLogger(__name__)

LINGER_S = 1.0  # time for which input is discarded after the last response
LINGER_MAX_BYTES = 4 * 2**20  # maximum number of bytes of input that are discarded
OUTPUT_POLL_S = 0.02  # time between checks whether a closing connection has sent all its output
# Time without any progress of the output after which a closing connection is aborted.
CLOSING_OUTPUT_TIMEOUT_S = 30.0
_DISCARD_BUFFER = bytearray(64 * 1024)  # receives discarded input of all connections


class CloseMode(Enum):
    """What follows when a closing connection has sent all its output."""

    CLOSE = "close"
    LINGER = "linger"  # close the sending side, discard input for ``LINGER_S``, then close


class BufferedConnection(asyncio.BufferedProtocol):
    """One connection of any protocol. An exception in its handlers closes only this connection.

    A subclass implements ``on_data`` and, if necessary, ``on_connected``, ``on_disconnected``,
    ``on_invalid_input`` and ``on_buffer_full``.

    Args:
        max_buffer_bytes: The size limit of the read buffer.
        flusher: Writes the output of each iteration.
        buffer_memory: Counts the bytes of the grown read buffer; None: they are not counted.
    """

    write_high_water_bytes = 64 * 1024  # bytes in the transport's write buffer above which writing pauses

    def __init__(
        self, max_buffer_bytes: int, flusher: Flusher, buffer_memory: BufferMemory | None = None
    ) -> None:
        self.buffer = ReadBuffer(max_buffer_bytes, buffer_memory)
        self.flusher = flusher
        self.transport: asyncio.Transport | None = None
        self.write_queue: list[bytes] = []
        self.is_write_paused = False
        self.is_closed = False
        self.last_read_at_s = 0.0  # loop time in s
        self.discard_budget: int | None = None  # bytes that may still be discarded; None: input is processed
        self._is_flush_scheduled = False
        self._close_mode: CloseMode | None = None  # None: the connection is not closing
        self._close_timer: asyncio.TimerHandle | None = None  # the next step of the close
        self._output_progress = OutputProgress()
        self._socket_reader: SocketReader | None = None  # created on first use
        self._loop = asyncio.get_running_loop()

    def on_connected(self) -> None:
        """Handle the established connection."""

    def on_data(self, data: memoryview) -> int | None:
        """Process the complete messages at the start of the data.

        Returns the number of bytes of these messages; None if the input is invalid.
        """
        raise NotImplementedError

    def on_invalid_input(self) -> None:
        """Close after invalid input, because the following input cannot be parsed."""
        self.close()

    def on_buffer_full(self) -> None:
        """Handle a full buffer without a complete message."""
        self.on_invalid_input()

    def on_disconnected(self) -> None:
        """Handle the end of the connection."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and call ``on_connected`` (called by asyncio)."""
        self.transport = cast("asyncio.Transport", transport)
        self.transport.set_write_buffer_limits(high=self.write_high_water_bytes)
        limit_tls_buffers(self.transport)
        disable_nagle(self.transport)
        self.last_read_at_s = self._loop.time()
        self.on_connected()

    def connection_lost(self, exc: Exception | None) -> None:
        """Call ``on_disconnected`` (called by asyncio)."""
        self.is_closed = True
        if self._close_timer is not None:
            self._close_timer.cancel()
        try:
            self.on_disconnected()
        except Exception:
            log.exception(format_event("connection_cleanup_failed"))

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for input (called by asyncio)."""
        return self.buffer.writable_space() if self.discard_budget is None else memoryview(_DISCARD_BUFFER)

    def buffer_updated(self, nbytes: int) -> None:
        """Process input that was read into the buffer (called by asyncio)."""
        self.last_read_at_s = self._loop.time()
        if self.discard_budget is not None:
            self._discard(nbytes)
            return
        self.buffer.advance(nbytes)
        self._process_buffer()

    def eof_received(self) -> bool:
        """Handle the end of input; True keeps this side open (called by asyncio).

        TLS cannot keep one side open.
        """
        if self._close_mode is None or self.transport is None or not self.transport.can_write_eof():
            return False
        return self.has_unsent_output()

    def socket_state(self) -> SocketState:
        """Return the state of the socket, which asyncio may not have reported yet."""
        reader = self._reader()
        return reader.state() if reader is not None else QUIET_SOCKET

    def read_once(self) -> ReadStop | None:
        """Read and process input from the socket once, also while reading is paused.

        ``eof_received`` is called at the end of input, and again when asyncio detects it.

        Returns:
            None if there may be more input.
        """
        reader = self._reader()
        space = self.get_buffer(-1)
        if reader is None or not len(space):
            return ReadStop.NO_MORE_INPUT
        stop = reader.read(space, self.buffer_updated)
        if stop is ReadStop.END_OF_INPUT:
            self.eof_received()
        return stop

    def _reader(self) -> SocketReader | None:
        if self._socket_reader is None and self.transport is not None:
            transport_socket = self.transport.get_extra_info("socket")
            self._socket_reader = None if transport_socket is None else SocketReader(transport_socket)
        return self._socket_reader

    def _process_buffer(self) -> None:
        try:
            with self.buffer.peek() as data:
                consumed = self.on_data(data)
        except Exception:
            log.exception(format_event("input_handler_failed"))
            consumed = None
        if consumed is None:
            self.on_invalid_input()
            return
        self.buffer.consume(consumed)
        if self.buffer.is_full():
            self.on_buffer_full()

    def pause_writing(self) -> None:
        """Record that the peer reads slowly (called by asyncio)."""
        self.is_write_paused = True

    def resume_writing(self) -> None:
        """Flush the queue, because the peer reads again (called by asyncio)."""
        self.is_write_paused = False
        self._output_progress.reset()
        self.flush()

    def write(self, data: bytes) -> None:
        """Queue bytes, which are flushed by the end of this iteration of the event loop."""
        self.write_queue.append(data)
        self.schedule_flush()

    def schedule_flush(self) -> None:
        """Schedule a flush together with other connections."""
        if not self._is_flush_scheduled and not self.is_closed:
            self._is_flush_scheduled = True
            self.flusher.schedule(self)

    def flush(self) -> None:
        """Pass the queue to the transport unless the peer reads slowly."""
        self._is_flush_scheduled = False
        self._pass_to_transport()

    def _pass_to_transport(self) -> None:
        if (
            self.write_queue
            and not self.is_write_paused
            and self.transport is not None
            and not self.is_closed
        ):
            queued = self.write_queue
            self.write_queue = []
            self.transport.write(b"".join(queued))

    def unsent_bytes(self) -> int:
        """Return the bytes of output that the socket has not accepted yet."""
        if self.is_closed or self.transport is None:
            return 0
        return sum(map(len, self.write_queue)) + unsent_bytes(self.transport)

    def has_unsent_output(self) -> bool:
        """Return whether the socket has not accepted all output yet."""
        return self.unsent_bytes() > 0

    def is_output_stalled(self, now_s: float, timeout_s: float) -> bool:
        """Return whether the peer has read none of the output for longer than a time.

        Progress is only seen by calling this method, so it must be called more often than once in that time.

        Args:
            now_s: The event loop's time.
            timeout_s: The time in s.
        """
        return self._output_progress.stalled_s(now_s, self.unsent_bytes()) > timeout_s

    def is_closing(self) -> bool:
        """Return whether the connection is closing, so that no further input is processed."""
        return self._close_mode is not None or (self.transport is not None and self.transport.is_closing())

    def close(self) -> None:
        """Close once all output has been sent; input is discarded until then."""
        self._start_closing(CloseMode.CLOSE)

    def lingering_close(self) -> None:
        """Send all output, close the sending side, discard further input for ``LINGER_S``, then close.

        A close with unread input would reset the connection, and a reset would discard the response before
        the peer has read it (RFC 9112, section 9.6).
        """
        self._start_closing(CloseMode.LINGER)

    def abort(self) -> None:
        """Close at once and drop the queued bytes."""
        if self.transport is not None:
            self.transport.abort()

    def _start_closing(self, mode: CloseMode) -> None:
        if self.transport is None or self.is_closed or self.is_closing():
            return
        self._close_mode = mode
        self.discard_budget = LINGER_MAX_BYTES
        self._pass_to_transport()
        if mode is CloseMode.LINGER or self.has_unsent_output():
            self.transport.resume_reading()
        self._continue_closing()

    def _continue_closing(self) -> None:
        """Take the next step of the close, once all output has been sent."""
        if self.transport is None or self.is_closed:
            return
        if self.has_unsent_output():
            self._await_output()
        elif self._close_mode is CloseMode.LINGER:
            if self.transport.can_write_eof():
                self.transport.write_eof()
            self._close_timer = self._loop.call_later(LINGER_S, self.transport.close)
        else:
            self.transport.close()

    def _await_output(self) -> None:
        """Check again later whether all output has been sent; abort if the peer has stopped to read."""
        now_s = self._loop.time()
        if self.is_output_stalled(now_s, CLOSING_OUTPUT_TIMEOUT_S):
            self.abort_with_unsent_output()
        else:
            self._close_timer = self._loop.call_later(OUTPUT_POLL_S, self._continue_closing)

    def abort_with_unsent_output(self) -> None:
        """Abort because the peer does not read, and log what it has not got."""
        log.warning(format_event("output_dropped", bytes=self.unsent_bytes()))
        self.abort()

    def _discard(self, count: int) -> None:
        assert self.discard_budget is not None
        self.discard_budget -= count
        if self.discard_budget > 0:
            return
        if self.has_unsent_output() and self.transport is not None:
            self.transport.pause_reading()  # the output is still owed
        else:
            self.abort()
