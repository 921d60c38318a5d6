"""The platform's front: MessagePack-RPC over TCP. It hands calls to the planner and writes answers."""

from __future__ import annotations

import asyncio
import logging
import re
from functools import lru_cache, partial
from typing import Any

from cedarthread import interface as i
from cedarthread.core.calls import Answer, Call, Refused, Served, answer_by
from cedarthread.core.planner import Planner
from cedarthread.net import msgpack
from cedarthread.net.stream import Flusher, Stream
from cedarthread.wire import positive

log = logging.getLogger("cedarthread.platform")

MESSAGE = 64 * 1024  # the longest message: a body of 16 KiB and its fields, with room to spare
BODY = 16 * 1024
QUEUED = 32 * 2**20  # bytes of answers kept for clients that read slowly, beyond which calls are refused
HALF_OPEN = 120.0  # s without a byte or an open call after which a client is taken for gone
_HEX = re.compile(r"[0-9a-fA-F]{16}\Z")


@lru_cache(maxsize=4096)  # a function's are the same in each of its calls
def props(text: str) -> tuple[float | None, float | None]:
    """Lanes and memory out of ``memory_mb:512;lanes:2``; what is no positive number is passed over."""
    found = {}
    for part in text.split(";"):
        name, _, figure = part.partition(":")
        try:
            found[name.strip()] = float(figure)
        except ValueError:
            continue
    return positive(found.get("lanes")), positive(found.get("memory_mb"))


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
    lanes, memory = props(fields.get("props", ""))
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
        return pack_error(number, "Backoff", fields)
    return pack_error(number, "Lost", {})


def pack_error(number: int, word: str, fields: dict[str, str]) -> bytes:
    """A response that says no."""
    head = b"\x94\x01" + msgpack.pack_uint(number) + b"\x92" + msgpack.pack_str(word)
    return head + msgpack.pack_fields(fields) + b"\xc0"


def pack_health(number: int, ready: bool) -> bytes:
    """The response to a health check."""
    return b"\x94\x01" + msgpack.pack_uint(number) + b"\xc0\x92" + (b"\xc3" if ready else b"\xc2") + b"\x80"


class PlatformConnection(Stream):
    """One client's connection."""

    def __init__(self, front: PlatformFront) -> None:
        super().__init__(MESSAGE, front.flusher)
        self.front = front
        self.open: dict[int, Call] = {}
        self.ending = False
        self.queued = 0  # bytes of answers that the client's slowness keeps here

    def opened(self) -> None:
        """Count it in."""
        if len(self.front.connections) >= self.front.most:
            log.warning("connection limit %d reached: a client was turned away", self.front.most)
            return self.abort()
        self.front.connections.add(self)

    def lost(self) -> None:
        """Its calls have nobody to answer to."""
        self.front.connections.discard(self)
        self._unqueue()
        for call in self.open.values():
            self.front.planner.abandon(call)
        self.open.clear()

    def _unqueue(self) -> None:
        self.front.queued -= self.queued
        self.queued = 0

    def eof_received(self) -> bool:
        """A client that only stopped writing still gets its answers."""
        self.ending = True
        return bool(self.open or self.out)

    def pause_writing(self) -> None:
        """A client that does not read its answers may not ask for more."""
        super().pause_writing()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        """It reads again."""
        super().resume_writing()
        if self.transport is not None and not self.transport.is_closing() and not self.paused:
            self.transport.resume_reading()

    def received(self, data: memoryview) -> int | None:
        """Take whole messages."""
        at = 0
        while at < len(data):
            parsed = msgpack.parse(data, at)
            if isinstance(parsed, msgpack.Short):
                break
            if isinstance(parsed, msgpack.Bad) or not self._message(parsed.value):
                log.info("connection closed: bad message")
                return None
            at = parsed.end
        return at

    def _message(self, message: Any) -> bool:
        """Act on one message; False where it makes no sense and names no request."""
        match message:
            case [0, int(number), str(method), list(params)] if 0 <= number < 2**64:
                return self._request(number, method, params)
            case [2, "interrupt", [int(number)]]:
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
        klass = self.front.classes.get(method)
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
        if self.front.queued > QUEUED:  # guards the memory limit against many clients that read slowly
            self.write(pack_answer(number, Refused(planner.settings.limits.max_retry_after)))
            return True
        call.reply = partial(self._answer, number)
        self.open[number] = call
        planner.submit(call)
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
        if self.ending and not self.open and not self.out and self.transport is not None:
            self.transport.close()


class PlatformFront:
    """The listener and its connections."""

    def __init__(self, planner: Planner, most: int, flusher: Flusher) -> None:
        self.planner = planner
        self.flusher = flusher
        self.most = most
        self.ready = True
        self.queued = 0
        self.connections: set[PlatformConnection] = set()
        self.classes = {klass.name: n for n, klass in enumerate(planner.settings.classes)}
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> int:
        """Accept clients; the port that it is."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: PlatformConnection(self), host, port, backlog=512)
        return int(self._server.sockets[0].getsockname()[1])

    def stop_listening(self) -> None:
        """Accept no more."""
        if self._server is not None:
            self._server.close()

    def sweep(self, now: float) -> None:
        """Close what has been silent for long: its client may have vanished without a word."""
        for connection in list(self.connections):
            if not connection.open and now - connection.last_read > HALF_OPEN:
                connection.close()

    def drained(self) -> bool:
        """All answers have left this process."""
        transports = [c.transport for c in self.connections if not c.closed and c.transport is not None]
        queued = any(c.out for c in self.connections)
        return not queued and not any(t.get_write_buffer_size() for t in transports)
