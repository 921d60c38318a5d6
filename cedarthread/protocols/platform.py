"""The platform's front: MessagePack-RPC over TCP. It hands calls to the planner and writes answers."""

from __future__ import annotations

import fcntl
import logging
import math
import re
import termios
from functools import lru_cache, partial
from typing import Any

from cedarthread.dispatch.calls import Call, CallRejected, CallResult, CallSucceeded, call_deadline_ms
from cedarthread.dispatch.dispatcher import Dispatcher
from cedarthread.model.settings import Idempotency, RouterSettings
from cedarthread.protocols import msgpack
from cedarthread.transport.acceptor import Acceptor, create_listener
from cedarthread.transport.descriptor_budget import CLIENT_ACCEPTS_PER_PASS as ACCEPTED
from cedarthread.transport.stream import BufferedConnection, Flusher

log = logging.getLogger("cedarthread.platform")

MAX_MESSAGE_BYTES = 64 * 1024  # the longest message: a body of 16 KiB and its fields, with room to spare
MAX_BODY_BYTES = 16 * 1024
MAX_OPEN_CALLS = 32  # open requests that one connection may carry
MESSAGES_PER_PASS = 32  # messages of one connection that are taken before others have their turn
MESSAGE_TIMEOUT_S = 2.0  # s that a connection has for its first whole message, and each message for arriving
LISTEN_BACKLOG = 512
SILENT_CLIENT_TIMEOUT_S = 120.0  # s without a byte or an open call after which a client is taken for gone
_HEX_ID = re.compile(r"[0-9a-fA-F]{16}\Z")


@lru_cache(maxsize=4096)  # a function's are the same in each of its calls
def parse_props(text: str) -> tuple[float | None, float | None]:
    """Lanes and memory out of ``memory_mb:512;lanes:2``; ValueError where one is no positive number."""
    found: dict[str, float] = {}
    for part in text.split(";"):
        name, _, figure = part.partition(":")
        if name in ("lanes", "memory_mb"):
            if name in found or not 0.0 < float(figure) < math.inf:
                raise ValueError(part)
            found[name] = float(figure)
    return found.get("lanes"), found.get("memory_mb")


def parse_call(
    class_index: int, settings: RouterSettings, fields: Any, body: Any, now_ms: float
) -> Call | str:
    """A call from a request's fields, or what is wrong with them."""
    if not isinstance(fields, dict) or set(map(type, fields.values())) - {str}:
        return "the fields are no map of strings"
    raw = body.encode() if isinstance(body, str) else body
    if not isinstance(raw, (bytes, memoryview)) or len(raw) > MAX_BODY_BYTES:
        return "the body is not bytes of at most 16 KiB"
    name, item, key = fields.get("txn", ""), fields.get("item", ""), fields.get("unique")
    if not _HEX_ID.match(name) or not _HEX_ID.match(item):
        return "txn and item take 16 hex digits"
    keyed = settings.classes[class_index].idempotency is Idempotency.WITH_KEY
    if keyed and not key:
        return "a keyed class needs unique"
    limit = fields.get("limit", "")
    if not (limit.isascii() and limit.isdigit() and len(limit) < 10):
        return "limit takes whole milliseconds"
    if float(limit) <= 0.0 or fields.get("second", "1") != "1":
        return "limit or second is out of range"
    try:
        lanes, memory = parse_props(fields.get("props", ""))
    except ValueError:
        return "props takes positive figures"
    return Call(
        name,
        class_index,
        int(item, 16),
        call_deadline_ms(now_ms, float(limit)),
        bytes(raw),
        lambda answer: None,
        key,
        lanes,
        memory,
        fields.get("second") == "1",
    )


def encode_answer(message_id: int, answer: CallResult) -> bytes:
    """The response to a request."""
    head = b"\x94\x01" + msgpack.pack_uint(message_id)
    if isinstance(answer, CallSucceeded):
        return head + b"\xc0\x92" + msgpack.pack_bin(answer.body) + b"\x80"
    if isinstance(answer, CallRejected):
        fields = {} if answer.retry_after_ms is None else {"later": str(max(1, round(answer.retry_after_ms)))}
        return encode_error(
            message_id, "Backoff", fields | ({"reason": answer.reason} if answer.reason else {})
        )
    return encode_error(message_id, "Lost", {})


def encode_error(message_id: int, error_name: str, fields: dict[str, str]) -> bytes:
    """A response that says no."""
    head = b"\x94\x01" + msgpack.pack_uint(message_id) + b"\x92" + msgpack.pack_str(error_name)
    return head + msgpack.pack_fields(fields) + b"\xc0"


def encode_health(message_id: int, is_ready: bool) -> bytes:
    """The response to a health check."""
    return (
        b"\x94\x01"
        + msgpack.pack_uint(message_id)
        + b"\xc0\x92"
        + (b"\xc3" if is_ready else b"\xc2")
        + b"\x80"
    )


def _is_message_id(value: int) -> bool:
    return 0 <= value < 2**64 and not isinstance(value, bool)


class PlatformConnection(BufferedConnection):
    """One client's connection."""

    def __init__(self, server: PlatformServer) -> None:
        super().__init__(MAX_MESSAGE_BYTES, server.flusher)
        self.server = server
        self.open_calls: dict[int, Call] = {}
        self.is_half_closed = False
        self.message_started_at: float | None = None  # when what is no whole message yet began to come
        self.needed_bytes = 0  # bytes without which the next message is not whole
        self.has_unprocessed_messages = False  # messages that came whole wait for their turn
        self.queued_bytes = 0  # bytes of answers that the client's slowness keeps here
        self.invalid_reason = ""  # what was wrong with a message that ends the connection

    def on_connected(self) -> None:
        """Count it in."""
        if not self.server.register(self):
            log.warning("connection limit %d reached: a client was turned away", self.server.max_connections)
            return self.abort()
        self.message_started_at = self.last_read_at

    def on_disconnected(self) -> None:
        """Its calls have nobody to answer to."""
        if self.discard_budget is None and (held := len(self.buffer.peek())):
            log.info(
                "client %s ended in the middle of a message, after %d bytes of it", self._peer_name(), held
            )
        self.server.unregister(self)
        self._clear_queued_bytes()
        self._abandon_calls()

    def _abandon_calls(self) -> None:
        calls, self.open_calls = self.open_calls, {}
        for call in calls.values():
            self.server.dispatcher.abandon_call(call)

    def refresh_client_state(self) -> None:
        """Take in what the client has said and done by now, however late this process reads it."""
        self._process_all_messages()
        if not self.read_available():
            self._abandon_calls()
            self.abort()
        self._process_all_messages()

    def _process_all_messages(self) -> None:
        """Take what has been read and waits for its turn: a CANCEL may stand behind a flood."""
        while self.has_unprocessed_messages and not self.is_closed and self.discard_budget is None:
            self._process_more_messages()

    def is_idle(self) -> bool:
        """It carries nothing: no open call, and no input that waits here or in the socket to be read."""
        if self.open_calls or self.has_unprocessed_messages or self.transport is None:
            return False
        return self.discard_budget is not None or self.transport.is_closing() or not self.has_unread_input()

    def has_unread_input(self) -> bool:
        """Does input wait in the socket?"""
        assert self.transport is not None
        count = bytearray(4)
        fcntl.ioctl(self.transport.get_extra_info("socket").fileno(), termios.FIONREAD, count)
        return any(count)

    def _clear_queued_bytes(self) -> None:
        self.server.queued_bytes -= self.queued_bytes
        self.queued_bytes = 0

    def eof_received(self) -> bool:
        """The client has closed, or only stopped writing: what is out may still be answered, and what has
        not begun is turned back at once."""
        self.is_half_closed = True
        for call in list(self.open_calls.values()):
            self.server.dispatcher.client_closing(call)
        return self.discard_budget is None and bool(
            self.open_calls or self.write_queue or self.has_unprocessed_messages
        )

    def pause_writing(self) -> None:
        """A client that does not read its answers may not ask for more."""
        super().pause_writing()
        self._update_reading()

    def resume_writing(self) -> None:
        """It reads again."""
        super().resume_writing()
        self._update_reading()

    def _update_reading(self) -> None:
        """Read on, unless the client reads slowly or what it sent waits for its turn."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.discard_budget is None and (self.is_write_paused or self.has_unprocessed_messages):
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def on_data(self, data: memoryview) -> int | None:
        """Take whole messages, so many a turn: one client's flood must not keep the others waiting."""
        at = taken = 0
        while at < len(data) and taken < MESSAGES_PER_PASS and len(data) - at >= self.needed_bytes:
            parsed = msgpack.parse(data, at)
            if isinstance(parsed, msgpack.Incomplete):
                self.needed_bytes = parsed.needed_bytes
                break
            if isinstance(parsed, msgpack.Malformed) or not self._handle_message(parsed.value):
                self.invalid_reason = (
                    parsed.reason if isinstance(parsed, msgpack.Malformed) else "it makes no sense here"
                )
                return None
            at, taken, self.needed_bytes = parsed.end, taken + 1, 0
        if taken:
            self.message_started_at = None
            self.server.mark_proven(self)
        if at < len(data) and self.message_started_at is None:
            self.message_started_at = self.last_read_at
        if taken == MESSAGES_PER_PASS and at < len(data):
            self.has_unprocessed_messages = True
            self._update_reading()
            self._loop.call_soon(self._process_more_messages)
        return at

    def _process_more_messages(self) -> None:
        """Take what waited for its turn."""
        self.has_unprocessed_messages = False
        if not self.is_closed and self.discard_budget is None:
            self._process_buffer()
            self._update_reading()
            self.schedule_flush()

    def on_buffer_full(self) -> None:
        """Longer than a message may be, unless whole messages wait here."""
        if not self.has_unprocessed_messages:
            self.on_invalid_input()

    def on_invalid_input(self) -> None:
        """Nothing more can be read here: each open call gets its one answer, and then it ends."""
        log.info(
            "connection closed: bad message of client %s: %s",
            self._peer_name(),
            self.invalid_reason or "too long",
        )
        self.fail_calls_and_close()

    def _peer_name(self) -> str:
        name = self.transport.get_extra_info("peername") if self.transport is not None else None
        return f"{name[0]}:{name[1]}" if name else "unknown"

    def fail_calls_and_close(self) -> None:
        """Answer what is open, and close."""
        for call in list(self.open_calls.values()):
            self.server.dispatcher.fail_call(call)
        self.lingering_close()

    def _handle_message(self, message: Any) -> bool:
        """Act on one message; False where it makes no sense and names no request."""
        match message:
            case [0, int(number), str(method), list(params)] if _is_message_id(number):
                return self._handle_request(number, method, params)
            case [2, "interrupt", [int(number)]] if _is_message_id(number):
                if (call := self.open_calls.pop(number, None)) is not None:
                    self.server.dispatcher.abandon_call(call)
                return True
            case [2, str(), list()]:
                return True  # a notification of another kind asks for no answer
        return False

    def _handle_request(self, message_id: int, method: str, params: list[Any]) -> bool:
        if message_id in self.open_calls:
            return False  # an error under this number would pass for the open call's answer
        # A class may bear the name of the health check: a call has a body, a health check has none.
        if method == "check" and len(params) < 2:
            self.write(encode_health(message_id, self.server.is_ready))
            return True
        klass = self.server.dispatcher.current_class_index.get(method)
        if klass is None or len(params) != 2:
            self.write(encode_error(message_id, "BadRequest", {"why": "no such method"}))
            return True
        planner = self.server.dispatcher
        call = parse_call(klass, planner.settings, params[0], params[1], planner.clock())
        if isinstance(call, Call) and call.call_id in planner.calls.pending_ids:
            call = "a call of this txn is open"  # two at a worker could not be told apart
        if isinstance(call, str):
            self.write(encode_error(message_id, "BadRequest", {"why": call}))
            return True
        # Guards the memory limit against clients that read slowly, and other clients against one that floods.
        call.on_result = partial(self._send_answer, message_id)
        if self.server.queued_bytes > self.server.max_queued_bytes or len(self.open_calls) >= MAX_OPEN_CALLS:
            planner.reject_call(call)
            return True
        self.open_calls[message_id] = call
        call.refresh_client_state = self.refresh_client_state
        planner.submit(call)
        if self.is_half_closed:
            planner.client_closing(call)
        return True

    def _send_answer(self, message_id: int, answer: CallResult) -> None:
        self.open_calls.pop(message_id, None)
        if not self.is_closed:
            self.write(encode_answer(message_id, answer))

    def write(self, data: bytes) -> None:
        """Queue an answer."""
        self.queued_bytes += len(data)
        self.server.queued_bytes += len(data)
        super().write(data)

    def flush(self) -> None:
        """Write the answers; after the last one to a client that has stopped writing, close."""
        super().flush()
        if not self.write_queue:
            self._clear_queued_bytes()
        done = not (self.open_calls or self.write_queue or self.has_unprocessed_messages)
        if self.is_half_closed and done and self.discard_budget is None and self.transport is not None:
            self.transport.close()
        elif self.server.is_draining and self.is_idle():
            self.lingering_close()


def _can_evict(connection: PlatformConnection) -> bool:
    """It carries nothing and closes at once. Guards the count: one whose answers a slow client has not taken
    would hold its descriptor uncounted till they have left."""
    if not connection.is_idle() or connection.transport is None:
        return False
    unsent = connection.write_queue or connection.transport.get_write_buffer_size()
    return connection.discard_budget is not None or not unsent


class PlatformServer:
    """The listener and its connections."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        max_connections: int,
        flusher: Flusher,
        max_queued_bytes: int = 32 * 2**20,
        accepts_per_pass: int = ACCEPTED,
    ) -> None:
        self.dispatcher = dispatcher
        self.accepts_per_pass = accepts_per_pass  # connections accepted in one turn of the loop at most
        self.max_queued_bytes = (
            max_queued_bytes  # bytes of answers that slow clients leave here, before calls are refused
        )
        self.flusher = flusher
        self.max_connections = max_connections
        self.is_ready = True
        self.is_draining = False  # told to end: connections close once they carry nothing
        self.queued_bytes = 0
        # Both the least lately used first: those that have asked properly, and those that have not yet.
        self.connections: dict[PlatformConnection, None] = {}
        self.unproven_connections: dict[PlatformConnection, None] = {}
        self._acceptor: Acceptor[PlatformConnection] | None = None
        self._draining_acceptor: Acceptor[PlatformConnection] | None = (
            None  # told to end, it takes what still waits
        )

    def register(self, connection: PlatformConnection) -> bool:
        """Count a connection in, once. At the limit one that carries nothing makes room, strangers first."""
        if connection in self.unproven_connections or connection in self.connections:
            return True
        if (
            len(self.connections) + len(self.unproven_connections) >= self.max_connections
            and not self.evict_idle()
        ):
            return False
        self.unproven_connections[connection] = None
        return True

    def evict_idle(self) -> bool:
        """Close a connection that carries nothing: its descriptor is free in the next turn. False: all do."""
        for connection in (*self.unproven_connections, *self.connections):
            if _can_evict(connection):
                self.unregister(connection)
                connection.abort() if connection.discard_budget is not None else connection.close()
                return True
        return False

    def mark_proven(self, connection: PlatformConnection) -> None:
        """It sent a whole message: it may stay as long as there is room."""
        self.unregister(connection)
        self.connections[connection] = None

    def unregister(self, connection: PlatformConnection) -> None:
        """Count a connection out."""
        self.connections.pop(connection, None)
        self.unproven_connections.pop(connection, None)

    async def listen(self, host: str, port: int) -> int:
        """Accept clients; the port that it is. A successor may listen on the same address meanwhile."""
        sock = create_listener(host, port, LISTEN_BACKLOG, reuse_port=True)
        self._acceptor = Acceptor(
            "clients", sock, self.accepts_per_pass, self._create_connection, self.unregister, self.evict_idle
        )
        return self._acceptor.port

    def _create_connection(self) -> PlatformConnection | None:
        """One more client, counted in before its connection is up: a flood must not outrun the count."""
        connection = PlatformConnection(self)
        return connection if self.register(connection) else None

    def stop_listening(self) -> None:
        """Accept no more."""
        if self._acceptor is not None:
            self._acceptor.drain_and_close()
            self._draining_acceptor, self._acceptor = self._acceptor, None

    def drain(self) -> None:
        """Take no more connections, and close each as soon as it carries nothing: its client goes elsewhere.

        Guards against calls that come to a process about to end, where they have less time than elsewhere."""
        self.stop_listening()
        self.is_draining = True
        for connection in [*self.unproven_connections, *self.connections]:
            if connection.is_idle():
                connection.lingering_close()

    def sweep(self, now: float) -> None:
        """Close what has said nothing proper in time, or has been silent so long that its client has gone."""
        for connection in [*self.unproven_connections, *self.connections]:
            late = (
                connection.message_started_at is not None
                and now - connection.message_started_at > MESSAGE_TIMEOUT_S
            )
            gone = not connection.open_calls and now - connection.last_read_at > SILENT_CLIENT_TIMEOUT_S
            up = connection.transport is not None and connection.discard_budget is None
            if up and not connection.has_unprocessed_messages and (late or gone):
                log.info("connection closed: nothing whole came in time")
                connection.fail_calls_and_close()

    def is_drained(self) -> bool:
        """All answers have left this process, and all that waited to be accepted has been."""
        if self._draining_acceptor is not None and not self._draining_acceptor.is_finished():
            return False
        every = (*self.unproven_connections, *self.connections)
        transports = [c.transport for c in every if not c.is_closed and c.transport is not None]
        queued = any(c.write_queue for c in every)
        return not queued and not any(t.get_write_buffer_size() for t in transports)
