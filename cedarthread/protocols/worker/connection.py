"""One connection to a worker: sends requests, receives responses, and ends its requests when it breaks.

A connection carries many attempts at a time. Its ``LineQueue`` records the progress of each.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from cedarthread.dispatch.calls import Attempt, Progress
from cedarthread.logs import format_event
from cedarthread.model.outcomes import Outcome
from cedarthread.protocols.worker.codec import MAX_LINE_BYTES, encode_cancel, parse_call_response, parse_line
from cedarthread.protocols.worker.line_queue import LineQueue
from cedarthread.protocols.worker.requests import OutboundLine, WorkerRequest, message_id_of
from cedarthread.transport.connection import BufferedConnection

if TYPE_CHECKING:
    import asyncio

    from cedarthread.protocols.worker.owners import ConnectionPool

log = logging.getLogger(__name__)

# Maximum abandoned ids per connection; with more, no request is accepted and the next sweep closes it.
MAX_ABANDONED_IDS = 512


class WorkerConnection(BufferedConnection):
    """One connection to a worker. It owns the requests in flight on it and the lines queued for it."""

    # asyncio pauses writing above this limit. With 0, each line is passed on only after the previous line was
    # written, so the number of written bytes is always known.
    write_high_water_bytes = 0

    def __init__(self, pool: ConnectionPool[WorkerConnection]) -> None:
        self.worker_connections = pool.worker_connections
        self.dispatcher = self.worker_connections.dispatcher
        super().__init__(MAX_LINE_BYTES, self.worker_connections.flusher)
        self.pool = pool
        self.line_queue = LineQueue(
            self.dispatcher.count_attempt_written, self.worker_connections.on_first_byte
        )
        self.in_flight: dict[str, WorkerRequest] = {}  # requests in flight by message id
        # Message ids never used again: a late response must not end another request.
        self.abandoned_ids: set[str] = set()
        self.is_retired = False  # the connection accepts no more requests
        self.connect_timeout: asyncio.Timeout | None = None  # timeout of the connect, disabled once connected
        self.is_unreachable = False  # the connect failed because of the worker or the network
        self.is_local_failure = False  # the connect failed because this host lacks a descriptor or port
        self.last_used_at = self._loop.time()
        self.created_at_ms = self.dispatcher.clock()

    def can_accept(self, message_id: str) -> bool:
        """Return whether another request, with this id, may be sent on this connection."""
        if self.is_retired or self.is_closed:
            return False
        if message_id in self.in_flight or message_id in self.abandoned_ids:
            return False
        if self.is_closing():
            return False
        if (
            not self.in_flight
            and self._loop.time() - self.last_used_at > self.worker_connections.idle_limit_s()
        ):
            # A sweep is overdue, for example after a stall: the worker may have closed the connection.
            return False
        return len(self.in_flight) < self.worker_connections.settings.limits.max_attempts_per_connection

    def is_idle(self) -> bool:
        """Return whether the connection is established, has nothing in flight and nothing to write."""
        return self.transport is not None and not (self.in_flight or self.line_queue or self.is_write_paused)

    def send_attempt(self, attempt: Attempt) -> None:
        """Queue an attempt. Its line states the remaining time, so it is encoded when it is written."""
        self.send_request(b"", attempt)

    def send_request(self, line: bytes, request: WorkerRequest) -> None:
        """Queue a request with its line."""
        self.in_flight[message_id_of(request)] = request
        self._append(OutboundLine(line, request))

    def send_line(self, data: bytes) -> OutboundLine:
        """Queue a line that has no response, and return it."""
        line = OutboundLine(data)
        self._append(line)
        return line

    def _append(self, line: OutboundLine) -> None:
        self.last_used_at = self._loop.time()
        self.line_queue.append(line)
        self.schedule_flush()

    def withdraw(self, request: WorkerRequest) -> bool:
        """Remove a request that has not been passed to the transport; return False if it has been."""
        if not self.line_queue.remove(request):
            return False
        self.in_flight.pop(message_id_of(request), None)
        return True

    def withdraw_and_end(self, request: WorkerRequest) -> None:
        """Withdraw a request and end it as not sent; do nothing if it has been passed to the transport."""
        if self.withdraw(request):
            self.worker_connections.on_unsent(request)

    def abandon(self, message_id: str) -> None:
        """Ignore the response to a request, and never use its id on this connection again."""
        self.in_flight.pop(message_id, None)
        self._add_abandoned_id(message_id)

    def send_cancel(self, attempt: Attempt) -> OutboundLine | None:
        """Abandon an attempt and queue its cancel line.

        Returns the line; None if the connection is closed.
        """
        self.abandon(attempt.call.call_id)
        if self.is_closed:
            return None
        return self.send_line(encode_cancel(attempt.call.call_id))

    def on_connected(self) -> None:
        """Send the requests that were queued for the connection."""
        if self.is_closed:  # aborted while it was being established
            super().abort()
            return
        if self.connect_timeout is not None and not self.connect_timeout.expired():
            # Disable the timeout, which could expire later in this iteration while a call is being written.
            self.connect_timeout.reschedule(None)
        self.line_queue.on_connected()
        self._withdraw_overdue()
        self.schedule_flush()

    def _withdraw_overdue(self) -> None:
        """Withdraw queued attempts that are past their write deadline."""
        now_ms = self.dispatcher.clock()
        for request in self.line_queue.requests():
            if isinstance(request, Attempt) and now_ms > request.write_deadline_ms:
                self.withdraw_and_end(request)

    def _pass_to_transport(self) -> None:
        """Pass queued lines to the transport and record how much of them was written."""
        if not self.line_queue.queued or self.is_write_paused or self.transport is None or self.is_closed:
            return
        if self.transport.is_closing():
            return
        without_requests = not self.worker_connections.may_send()
        if without_requests and self.line_queue.requests():
            self.worker_connections.hold(self)
        self._write_lines(self.transport, without_requests=without_requests)

    def _write_lines(self, transport: asyncio.Transport, *, without_requests: bool) -> None:
        """Write line by line until the socket accepts only a part of one.

        A line in the transport's buffer cannot be withdrawn: it would be written whenever the worker reads
        again, when the worker may be draining or the client may have disconnected.

        Args:
            transport: The established transport.
            without_requests: Write only the lines that carry no request.
        """
        while (line := self.line_queue.next_line(without_requests=without_requests)) is not None:
            if line.request is not None and not self._may_write(line.request):
                self.withdraw_and_end(line.request)
                continue
            if not line.data and isinstance(line.request, Attempt):
                line.data = self.worker_connections.encode_attempt(line.request)
            self.line_queue.dequeue(line)
            transport.write(line.data)
            if transport.is_closing():  # the write failed at once, before its first byte
                return
            unwritten_bytes = transport.get_write_buffer_size()
            self.line_queue.on_passed_to_transport(line, len(line.data) - unwritten_bytes)
            if unwritten_bytes or self.is_write_paused:
                return

    def _may_write(self, request: WorkerRequest) -> bool:
        """Return whether the send guard permits the request, immediately before its first byte is written."""
        if isinstance(request, Attempt):
            return self.dispatcher.may_start_attempt(request)
        return self.dispatcher.may_preload(request.worker_id)

    def refresh_progress(self) -> None:
        """Record which of the buffered lines have been written by now."""
        if self.transport is not None and self.line_queue.buffered:
            self.line_queue.on_write_buffer_size(self.transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """Continue after the transport's buffer was written (called by asyncio)."""
        self.line_queue.on_all_written()
        self._withdraw_overdue()
        super().resume_writing()

    def on_data(self, data: memoryview) -> int | None:
        """Process the complete lines; return their bytes, or None if one is malformed."""
        start = 0
        while (end := self.buffer.find(b"\n", start)) >= 0:
            message = parse_line(data[start:end])
            if message is None or not self._handle_response(message):
                return None
            start = end + 1
        return start

    def _handle_response(self, message: dict[str, Any]) -> bool:
        """Process a response; return False if it is malformed. Ignore one whose id is not in flight."""
        self.last_used_at = self._loop.time()
        message_id = message.get("id")
        if not isinstance(message_id, str):
            return False
        request = self.in_flight.get(message_id)
        if isinstance(request, Attempt):
            result = parse_call_response(message, self.worker_connections.settings.load_report_columns)
            if result is None:
                return False
            del self.in_flight[message_id]
            if result.outcome is not Outcome.OK:
                # A duplicate of this response must not end a later attempt of the same call.
                self._add_abandoned_id(message_id)
            request.progress = Progress.RESPONSE_STARTED
            self.worker_connections.on_call_response(request, result)
        elif request is not None:
            del self.in_flight[message_id]
            self.worker_connections.on_preload_response(request, message)
        return True

    def _add_abandoned_id(self, message_id: str) -> None:
        self.abandoned_ids.add(message_id)
        self.is_retired = self.is_retired or len(self.abandoned_ids) > MAX_ABANDONED_IDS

    def on_invalid_input(self) -> None:
        """Abort after malformed input; the outcome of each request in flight follows from its progress."""
        log.warning(format_event("worker_response_invalid", worker=self.pool.endpoint.name))
        self.abort()

    def eof_received(self) -> bool:
        """Abort after the worker closed its sending side, because no response can follow (called by asyncio).

        A graceful close would wait until the buffer is written, and the worker may not read it.
        """
        self._log_truncated_response()
        self.abort()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Log a truncated response after an error (called by asyncio)."""
        if exc is not None:
            self._log_truncated_response()
        super().connection_lost(exc)

    def _log_truncated_response(self) -> None:
        if truncated_bytes := len(self.buffer.peek()):
            worker = self.pool.endpoint.name
            log.warning(format_event("worker_response_truncated", worker=worker, bytes=truncated_bytes))

    def on_disconnected(self) -> None:
        """End every request in flight on this connection."""
        self.line_queue.on_disconnected()
        self.pool.remove(self)
        requests = self.in_flight
        self.in_flight = {}
        for request in requests.values():
            if self.is_local_failure:
                self.worker_connections.on_unsent(request)
            else:
                self.worker_connections.on_connection_broken(request, is_unreachable=self.is_unreachable)

    def abort_if_unwritten(self, lines: list[OutboundLine]) -> None:
        """Abort if one of these lines is not completely written."""
        self.refresh_progress()
        if not self.is_closed and any(line in self.line_queue.buffered for line in lines):
            self.abort()

    def is_partly_written(self, request: WorkerRequest) -> bool:
        """Return whether only a part of the line of a request has been written to the socket by now."""
        self.refresh_progress()
        return self.line_queue.is_buffered(request)

    def abort_incomplete_line(self) -> None:
        """Abort so that the worker never receives the rest of the line in the transport's buffer."""
        worker = self.pool.endpoint.name
        in_flight = len(self.in_flight)
        log.info(format_event("worker_line_aborted", worker=worker, in_flight=in_flight))
        self.abort()

    def close_unused(self) -> None:
        """Close a connection without requests in flight.

        A connection that is being established, or whose worker is not reading, is aborted, because a graceful
        close would wait.
        """
        self.abort() if self.transport is None or self.is_write_paused else self.close()

    def abort(self) -> None:
        """Close immediately, even if the connection is still being established."""
        self.is_retired = True
        if self.transport is not None:
            super().abort()
        elif not self.is_closed:
            self.is_closed = True
            self.on_disconnected()
