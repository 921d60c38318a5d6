"""One connection to a worker: requests out, responses in, and what becomes of both when it breaks.

A connection carries many attempts at once. How far each has come is kept by its ``LineQueue``.
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

    from cedarthread.protocols.worker.pool import WorkerConnectionPool

log = logging.getLogger(__name__)

MAX_ABANDONED_IDS = 512  # after which a connection accepts no more: each id is remembered until it closes


class WorkerConnection(BufferedConnection):
    """One connection of a worker's pool."""

    high_water = 0  # writing is paused exactly while bytes stand in this process: so what is written is known

    def __init__(self, pool: WorkerConnectionPool) -> None:
        self.workers = pool.worker_connections
        self.dispatcher = self.workers.dispatcher
        super().__init__(MAX_LINE_BYTES, self.workers.flusher)
        self.pool = pool
        self.lines = LineQueue(self.dispatcher.count_attempt_written, self.workers.on_first_byte)
        self.in_flight: dict[str, WorkerRequest] = {}  # by message id
        self.abandoned_ids: set[str] = set()  # their responses, if any still come, are ignored
        self.is_retired = False  # it accepts no more requests
        self.connect_timeout: asyncio.Timeout | None = None  # by when it has to come up
        self.is_unreachable = False  # it never came up, for a reason that lies with the worker
        self.is_local_failure = False  # it never came up, for want of a descriptor or port here
        self.last_used_at = self._loop.time()
        self.created_at_ms = self.dispatcher.clock()

    def can_accept(self, message_id: str) -> bool:
        """May a further request of this id be sent here?"""
        if self.is_retired or self.is_closed:
            return False
        if message_id in self.in_flight or message_id in self.abandoned_ids:
            return False
        if self.transport is not None and self.transport.is_closing():
            return False
        if not self.in_flight and self._loop.time() - self.last_used_at > self.workers.idle_limit_s():
            # A sweep is overdue, as after a stall of this process: the worker's idle close may be on its way.
            return False
        return len(self.in_flight) < self.workers.settings.limits.max_attempts_per_connection

    def is_idle(self) -> bool:
        """It is up, no request is in flight, and nothing waits to be written."""
        return self.transport is not None and not (self.in_flight or self.lines or self.is_write_paused)

    def send_attempt(self, attempt: Attempt) -> None:
        """Queue an attempt; its line is made when it leaves."""
        self.send_request(b"", attempt)

    def send_request(self, line: bytes, request: WorkerRequest) -> None:
        """Queue a request."""
        self.in_flight[message_id_of(request)] = request
        self._append(OutboundLine(line, request))

    def send_line(self, data: bytes) -> OutboundLine:
        """Queue a line that has no response."""
        line = OutboundLine(data)
        self._append(line)
        return line

    def _append(self, line: OutboundLine) -> None:
        self.last_used_at = self._loop.time()
        self.lines.append(line)
        self.schedule_flush()

    def withdraw(self, request: WorkerRequest) -> bool:
        """Take back a request of which no byte is written; False where it is too late for that."""
        if not self.lines.remove(request):
            return False
        self.in_flight.pop(message_id_of(request), None)
        return True

    def withdraw_and_end(self, request: WorkerRequest) -> None:
        """Withdraw a request and end it as not sent; one that has begun to be written goes on."""
        if self.withdraw(request):
            self.workers.on_unsent(request)

    def abandon(self, message_id: str) -> None:
        """Ignore the response to a request, and never use its id here again."""
        self.in_flight.pop(message_id, None)
        self._add_abandoned_id(message_id)

    def send_cancel(self, attempt: Attempt) -> OutboundLine | None:
        """Abandon an attempt and have the worker drop it: the line that says so, None if the connection is
        closed.
        """
        self.abandon(attempt.call.call_id)
        if self.is_closed:
            return None
        return self.send_line(encode_cancel(attempt.call.call_id))

    def on_connected(self) -> None:
        """The connection is up: what waited for it is sent."""
        if self.is_closed:  # aborted while it was being made
            super().abort()
            return
        if self.connect_timeout is not None and not self.connect_timeout.expired():
            # Otherwise it could expire later in this loop pass, under a call that is about to be written.
            self.connect_timeout.reschedule(None)
        self.lines.on_connected()
        self._withdraw_overdue()
        self.schedule_flush()

    def _withdraw_overdue(self) -> None:
        """What waited here past its write deadline is not written any more."""
        now_ms = self.dispatcher.clock()
        for request in self.lines.requests():
            if isinstance(request, Attempt) and now_ms > request.write_deadline_ms:
                self.withdraw_and_end(request)

    def flush(self) -> None:
        """Hand the queue to the transport, and record how much of it the socket has taken."""
        self._is_flush_scheduled = False
        if not self.lines.queued or self.is_write_paused or self.transport is None or self.is_closed:
            return
        if self.transport.is_closing():
            return
        is_holding = not self.workers.may_send()
        if is_holding and self.lines.requests():
            self.workers.hold(self)
        self._write_lines(self.transport, is_holding=is_holding)

    def _write_lines(self, transport: asyncio.Transport, *, is_holding: bool) -> None:
        """Write line by line, up to one that the socket does not take whole.

        What the transport has been given can't be taken back: a line that stood in its buffer would leave
        whenever the worker reads on, to a worker that drains by then or for a client that has gone.
        """
        while (line := self.lines.next_line(without_requests=is_holding)) is not None:
            if line.request is not None and not self._may_leave(line.request):
                self.withdraw_and_end(line.request)
                continue
            if not line.data and isinstance(line.request, Attempt):
                line.data = self.workers.encode_attempt(line.request)
            self.lines.take(line)
            transport.write(line.data)
            if transport.is_closing():  # the write failed at once: not a byte of it has left
                return
            unwritten_bytes = transport.get_write_buffer_size()
            self.lines.on_handed_over(line, len(line.data) - unwritten_bytes)
            if unwritten_bytes or self.is_write_paused:
                return

    def _may_leave(self, request: WorkerRequest) -> bool:
        """The guard of all sending: asked when the first byte of a request is about to leave."""
        if isinstance(request, Attempt):
            return self.dispatcher.may_start_attempt(request)
        return self.dispatcher.may_preload(request.worker_id)

    def refresh_progress(self) -> None:
        """Record what the socket has taken since: lines may be written while others behind them are not."""
        if self.transport is not None and self.lines.buffered:
            self.lines.on_drained_to(self.transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """The socket has taken all that was handed over (asyncio)."""
        self.lines.on_all_written()
        self._withdraw_overdue()
        super().resume_writing()

    def on_data(self, data: memoryview) -> int | None:
        """Process complete lines."""
        start = 0
        while (end := self.buffer.find(b"\n", start)) >= 0:
            message = parse_line(data[start:end])
            if message is None or not self._handle_response(message):
                return None
            start = end + 1
        return start

    def _handle_response(self, message: dict[str, Any]) -> bool:
        """Act on a response; False if it is malformed. One under an id that is not in flight is ignored."""
        self.last_used_at = self._loop.time()
        message_id = message.get("id")
        if not isinstance(message_id, str):
            return False
        request = self.in_flight.get(message_id)
        if isinstance(request, Attempt):
            result = parse_call_response(message, self.workers.settings.load_report_columns)
            if result is None:
                return False
            del self.in_flight[message_id]
            if result.outcome is not Outcome.OK:
                # A duplicate of this response must not end a later attempt of the same call.
                self._add_abandoned_id(message_id)
            request.progress = Progress.RESPONSE_STARTED
            self.workers.on_call_response(request, result)
        elif request is not None:
            del self.in_flight[message_id]
            self.workers.on_preload_response(request, message)
        return True

    def _add_abandoned_id(self, message_id: str) -> None:
        self.abandoned_ids.add(message_id)
        self.is_retired = self.is_retired or len(self.abandoned_ids) > MAX_ABANDONED_IDS

    def on_invalid_input(self) -> None:
        """Nothing that still comes here is of use: what is in flight ends by its progress."""
        log.warning(format_event("worker_response_invalid", worker=self.pool.endpoint.name))
        self.abort()

    def eof_received(self) -> bool:
        """The worker sends no more, so nothing in flight here can be answered (asyncio).

        It is aborted: a close would wait until all is written, and the worker may read no more either.
        """
        self._log_truncated_response()
        self.abort()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is down (asyncio)."""
        if exc is not None:
            self._log_truncated_response()
        super().connection_lost(exc)

    def _log_truncated_response(self) -> None:
        if truncated_bytes := len(self.buffer.peek()):
            worker = self.pool.endpoint.name
            log.warning(format_event("worker_response_truncated", worker=worker, bytes=truncated_bytes))

    def on_disconnected(self) -> None:
        """End every request that is in flight here."""
        self.lines.on_disconnected()
        self.pool.remove(self)
        requests, self.in_flight = self.in_flight, {}
        for request in requests.values():
            if self.is_local_failure:
                self.workers.on_unsent(request)
            else:
                self.workers.on_connection_broken(request, is_unreachable=self.is_unreachable)

    def abort_if_unwritten(self, lines: list[OutboundLine]) -> None:
        """Abort if some of these lines are not completely written."""
        self.refresh_progress()
        if not self.is_closed and any(line in self.lines.buffered for line in lines):
            self.abort()

    def close_empty(self) -> None:
        """Close a connection without requests in flight.

        One that is still being made, or whose worker reads nothing, is aborted: a close would wait for it.
        """
        self.abort() if self.transport is None or self.is_write_paused else self.close()

    def abort(self) -> None:
        """Close at once, also a connection that is still being made."""
        self.is_retired = True
        if self.transport is not None:
            super().abort()
        elif not self.is_closed:
            self.is_closed = True
            self.on_disconnected()
