"""The platform's front: MessagePack-RPC over TCP. It hands calls to the planner and writes answers."""

from __future__ import annotations

import fcntl
import logging
import math
import re
import termios
from functools import lru_cache, partial
from typing import Any

from cedarthread import interface as i
from cedarthread.core.calls import Answer, Call, Refused, Served, answer_by
from cedarthread.core.planner import Planner
from cedarthread.net import msgpack
from cedarthread.net.acceptor import Acceptor, listener
from cedarthread.net.descriptors import TURN as ACCEPTED
from cedarthread.net.stream import Flusher, Stream

log = logging.getLogger("cedarthread.platform")

MESSAGE = 64 * 1024  # the longest message: a body of 16 KiB and its fields, with room to spare
BODY = 16 * 1024
OPEN = 32  # open requests that one connection may carry
TURN = 32  # messages of one connection that are taken before others have their turn
PROVE = 2.0  # s that a connection has for its first whole message, and each message for arriving
BACKLOG = 512
HALF_OPEN = 120.0  # s without a byte or an open call after which a client is taken for gone
_HEX = re.compile(r"[0-9a-fA-F]{16}\Z")


@lru_cache(maxsize=4096)  # a function's are the same in each of its calls
def props(text: str) -> tuple[float | None, float | None]:
    """Lanes and memory out of ``memory_mb:512;lanes:2``; ValueError where one is no positive number."""
    found: dict[str, float] = {}
    for part in text.split(";"):
        name, _, figure = part.partition(":")
        if name in ("lanes", "memory_mb"):
            if name in found or not 0.0 < float(figure) < math.inf:
                raise ValueError(part)
            found[name] = float(figure)
    return found.get("lanes"), found.get("memory_mb")


def read_call(klass: int, settings: i.Settings, fields: Any, body: Any, now: float) -> Call | str:
    """A call from a request's fields, or what is wrong with them."""
    if not isinstance(fields, dict) or set(map(type, fields.values())) - {str}:
        return "the fields are no map of strings"
    raw = body.encode() if isinstance(body, str) else body
    if not isinstance(raw, (bytes, memoryview)) or len(raw) > BODY:
        return "the body is not bytes of at most 16 KiB"
    name, item, key = fields.get("txn", ""), fields.get("item", ""), fields.get("unique")
    if not _HEX.match(name) or not _HEX.match(item):
        return "txn and item take 16 hex digits"
    keyed = settings.classes[klass].effect is i.Effect.KEYED
    if keyed and not key:
        return "a keyed class needs unique"
    limit = fields.get("limit", "")
    if not (limit.isascii() and limit.isdigit() and len(limit) < 10):
        return "limit takes whole milliseconds"
    if float(limit) <= 0.0 or fields.get("second", "1") != "1":
        return "limit or second is out of range"
    try:
        lanes, memory = props(fields.get("props", ""))
    except ValueError:
        return "props takes positive figures"
    return Call(
        name,
        klass,
        int(item, 16),
        answer_by(now, float(limit)),
        bytes(raw),
        lambda answer: None,
        key,
        lanes,
        memory,
        fields.get("second") == "1",
    )


def pack_answer(number: int, answer: Answer) -> bytes:
    """The response to a request."""
    head = b"\x94\x01" + msgpack.pack_uint(number)
    if isinstance(answer, Served):
        return head + b"\xc0\x92" + msgpack.pack_bin(answer.body) + b"\x80"
    if isinstance(answer, Refused):
        fields = {} if answer.later is None else {"later": str(max(1, round(answer.later)))}
        return pack_error(number, "Backoff", fields | ({"reason": answer.reason} if answer.reason else {}))
    return pack_error(number, "Lost", {})


def pack_error(number: int, word: str, fields: dict[str, str]) -> bytes:
    """A response that says no."""
    head = b"\x94\x01" + msgpack.pack_uint(number) + b"\x92" + msgpack.pack_str(word)
    return head + msgpack.pack_fields(fields) + b"\xc0"


def pack_health(number: int, ready: bool) -> bytes:
    """The response to a health check."""
    return b"\x94\x01" + msgpack.pack_uint(number) + b"\xc0\x92" + (b"\xc3" if ready else b"\xc2") + b"\x80"


def _is_number(value: int) -> bool:
    return 0 <= value < 2**64 and not isinstance(value, bool)


class PlatformConnection(Stream):
    """One client's connection."""

    def __init__(self, front: PlatformFront) -> None:
        super().__init__(MESSAGE, front.flusher)
        self.front = front
        self.open: dict[int, Call] = {}
        self.ending = False
        self.began: float | None = None  # when what is no whole message yet began to come
        self.need = 0  # bytes without which the next message is not whole
        self.waits = False  # messages that came whole wait for their turn
        self.queued = 0  # bytes of answers that the client's slowness keeps here
        self.wrong = ""  # what was wrong with a message that ends the connection

    def opened(self) -> None:
        """Count it in."""
        if not self.front.admit(self):
            log.warning("connection limit %d reached: a client was turned away", self.front.most)
            return self.abort()
        self.began = self.last_read

    def lost(self) -> None:
        """Its calls have nobody to answer to."""
        if self.dropping is None and (held := len(self.buffer.held())):
            log.info("client %s ended in the middle of a message, after %d bytes of it", self._peer(), held)
        self.front.forget(self)
        self._unqueue()
        self._abandon()

    def _abandon(self) -> None:
        calls, self.open = self.open, {}
        for call in calls.values():
            self.front.planner.abandon(call)

    def look(self) -> None:
        """Take in what the client has said and done by now, however late this process reads it."""
        self._catch_up()
        if not self.read_now():
            self._abandon()
            self.abort()
        self._catch_up()

    def _catch_up(self) -> None:
        """Take what has been read and waits for its turn: a CANCEL may stand behind a flood."""
        while self.waits and not self.closed and self.dropping is None:
            self._again()

    def idle(self) -> bool:
        """It carries nothing: no open call, and no input that waits here or in the socket to be read."""
        if self.open or self.waits or self.transport is None:
            return False
        return self.dropping is not None or self.transport.is_closing() or not self.unread()

    def unread(self) -> bool:
        """Does input wait in the socket?"""
        assert self.transport is not None
        count = bytearray(4)
        fcntl.ioctl(self.transport.get_extra_info("socket").fileno(), termios.FIONREAD, count)
        return any(count)

    def _unqueue(self) -> None:
        self.front.queued -= self.queued
        self.queued = 0

    def eof_received(self) -> bool:
        """The client has closed, or only stopped writing: what is out may still be answered, and what has
        not begun is turned back at once."""
        self.ending = True
        for call in list(self.open.values()):
            self.front.planner.closing(call)
        return self.dropping is None and bool(self.open or self.out or self.waits)

    def pause_writing(self) -> None:
        """A client that does not read its answers may not ask for more."""
        super().pause_writing()
        self._listen()

    def resume_writing(self) -> None:
        """It reads again."""
        super().resume_writing()
        self._listen()

    def _listen(self) -> None:
        """Read on, unless the client reads slowly or what it sent waits for its turn."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.dropping is None and (self.paused or self.waits):
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def received(self, data: memoryview) -> int | None:
        """Take whole messages, so many a turn: one client's flood must not keep the others waiting."""
        at = taken = 0
        while at < len(data) and taken < TURN and len(data) - at >= self.need:
            parsed = msgpack.parse(data, at)
            if isinstance(parsed, msgpack.Short):
                self.need = parsed.need
                break
            if isinstance(parsed, msgpack.Bad) or not self._message(parsed.value):
                self.wrong = parsed.why if isinstance(parsed, msgpack.Bad) else "it makes no sense here"
                return None
            at, taken, self.need = parsed.end, taken + 1, 0
        if taken:
            self.began = None
            self.front.proved(self)
        if at < len(data) and self.began is None:
            self.began = self.last_read
        if taken == TURN and at < len(data):
            self.waits = True
            self._listen()
            self._loop.call_soon(self._again)
        return at

    def _again(self) -> None:
        """Take what waited for its turn."""
        self.waits = False
        if not self.closed and self.dropping is None:
            self._take()
            self._listen()
            self.flush_soon()

    def overfull(self) -> None:
        """Longer than a message may be, unless whole messages wait here."""
        if not self.waits:
            self.bad_input()

    def bad_input(self) -> None:
        """Nothing more can be read here: each open call gets its one answer, and then it ends."""
        log.info("connection closed: bad message of client %s: %s", self._peer(), self.wrong or "too long")
        self.end()

    def _peer(self) -> str:
        name = self.transport.get_extra_info("peername") if self.transport is not None else None
        return f"{name[0]}:{name[1]}" if name else "unknown"

    def end(self) -> None:
        """Answer what is open, and close."""
        for call in list(self.open.values()):
            self.front.planner.fail(call)
        self.linger()

    def _message(self, message: Any) -> bool:
        """Act on one message; False where it makes no sense and names no request."""
        match message:
            case [0, int(number), str(method), list(params)] if _is_number(number):
                return self._request(number, method, params)
            case [2, "interrupt", [int(number)]] if _is_number(number):
                if (call := self.open.pop(number, None)) is not None:
                    self.front.planner.abandon(call)
                return True
            case [2, str(), list()]:
                return True  # a notification of another kind asks for no answer
        return False

    def _request(self, number: int, method: str, params: list[Any]) -> bool:
        if number in self.open:
            return False  # an error under this number would pass for the open call's answer
        # A class may bear the name of the health check: a call has a body, a health check has none.
        if method == "check" and len(params) < 2:
            self.write(pack_health(number, self.front.ready))
            return True
        klass = self.front.planner.current.get(method)
        if klass is None or len(params) != 2:
            self.write(pack_error(number, "BadRequest", {"why": "no such method"}))
            return True
        planner = self.front.planner
        call = read_call(klass, planner.settings, params[0], params[1], planner.clock())
        if isinstance(call, Call) and call.name in planner.names:
            call = "a call of this txn is open"  # two at a worker could not be told apart
        if isinstance(call, str):
            self.write(pack_error(number, "BadRequest", {"why": call}))
            return True
        # Guards the memory limit against clients that read slowly, and other clients against one that floods.
        call.reply = partial(self._answer, number)
        if self.front.queued > self.front.most_queued or len(self.open) >= OPEN:
            planner.turn_away(call)
            return True
        self.open[number] = call
        call.look = self.look
        planner.submit(call)
        if self.ending:
            planner.closing(call)
        return True

    def _answer(self, number: int, answer: Answer) -> None:
        self.open.pop(number, None)
        if not self.closed:
            self.write(pack_answer(number, answer))

    def write(self, data: bytes) -> None:
        """Queue an answer."""
        self.queued += len(data)
        self.front.queued += len(data)
        super().write(data)

    def flush(self) -> None:
        """Write the answers; after the last one to a client that has stopped writing, close."""
        super().flush()
        if not self.out:
            self._unqueue()
        done = not (self.open or self.out or self.waits)
        if self.ending and done and self.dropping is None and self.transport is not None:
            self.transport.close()
        elif self.front.winding and self.idle():
            self.linger()


def _gives_way(connection: PlatformConnection) -> bool:
    """It carries nothing and closes at once. Guards the count: one whose answers a slow client has not taken
    would hold its descriptor uncounted till they have left."""
    if not connection.idle() or connection.transport is None:
        return False
    unsent = connection.out or connection.transport.get_write_buffer_size()
    return connection.dropping is not None or not unsent


class PlatformFront:
    """The listener and its connections."""

    def __init__(
        self,
        planner: Planner,
        most: int,
        flusher: Flusher,
        most_queued: int = 32 * 2**20,
        turn: int = ACCEPTED,
    ) -> None:
        self.planner = planner
        self.turn = turn  # connections accepted in one turn of the loop at most
        self.most_queued = (
            most_queued  # bytes of answers that slow clients leave here, before calls are refused
        )
        self.flusher = flusher
        self.most = most
        self.ready = True
        self.winding = False  # told to end: connections close once they carry nothing
        self.queued = 0
        # Both the least lately used first: those that have asked properly, and those that have not yet.
        self.connections: dict[PlatformConnection, None] = {}
        self.strangers: dict[PlatformConnection, None] = {}
        self._server: Acceptor[PlatformConnection] | None = None
        self._last: Acceptor[PlatformConnection] | None = None  # told to end, it takes what still waits

    def admit(self, connection: PlatformConnection) -> bool:
        """Count a connection in, once. At the limit one that carries nothing makes room, strangers first."""
        if connection in self.strangers or connection in self.connections:
            return True
        if len(self.connections) + len(self.strangers) >= self.most and not self.make_room():
            return False
        self.strangers[connection] = None
        return True

    def make_room(self) -> bool:
        """Close a connection that carries nothing: its descriptor is free in the next turn. False: all do."""
        for connection in (*self.strangers, *self.connections):
            if _gives_way(connection):
                self.forget(connection)
                connection.abort() if connection.dropping is not None else connection.close()
                return True
        return False

    def proved(self, connection: PlatformConnection) -> None:
        """It sent a whole message: it may stay as long as there is room."""
        self.forget(connection)
        self.connections[connection] = None

    def forget(self, connection: PlatformConnection) -> None:
        """Count a connection out."""
        self.connections.pop(connection, None)
        self.strangers.pop(connection, None)

    async def listen(self, host: str, port: int) -> int:
        """Accept clients; the port that it is. A successor may listen on the same address meanwhile."""
        sock = listener(host, port, BACKLOG, shared=True)
        self._server = Acceptor("clients", sock, self.turn, self._welcome, self.forget, self.make_room)
        return self._server.port

    def _welcome(self) -> PlatformConnection | None:
        """One more client, counted in before its connection is up: a flood must not outrun the count."""
        connection = PlatformConnection(self)
        return connection if self.admit(connection) else None

    def stop_listening(self) -> None:
        """Accept no more."""
        if self._server is not None:
            self._server.end()
            self._last, self._server = self._server, None

    def wind_down(self) -> None:
        """Take no more connections, and close each as soon as it carries nothing: its client goes elsewhere.

        Guards against calls that come to a process about to end, where they have less time than elsewhere."""
        self.stop_listening()
        self.winding = True
        for connection in [*self.strangers, *self.connections]:
            if connection.idle():
                connection.linger()

    def sweep(self, now: float) -> None:
        """Close what has said nothing proper in time, or has been silent so long that its client has gone."""
        for connection in [*self.strangers, *self.connections]:
            late = connection.began is not None and now - connection.began > PROVE
            gone = not connection.open and now - connection.last_read > HALF_OPEN
            up = connection.transport is not None and connection.dropping is None
            if up and not connection.waits and (late or gone):
                log.info("connection closed: nothing whole came in time")
                connection.end()

    def drained(self) -> bool:
        """All answers have left this process, and all that waited to be accepted has been."""
        if self._last is not None and not self._last.done():
            return False
        every = (*self.strangers, *self.connections)
        transports = [c.transport for c in every if not c.closed and c.transport is not None]
        queued = any(c.out for c in every)
        return not queued and not any(t.get_write_buffer_size() for t in transports)
