"""In-memory connections between the program and its peers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.testing.fuzzing.virtual_loop import VirtualLoop


class Write(NamedTuple):
    """A write of the program to a transport: its position in the stream and its time in Unix ms."""

    first_byte: int
    at_ms: float


class MemoryTransport(asyncio.Transport):
    """The program's end of an in-memory connection, with methods that act as the peer (``peer_*``).

    The peer accepts ``peer_window_bytes`` further bytes, or any number if the window is None. Other bytes
    stay in the write buffer, as with a socket from which the peer has stopped reading.

    Args:
        loop: The loop of the program.
        on_bytes: Called immediately with the bytes that the peer accepts.
        on_close: Called when either end has closed the connection.
    """

    def __init__(
        self,
        loop: VirtualLoop,
        on_bytes: Callable[[bytes], None] = lambda data: None,
        on_close: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__()
        self.loop = loop
        self.on_bytes = on_bytes
        self.on_close = on_close
        self.protocol: Any = None
        self.peer_window_bytes: int | None = None
        self.never_connects = False
        self.sent_eof = False
        self.writes = [Write(0, 0.0)]
        self._written_bytes = 0
        self._write_buffer = bytearray()
        self._unread_input: list[bytes] = []
        self._high_water_bytes = 64 * 1024
        self._is_writing_paused = False
        self._is_reading_paused = False
        self._is_closing = False
        self._is_lost = False
        self._is_peer_eof = False

    def connect(self, protocol: asyncio.BufferedProtocol) -> None:
        """Attach the program's protocol and notify it that the connection is open."""
        self.protocol = protocol
        protocol.connection_made(self)

    # Actions of the peer.

    def peer_send(self, data: bytes) -> None:
        """Send bytes from the peer to the program."""
        if data and not self._is_closing:
            self._unread_input.append(data)
            self.deliver()

    def peer_send_eof(self) -> None:
        """Half-close the connection from the peer."""
        self._is_peer_eof = True
        self.deliver()

    def peer_reset(self) -> None:
        """Reset the connection from the peer; bytes that the peer has not accepted are lost."""
        self._write_buffer.clear()
        self._end(ConnectionResetError("reset by peer"))

    def peer_accept(self, more_bytes: int | None) -> None:
        """Accept this many further bytes at the peer, or all bytes from now on if None."""
        self.peer_window_bytes = (
            more_bytes
            if more_bytes is None or self.peer_window_bytes is None
            else self.peer_window_bytes + more_bytes
        )
        self._flush()

    def deliver(self, *, ignores_pause: bool = False) -> None:
        """Pass the bytes that the peer has sent to the program's protocol.

        Args:
            ignores_pause: Whether to pass the bytes even if the program has paused reading.
        """
        while self._unread_input and (ignores_pause or not self._is_reading_paused) and not self._is_closing:
            data = self._unread_input.pop(0)
            buffer = self.protocol.get_buffer(-1)
            if not len(buffer) and ignores_pause:
                self._unread_input.insert(0, data)
                return
            if not len(buffer):
                raise AssertionError("get_buffer() returned an empty buffer")
            count = min(len(buffer), len(data))
            buffer[:count] = data[:count]
            if count < len(data):
                self._unread_input.insert(0, data[count:])
            self.protocol.buffer_updated(count)
        if (
            self._is_peer_eof
            and not self._unread_input
            and (ignores_pause or not self._is_reading_paused)
            and not self._is_closing
        ):
            self._is_peer_eof = False
            if not self.protocol.eof_received():
                self.close()

    # The asyncio.Transport interface, which protocols use.

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Write bytes; those that the peer does not accept are buffered."""
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
        """Set the buffered size in bytes above which the protocol must pause writing."""
        self._high_water_bytes = 64 * 1024 if high is None else high

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that the peer has not accepted yet."""
        return len(self._write_buffer)

    def pause_reading(self) -> None:
        """Pause reading."""
        self._is_reading_paused = True

    def resume_reading(self) -> None:
        """Resume reading in the next iteration of the loop."""
        if self._is_reading_paused and not self._is_closing:
            self._is_reading_paused = False
            self.loop.call_soon(self.deliver)

    def is_closing(self) -> bool:
        """Return whether the transport is closed or closing."""
        return self._is_closing

    def can_write_eof(self) -> bool:
        """Return True."""
        return True

    def write_eof(self) -> None:
        """Half-close the connection from the program."""
        self.sent_eof = True

    def close(self) -> None:
        """Close the connection once the peer has accepted all buffered bytes."""
        if not self._is_closing:
            self._is_closing = True
            if not self._write_buffer:
                self._end(None)

    def abort(self) -> None:
        """Close the connection immediately; buffered bytes are lost."""
        self._write_buffer.clear()
        self._end(None)

    def _end(self, error: Exception | None) -> None:
        self._is_closing = True
        if not self._is_lost:
            self._is_lost = True
            self.on_close()
            if self.protocol is not None:
                self.loop.call_soon(self.protocol.connection_lost, error)

    def get_extra_info(self, name: str, default: object = None) -> object:
        """Return the default because an in-memory connection has no such information."""
        return default
