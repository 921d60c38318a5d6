"""The pool of connections to one worker: which of them takes a request, and when they are made and closed."""

from __future__ import annotations

import asyncio
import errno
import logging
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cedarthread.logs import format_event
from cedarthread.protocols.worker.connection import WorkerConnection
from cedarthread.transport.descriptor_budget import EXHAUSTION_ERRNOS

if TYPE_CHECKING:
    from cedarthread.protocols.discovery.endpoint_list import EndpointRecord
    from cedarthread.protocols.worker.connections import WorkerConnections

log = logging.getLogger(__name__)

# Part of the drain grace in which a line that was handed to the transport may still leave after the news of a
# drain. The rest is kept for the age of the news: up to a poll and some retries.
DRAIN_FLUSH_GRACE_FRACTION = 0.4
# A connect that failed for want of a descriptor or a port here says nothing of the worker.
_LOCAL_ERRNOS = EXHAUSTION_ERRNOS | {errno.EADDRNOTAVAIL}


@dataclass(eq=False, slots=True)
class WorkerConnectionPool:
    """The connections to one worker."""

    worker_connections: WorkerConnections
    endpoint: EndpointRecord
    connections: list[WorkerConnection] = field(default_factory=list)
    connecting: dict[WorkerConnection, asyncio.Task[None]] = field(default_factory=dict)

    def acquire(self, message_id: str) -> WorkerConnection | None:
        """A connection that accepts a request of this id, a new one if need be; None if the process may hold
        no more.
        """
        for connection in self.connections:
            if connection.can_accept(message_id):
                return connection
        if not self.worker_connections.can_connect():
            return None
        connection = WorkerConnection(self)
        self.connections.append(connection)
        task = asyncio.get_running_loop().create_task(self._connect_within_timeout(connection))
        self.connecting[connection] = task
        task.add_done_callback(lambda _: self.connecting.pop(connection, None))
        return connection

    async def _connect_within_timeout(self, connection: WorkerConnection) -> None:
        try:
            timeout_s = self.worker_connections.settings.limits.connect_timeout_ms / 1000.0
            async with asyncio.timeout(timeout_s) as connection.connect_timeout:
                await self._connect(connection)
        except (OSError, TimeoutError) as error:
            if not connection.is_closed:
                if log.isEnabledFor(logging.INFO):
                    # No local name may hold the error: with its traceback, and that with this frame, it would
                    # form a cycle that holds the connection until the collector's rare last generation runs.
                    log.info(format_event("worker_unreachable", worker=self.endpoint.name, error=error))
                connection.is_local_failure = error.errno in _LOCAL_ERRNOS
                connection.is_unreachable = not connection.is_local_failure
                connection.abort()

    async def _connect(self, connection: WorkerConnection) -> None:
        """Connect. Where no descriptor is left, an idle connection is closed first: a call goes before it."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                await loop.create_connection(lambda: connection, self.endpoint.host, self.endpoint.port)
                return
            except OSError as error:
                if error.errno not in EXHAUSTION_ERRNOS or not self.worker_connections.release_descriptor():
                    raise
            await asyncio.sleep(0)  # the descriptor is free in the next loop pass

    def remove(self, connection: WorkerConnection) -> None:
        """A connection is down, or not wanted any more.

        A connect that nobody waits for is cancelled: it would hold its descriptor uncounted.
        """
        if connection in self.connections:
            self.connections.remove(connection)
        task = self.connecting.get(connection)
        if task is not None and task is not asyncio.current_task():
            task.cancel()

    def longest_idle(self) -> WorkerConnection | None:
        """The idle connection that was used least recently."""
        idle = [connection for connection in self.connections if connection.is_idle()]
        return min(idle, key=lambda connection: connection.last_used_at, default=None)

    def retire(self, *, close_now: bool, created_until_ms: float = math.inf) -> None:
        """Send no more on the connections created until then; close them, at once or once they are empty.

        Requests that are still queued are withdrawn: a worker that reads slowly would get them long after the
        news of its drain.
        """
        for connection in [one for one in self.connections if one.created_at_ms <= created_until_ms]:
            connection.is_retired = True
            for request in connection.lines.requests():
                connection.withdraw_and_end(request)
            if close_now:
                connection.abort()
            elif not connection.in_flight:
                connection.close_empty()
            elif connection.lines.buffered:
                grace_s = self.worker_connections.settings.rules.drain_grace_ms / 1000.0
                flush_s = DRAIN_FLUSH_GRACE_FRACTION * grace_s
                buffered = list(connection.lines.buffered)
                asyncio.get_running_loop().call_later(flush_s, connection.abort_if_unwritten, buffered)

    def sweep(self, now_s: float, idle_limit_s: float) -> None:
        """Close what has been idle for long, before the worker does and a request crosses its close."""
        for connection in list(self.connections):
            is_expired = connection.is_retired or now_s - connection.last_used_at > idle_limit_s
            if is_expired and connection.transport is not None and not connection.in_flight:
                connection.close_empty()
