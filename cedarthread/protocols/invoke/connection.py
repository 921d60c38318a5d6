"""One caller's HTTP connection to the invoke API: identifies the caller, reads requests, writes responses."""

from __future__ import annotations

import logging
import select
from typing import TYPE_CHECKING

from cedarthread.logs import format_event
from cedarthread.protocols import http
from cedarthread.protocols.http import Response, problem_response
from cedarthread.protocols.invoke import spiffe
from cedarthread.protocols.invoke.handler import InvokeHandler
from cedarthread.protocols.invoke.requests import MAX_BODY_BYTES
from cedarthread.transport.connection import BufferedConnection

if TYPE_CHECKING:
    import asyncio

    from cedarthread.protocols.invoke.owners import ConnectionServer

log = logging.getLogger(__name__)

IDLE_TIMEOUT_S = 30.0  # a connection without a request for this time is closed
MAX_TURN_REQUESTS = 8  # requests of one connection that are processed before other connections
REQUEST_TIMEOUT_S = 10.0  # time limit from the first to the last byte of a request


def _is_disconnected(transport: asyncio.Transport) -> bool:
    """Return whether the peer closed the TCP connection, even if the TLS layer has unread input."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return False
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))


class InvokeConnection(BufferedConnection):
    """One caller's connection. It serves one request at a time; further requests stay in the read buffer."""

    def __init__(self, server: ConnectionServer[InvokeConnection]) -> None:
        super().__init__(http.MAX_HEAD_BYTES + MAX_BODY_BYTES, server.flusher)
        self.server = server
        self.handler = InvokeHandler(server, self.respond, self.refresh_client_state)
        self.peer: spiffe.Identity | spiffe.Rejected = spiffe.Rejected("no certificate")
        self.is_busy = False  # a request is being served, or no further request is accepted
        self.keep_alive = True
        self.has_sent_continue = False
        self._is_next_scheduled = False
        self.has_unparsed_input = False  # input may follow an invalid request
        self.request_started_at: float | None = None  # loop time in s of an incomplete request's first byte

    def on_connected(self) -> None:
        """Identify the caller after the handshake; abort if the connection limit is reached."""
        assert self.transport is not None
        if not self.server.register(self):
            limit = self.server.max_connections
            log.warning(format_event("connection_limit_reached", listener="callers", rejected=1, limit=limit))
            self.abort()
            return
        tls = self.transport.get_extra_info("ssl_object")
        certificate = tls.getpeercert(binary_form=True) if tls is not None else None
        if certificate is not None:
            self.peer = spiffe.parse_identity(certificate)

    def on_disconnected(self) -> None:
        """Unregister from the server and abandon the synchronous call."""
        self.server.connections.pop(self, None)
        self.handler.abandon()
        self.handler.detach()
        self.buffer.clear()
        # asyncio's TLS protocol refers to this object, so that both and their buffers would stay until the
        # garbage collector runs, thousands of connections later.
        self.transport = None

    def refresh_client_state(self) -> bool:
        """Abandon the call and abort if the caller has closed the connection, whatever input is unread.

        Returns True: a call of the invoke API is cancelled by nothing else.
        """
        if self.is_closed or self.transport is None:
            return True
        if self.transport.is_closing() or _is_disconnected(self.transport):
            self.handler.abandon_call()
            self.abort()
        return True

    def is_idle(self) -> bool:
        """Return whether there is no complete or incomplete request and no unsent response."""
        return not (self.is_busy or self.request_started_at is not None or self.has_unsent_output())

    def on_buffer_full(self) -> None:
        """Stop reading while further requests fill the buffer; close if a single request is too long."""
        if (self.is_busy or self.is_write_paused) and self.transport is not None:
            self.transport.pause_reading()
        else:
            self.close()

    def pause_writing(self) -> None:
        """Serve no further request, because the caller does not read its responses (called by asyncio)."""
        super().pause_writing()
        if self.transport is not None and not self.is_closing():
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        """Serve further requests, because the caller reads its responses again (called by asyncio)."""
        super().resume_writing()
        if self.transport is not None and not self.is_closing() and not self.is_busy:
            self.transport.resume_reading()
            self._schedule_next()

    def on_data(self, data: memoryview) -> int | None:
        """Process the next requests unless one is being served; return the count of processed bytes.

        In one turn, few requests are processed, and none while the caller does not read its responses.
        """
        offset = 0
        requests = 0
        while not self.is_busy and not self.is_write_paused and offset < len(data):
            if requests == MAX_TURN_REQUESTS:
                self._schedule_next()
                return offset
            requests += 1
            head = http.parse_head(data[offset:], MAX_BODY_BYTES)
            if isinstance(head, http.IncompleteHead):
                break
            if isinstance(head, http.InvalidRequest):
                self.keep_alive = False
                self.has_unparsed_input = True
                self.respond(problem_response(head.status, head.reason))
                return len(data)
            end = offset + head.head_bytes + head.content_length
            if len(data) < end:
                self._send_continue(head)
                break
            body = data[offset + head.head_bytes : end]
            offset = end
            self._serve_request(head, bytes(body))
        is_waiting = not self.is_busy and not self.is_write_paused
        if offset < len(data) and is_waiting and self.request_started_at is None:
            self.request_started_at = self._loop.time()
        return offset

    def _send_continue(self, head: http.RequestHead) -> None:
        if "expect" in head.headers and not self.has_sent_continue:
            self.has_sent_continue = True
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _serve_request(self, head: http.RequestHead, body: bytes) -> None:
        self.is_busy = True
        self.request_started_at = None
        self.has_sent_continue = False
        self.server.mark_used(self)
        self.keep_alive = head.keep_alive and self.server.is_ready
        if isinstance(self.peer, spiffe.Rejected) or not self.server.is_authorized(self.peer):
            reason = self.peer.reason if isinstance(self.peer, spiffe.Rejected) else "identity not let in"
            log.warning(format_event("caller_rejected", reason=reason))
            self.keep_alive = False
            self.respond(problem_response(403, reason))
            return
        try:
            self.handler.handle(self.peer.spiffe_id, head, body)
        except Exception:
            log.exception(format_event("request_handler_failed"))
            self.abort()

    def respond(self, response: Response) -> None:
        """Write the response to the request being served, and process the next one in the buffer."""
        self.is_busy = False
        if self.is_closed or self.transport is None:
            return
        self.write(response.encode(keep_alive=self.keep_alive))
        if not self.keep_alive:
            self.is_busy = True  # no further request is accepted
            self.lingering_close() if self.has_unparsed_input else self.close()
            return
        if not self.is_write_paused:
            self.transport.resume_reading()
        self._schedule_next()

    def _schedule_next(self) -> None:
        """Process further requests in the next iteration of the event loop, once."""
        if not self._is_next_scheduled:
            self._is_next_scheduled = True
            self._loop.call_soon(self._process_next)

    def _process_next(self) -> None:
        self._is_next_scheduled = False
        if not self.is_closed and not self.is_busy and len(self.buffer.peek()):
            self.buffer_updated(0)

    def sweep(self, now_s: float) -> None:
        """Reject a request that arrives too slowly; close a connection that is idle for too long.

        Args:
            now_s: The event loop's time.
        """
        if self.is_busy or self.is_write_paused:
            return
        if self.request_started_at is not None and now_s - self.request_started_at > REQUEST_TIMEOUT_S:
            self.keep_alive = False
            self.has_unparsed_input = True
            self.respond(problem_response(408, "the request took too long to arrive"))
        elif self.request_started_at is None and now_s - self.last_read_at_s > IDLE_TIMEOUT_S:
            self.close()
