"""The invoke API: function calls over HTTP/1.1 with mutual TLS, synchronous or deferred.

    POST   /v1/functions/FUNCTION/CLASS   a call; with ``Prefer: respond-async`` 202 and where to collect
    GET    /v1/calls/NAME                 a deferred call's answer; 202 while there is none
    DELETE /v1/calls/NAME                 give a deferred call up, or forget its answer
    GET    /v1/ready                      200, or 503 once the process has been told to end

All calls go through the planner, as the platform's do: same decisions, same rules.
"""

from __future__ import annotations

import asyncio
import hashlib
import logging
import math
import re
import secrets
import select
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial

from cedarthread import interface as i
from cedarthread.core.calls import Answer, Call, Refused, Served, answer_by
from cedarthread.core.deferred import Bounds, Deferred, DeferredCalls
from cedarthread.core.planner import Planner
from cedarthread.net import http, spiffe
from cedarthread.net.acceptor import Acceptor, listener
from cedarthread.net.descriptors import SMALL_TURN
from cedarthread.net.http import Response, problem
from cedarthread.net.invoke_config import InvokeConfig
from cedarthread.net.stream import Flusher, Stream
from cedarthread.wire import positive

log = logging.getLogger("cedarthread.invoke")

BODY = 16 * 1024
BACKLOG = 128
LONGEST_WAIT = 30.0  # s that a request may ask to be held for
IDLE = 30.0  # s without a request after which a connection is closed
SLOW = 10.0  # s that a request may take to arrive
_CALL = re.compile(r"/v1/functions/([0-9a-f]{16})/([^/]+)\Z")
_COLLECT = re.compile(r"/v1/calls/([A-Za-z0-9_-]+)\Z")
_KEY = re.compile(r'"?([\x21\x23-\x7e]{1,128})"?\Z')
DRAINING = "this process is about to end"


def render(answer: Answer) -> Response:
    """A final answer as a response."""
    if isinstance(answer, Served):
        return Response(200, {"Content-Type": "application/octet-stream"}, answer.body)
    if isinstance(answer, Refused):
        seconds = max(1, math.ceil((answer.later or 0.0) / 1000.0))
        detail = f"not done; trying again is harmless{'; ' if answer.reason else ''}{answer.reason}"
        return problem(
            504 if answer.timed_out else 503,
            detail,
            {"Retry-After": str(seconds)},
            repeat="harmless",
            retry_after_ms=round(answer.later or 0.0),
        )
    detail = (
        "no answer in time; it may have run" if answer.timed_out else "the worker failed; it may have run"
    )
    return problem(504 if answer.timed_out else 502, detail, repeat="unknown")


@dataclass(frozen=True, slots=True)
class Wanted:
    """A call as a request asks for it."""

    klass: int
    function: str
    key: str | None
    body: bytes
    limit: float
    lanes: float | None
    memory: float | None

    def same(self) -> tuple[str, str, bytes]:
        """What a repeat under the same key must agree in."""
        return str(self.klass), self.function, hashlib.sha256(self.body).digest()


def read_wanted(
    settings: i.Settings, current: Mapping[str, int], head: http.Head, body: bytes
) -> Wanted | Response:
    """The call that a POST asks for, or what is wrong with it; ``current`` gives each class's place."""
    match = _CALL.match(head.target)
    if match is None or match[2] not in current:
        return problem(404, "no such function path or class")
    klass = current[match[2]]
    key = head.fields.get("idempotency-key")
    if key is not None and not _KEY.match(key):
        return problem(400, "Idempotency-Key takes 1 to 128 visible characters")
    if key is None and settings.classes[klass].effect is i.Effect.KEYED:
        return problem(400, "this class needs an Idempotency-Key")
    deadline = settings.classes[klass].deadline
    text = head.fields.get("call-timeout-ms", str(int(deadline)))
    if not (text.isascii() and text.isdigit() and 0 < len(text) < 10 and int(text) > 0):
        return problem(400, "Call-Timeout-Ms takes a positive whole number")
    figures: list[float | None] = []
    for name in ("call-lanes", "call-memory-mb"):
        try:
            figures.append(positive(float(head.fields[name])) if name in head.fields else None)
        except ValueError:
            return problem(400, f"{name} takes a number")
    found = _KEY.match(key) if key is not None else None
    limit = min(float(text), deadline)
    return Wanted(klass, match[1], found[1] if found else None, body, limit, figures[0], figures[1])


def worker_key(owner: str, key: str) -> str:
    """The key that workers see: theirs alone, so that no two owners' keys can meet."""
    return hashlib.sha256(f"{owner}\n{key}".encode()).hexdigest()[:32]


def _hung_up(transport: asyncio.Transport) -> bool:
    """Has the peer ended the connection under the TLS layer, whatever of it has been read?"""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


class InvokeConnection(Stream):
    """One caller's connection: one request at a time, those behind it wait in the buffer."""

    def __init__(self, front: InvokeFront) -> None:
        super().__init__(http.HEAD + BODY, front.flusher)
        self.front = front
        self.peer: spiffe.Identity | spiffe.Rejected = spiffe.Rejected("no certificate")
        self.busy = False
        self.keep_alive = True
        self.continued = False
        self.unreadable = False  # more may follow what can't be read
        self.began: float | None = None  # when the first byte of a request that is not whole came
        self.call: Call | None = None  # a synchronous call that ends with the connection
        self.entry: Deferred | None = None
        self._timer: asyncio.TimerHandle | None = None

    def opened(self) -> None:
        """The handshake is done: who is it?"""
        assert self.transport is not None
        if not self.front.admit(self):
            log.warning("connection limit %d reached: a caller was turned away", self.front.most)
            return self.abort()
        tls = self.transport.get_extra_info("ssl_object")
        certificate = tls.getpeercert(binary_form=True) if tls is not None else None
        if certificate is not None:
            self.peer = spiffe.identity(certificate)

    def lost(self) -> None:
        """A synchronous call has nobody to answer to; a stored one goes on."""
        self.front.connections.pop(self, None)
        self._stop_waiting()
        self._abandon()

    def _abandon(self) -> None:
        call, self.call = self.call, None
        if call is not None:
            self.front.planner.abandon(call)

    def look(self) -> None:
        """A caller that has closed its end is gone, however far the TLS layer has read."""
        if self.closed or self.transport is None:
            return
        if self.transport.is_closing() or _hung_up(self.transport):
            self._abandon()
            self.abort()

    def idle(self) -> bool:
        """It carries nothing: no request, whole or in part, and no response that has not left."""
        if self.busy or self.began is not None or self.out:
            return False
        return self.transport is None or not self.transport.get_write_buffer_size()

    def overfull(self) -> None:
        """Requests behind the one at work fill the buffer: read no more till it is done."""
        if self.busy and self.transport is not None:
            self.transport.pause_reading()
        elif not self.busy:
            self.close()

    def received(self, data: memoryview) -> int | None:
        """Take the next request, if none is at work."""
        at = 0
        while not self.busy and at < len(data):
            head = http.parse(data[at:], BODY)
            if isinstance(head, http.Short):
                break
            if isinstance(head, http.Bad):
                self.keep_alive, self.unreadable = False, True
                self.respond(problem(head.status, head.why))
                return len(data)
            if len(data) - at < head.size + head.length:
                self._continue(head)
                break
            body = data[at + head.size : at + head.size + head.length]
            at += head.size + head.length
            self._serve(head, bytes(body))
        self.began = (
            self._loop.time() if at < len(data) and not self.busy and self.began is None else self.began
        )
        return at

    def _continue(self, head: http.Head) -> None:
        if "expect" in head.fields and not self.continued:
            self.continued = True
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _serve(self, head: http.Head, body: bytes) -> None:
        self.busy, self.began, self.continued = True, None, False
        self.front.connections[self] = self.front.connections.pop(self, None)  # now the last in line
        self.keep_alive = head.keep_alive and self.front.ready
        if isinstance(self.peer, spiffe.Rejected) or not self.front.admits(self.peer):
            why = self.peer.why if isinstance(self.peer, spiffe.Rejected) else "identity not let in"
            log.warning("caller turned away: %s", why)
            self.keep_alive = False
            return self.respond(problem(403, why))
        try:
            self._route(self.peer.id, head, body)
        except Exception:
            log.exception("a request made this program fail")
            self.abort()

    def _route(self, owner: str, head: http.Head, body: bytes) -> None:
        collect = _COLLECT.match(head.target)
        if head.target == "/v1/ready" and head.method == "GET":
            ready = Response(200, {"Content-Type": "text/plain"}, b"ready\n")
            self.respond(ready if self.front.ready else problem(503, DRAINING, {"Retry-After": "1"}))
        elif collect is not None and head.method in ("GET", "DELETE"):
            self._collect(owner, head, collect[1])
        elif _CALL.match(head.target) and head.method == "POST":
            self._post(owner, head, body)
        elif collect is not None or head.target == "/v1/ready" or _CALL.match(head.target):
            allow = "GET, DELETE" if collect else "GET" if head.target == "/v1/ready" else "POST"
            self.respond(problem(405, "no such method here", {"Allow": allow}))
        else:
            self.respond(problem(404, "nothing here"))

    # Calls.

    def _post(self, owner: str, head: http.Head, body: bytes) -> None:
        wanted = read_wanted(self.front.planner.settings, self.front.planner.current, head, body)
        if isinstance(wanted, Response):
            return self.respond(wanted)
        preferences = head.preferences()
        deferred = "respond-async" in preferences
        if deferred and not self.front.ready and not self.front.knows(owner, wanted):
            return self.respond(problem(503, DRAINING, {"Retry-After": "1"}, repeat="harmless"))
        if not deferred and wanted.key is None:
            self.call = self.front.call(owner, wanted, self._answered)
            self.call.look = self.look
            return self.front.planner.submit(self.call)
        entry = self.front.stored(owner, wanted, deferred=deferred)
        if isinstance(entry, Response):
            return self.respond(entry)
        self._wait(entry, _seconds(preferences) if deferred else math.inf, deferred=deferred)

    def _answered(self, answer: Answer) -> None:
        self.call = None
        self.respond(render(answer))

    def _collect(self, owner: str, head: http.Head, name: str) -> None:
        entry = self.front.store.find(owner, name)
        if entry is None:
            return self.respond(problem(404, "no such call of yours"))
        if head.method == "DELETE":
            self.front.forget(entry)
            return self.respond(Response(204, {}))
        self._wait(entry, _seconds(head.preferences()), deferred=True)

    def _wait(self, entry: Deferred, seconds: float, *, deferred: bool) -> None:
        """Respond with the entry's answer, or after so long that there is none yet."""
        if entry.answer is not None:
            return self._deliver(entry)
        if seconds <= 0:
            return self.respond(_pending(entry))
        self.entry = entry
        entry.waiting.append(self._woken)
        if deferred:
            self._timer = self._loop.call_later(seconds, self._not_yet)

    def _woken(self) -> None:
        if (entry := self.entry) is not None:
            self._stop_waiting()
            self._deliver(entry)

    def _not_yet(self) -> None:
        if (entry := self.entry) is not None:
            self._stop_waiting()
            self.respond(_pending(entry))

    def _deliver(self, entry: Deferred) -> None:
        if entry.answer is None:  # it was given up under a waiting collector
            return self.respond(problem(404, "the call was given up"))
        entry.collected = True
        self.respond(render(entry.answer))

    def _stop_waiting(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.entry is not None and self._woken in self.entry.waiting:
            self.entry.waiting.remove(self._woken)
        self.entry = None

    def respond(self, response: Response) -> None:
        """Write a response, and go on with what stands in the buffer."""
        self.busy = False
        if self.closed or self.transport is None:
            return
        self.write(response.pack(keep_alive=self.keep_alive))
        if not self.keep_alive:
            self.busy = True  # nothing more is taken
            return self.linger() if self.unreadable else self.close()
        self.transport.resume_reading()
        self._loop.call_soon(self._next)

    def _next(self) -> None:
        if not self.closed and not self.busy and len(self.buffer.held()):
            self.buffer_updated(0)

    def sweep(self, now: float) -> None:
        """End what arrives too slowly, or has been idle for long."""
        if self.busy:
            return
        if self.began is not None and now - self.began > SLOW:
            self.keep_alive, self.unreadable = False, True
            self.respond(problem(408, "the request took too long to arrive"))
        elif self.began is None and now - self.last_read > IDLE:
            self.close()


def _seconds(preferences: dict[str, str]) -> float:
    text = preferences.get("wait", "")
    return min(float(text), LONGEST_WAIT) if text.isascii() and text.isdigit() and len(text) < 6 else 0.0


def _pending(entry: Deferred) -> Response:
    fields = {
        "Location": f"/v1/calls/{entry.name}",
        "Preference-Applied": "respond-async",
        "Retry-After": "1",
        "Content-Type": "application/json",
        "Cache-Control": "no-store",
    }
    return Response(202, fields, b'{"state": "pending"}')


class InvokeFront:
    """The listener, its connections and the deferred calls."""

    def __init__(
        self,
        planner: Planner,
        config: InvokeConfig,
        flusher: Flusher,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.planner = planner
        self.flusher = flusher
        self.config = config
        self.ready = True
        self.most = config.connections  # the budget of descriptors may allow fewer
        self.scarce: Callable[[], bool] = lambda: False  # has a descriptor given back, where none is left
        self.connections: dict[InvokeConnection, None] = {}  # the least lately used first
        self.store = DeferredCalls(Bounds(), clock)
        self._server: Acceptor[InvokeConnection] | None = None
        self._stamps = config.stamps()

    def admit(self, connection: InvokeConnection) -> bool:
        """Count a connection in, once. At the limit one makes room: one in its handshake, else an idle one,
        each the oldest."""
        if connection in self.connections:
            return True
        if len(self.connections) >= self.most and not self._make_room():
            return False
        self.connections[connection] = None
        return True

    def _make_room(self) -> bool:
        idle = [c for c in self.connections if c.idle()]
        oldest = min(idle, key=lambda c: c.transport is not None, default=None)
        if oldest is None:
            return False
        del self.connections[oldest]
        if oldest.transport is None and self._server is not None:
            self._server.give_up(oldest)
        oldest.abort()  # a close would wait for the caller's, up to a second, with its descriptor uncounted
        return True

    def admits(self, peer: spiffe.Identity) -> bool:
        """Is the peer let in, now?"""
        if time.time() >= peer.until:
            return False  # a connection may outlive the certificate that opened it
        return spiffe.allowed(peer, self.config.trust_domain, self.config.allow)

    # Calls.

    def call(self, owner: str, wanted: Wanted, reply: Callable[[Answer], None], repeat: bool = False) -> Call:
        """The call for the planner."""
        keyed = self.planner.settings.classes[wanted.klass].effect is i.Effect.KEYED
        return Call(
            secrets.token_hex(8),
            wanted.klass,
            int(wanted.function, 16),
            answer_by(self.planner.clock(), wanted.limit),
            wanted.body,
            reply,
            worker_key(owner, wanted.key) if keyed and wanted.key is not None else None,
            wanted.lanes,
            wanted.memory,
            repeat,
            caller=owner,
        )

    def knows(self, owner: str, wanted: Wanted) -> bool:
        """Is there a call under the request's key that may have run? A repeat is no new call then."""
        known = self.store.known(owner, wanted.key) if wanted.key is not None else None
        return known is not None and not isinstance(known.answer, Refused)

    def stored(self, owner: str, wanted: Wanted, *, deferred: bool) -> Deferred | Response:
        """The stored call that the request means: a known one by its key, else a new one."""
        bounds = self.store.bounds
        keep = bounds.seconds if deferred else bounds.repeats
        known = self.store.known(owner, wanted.key) if wanted.key is not None else None
        if known is not None and known.request != wanted.same():
            return problem(422, "this Idempotency-Key belongs to another call")
        repeat = known is not None and isinstance(known.answer, Refused)
        if known is not None and not repeat:
            known.keep = max(known.keep, keep)
            return known
        if known is not None:
            self.store.remove(known)  # it was refused: nothing ran, and the caller tries again
        entry = self.store.add(owner, wanted.key, wanted.same(), keep)
        if entry is None:
            return problem(503, "too many calls are kept", {"Retry-After": "5"}, repeat="harmless")
        call = entry.call = self.call(owner, wanted, partial(self.store.settle, entry), repeat)
        self.planner.submit(call)
        return entry

    def forget(self, entry: Deferred) -> None:
        """The owner does not want the call, or its answer, any more."""
        if entry.call is not None:
            self.planner.abandon(entry.call)
        self.store.remove(entry)
        waiting, entry.waiting = entry.waiting, []
        for wake in waiting:
            wake()

    # The listener.

    async def listen(self) -> int:
        """Accept callers; the port that it is."""
        sock = listener(self.config.host, self.config.port, BACKLOG, shared=True)
        context = self.config.context()
        self._server = Acceptor(
            "callers", sock, SMALL_TURN, self._welcome, self._failed, self.scarce, tls=context
        )
        return self._server.port

    def _welcome(self) -> InvokeConnection | None:
        """One more caller, counted in before its handshake: who never makes one holds a descriptor too."""
        connection = InvokeConnection(self)
        return connection if self.admit(connection) else None

    def _failed(self, connection: InvokeConnection) -> None:
        self.connections.pop(connection, None)

    async def reload(self) -> bool:
        """Take up a renewed SVID, bundle or allow-list; the old ones serve on where the new can't be used."""
        try:
            config = self.config.reread()
            context = config.context()
        except (OSError, ValueError, KeyError, TypeError) as error:
            log.error("identities not reloaded, the old ones serve on: %s", error)
            return False
        self.config, self._stamps = config, config.stamps()
        if self._server is not None:
            self._server.tls = context  # connections live on
        log.info("identities reloaded")
        return True

    async def reload_if_changed(self) -> None:
        """Reload when a file has been renewed."""
        stamps = self.config.stamps()
        if stamps != self._stamps:
            self._stamps = stamps
            await self.reload()

    def stop_listening(self) -> None:
        """Accept no more."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def sweep(self, now: float) -> None:
        """End what is idle or slow, and drop answers whose time is up."""
        self.store.sweep()
        for connection in list(self.connections):
            connection.sweep(now)

    def drained(self) -> bool:
        """All answers have left, and every deferred one is with its owner."""
        transports = [c.transport for c in self.connections if c.transport is not None]
        left = any(c.busy and c.keep_alive for c in self.connections)
        return (
            not left
            and not any(t.get_write_buffer_size() for t in transports)
            and not self.store.uncollected()
        )
