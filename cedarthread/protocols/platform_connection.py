"""One connection of a platform client: MessagePack-RPC requests in, responses out.

Requests are answered in any order. Two bounds keep one client from harming the others: messages are processed
a few at a time, and the bytes of responses that a slow client leaves here are counted."""

from __future__ import annotations

import fcntl
import logging
import termios
from functools import partial
from typing import TYPE_CHECKING, Any

from cedarthread.dispatch.calls import Call, CallResult
from cedarthread.logs import format_event
from cedarthread.protocols import msgpack
from cedarthread.protocols.platform_codec import (
    encode_answer,
    encode_bad_request,
    encode_health,
    parse_call,
)
from cedarthread.transport.connection import BufferedConnection

if TYPE_CHECKING:
    from cedarthread.protocols.platform_server import PlatformServer

log = logging.getLogger(__name__)

MAX_MESSAGE_BYTES = 64 * 1024  # a body of 16 KiB and its fields, with room to spare
MAX_OPEN_CALLS = 32  # of one connection; further ones are rejected
MESSAGES_PER_PASS = 32  # of one connection, processed before others have their turn


def _is_message_id(value: int) -> bool:
    return 0 <= value < 2**64 and not isinstance(value, bool)


class PlatformConnection(BufferedConnection):
    """One client's connection."""

    def __init__(self, server: PlatformServer) -> None:
        super().__init__(MAX_MESSAGE_BYTES, server.flusher)
        self.server = server
        self.open_calls: dict[int, Call] = {}  # by message id
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
            return self.abort()
        self.message_started_at = self.last_read_at

    def _log_truncated_message(self, truncated_bytes: int) -> None:
        if log.isEnabledFor(logging.INFO):
            client = self._peer_name()
            log.info(format_event("client_message_truncated", client=client, bytes=truncated_bytes))

    def on_disconnected(self) -> None:
        """Abandon the open calls: nobody is there for their results."""
        if self.discard_budget is None and (truncated_bytes := len(self.buffer.peek())):
            self._log_truncated_message(truncated_bytes)
        self.server.unregister(self)
        self._clear_queued_bytes()
        self._abandon_calls()

    def _abandon_calls(self) -> None:
        calls, self.open_calls = self.open_calls, {}
        for call in calls.values():
            self.server.dispatcher.abandon_call(call)

    def is_idle(self) -> bool:
        """No call is open, and no input waits here or in the socket."""
        if self.open_calls or self.has_unprocessed_messages or self.transport is None:
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
        have left."""
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
            if not self._handle_message(parsed.value):
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
            self._abandon_calls()
            self.abort()
        self._process_all_messages()

    def _handle_message(self, message: Any) -> bool:
        """Act on one message; False if it is invalid and names no request that could be answered."""
        match message:
            case [0, int(message_id), str(method), list(params)] if _is_message_id(message_id):
                return self._handle_request(message_id, method, params)
            case [2, "interrupt", [int(message_id)]] if _is_message_id(message_id):
                if (call := self.open_calls.pop(message_id, None)) is not None:
                    self.server.dispatcher.abandon_call(call)
                return True
            case [2, str(), list()]:
                return True  # a notification of another kind asks for no response
        return False

    def _handle_request(self, message_id: int, method: str, params: list[Any]) -> bool:
        if message_id in self.open_calls:
            return False  # an error under this id would pass for the open call's response
        # A class may bear the name of the health check: a call has a body, a health check has none.
        if method == "check" and len(params) < 2:
            self.write(encode_health(message_id, self.server.is_ready))
            return True
        dispatcher = self.server.dispatcher
        class_index = dispatcher.current_class_index.get(method)
        if class_index is None or len(params) != 2:
            self.write(encode_bad_request(message_id, "no such method"))
            return True
        call = parse_call(class_index, dispatcher.settings, params[0], params[1], dispatcher.clock())
        if isinstance(call, Call) and call.call_id in dispatcher.calls.pending_ids:
            call = "a call of this txn is open"  # a worker could not tell the two apart
        if isinstance(call, str):
            self.write(encode_bad_request(message_id, call))
            return True
        self._submit(message_id, call)
        return True

    def _submit(self, message_id: int, call: Call) -> None:
        dispatcher = self.server.dispatcher
        call.on_result = partial(self._send_answer, message_id)
        # The first bound protects memory from clients that read slowly, the second others from a flood.
        if self.server.queued_bytes > self.server.max_queued_bytes or len(self.open_calls) >= MAX_OPEN_CALLS:
            return dispatcher.reject_call(call)
        self.open_calls[message_id] = call
        call.refresh_client_state = self.refresh_client_state
        dispatcher.submit(call)
        if self.is_half_closed:
            dispatcher.client_closing(call)

    def _send_answer(self, message_id: int, result: CallResult) -> None:
        self.open_calls.pop(message_id, None)
        if not self.is_closed:
            self.write(encode_answer(message_id, result))

    def eof_received(self) -> bool:
        """The client has closed, or only its sending side (asyncio).

        Attempts in flight may still be answered; calls without one are rejected at once."""
        self.is_half_closed = True
        for call in list(self.open_calls.values()):
            self.server.dispatcher.client_closing(call)
        return self.discard_budget is None and bool(
            self.open_calls or self.write_queue or self.has_unprocessed_messages
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
        for call in list(self.open_calls.values()):
            self.server.dispatcher.fail_call(call)
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
        is_done = not (self.open_calls or self.write_queue or self.has_unprocessed_messages)
        if self.is_half_closed and is_done and self.discard_budget is None and self.transport is not None:
            self.transport.close()
        elif self.server.is_draining and self.is_idle():
            self.lingering_close()

    def _clear_queued_bytes(self) -> None:
        self.server.queued_bytes -= self.queued_bytes
        self.queued_bytes = 0
