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

from cedarthread.dispatch.calls import Call, CallRejected, CallResult, CallSucceeded, call_deadline_ms
from cedarthread.dispatch.deferred import DeferredCall, DeferredCalls, DeferredLimits
from cedarthread.dispatch.dispatcher import Dispatcher
from cedarthread.model.settings import Idempotency, RouterSettings
from cedarthread.number_checks import positive_or_none
from cedarthread.protocols import http, spiffe
from cedarthread.protocols.http import Response, problem_response
from cedarthread.protocols.invoke_config import InvokeConfig
from cedarthread.transport.acceptor import Acceptor, create_listener
from cedarthread.transport.connection import BufferedConnection
from cedarthread.transport.descriptor_budget import SMALL_ACCEPTS_PER_PASS
from cedarthread.transport.flusher import Flusher

log = logging.getLogger("cedarthread.invoke")

MAX_BODY_BYTES = 16 * 1024
LISTEN_BACKLOG = 128
MAX_WAIT_S = 30.0  # s that a request may ask to be held for
IDLE_TIMEOUT_S = 30.0  # s without a request after which a connection is closed
REQUEST_TIMEOUT_S = 10.0  # s that a request may take to arrive
_CALL_PATH = re.compile(r"/v1/functions/([0-9a-f]{16})/([^/]+)\Z")
_DEFERRED_CALL_PATH = re.compile(r"/v1/calls/([A-Za-z0-9_-]+)\Z")
_IDEMPOTENCY_KEY = re.compile(r'"?([\x21\x23-\x7e]{1,128})"?\Z')
DRAINING_DETAIL = "this process is about to end"


def render_answer(answer: CallResult) -> Response:
    """A final answer as a response."""
    if isinstance(answer, CallSucceeded):
        return Response(200, {"Content-Type": "application/octet-stream"}, answer.body)
    if isinstance(answer, CallRejected):
        seconds = max(1, math.ceil((answer.retry_after_ms or 0.0) / 1000.0))
        detail = f"not done; trying again is harmless{'; ' if answer.reason else ''}{answer.reason}"
        return problem_response(
            504 if answer.timed_out else 503,
            detail,
            {"Retry-After": str(seconds)},
            repeat="harmless",
            retry_after_ms=round(answer.retry_after_ms or 0.0),
        )
    detail = (
        "no answer in time; it may have run" if answer.timed_out else "the worker failed; it may have run"
    )
    return problem_response(504 if answer.timed_out else 502, detail, repeat="unknown")


@dataclass(frozen=True, slots=True)
class CallRequest:
    """A call as a request asks for it."""

    class_index: int
    function_hex: str
    idempotency_key: str | None
    body: bytes
    timeout_ms: float
    concurrency: float | None
    memory_mb: float | None

    def fingerprint(self) -> tuple[str, str, bytes]:
        """What a repeat under the same key must agree in."""
        return str(self.class_index), self.function_hex, hashlib.sha256(self.body).digest()


def parse_call_request(
    settings: RouterSettings, class_indexes: Mapping[str, int], head: http.RequestHead, body: bytes
) -> CallRequest | Response:
    """The call that a POST asks for, or what is wrong with it; ``current`` gives each class's place."""
    match = _CALL_PATH.match(head.target)
    if match is None or match[2] not in class_indexes:
        return problem_response(404, "no such function path or class")
    klass = class_indexes[match[2]]
    key = head.headers.get("idempotency-key")
    if key is not None and not _IDEMPOTENCY_KEY.match(key):
        return problem_response(400, "Idempotency-Key takes 1 to 128 visible characters")
    if key is None and settings.classes[klass].idempotency is Idempotency.WITH_KEY:
        return problem_response(400, "this class needs an Idempotency-Key")
    deadline = settings.classes[klass].deadline_ms
    text = head.headers.get("call-timeout-ms", str(int(deadline)))
    if not (text.isascii() and text.isdigit() and 0 < len(text) < 10 and int(text) > 0):
        return problem_response(400, "Call-Timeout-Ms takes a positive whole number")
    figures: list[float | None] = []
    for name in ("call-lanes", "call-memory-mb"):
        try:
            figures.append(positive_or_none(float(head.headers[name])) if name in head.headers else None)
        except ValueError:
            return problem_response(400, f"{name} takes a number")
    found = _IDEMPOTENCY_KEY.match(key) if key is not None else None
    limit = min(float(text), deadline)
    return CallRequest(klass, match[1], found[1] if found else None, body, limit, figures[0], figures[1])


def worker_idempotency_key(owner: str, key: str) -> str:
    """The key that workers see: theirs alone, so that no two owners' keys can meet."""
    return hashlib.sha256(f"{owner}\n{key}".encode()).hexdigest()[:32]


def _is_disconnected(transport: asyncio.Transport) -> bool:
    """Has the peer ended the connection under the TLS layer, whatever of it has been read?"""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


class InvokeConnection(BufferedConnection):
    """One caller's connection: one request at a time, those behind it wait in the buffer."""

    def __init__(self, server: InvokeServer) -> None:
        super().__init__(http.MAX_HEAD_BYTES + MAX_BODY_BYTES, server.flusher)
        self.server = server
        self.peer: spiffe.Identity | spiffe.Rejected = spiffe.Rejected("no certificate")
        self.is_busy = False
        self.keep_alive = True
        self.has_sent_continue = False
        self.has_unparsed_input = False  # more may follow what can't be read
        self.request_started_at: float | None = (
            None  # when the first byte of a request that is not whole came
        )
        self.call: Call | None = None  # a synchronous call that ends with the connection
        self.deferred_call: DeferredCall | None = None
        self._wait_timer: asyncio.TimerHandle | None = None

    def on_connected(self) -> None:
        """The handshake is done: who is it?"""
        assert self.transport is not None
        if not self.server.register(self):
            log.warning("connection limit %d reached: a caller was turned away", self.server.max_connections)
            return self.abort()
        tls = self.transport.get_extra_info("ssl_object")
        certificate = tls.getpeercert(binary_form=True) if tls is not None else None
        if certificate is not None:
            self.peer = spiffe.parse_identity(certificate)

    def on_disconnected(self) -> None:
        """A synchronous call has nobody to answer to; a stored one goes on."""
        self.server.connections.pop(self, None)
        self._stop_waiting()
        self._abandon_call()

    def _abandon_call(self) -> None:
        call, self.call = self.call, None
        if call is not None:
            self.server.dispatcher.abandon_call(call)

    def refresh_client_state(self) -> None:
        """A caller that has closed its end is gone, however far the TLS layer has read."""
        if self.is_closed or self.transport is None:
            return
        if self.transport.is_closing() or _is_disconnected(self.transport):
            self._abandon_call()
            self.abort()

    def is_idle(self) -> bool:
        """It carries nothing: no request, whole or in part, and no response that has not left."""
        if self.is_busy or self.request_started_at is not None or self.write_queue:
            return False
        return self.transport is None or not self.transport.get_write_buffer_size()

    def on_buffer_full(self) -> None:
        """Requests behind the one at work fill the buffer: read no more till it is done."""
        if self.is_busy and self.transport is not None:
            self.transport.pause_reading()
        elif not self.is_busy:
            self.close()

    def on_data(self, data: memoryview) -> int | None:
        """Take the next request, if none is at work."""
        at = 0
        while not self.is_busy and at < len(data):
            head = http.parse_head(data[at:], MAX_BODY_BYTES)
            if isinstance(head, http.IncompleteHead):
                break
            if isinstance(head, http.InvalidRequest):
                self.keep_alive, self.has_unparsed_input = False, True
                self.respond(problem_response(head.status, head.reason))
                return len(data)
            if len(data) - at < head.head_bytes + head.content_length:
                self._send_continue(head)
                break
            body = data[at + head.head_bytes : at + head.head_bytes + head.content_length]
            at += head.head_bytes + head.content_length
            self._serve_request(head, bytes(body))
        self.request_started_at = (
            self._loop.time()
            if at < len(data) and not self.is_busy and self.request_started_at is None
            else self.request_started_at
        )
        return at

    def _send_continue(self, head: http.RequestHead) -> None:
        if "expect" in head.headers and not self.has_sent_continue:
            self.has_sent_continue = True
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _serve_request(self, head: http.RequestHead, body: bytes) -> None:
        self.is_busy, self.request_started_at, self.has_sent_continue = True, None, False
        self.server.connections[self] = self.server.connections.pop(self, None)  # now the last in line
        self.keep_alive = head.keep_alive and self.server.is_ready
        if isinstance(self.peer, spiffe.Rejected) or not self.server.is_authorized(self.peer):
            why = self.peer.reason if isinstance(self.peer, spiffe.Rejected) else "identity not let in"
            log.warning("caller turned away: %s", why)
            self.keep_alive = False
            return self.respond(problem_response(403, why))
        try:
            self._route(self.peer.spiffe_id, head, body)
        except Exception:
            log.exception("a request made this program fail")
            self.abort()

    def _route(self, owner: str, head: http.RequestHead, body: bytes) -> None:
        collect = _DEFERRED_CALL_PATH.match(head.target)
        if head.target == "/v1/ready" and head.method == "GET":
            ready = Response(200, {"Content-Type": "text/plain"}, b"ready\n")
            self.respond(
                ready
                if self.server.is_ready
                else problem_response(503, DRAINING_DETAIL, {"Retry-After": "1"})
            )
        elif collect is not None and head.method in ("GET", "DELETE"):
            self._serve_deferred_call(owner, head, collect[1])
        elif _CALL_PATH.match(head.target) and head.method == "POST":
            self._start_call(owner, head, body)
        elif collect is not None or head.target == "/v1/ready" or _CALL_PATH.match(head.target):
            allow = "GET, DELETE" if collect else "GET" if head.target == "/v1/ready" else "POST"
            self.respond(problem_response(405, "no such method here", {"Allow": allow}))
        else:
            self.respond(problem_response(404, "nothing here"))

    # Calls.

    def _start_call(self, owner: str, head: http.RequestHead, body: bytes) -> None:
        wanted = parse_call_request(
            self.server.dispatcher.settings, self.server.dispatcher.current_class_index, head, body
        )
        if isinstance(wanted, Response):
            return self.respond(wanted)
        preferences = head.preferences()
        deferred = "respond-async" in preferences
        if deferred and not self.server.is_ready and not self.server.has_executed_call(owner, wanted):
            return self.respond(
                problem_response(503, DRAINING_DETAIL, {"Retry-After": "1"}, repeat="harmless")
            )
        if not deferred and wanted.idempotency_key is None:
            self.call = self.server.build_call(owner, wanted, self._on_answer)
            self.call.refresh_client_state = self.refresh_client_state
            return self.server.dispatcher.submit(self.call)
        entry = self.server.find_or_start_deferred(owner, wanted, is_deferred=deferred)
        if isinstance(entry, Response):
            return self.respond(entry)
        self._wait_for_answer(entry, _wait_s(preferences) if deferred else math.inf, is_deferred=deferred)

    def _on_answer(self, answer: CallResult) -> None:
        self.call = None
        self.respond(render_answer(answer))

    def _serve_deferred_call(self, owner: str, head: http.RequestHead, call_id: str) -> None:
        entry = self.server.deferred_calls.find(owner, call_id)
        if entry is None:
            return self.respond(problem_response(404, "no such call of yours"))
        if head.method == "DELETE":
            self.server.cancel_deferred(entry)
            return self.respond(Response(204, {}))
        self._wait_for_answer(entry, _wait_s(head.preferences()), is_deferred=True)

    def _wait_for_answer(self, entry: DeferredCall, seconds: float, *, is_deferred: bool) -> None:
        """Respond with the entry's answer, or after so long that there is none yet."""
        if entry.result is not None:
            return self._respond_with_answer(entry)
        if seconds <= 0:
            return self.respond(_pending_response(entry))
        self.deferred_call = entry
        entry.waiters.append(self._on_deferred_answer)
        if is_deferred:
            self._wait_timer = self._loop.call_later(seconds, self._on_wait_expired)

    def _on_deferred_answer(self) -> None:
        if (entry := self.deferred_call) is not None:
            self._stop_waiting()
            self._respond_with_answer(entry)

    def _on_wait_expired(self) -> None:
        if (entry := self.deferred_call) is not None:
            self._stop_waiting()
            self.respond(_pending_response(entry))

    def _respond_with_answer(self, entry: DeferredCall) -> None:
        if entry.result is None:  # it was given up under a waiting collector
            return self.respond(problem_response(404, "the call was given up"))
        entry.is_collected = True
        self.respond(render_answer(entry.result))

    def _stop_waiting(self) -> None:
        if self._wait_timer is not None:
            self._wait_timer.cancel()
            self._wait_timer = None
        if self.deferred_call is not None and self._on_deferred_answer in self.deferred_call.waiters:
            self.deferred_call.waiters.remove(self._on_deferred_answer)
        self.deferred_call = None

    def respond(self, response: Response) -> None:
        """Write a response, and go on with what stands in the buffer."""
        self.is_busy = False
        if self.is_closed or self.transport is None:
            return
        self.write(response.encode(keep_alive=self.keep_alive))
        if not self.keep_alive:
            self.is_busy = True  # nothing more is taken
            return self.lingering_close() if self.has_unparsed_input else self.close()
        self.transport.resume_reading()
        self._loop.call_soon(self._process_next)

    def _process_next(self) -> None:
        if not self.is_closed and not self.is_busy and len(self.buffer.peek()):
            self.buffer_updated(0)

    def sweep(self, now: float) -> None:
        """End what arrives too slowly, or has been idle for long."""
        if self.is_busy:
            return
        if self.request_started_at is not None and now - self.request_started_at > REQUEST_TIMEOUT_S:
            self.keep_alive, self.has_unparsed_input = False, True
            self.respond(problem_response(408, "the request took too long to arrive"))
        elif self.request_started_at is None and now - self.last_read_at > IDLE_TIMEOUT_S:
            self.close()


def _wait_s(preferences: dict[str, str]) -> float:
    text = preferences.get("wait", "")
    return min(float(text), MAX_WAIT_S) if text.isascii() and text.isdigit() and len(text) < 6 else 0.0


def _pending_response(entry: DeferredCall) -> Response:
    fields = {
        "Location": f"/v1/calls/{entry.call_id}",
        "Preference-Applied": "respond-async",
        "Retry-After": "1",
        "Content-Type": "application/json",
        "Cache-Control": "no-store",
    }
    return Response(202, fields, b'{"state": "pending"}')


class InvokeServer:
    """The listener, its connections and the deferred calls."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        config: InvokeConfig,
        flusher: Flusher,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.dispatcher = dispatcher
        self.flusher = flusher
        self.config = config
        self.is_ready = True
        self.max_connections = config.max_connections  # the budget of descriptors may allow fewer
        self.release_descriptor: Callable[[], bool] = lambda: (
            False
        )  # has a descriptor given back, where none is left
        self.connections: dict[InvokeConnection, None] = {}  # the least lately used first
        self.deferred_calls = DeferredCalls(DeferredLimits(), clock)
        self._acceptor: Acceptor[InvokeConnection] | None = None
        self._file_times = config.file_times()

    def register(self, connection: InvokeConnection) -> bool:
        """Count a connection in, once. At the limit one makes room: one in its handshake, else an idle one,
        each the oldest."""
        if connection in self.connections:
            return True
        if len(self.connections) >= self.max_connections and not self._evict_idle():
            return False
        self.connections[connection] = None
        return True

    def _evict_idle(self) -> bool:
        idle = [c for c in self.connections if c.is_idle()]
        oldest = min(idle, key=lambda c: c.transport is not None, default=None)
        if oldest is None:
            return False
        del self.connections[oldest]
        if oldest.transport is None and self._acceptor is not None:
            self._acceptor.cancel_setup(oldest)
        oldest.abort()  # a close would wait for the caller's, up to a second, with its descriptor uncounted
        return True

    def is_authorized(self, peer: spiffe.Identity) -> bool:
        """Is the peer let in, now?"""
        if time.time() >= peer.expires_at_unix:
            return False  # a connection may outlive the certificate that opened it
        return spiffe.is_allowed(peer, self.config.trust_domain, self.config.allowed_patterns)

    # Calls.

    def build_call(
        self,
        owner: str,
        request: CallRequest,
        reply: Callable[[CallResult], None],
        is_client_retry: bool = False,
    ) -> Call:
        """The call for the planner."""
        keyed = self.dispatcher.settings.classes[request.class_index].idempotency is Idempotency.WITH_KEY
        return Call(
            secrets.token_hex(8),
            request.class_index,
            int(request.function_hex, 16),
            call_deadline_ms(self.dispatcher.clock(), request.timeout_ms),
            request.body,
            reply,
            worker_idempotency_key(owner, request.idempotency_key)
            if keyed and request.idempotency_key is not None
            else None,
            request.concurrency,
            request.memory_mb,
            is_client_retry,
            caller_identity=owner,
        )

    def has_executed_call(self, owner: str, request: CallRequest) -> bool:
        """Is there a call under the request's key that may have run? A repeat is no new call then."""
        known = (
            self.deferred_calls.find_by_key(owner, request.idempotency_key)
            if request.idempotency_key is not None
            else None
        )
        return known is not None and not isinstance(known.result, CallRejected)

    def find_or_start_deferred(
        self, owner: str, request: CallRequest, *, is_deferred: bool
    ) -> DeferredCall | Response:
        """The stored call that the request means: a known one by its key, else a new one."""
        bounds = self.deferred_calls.limits
        keep = bounds.retention_s if is_deferred else bounds.retry_retention_s
        known = (
            self.deferred_calls.find_by_key(owner, request.idempotency_key)
            if request.idempotency_key is not None
            else None
        )
        if known is not None and known.fingerprint != request.fingerprint():
            return problem_response(422, "this Idempotency-Key belongs to another call")
        repeat = known is not None and isinstance(known.result, CallRejected)
        if known is not None and not repeat:
            known.retention_s = max(known.retention_s, keep)
            return known
        if known is not None:
            self.deferred_calls.remove(known)  # it was refused: nothing ran, and the caller tries again
        entry = self.deferred_calls.add(owner, request.idempotency_key, request.fingerprint(), keep)
        if entry is None:
            return problem_response(503, "too many calls are kept", {"Retry-After": "5"}, repeat="harmless")
        call = entry.call = self.build_call(
            owner, request, partial(self.deferred_calls.complete, entry), repeat
        )
        self.dispatcher.submit(call)
        return entry

    def cancel_deferred(self, entry: DeferredCall) -> None:
        """The owner does not want the call, or its answer, any more."""
        if entry.call is not None:
            self.dispatcher.abandon_call(entry.call)
        self.deferred_calls.remove(entry)
        waiting, entry.waiters = entry.waiters, []
        for wake in waiting:
            wake()

    # The listener.

    async def listen(self) -> int:
        """Accept callers; the port that it is."""
        sock = create_listener(self.config.host, self.config.port, LISTEN_BACKLOG, reuse_port=True)
        context = self.config.create_tls_context()
        self._acceptor = Acceptor(
            "callers",
            sock,
            SMALL_ACCEPTS_PER_PASS,
            self._create_connection,
            self._on_setup_failed,
            self.release_descriptor,
            tls_context=context,
        )
        return self._acceptor.port

    def _create_connection(self) -> InvokeConnection | None:
        """One more caller, counted in before its handshake: who never makes one holds a descriptor too."""
        connection = InvokeConnection(self)
        return connection if self.register(connection) else None

    def _on_setup_failed(self, connection: InvokeConnection) -> None:
        self.connections.pop(connection, None)

    async def reload(self) -> bool:
        """Take up a renewed SVID, bundle or allow-list; the old ones serve on where the new can't be used."""
        try:
            config = self.config.reread()
            context = config.create_tls_context()
        except (OSError, ValueError, KeyError, TypeError) as error:
            log.error("identities not reloaded, the old ones serve on: %s", error)
            return False
        self.config, self._file_times = config, config.file_times()
        if self._acceptor is not None:
            self._acceptor.tls_context = context  # connections live on
        log.info("identities reloaded")
        return True

    async def reload_if_changed(self) -> None:
        """Reload when a file has been renewed."""
        stamps = self.config.file_times()
        if stamps != self._file_times:
            self._file_times = stamps
            await self.reload()

    def stop_listening(self) -> None:
        """Accept no more."""
        if self._acceptor is not None:
            self._acceptor.close()
            self._acceptor = None

    def sweep(self, now: float) -> None:
        """End what is idle or slow, and drop answers whose time is up."""
        self.deferred_calls.evict_expired()
        for connection in list(self.connections):
            connection.sweep(now)

    def is_drained(self) -> bool:
        """All answers have left, and every deferred one is with its owner."""
        transports = [c.transport for c in self.connections if c.transport is not None]
        left = any(c.is_busy and c.keep_alive for c in self.connections)
        return (
            not left
            and not any(t.get_write_buffer_size() for t in transports)
            and not self.deferred_calls.has_uncollected()
        )
