"""The dispatcher's transport to the workers: JSON lines over pooled connections.

The progress of an attempt determines its outcome when its connection breaks (``line_queue.py``).
"""

from __future__ import annotations

import asyncio
import json
import logging
from functools import partial
from typing import TYPE_CHECKING, Any, Protocol

from cedarthread.dispatch.calls import (
    Attempt,
    AttemptResult,
    Progress,
    connection_lost_result,
    not_sent_result,
)
from cedarthread.dispatch.send_gate import OPEN_SEND_GATE, SendGate
from cedarthread.logs import format_event
from cedarthread.model.endpoints import EndpointState
from cedarthread.model.outcomes import Outcome
from cedarthread.protocols.worker.codec import encode_call, encode_unload, parse_preload_response
from cedarthread.protocols.worker.pool import WorkerConnectionPool
from cedarthread.protocols.worker.preloads import PreloadRequests

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.dispatch.dispatcher import Dispatcher
    from cedarthread.model.settings import RouterSettings
    from cedarthread.protocols.discovery.endpoint_list import EndpointRecord
    from cedarthread.protocols.worker.connection import WorkerConnection
    from cedarthread.protocols.worker.requests import OutboundLine, PendingPreload, WorkerRequest
    from cedarthread.transport.connection import BufferedConnection
    from cedarthread.transport.flusher import Flusher

log = logging.getLogger(__name__)

# Time from writing CANCEL until the attempt counts as cancelled; by then the worker has received the line.
CANCEL_SETTLE_S = 0.010
UNRESPONSIVE_AFTER_S = 1.0  # time without input after which cancelling an attempt also retires its connection
# Idle time after which the router closes, as a fraction of the worker's idle timeout; the router closes
# before the worker does.
IDLE_CLOSE_FRACTION = 0.8


class IdleClients(Protocol):
    """Client connections, of which an idle one may be closed to free its descriptor."""

    def evict_idle(self) -> bool:
        """Close an idle connection; return False if there is none."""


class WorkerConnections:
    """The connection pools of all workers; implements the dispatcher's ``WorkerTransport``."""

    def __init__(
        self,
        settings: RouterSettings,
        dispatcher: Dispatcher,
        max_connections: int,
        flusher: Flusher,
        *,
        clients: IdleClients | None = None,
        send_gate: SendGate = OPEN_SEND_GATE,
    ) -> None:
        self.flusher = flusher
        self.settings = settings
        self.dispatcher = dispatcher
        self.max_connections = max_connections
        self._clients = clients
        self.pools: dict[int, WorkerConnectionPool] = {}  # connection pools by worker id
        self.class_names_json: list[str] = []  # class names in JSON, by class index
        send_gate.add_reopen_callback(self.flush_held)
        # Callback that returns whether output may be sent; if not, it waits until ``flush_held``.
        self.may_send: Callable[[], bool] = send_gate.is_open
        # Connections whose output is suspended until ``flush_held``.
        self._held: list[BufferedConnection] = []
        self.preloads = PreloadRequests(dispatcher)
        self.update_settings(settings)
        self._connection_by_attempt: dict[Attempt, WorkerConnection] = {}
        self._loop = asyncio.get_running_loop()

    def update_settings(self, settings: RouterSettings) -> None:
        """Apply new settings; class indexes stay the same."""
        self.settings = settings
        self.class_names_json = [json.dumps(request_class.name) for request_class in settings.classes]

    def update_endpoints(self, endpoints: dict[int, EndpointRecord]) -> None:
        """Apply a new endpoint list, keyed by worker id.

        Connections to workers that were removed, moved or restarted are closed immediately. Connections to
        draining workers are closed once no request is in flight.
        """
        self.dispatcher.worker_states_changed(
            {worker_id: endpoint.state for worker_id, endpoint in endpoints.items()}
        )
        for worker_id, pool in list(self.pools.items()):
            endpoint = endpoints.get(worker_id)
            if endpoint is None:
                del self.pools[worker_id]
                pool.retire(close_now=True)
            elif (endpoint.host, endpoint.port) != (pool.endpoint.host, pool.endpoint.port):
                pool.retire(close_now=True)
            elif endpoint.started_at_ms != pool.endpoint.started_at_ms:
                # The list reports a restart late: connections created after it lead to the new process.
                pool.retire(close_now=True, created_until_ms=endpoint.started_at_ms)
            if endpoint is not None and endpoint.state is not EndpointState.READY:
                pool.retire(close_now=False)  # in addition: one list may show a restart and a drain
        for worker_id, endpoint in endpoints.items():
            pool = self.pools.setdefault(worker_id, WorkerConnectionPool(self, endpoint))
            pool.endpoint = endpoint

    def send(self, attempt: Attempt) -> None:
        """Start an attempt on a connection to its worker; end it immediately if there is no connection."""
        pool = self.pools.get(attempt.worker_id)
        if pool is None:
            self.dispatcher.attempt_ended(attempt, connection_lost_result(attempt))
            return
        connection = pool.acquire(attempt.call.call_id)
        if connection is None:
            self.dispatcher.attempt_ended(attempt, not_sent_result())
            return
        if connection.transport is not None:
            attempt.progress = Progress.UNWRITTEN
        self._connection_by_attempt[attempt] = connection
        connection.send_attempt(attempt)

    def encode_attempt(self, attempt: Attempt) -> bytes:
        """Encode the line of an attempt with the time remaining until its deadline."""
        call = attempt.call
        timeout_ms = call.deadline_ms - self.dispatcher.clock()
        return encode_call(call, self.class_names_json[call.class_index], timeout_ms)

    def on_first_byte(self, request: WorkerRequest) -> None:
        """Report to the dispatcher that a request was passed to the transport."""
        if isinstance(request, Attempt):
            self.dispatcher.on_attempt_sent(request)
        else:
            self.dispatcher.on_preload_sent(request.worker_id, request.message_id)

    def hold(self, connection: BufferedConnection) -> None:
        """Register a connection to be flushed once requests may be sent again."""
        self._held.append(connection)

    def flush_held(self) -> None:
        """Flush the connections with suspended output, because requests may be sent again."""
        suspended = self._held
        self._held = []
        for connection in suspended:
            connection.flush()

    def refresh_progress(self, attempt: Attempt) -> None:
        """Update the progress of an attempt from the state of its connection."""
        if (connection := self._connection_by_attempt.get(attempt)) is not None:
            connection.refresh_progress()

    def withdraw_unsent(self, attempt: Attempt) -> None:
        """End an attempt that was not passed to the transport; do nothing to any other."""
        if (connection := self._connection_by_attempt.get(attempt)) is not None:
            connection.withdraw_and_end(attempt)

    def abort_incomplete(self, attempt: Attempt, *, settle_s: float = 0.0) -> None:
        """Abort the connection of a partly written attempt; see ``WorkerTransport.abort_incomplete``.

        Bytes in the transport's buffer cannot be withdrawn in any other way. The other attempts on the
        connection end as after any lost connection.
        """
        connection = self._connection_by_attempt.get(attempt)
        if connection is None or not connection.is_partly_written(attempt):
            return
        if settle_s > 0.0:
            self._loop.call_later(settle_s, self.abort_incomplete, attempt)
            return
        del self._connection_by_attempt[attempt]  # so that no CANCEL follows
        connection.abort_incomplete_line()

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt.

        Its end is reported once the worker has received the cancel or the connection has been closed.
        """
        connection = self._connection_by_attempt.pop(attempt, None)
        if connection is None or attempt.progress is Progress.RESPONSE_STARTED:
            return
        if connection.withdraw(attempt):
            self.dispatcher.attempt_ended(attempt, connection_lost_result(attempt))
            return
        # A connection to a crashed host stays open without input: the next attempt needs a new connection.
        is_unresponsive = self._loop.time() - connection.last_read_at_s > UNRESPONSIVE_AFTER_S
        connection.is_retired = connection.is_retired or is_unresponsive
        if not self.settings.limits.can_cancel:
            self._end_without_cancel(attempt, connection)
            return
        cancel_line = connection.send_cancel(attempt)
        if cancel_line is not None:
            self._loop.call_later(CANCEL_SETTLE_S, self._finish_cancel, attempt, connection, cancel_line)
        else:
            self._finish_cancel(attempt, connection, None)

    def _end_without_cancel(self, attempt: Attempt, connection: WorkerConnection) -> None:
        """End an attempt that the settings forbid to cancel.

        The worker continues an attempt that it has received, and its response is ignored. It never receives
        the rest of a partly written one.
        """
        if connection.is_partly_written(attempt):
            connection.abort_incomplete_line()
            self.dispatcher.attempt_ended(attempt, connection_lost_result(attempt))
            return
        connection.abandon(attempt.call.call_id)
        self.dispatcher.attempt_ended(attempt, AttemptResult(Outcome.TIMEOUT))

    def _finish_cancel(
        self, attempt: Attempt, connection: WorkerConnection, cancel_line: OutboundLine | None
    ) -> None:
        """Report a cancelled attempt.

        If the cancel line is not written, the connection is aborted, which cancels the attempt at the worker.
        """
        if cancel_line is None or not connection.line_queue.is_written(cancel_line):
            connection.abort()
        self.dispatcher.attempt_ended(attempt, AttemptResult(Outcome.CANCELLED))

    def preload(self, worker_id: int, function_id: int, instances: int) -> None:
        """Request instances of a function from a worker."""
        timeout_ms = self.settings.preload_timeout_ms
        self.preloads.send(self.pools.get(worker_id), worker_id, function_id, instances, timeout_ms)

    def unload(self, worker_id: int, function_id: int) -> None:
        """Request that a worker unload idle instances of a function."""
        pool = self.pools.get(worker_id)
        # An unload has no response, so it needs no message id that is free on the connection.
        if pool is not None and (connection := pool.acquire("")) is not None:
            connection.send_line(encode_unload(function_id))

    def close_idle_connections(self, worker_id: int) -> None:
        """Close the idle connections to a worker."""
        if (pool := self.pools.get(worker_id)) is not None:
            pool.sweep(self._loop.time(), -1.0)  # a negative limit: any idle time exceeds it

    def on_connection_broken(self, request: WorkerRequest, *, is_unreachable: bool) -> None:
        """End a request after its connection broke or could not be established."""
        result_of_attempt = partial(connection_lost_result, is_unreachable=is_unreachable)
        self._end_request(request, result_of_attempt, Outcome.RESET)

    def on_unsent(self, request: WorkerRequest) -> None:
        """End a request of which no byte has been written.

        The request was withdrawn, or this host lacks a descriptor or port for its connection.
        """
        self._end_request(request, lambda _: not_sent_result(), Outcome.CONNECT_FAILED)

    def _end_request(
        self,
        request: WorkerRequest,
        result_of_attempt: Callable[[Attempt], AttemptResult],
        preload_outcome: Outcome,
    ) -> None:
        if isinstance(request, Attempt):
            self._connection_by_attempt.pop(request, None)
            self.dispatcher.attempt_ended(request, result_of_attempt(request))
        else:
            self.preloads.finish(request, preload_outcome)

    def on_preload_response(self, preload: PendingPreload, message: dict[str, Any]) -> None:
        """End a preload with the worker's response."""
        self.preloads.on_response(preload, parse_preload_response(message))

    def on_call_response(self, attempt: Attempt, result: AttemptResult) -> None:
        """End an attempt with the worker's response."""
        self._connection_by_attempt.pop(attempt, None)
        self.dispatcher.attempt_ended(attempt, result)

    def idle_limit_s(self) -> float:
        """Return the idle time after which a connection is closed, before the worker closes it."""
        return self.settings.limits.idle_timeout_ms / 1000.0 * IDLE_CLOSE_FRACTION

    def can_connect(self) -> bool:
        """Return whether one more connection may be opened; at the limit, close an idle one to make room."""
        count = sum(len(pool.connections) for pool in self.pools.values())
        if count < self.max_connections or self._close_longest_idle():
            return True
        log.warning(format_event("worker_connection_limit_reached", limit=self.max_connections))
        return False

    def release_descriptor(self) -> bool:
        """Close an idle connection of a client or worker; return False if there is none.

        The descriptor becomes free in the next iteration of the event loop.
        """
        has_released = self._clients is not None and self._clients.evict_idle()
        return has_released or self._close_longest_idle()

    def _close_longest_idle(self) -> bool:
        idle = [connection for pool in self.pools.values() if (connection := pool.longest_idle()) is not None]
        longest_idle = min(idle, key=lambda connection: connection.last_used_at, default=None)
        if longest_idle is not None:
            longest_idle.pool.remove(longest_idle)
            longest_idle.abort()
        return longest_idle is not None

    def sweep(self, now_s: float) -> None:
        """Close connections that have been idle for too long; ``now_s`` is the event loop's time."""
        for pool in self.pools.values():
            pool.sweep(now_s, self.idle_limit_s())

    def close(self) -> None:
        """Close every connection."""
        for pool in self.pools.values():
            for connection in list(pool.connections):
                connection.close()
