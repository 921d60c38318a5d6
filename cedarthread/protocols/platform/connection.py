"""One connection of a platform client: receives MessagePack-RPC messages, sends responses.

Two limits protect the other clients: a connection processes only a few messages per turn, also when it is
looked at before a call is sent, and the server counts the bytes of responses that slow clients have not read.
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
from cedarthread.transport.socket_reader import ReadStop

if TYPE_CHECKING:
    from cedarthread.protocols.platform.owners import ConnectionServer

log = logging.getLogger(__name__)

MAX_MESSAGE_BYTES = 64 * 1024  # leaves ample space for the fields beside a body of 16 KiB


class PlatformConnection(BufferedConnection):
    """The connection of one client. It owns the client's open calls."""

    def __init__(self, server: ConnectionServer[PlatformConnection]) -> None:
        super().__init__(MAX_MESSAGE_BYTES, server.flusher, server.buffer_memory)
        self.server = server
        self.calls = PlatformCalls(self)
        self.is_half_closed = False  # the client has closed its sending side
        self.is_input_complete = False  # all that the client sent before that has been read
        # The client has sent more than a look at it may process. Until all has been read, it is unknown
        # whether the client still waits for its calls: none of them is sent, and further ones are rejected.
        self.is_backlogged = False
        self.message_started_at: float | None = None  # loop time in s of an incomplete message's first byte
        self.needed_bytes = 0  # minimum length of the next message, derived from its parsed part
        self.has_unprocessed_messages = False  # complete messages are left for the next turn
        self._turn_messages: int | None = (
            None  # messages of the turn being processed; None: as the server says
        )
        self._processed_messages = 0  # by the last pass over the buffer
        self.reading_paused_at_s: float | None = None  # loop time in s since which input is not read
        self.queued_bytes = 0  # size of the responses that the client has not read
        self.invalid_reason = ""  # why the message that ends the connection is invalid

    def on_connected(self) -> None:
        """Register with the server; abort if the connection limit is reached."""
        if not self.server.register(self):
            limit = self.server.max_connections
            if self._may_log(logging.WARNING, "connection_limit_reached"):
                log.warning(
                    format_event("connection_limit_reached", listener="clients", rejected=1, limit=limit)
                )
            self.abort()
            return
        self.message_started_at = self.last_read_at_s

    def _may_log(self, level: int, event: str) -> bool:
        """Return whether an event that a client caused is logged; there is a budget of such lines."""
        return log.isEnabledFor(level) and self.server.log_budget.allows(event, 1000.0 * self._loop.time())

    def _log_truncated_message(self, truncated_bytes: int) -> None:
        if self._may_log(logging.INFO, "client_message_truncated"):
            client = self._peer_name()
            log.info(format_event("client_message_truncated", client=client, bytes=truncated_bytes))

    def on_disconnected(self) -> None:
        """Unregister from the server and abandon the open calls."""
        if self.discard_budget is None and (truncated_bytes := len(self.buffer.peek())):
            self._log_truncated_message(truncated_bytes)
        self.server.unregister(self)
        self.server.turns.discard(self)
        self._set_queued_bytes(0)
        self.buffer.clear()
        self.calls.abandon_all()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for input; let it grow within the memory of all buffers (called by asyncio)."""
        if self.discard_budget is None and (growth_bytes := self.buffer.growth_bytes()):
            self.server.make_room_for_input(growth_bytes)
        return super().get_buffer(sizehint)

    def close_incomplete_message(self) -> None:
        """Close without reading the rest of a long message, to make room for others."""
        dropped_bytes = len(self.buffer.peek())
        if self._may_log(logging.INFO, "client_message_evicted"):
            client = self._peer_name()
            log.info(format_event("client_message_evicted", client=client, bytes=dropped_bytes))
        self.buffer.clear()
        self.fail_calls_and_close()

    def is_idle(self) -> bool:
        """Return whether no call is open, no output is unsent and no input is unread.

        Input is ignored once the connection is closing.
        """
        if self.calls.open or self.has_unprocessed_messages or self.transport is None:
            return False
        return not self.has_unsent_output() and (self.is_closing() or not self.has_unread_input())

    def has_client_left(self) -> bool:
        """Return whether the client has closed, no call of it is open and no output is unsent."""
        if self.calls.open or self.transport is None or self.has_unsent_output():
            return False
        return self.socket_state().is_closed_by_peer

    def has_unread_input(self) -> bool:
        """Return whether the socket has unread input."""
        assert self.transport is not None
        unread_bytes = bytearray(4)
        fcntl.ioctl(self.transport.get_extra_info("socket").fileno(), termios.FIONREAD, unread_bytes)
        return any(unread_bytes)

    def on_data(self, data: memoryview) -> int | None:
        """Process the complete messages of one turn.

        Returns the bytes of the processed messages; None if a message is invalid.
        """
        max_messages = self._turn_messages
        if max_messages is None:
            max_messages = self.server.turns.first_turn_messages()
        offset = 0
        processed = 0
        while offset < len(data) and processed < max_messages and len(data) - offset >= self.needed_bytes:
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
        self._processed_messages = processed
        if processed:
            self.message_started_at = None
            self.server.mark_validated(self)
        if offset < len(data) and self.message_started_at is None:
            self.message_started_at = self.last_read_at_s
        if processed == max_messages and offset < len(data):
            self.has_unprocessed_messages = True
            self._update_reading()
            self.server.turns.add(self, is_new=self._turn_messages is None and not self.is_backlogged)
        elif self.is_backlogged:
            self.is_backlogged = self.socket_state().has_input
        return offset

    def process_turn(self, max_messages: int) -> None:
        """Process up to ``max_messages`` of the messages that earlier turns have left."""
        if not self.has_unprocessed_messages:
            return
        self.has_unprocessed_messages = False
        self._processed_messages = 0
        if self.is_closed or self.discard_budget is not None:
            return
        self._turn_messages = max_messages
        self._process_buffer()
        self._turn_messages = None
        self._update_reading()
        self.schedule_flush()

    def refresh_client_state(self) -> bool:
        """Process what the client has sent, within a bound, and find out whether the client has gone.

        Returns whether all input was processed, so that no interrupt can be unread. That a client has closed
        or broken its connection is found whatever input is unread before that.
        """
        if self.discard_budget is not None or self.transport is None:
            return True
        state = self.socket_state()
        if self.is_closed or self.transport.is_closing() or state.is_broken:
            self._drop_client()
            return True
        if state.is_closed_by_peer:
            self._on_client_half_closed()
            return True
        if not self.is_backlogged and (state.has_input or self.has_unprocessed_messages):
            self.is_backlogged = not self._process_available_input()
        return not self.is_backlogged

    def _drop_client(self) -> None:
        self.calls.abandon_all()
        self.abort()

    def _process_available_input(self) -> bool:
        """Process input as far as the bounds on looks allow; return whether nothing is left."""
        turns = self.server.turns
        remaining = turns.look_allowance(self)
        while self.has_unprocessed_messages or self.socket_state().has_input:
            if remaining <= 0 or self.server.must_read_responses(self):
                return False
            processed = self._look_once(remaining)
            turns.spend_look(self, processed)
            remaining -= processed
            if self.is_closed or self.discard_budget is not None or self.is_input_complete:
                return True
        return True

    def _look_once(self, max_messages: int) -> int:
        """Process messages from the buffer, or else read once; return the messages, with the read as one."""
        if self.has_unprocessed_messages:
            self.process_turn(max_messages)
            return max(1, self._processed_messages)
        self._processed_messages = 0
        self._turn_messages = max_messages
        stop = self.read_once()
        self._turn_messages = None
        if stop is ReadStop.BROKEN:
            self._drop_client()
        return 1 + self._processed_messages

    def _on_client_half_closed(self) -> None:
        self.is_half_closed = True
        self.calls.on_client_half_closed()

    def eof_received(self) -> bool:
        """Reject calls without an attempt after the client closed its sending side (called by asyncio).

        Attempts in flight may still be answered. Returns whether the connection stays open for responses.
        """
        self.is_input_complete = True
        self._on_client_half_closed()
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
        if self._may_log(logging.INFO, "client_message_invalid"):
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
        self._set_queued_bytes(self._count_queued_bytes())
        if not (self.is_half_closed or self.server.is_draining) or self.is_closing():
            return
        is_done = not (self.calls.open or self.write_queue or self.has_unprocessed_messages)
        if self.is_input_complete and is_done:
            self.close()
        elif self.server.is_draining and self.is_idle():
            self.lingering_close()

    def _count_queued_bytes(self) -> int:
        """Return the bytes of the queue and, if the client reads slowly, of the transport's buffer."""
        if self.is_closed or self.transport is None:
            return 0
        buffered = self.transport.get_write_buffer_size() if self.is_write_paused else 0
        return buffered + sum(map(len, self.write_queue))

    def _set_queued_bytes(self, queued_bytes: int) -> None:
        self.server.queued_bytes += queued_bytes - self.queued_bytes
        self.queued_bytes = queued_bytes
