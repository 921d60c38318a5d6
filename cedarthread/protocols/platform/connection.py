"""One connection of a platform client: MessagePack-RPC messages in, responses out.

Two bounds keep one client from harming the others: messages are processed a few at a time, and the bytes of
responses that a slow client leaves here are counted.
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
    from cedarthread.protocols.platform.server import PlatformServer

log = logging.getLogger(__name__)

MAX_MESSAGE_BYTES = 64 * 1024  # a body of 16 KiB and its fields, with room to spare
MESSAGES_PER_PASS = 32  # of one connection, processed before others have their turn


class PlatformConnection(BufferedConnection):
    """One client's connection."""

    def __init__(self, server: PlatformServer) -> None:
        super().__init__(MAX_MESSAGE_BYTES, server.flusher)
        self.server = server
        self.calls = PlatformCalls(self)
        self.is_half_closed = False  # the client sends no more
        self.message_started_at: float | None = None  # loop time at which an incomplete message began to come
        self.needed_bytes = 0  # without which the next message is not complete
        self.has_unprocessed_messages = False  # complete messages wait for the next pass
        self.queued_bytes = 0  # of responses that the client has not read
        self.invalid_reason = ""  # what was wrong with the message that ends the connection

    def on_connected(self) -> None:
        """Register at the server."""
        if not self.server.register(self):
            limit = self.server.max_connections
            log.warning(format_event("connection_limit_reached", listener="clients", rejected=1, limit=limit))
            self.abort()
            return
        self.message_started_at = self.last_read_at

    def _log_truncated_message(self, truncated_bytes: int) -> None:
        if log.isEnabledFor(logging.INFO):
            client = self._peer_name()
            log.info(format_event("client_message_truncated", client=client, bytes=truncated_bytes))

    def on_disconnected(self) -> None:
        """Unregister, and abandon the open calls."""
        if self.discard_budget is None and (truncated_bytes := len(self.buffer.peek())):
            self._log_truncated_message(truncated_bytes)
        self.server.unregister(self)
        self._clear_queued_bytes()
        self.calls.abandon_all()

    def is_idle(self) -> bool:
        """No call is open, and no input waits here or in the socket."""
        if self.calls.open or self.has_unprocessed_messages or self.transport is None:
            return False
        return self.discard_budget is not None or self.transport.is_closing() or not self.has_unread_input()

    def has_unread_input(self) -> bool:
        """Does input wait in the socket?"""
        assert self.transport is not None
        unread_bytes = bytearray(4)
        fcntl.ioctl(self.transport.get_extra_info("socket").fileno(), termios.FIONREAD, unread_bytes)
        return any(unread_bytes)

    def can_evict(self) -> bool:
        """It is idle and closes at once.

        One with responses that a slow client has not read would hold its descriptor, uncounted, until they
        have left.
        """
        if not self.is_idle() or self.transport is None:
            return False
        unsent = self.write_queue or self.transport.get_write_buffer_size()
        return self.discard_budget is not None or not unsent

    def on_data(self, data: memoryview) -> int | None:
        """Process complete messages, up to ``MESSAGES_PER_PASS`` of them."""
        offset = processed = 0
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
            offset, processed, self.needed_bytes = parsed.end, processed + 1, 0
        if processed:
            self.message_started_at = None
            self.server.mark_proven(self)
        if offset < len(data) and self.message_started_at is None:
            self.message_started_at = self.last_read_at
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
        """Process what waits for its pass now: a cancellation may stand behind a flood of requests."""
        while self.has_unprocessed_messages and not self.is_closed and self.discard_budget is None:
            self._process_more_messages()

    def refresh_client_state(self) -> None:
        """Process all that the client has sent by now, and whether it has gone, however late it is read."""
        self._process_all_messages()
        if not self.read_available():
            self.calls.abandon_all()
            self.abort()
        self._process_all_messages()

    def eof_received(self) -> bool:
        """The client has closed, or only its sending side (asyncio).

        Attempts in flight may still be answered; calls without one are rejected at once.
        """
        self.is_half_closed = True
        self.calls.on_client_closing()
        return self.discard_budget is None and bool(
            self.calls.open or self.write_queue or self.has_unprocessed_messages
        )

    def pause_writing(self) -> None:
        """The client does not read its responses, so it may not ask for more (asyncio)."""
        super().pause_writing()
        self._update_reading()

    def resume_writing(self) -> None:
        """The client reads again (asyncio)."""
        super().resume_writing()
        self._update_reading()

    def _update_reading(self) -> None:
        """Pause reading while the client reads slowly or messages wait for their pass, else resume it."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.discard_budget is None and (self.is_write_paused or self.has_unprocessed_messages):
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def on_buffer_full(self) -> None:
        """A message is longer than one may be, unless complete messages fill the buffer."""
        if not self.has_unprocessed_messages:
            self.on_invalid_input()

    def on_invalid_input(self) -> None:
        """Nothing more can be parsed here: each open call gets its one response, then it closes."""
        reason = self.invalid_reason or "too long"
        if log.isEnabledFor(logging.INFO):
            log.info(format_event("client_message_invalid", client=self._peer_name(), reason=reason))
        self.fail_calls_and_close()

    def fail_calls_and_close(self) -> None:
        """Fail the open calls, and close once the responses have left."""
        self.calls.fail_all()
        self.lingering_close()

    def _peer_name(self) -> str:
        name = self.transport.get_extra_info("peername") if self.transport is not None else None
        return f"{name[0]}:{name[1]}" if name else "unknown"

    def write(self, data: bytes) -> None:
        """Queue a response."""
        self.queued_bytes += len(data)
        self.server.queued_bytes += len(data)
        super().write(data)

    def flush(self) -> None:
        """Flush the responses; after the last one to a client that sends no more, close."""
        super().flush()
        if not self.write_queue:
            self._clear_queued_bytes()
        is_done = not (self.calls.open or self.write_queue or self.has_unprocessed_messages)
        if self.is_half_closed and is_done and self.discard_budget is None and self.transport is not None:
            self.transport.close()
        elif self.server.is_draining and self.is_idle():
            self.lingering_close()

    def _clear_queued_bytes(self) -> None:
        self.server.queued_bytes -= self.queued_bytes
        self.queued_bytes = 0
