"""One connection of a platform client: receives MessagePack-RPC messages, sends responses.

Two limits protect the other clients: a connection processes only a few messages per pass, and the server
counts the bytes of responses that slow clients have not read.
"""

from __future__ import annotations

import fcntl
import logging
import termios
from typing import TYPE_CHECKING

from cedarthread.logs import format_event
from cedarthread.protocols import msgpack
from cedarthread.protocols.platform.calls import PlatformCalls
from cedarthread.transport.connection import BufferedConnection

if TYPE_CHECKING:
    from cedarthread.protocols.platform.owners import ConnectionServer

log = logging.getLogger(__name__)

MAX_MESSAGE_BYTES = 64 * 1024  # leaves ample space for the fields beside a body of 16 KiB
MESSAGES_PER_PASS = 32  # maximum messages of one connection that are processed before other connections


class PlatformConnection(BufferedConnection):
    """The connection of one client. It owns the client's open calls."""

    def __init__(self, server: ConnectionServer[PlatformConnection]) -> None:
        super().__init__(MAX_MESSAGE_BYTES, server.flusher)
        self.server = server
        self.calls = PlatformCalls(self)
        self.is_half_closed = False  # the client has closed its sending side
        self.message_started_at: float | None = None  # loop time in s of an incomplete message's first byte
        self.needed_bytes = 0  # minimum length of the next message, derived from its parsed part
        self.has_unprocessed_messages = False  # complete messages are left for the next pass
        self.reading_paused_at_s: float | None = None  # loop time in s since which input is not read
        self.queued_bytes = 0  # size of the responses that the client has not read
        self.invalid_reason = ""  # why the message that ends the connection is invalid

    def on_connected(self) -> None:
        """Register with the server; abort if the connection limit is reached."""
        if not self.server.register(self):
            limit = self.server.max_connections
            log.warning(format_event("connection_limit_reached", listener="clients", rejected=1, limit=limit))
            self.abort()
            return
        self.message_started_at = self.last_read_at_s

    def _log_truncated_message(self, truncated_bytes: int) -> None:
        if log.isEnabledFor(logging.INFO):
            client = self._peer_name()
            log.info(format_event("client_message_truncated", client=client, bytes=truncated_bytes))

    def on_disconnected(self) -> None:
        """Unregister from the server and abandon the open calls."""
        if self.discard_budget is None and (truncated_bytes := len(self.buffer.peek())):
            self._log_truncated_message(truncated_bytes)
        self.server.unregister(self)
        self._clear_queued_bytes()
        self.calls.abandon_all()

    def is_idle(self) -> bool:
        """Return whether no call is open, no output is unsent and no input is unread.

        Input is ignored once the connection is closing.
        """
        if self.calls.open or self.has_unprocessed_messages or self.transport is None:
            return False
        return not self.has_unsent_output() and (self.is_closing() or not self.has_unread_input())

    def has_unread_input(self) -> bool:
        """Return whether the socket has unread input."""
        assert self.transport is not None
        unread_bytes = bytearray(4)
        fcntl.ioctl(self.transport.get_extra_info("socket").fileno(), termios.FIONREAD, unread_bytes)
        return any(unread_bytes)

    def on_data(self, data: memoryview) -> int | None:
        """Process up to ``MESSAGES_PER_PASS`` complete messages.

        Returns the bytes of the processed messages; None if a message is invalid.
        """
        offset = 0
        processed = 0
        while (
            offset < len(data) and processed < MESSAGES_PER_PASS and len(data) - offset >= self.needed_bytes
        ):
            parsed = msgpack.parse(data, offset)
            if isinstance(parsed, msgpack.Incomplete):
                self.needed_bytes = parsed.needed_bytes
                break
            if isinstance(parsed, msgpack.Malformed):
                self.invalid_reason = parsed.reason
                return None
            if not self.calls.handle_message(parsed.value):
                self.invalid_reason = "it makes no sense here"
                return None
            offset = parsed.end
            processed += 1
            self.needed_bytes = 0
        if processed:
            self.message_started_at = None
            self.server.mark_validated(self)
        if offset < len(data) and self.message_started_at is None:
            self.message_started_at = self.last_read_at_s
        if processed == MESSAGES_PER_PASS and offset < len(data):
            self.has_unprocessed_messages = True
            self._update_reading()
            self._loop.call_soon(self._process_more_messages)
        return offset

    def _process_more_messages(self) -> None:
        self.has_unprocessed_messages = False
        if not self.is_closed and self.discard_budget is None:
            self._process_buffer()
            self._update_reading()
            self.schedule_flush()

    def _process_all_messages(self) -> None:
        """Process all complete messages, because a cancellation may follow a flood of requests."""
        while self.has_unprocessed_messages and not self.is_closed and self.discard_budget is None:
            self._process_more_messages()

    def refresh_client_state(self) -> None:
        """Process all input in the buffer and the socket, and abandon the calls of a disconnected client."""
        self._process_all_messages()
        if not self.read_available():
            self.calls.abandon_all()
            self.abort()
        self._process_all_messages()

    def eof_received(self) -> bool:
        """Reject calls without an attempt after the client closed its sending side (called by asyncio).

        Attempts in flight may still be answered. Returns whether the connection stays open for responses.
        """
        self.is_half_closed = True
        self.calls.on_client_half_closed()
        has_open_calls = bool(self.calls.open or self.has_unprocessed_messages)
        if not has_open_calls:
            self.close()
        return self.has_unsent_output() or (has_open_calls and not self.is_closing())

    def pause_writing(self) -> None:
        """Stop reading, because the client does not read its responses (called by asyncio)."""
        super().pause_writing()
        self._update_reading()

    def resume_writing(self) -> None:
        """Resume reading, because the client reads its responses again (called by asyncio)."""
        super().resume_writing()
        self._update_reading()

    def _update_reading(self) -> None:
        """Pause reading while responses or complete messages are queued; otherwise resume it."""
        if self.transport is None or self.transport.is_closing():
            return
        if not self.is_closing() and (self.is_write_paused or self.has_unprocessed_messages):
            self.transport.pause_reading()
            if self.reading_paused_at_s is None:
                self.reading_paused_at_s = self._loop.time()
        else:
            self.transport.resume_reading()
            self._exclude_pause_from_timeouts()

    def _exclude_pause_from_timeouts(self) -> None:
        """Do not count as the client's the time for which this server has paused reading."""
        paused_at_s = self.reading_paused_at_s
        if paused_at_s is None:
            return
        self.reading_paused_at_s = None
        now_s = self._loop.time()
        self.last_read_at_s = now_s
        if self.message_started_at is not None:
            self.message_started_at += now_s - max(paused_at_s, self.message_started_at)

    def on_buffer_full(self) -> None:
        """Reject a message over the maximum length, unless complete messages fill the buffer."""
        if not self.has_unprocessed_messages:
            self.on_invalid_input()

    def on_invalid_input(self) -> None:
        """Close after an invalid message, which fails the open calls."""
        reason = self.invalid_reason or "too long"
        if log.isEnabledFor(logging.INFO):
            log.info(format_event("client_message_invalid", client=self._peer_name(), reason=reason))
        self.fail_calls_and_close()

    def fail_calls_and_close(self) -> None:
        """Fail the open calls, and close once the responses are sent."""
        self.calls.fail_all()
        self.lingering_close()

    def _peer_name(self) -> str:
        name = self.transport.get_extra_info("peername") if self.transport is not None else None
        return f"{name[0]}:{name[1]}" if name else "unknown"

    def write(self, data: bytes) -> None:
        """Queue a response and count its bytes."""
        self.queued_bytes += len(data)
        self.server.queued_bytes += len(data)
        super().write(data)

    def flush(self) -> None:
        """Flush the responses. Close after the last one if the client or this server will send no more."""
        super().flush()
        if not self.write_queue:
            self._clear_queued_bytes()
        if not (self.is_half_closed or self.server.is_draining) or self.is_closing():
            return
        is_done = not (self.calls.open or self.write_queue or self.has_unprocessed_messages)
        if self.is_half_closed and is_done:
            self.close()
        elif self.server.is_draining and self.is_idle():
            self.lingering_close()

    def _clear_queued_bytes(self) -> None:
        self.server.queued_bytes -= self.queued_bytes
        self.queued_bytes = 0
